package standin

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
)

// How the ends of flows behave, in ms and packets.
const (
	flowWindow      = 16
	flowFirstRepeat = 200 * clock.Millisecond
	flowLastRepeat  = 1600 * clock.Millisecond
	flowRepeats     = 8
	flowAckDelay    = 40 * clock.Millisecond // an odd packet is acknowledged after this
)

// flowEnd carries bytes reliably to the other end of a flow, and takes those that
// come. It neither reads sockets nor the clock.
type flowEnd struct {
	self, peer netip.AddrPort
	send       func(flowPacket)

	echo    uint32 // the latest one received
	next    uint32 // sequence number of the next new byte
	acked   uint32 // everything before was acknowledged
	pending []byte // bytes from acked on
	sent    uint32 // everything before was sent at least once
	repeat  clock.Millis
	pause   clock.Millis
	repeats int

	expects uint32            // next byte expected from the other end
	early   map[uint32][]byte // data that came out of order
	owed    int               // packets not acknowledged
	oweAt   clock.Millis
	peerFin bool
}

func newFlowEnd(self, peer netip.AddrPort, sequence uint32, send func(flowPacket)) *flowEnd {
	return &flowEnd{
		self: self, peer: peer, send: send, early: map[uint32][]byte{},
		next: sequence, acked: sequence, sent: sequence,
	}
}

// packet returns a packet of the flow as it stands.
func (e *flowEnd) packet(flags byte, seq uint32, data []byte) flowPacket {
	return flowPacket{from: e.self, to: e.peer, flags: flags, seq: seq, ack: e.expects, echo: e.echo, data: data}
}

// write queues bytes.
func (e *flowEnd) write(now clock.Millis, data []byte) {
	e.pending = append(e.pending, data...)
	e.next += uint32(len(data))
	e.pump(now)
}

// pump sends what the window allows.
func (e *flowEnd) pump(now clock.Millis) {
	for e.sent != e.next && e.sent-e.acked < flowWindow*flowData {
		from := e.sent - e.acked
		n := min(flowData, e.next-e.sent)
		if e.repeat == 0 {
			e.pause = flowFirstRepeat
			e.repeat = now + e.pause
		}
		e.send(e.packet(flowAck, e.sent, e.pending[from:from+n]))
		e.sent += n
		e.owed = 0
	}
}

// take takes a packet of the other end, and returns the bytes that came in order.
func (e *flowEnd) take(now clock.Millis, p flowPacket) []byte {
	e.echo = p.echo
	if p.has(flowAck) && int32(p.ack-e.acked) > 0 && int32(p.ack-e.next) <= 0 {
		e.pending = e.pending[p.ack-e.acked:]
		e.acked = p.ack
		if int32(e.sent-e.acked) < 0 {
			e.sent = e.acked
		}
		e.repeats, e.pause, e.repeat = 0, flowFirstRepeat, 0
		if e.acked != e.next {
			e.repeat = now + e.pause
		}
		e.pump(now)
	}
	var whole []byte
	if len(p.data) > 0 {
		whole = e.order(now, p)
	}
	if p.has(flowFinish) {
		e.peerFin = true
	}
	return whole
}

// order puts data in order and decides on its acknowledgement.
func (e *flowEnd) order(now clock.Millis, p flowPacket) []byte {
	if int32(p.seq-e.expects) < 0 {
		e.acknowledge() // it came before
		return nil
	}
	e.early[p.seq] = p.data
	var whole []byte
	for {
		data, found := e.early[e.expects]
		if !found {
			break
		}
		delete(e.early, e.expects)
		whole = append(whole, data...)
		e.expects += uint32(len(data))
	}
	e.owed++
	e.oweAt = now + flowAckDelay
	if e.owed >= 2 {
		e.acknowledge()
	}
	return whole
}

func (e *flowEnd) acknowledge() {
	e.owed = 0
	e.send(e.packet(flowAck, e.sent, nil))
}

// tick sends what is due, and reports false when the other end is given up.
func (e *flowEnd) tick(now clock.Millis) bool {
	if e.owed > 0 && now >= e.oweAt {
		e.acknowledge()
	}
	if e.repeat == 0 || now < e.repeat {
		return true
	}
	if e.repeats++; e.repeats > flowRepeats {
		return false
	}
	e.pause = min(2*e.pause, flowLastRepeat)
	e.repeat = now + e.pause
	n := min(flowData, e.sent-e.acked)
	e.send(e.packet(flowAck, e.acked, e.pending[:n]))
	return true
}
