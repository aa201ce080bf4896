package packet

import "math/bits"

// CountParts returns the number of parts of a body of size bytes. An empty body
// has one empty part.
func CountParts(size int) uint32 {
	if size == 0 {
		return 1
	}
	return uint32((size + MaxPayload - 1) / MaxPayload)
}

// PartOf returns the payload of the given part of body.
func PartOf(body []byte, part uint32) []byte {
	from := int(part) * MaxPayload
	to := min(from+MaxPayload, len(body))
	return body[from:to]
}

// Assembly collects the parts of one request or answer. It allocates memory as
// parts arrive, as the count in a packet can announce more than is ever sent.
type Assembly struct {
	Count uint32   // number of parts expected
	Next  uint32   // all parts below this index were received
	Size  int      // payload bytes received
	parts [][]byte // payloads by index, up to the highest part received; nil if missing
}

// NewAssembly returns an empty assembly of count parts.
func NewAssembly(count uint32) *Assembly {
	return &Assembly{Count: count}
}

// Add stores a copy of a part's payload and reports whether the part was new. It
// ignores parts after Next+MaskParts, which Mask cannot report.
func (a *Assembly) Add(part uint32, payload []byte) bool {
	if part >= a.Count || part < a.Next || part > a.Next+MaskParts {
		return false
	}
	for uint32(len(a.parts)) <= part {
		a.parts = append(a.parts, nil)
	}
	if a.parts[part] != nil {
		return false
	}
	a.parts[part] = append(make([]byte, 0, len(payload)), payload...)
	a.Size += len(payload)
	for a.Next < uint32(len(a.parts)) && a.parts[a.Next] != nil {
		a.Next++
	}
	return true
}

// Done reports whether every part was received.
func (a *Assembly) Done() bool {
	return a.Next == a.Count
}

// Mask returns the received parts after Next as bits, as in Packet.Mask.
func (a *Assembly) Mask() uint64 {
	var mask uint64
	for i := range uint32(MaskParts) {
		part := a.Next + 1 + i
		if part < uint32(len(a.parts)) && a.parts[part] != nil {
			mask |= 1 << i
		}
	}
	return mask
}

// Body joins the parts, all of which must have been received.
func (a *Assembly) Body() []byte {
	body := make([]byte, 0, a.Size)
	for _, p := range a.parts {
		body = append(body, p...)
	}
	return body
}

// Window tracks for the sender of a body which parts the receiver has
// acknowledged and which part to send next. The zero value with Count set is
// ready to use.
type Window struct {
	Count uint32 // number of parts to send
	Next  uint32 // all parts below this index were acknowledged
	Mask  uint64 // acknowledged parts after Next, as in Packet.Mask
	Sent  uint32 // all parts below this index were sent at least once
}

// Update applies the Next and Mask of an Ack or Got and reports whether they
// acknowledge parts that were not acknowledged before.
func (w *Window) Update(next uint32, mask uint64) bool {
	if next > w.Count || next < w.Next {
		return false
	}
	if next == w.Next && mask|w.Mask == w.Mask {
		return false
	}
	if next == w.Next {
		w.Mask |= mask
	} else {
		w.Next, w.Mask = next, mask
	}
	w.Sent = max(w.Sent, w.Next)
	return true
}

// Done reports whether every part was acknowledged.
func (w *Window) Done() bool {
	return w.Next >= w.Count
}

// NextUnsent returns the parts that were never sent and have an index below
// Next+limit and Next+MaskParts. It marks them as sent.
func (w *Window) NextUnsent(limit uint32) []uint32 {
	end := min(w.Count, w.Next+min(limit, MaskParts))
	var parts []uint32
	for ; w.Sent < end; w.Sent++ {
		parts = append(parts, w.Sent)
	}
	return parts
}

// Unacknowledged returns the parts that were sent and not acknowledged. They are
// lost or still in flight.
func (w *Window) Unacknowledged() []uint32 {
	var parts []uint32
	for p := w.Next; p < w.Sent; p++ {
		if p > w.Next && w.Mask&(1<<(p-w.Next-1)) != 0 {
			continue
		}
		parts = append(parts, p)
	}
	return parts
}

// Holes returns the unacknowledged parts below the highest acknowledged one. As
// a later part arrived, they are probably lost rather than in flight.
func (w *Window) Holes() []uint32 {
	if w.Mask == 0 {
		return nil
	}
	highest := w.Next + uint32(bits.Len64(w.Mask))
	var parts []uint32
	for _, p := range w.Unacknowledged() {
		if p < highest {
			parts = append(parts, p)
		}
	}
	return parts
}
