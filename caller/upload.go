package caller

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// The window of parts under way, in parts.
const (
	firstLimit = 16
	minLimit   = 8
	maxLimit   = packet.MaskParts
)

// While the owner works, the last part is repeated to notice a new owner.
const (
	firstPoke = 250 * clock.Millisecond
	maxPoke   = clock.Second
)

// secondTimeout is the number of vain timeouts after which a whole window is sent
// again. Before and after it, a single part asks for an Ack.
const secondTimeout = 2

// mark remembers the sending of one part.
type mark struct {
	at    clock.Millis
	again bool // sent more than once: its Ack tells no round-trip time
	lost  bool // to be sent again
	hole  bool // lost while later parts arrived: sent again at once
}

// upload sends the parts of one request to one owner.
type upload struct {
	window  packet.Window
	limit   uint32                 // parts that may be under way
	marks   [packet.MaskParts]mark // of the parts from window.Next, by part modulo MaskParts
	lossy   bool                   // a part was lost, so the limit grows slowly
	halved  clock.Millis           // when the limit was last halved
	former  uint32                 // limit before that
	news    clock.Millis           // when an Ack last brought news
	heard   clock.Millis           // when an Ack last came
	backoff uint8                  // timeouts since then
	pokes   uint8                  // repeats since the owner holds all parts
	unheard bool                   // the latest repeat was not acknowledged
	timer   clock.Millis           // when the next timeout or repeat is due
}

func newUpload(size int, now clock.Millis) upload {
	return upload{window: packet.Window{Count: packet.CountParts(size)}, limit: firstLimit, news: now}
}

func (u *upload) mark(part uint32) *mark { return &u.marks[part%packet.MaskParts] }

// whole reports whether every part was sent at least once.
func (u *upload) whole() bool { return u.window.Sent == u.window.Count }

// send returns the parts to send now: lost ones first, then new ones.
func (u *upload) send(now clock.Millis, r *rtt) []uint32 {
	missing := u.window.Unacknowledged()
	flying := uint32(0)
	for _, p := range missing {
		if !u.mark(p).lost {
			flying++
		}
	}
	var parts []uint32
	for _, p := range missing {
		m := u.mark(p)
		if m.lost && (m.hole || flying < u.limit) {
			*m = mark{at: now, again: true}
			parts = append(parts, p)
			flying++
		}
	}
	for _, p := range u.window.NextUnsent(u.limit) {
		*u.mark(p) = mark{at: now}
		parts = append(parts, p)
	}
	if len(parts) > 0 {
		u.timer = now + r.timeout(u.backoff)
	}
	return parts
}

// ack takes in what the owner holds.
func (u *upload) ack(now clock.Millis, r *rtt, next uint32, mask uint64) {
	u.unheard = false
	before := u.window
	u.heard = now
	if !u.window.Update(next, mask) {
		u.findHoles(now, r)
		return
	}
	u.sample(now, r, before)
	u.forgive(now, r, before)
	u.news, u.backoff, u.pokes = now, 0, 0
	u.grow(u.window.Next - before.Next)
	u.findHoles(now, r)
	u.timer = now + r.timeout(0)
	if u.window.Done() {
		u.waitForAnswer(now)
	}
}

// sample measures the round trips of the parts that this Ack reports first.
// Parts that an earlier Ack reported have waited for others.
func (u *upload) sample(now clock.Millis, r *rtt, before packet.Window) {
	for _, p := range before.Unacknowledged() {
		if m := u.mark(p); holds(u.window, p) && !m.again && !m.lost {
			r.sample(now - m.at)
		}
	}
}

// forgive takes back the halving for a part that was repeated needlessly.
func (u *upload) forgive(now clock.Millis, r *rtt, before packet.Window) {
	for _, p := range before.Unacknowledged() {
		m := u.mark(p)
		switch {
		case !m.again || !holds(u.window, p):
		case r.needless(now - m.at):
			r.widen()
			u.limit = max(u.limit, u.former)
			return
		default:
			r.narrow()
		}
	}
}

// holds reports whether the receiver holds a part.
func holds(w packet.Window, part uint32) bool {
	if part <= w.Next {
		return part < w.Next
	}
	return w.Mask&(1<<(part-w.Next-1)) != 0
}

func (u *upload) grow(parts uint32) {
	if u.lossy {
		parts = min(parts, 1)
	}
	u.limit = min(u.limit+parts, maxLimit)
}

func (u *upload) halve(now clock.Millis, r *rtt) {
	u.lossy = true
	if now-u.halved < r.holeAge() {
		return
	}
	u.former = u.limit
	u.limit, u.halved = max(u.limit/2, minLimit), now
}

// findHoles marks parts as lost when later ones arrived a round trip ago.
func (u *upload) findHoles(now clock.Millis, r *rtt) {
	for _, p := range u.window.Holes() {
		m := u.mark(p)
		if m.lost || now-m.at < r.holeAge() {
			continue
		}
		if m.again && u.heard <= m.at {
			continue // nothing was heard since: the timeout repeats it
		}
		m.lost, m.hole = true, true
		u.halve(now, r)
	}
}

// waitForAnswer puts off the next repeat while the owner shows life.
func (u *upload) waitForAnswer(now clock.Millis) {
	u.timer = now + min(firstPoke<<min(u.pokes, 8), maxPoke)
}

// strike is called when the timer is due. It returns the parts to send.
func (u *upload) strike(now clock.Millis, r *rtt) []uint32 {
	if u.window.Done() {
		u.pokes = min(u.pokes+1, 8)
		if u.unheard {
			u.pokes = 0 // its owner may be gone: find the next one soon
		}
		u.unheard = true
		u.waitForAnswer(now)
		last := u.window.Count - 1
		*u.mark(last) = mark{at: now, again: true}
		return []uint32{last}
	}
	u.backoff = min(u.backoff+1, 10)
	missing := u.window.Unacknowledged()
	if len(missing) > 0 && u.backoff != secondTimeout {
		return u.probe(now, r, missing[len(missing)-1])
	}
	for _, p := range missing {
		u.mark(p).lost = true
	}
	u.halve(now, r)
	return u.send(now, r)
}

// probe repeats one part. Its Ack shows which of the earlier ones are lost, or
// that only the Acks were.
func (u *upload) probe(now clock.Millis, r *rtt, part uint32) []uint32 {
	*u.mark(part) = mark{at: now, again: true}
	u.timer = now + r.timeout(u.backoff)
	return []uint32{part}
}

// stalled reports whether nothing was heard for so long that an Ack of fewer
// parts is no late one: the owner has lost what it held.
func (u *upload) stalled(now clock.Millis, r *rtt) bool {
	return now-u.news > 2*r.timeout(0)
}
