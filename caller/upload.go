package caller

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// The window of parts under way, in parts.
const (
	initialCongestionWindow = 16
	minCongestionWindow     = 8
	maxCongestionWindow     = packet.MaskParts
)

// While the owner works, the last part is repeated to notice a new owner.
const (
	initialOwnerProbeDelay = 250 * clock.Millisecond
	maxOwnerProbeDelay     = clock.Second
)

// secondTimeout is the number of vain timeouts after which a whole window is sent
// again. Before and after it, a single part asks for an Ack.
const windowResendTimeouts = 2

// partState remembers the sending of one part.
type partState struct {
	sentAt     clock.Millis
	resent     bool // sent more than once: its Ack tells no round-trip time
	lost       bool // to be sent again
	fastResend bool // lost while later parts arrived: sent again at once
}

// upload sends the parts of one request to one owner.
type upload struct {
	window              packet.Window
	congestionWindow    uint32                      // parts that may be under way
	partStates          [packet.MaskParts]partState // of the parts from window.Next, by part modulo MaskParts
	lossSeen            bool                        // a part was lost, so the limit grows slowly
	halvedAt            clock.Millis                // when the limit was last halved
	windowBeforeHalving uint32                      // limit before that
	progressAt          clock.Millis                // when an Ack last brought news
	lastAckAt           clock.Millis                // when an Ack last came
	backoff             uint8                       // timeouts since then
	ownerProbes         uint8                       // repeats since the owner holds all parts
	probeUnanswered     bool                        // the latest repeat was not acknowledged
	timerAt             clock.Millis                // when the next timeout or repeat is due
}

func newUpload(size int, now clock.Millis) upload {
	return upload{window: packet.Window{Count: packet.CountParts(size)}, congestionWindow: initialCongestionWindow, progressAt: now}
}

func (u *upload) partState(part uint32) *partState { return &u.partStates[part%packet.MaskParts] }

// sentWhole reports whether every part was sent at least once.
func (u *upload) sentWhole() bool { return u.window.Sent == u.window.Count }

// nextParts returns the parts to nextParts now: lost ones first, then new ones.
func (u *upload) nextParts(now clock.Millis, r *rttEstimator) []uint32 {
	missing := u.window.Missing()
	inFlight := uint32(0)
	for _, p := range missing {
		if !u.partState(p).lost {
			inFlight++
		}
	}
	var parts []uint32
	for _, p := range missing {
		m := u.partState(p)
		if m.lost && (m.fastResend || inFlight < u.congestionWindow) {
			*m = partState{sentAt: now, resent: true}
			parts = append(parts, p)
			inFlight++
		}
	}
	for _, p := range u.window.Fresh(u.congestionWindow) {
		*u.partState(p) = partState{sentAt: now}
		parts = append(parts, p)
	}
	if len(parts) > 0 {
		u.timerAt = now + r.timeout(u.backoff)
	}
	return parts
}

// applyAck takes in what the owner holds.
func (u *upload) applyAck(now clock.Millis, r *rttEstimator, next uint32, mask uint64) {
	u.probeUnanswered = false
	before := u.window
	u.lastAckAt = now
	if !u.window.Update(next, mask) {
		u.detectLosses(now, r)
		return
	}
	u.measureRTT(now, r, before)
	u.undoHalving(now, r, before)
	u.progressAt, u.backoff, u.ownerProbes = now, 0, 0
	u.grow(u.window.Next - before.Next)
	u.detectLosses(now, r)
	u.timerAt = now + r.timeout(0)
	if u.window.Done() {
		u.scheduleOwnerProbe(now)
	}
}

// measureRTT measures the round trips of the parts that this Ack reports first.
// Parts that an earlier Ack reported have waited for others.
func (u *upload) measureRTT(now clock.Millis, r *rttEstimator, before packet.Window) {
	for _, p := range before.Missing() {
		if m := u.partState(p); received(u.window, p) && !m.resent && !m.lost {
			r.sample(now - m.sentAt)
		}
	}
}

// undoHalving takes back the halving for a part that was repeated needlessly.
func (u *upload) undoHalving(now clock.Millis, r *rttEstimator, before packet.Window) {
	for _, p := range before.Missing() {
		m := u.partState(p)
		switch {
		case !m.resent || !received(u.window, p):
		case r.spuriousResend(now - m.sentAt):
			r.widenReorderWindow()
			u.congestionWindow = max(u.congestionWindow, u.windowBeforeHalving)
			return
		default:
			r.narrowReorderWindow()
		}
	}
}

// received reports whether the receiver received a part.
func received(w packet.Window, part uint32) bool {
	if part <= w.Next {
		return part < w.Next
	}
	return w.Mask&(1<<(part-w.Next-1)) != 0
}

func (u *upload) grow(parts uint32) {
	if u.lossSeen {
		parts = min(parts, 1)
	}
	u.congestionWindow = min(u.congestionWindow+parts, maxCongestionWindow)
}

func (u *upload) halve(now clock.Millis, r *rttEstimator) {
	u.lossSeen = true
	if now-u.halvedAt < r.lossDelay() {
		return
	}
	u.windowBeforeHalving = u.congestionWindow
	u.congestionWindow, u.halvedAt = max(u.congestionWindow/2, minCongestionWindow), now
}

// detectLosses marks parts as lost when later ones arrived a round trip ago.
func (u *upload) detectLosses(now clock.Millis, r *rttEstimator) {
	for _, p := range u.window.Holes() {
		m := u.partState(p)
		if m.lost || now-m.sentAt < r.lossDelay() {
			continue
		}
		if m.resent && u.lastAckAt <= m.sentAt {
			continue // nothing was heard since: the timeout repeats it
		}
		m.lost, m.fastResend = true, true
		u.halve(now, r)
	}
}

// scheduleOwnerProbe puts off the next repeat while the owner shows life.
func (u *upload) scheduleOwnerProbe(now clock.Millis) {
	u.timerAt = now + min(initialOwnerProbeDelay<<min(u.ownerProbes, 8), maxOwnerProbeDelay)
}

// onTimer is called when the timer is due. It returns the parts to send.
func (u *upload) onTimer(now clock.Millis, r *rttEstimator) []uint32 {
	if u.window.Done() {
		u.ownerProbes = min(u.ownerProbes+1, 8)
		if u.probeUnanswered {
			u.ownerProbes = 0 // its owner may be gone: find the next one soon
		}
		u.probeUnanswered = true
		u.scheduleOwnerProbe(now)
		last := u.window.Count - 1
		*u.partState(last) = partState{sentAt: now, resent: true}
		return []uint32{last}
	}
	u.backoff = min(u.backoff+1, 10)
	missing := u.window.Missing()
	if len(missing) > 0 && u.backoff != windowResendTimeouts {
		return u.tailLossProbe(now, r, missing[len(missing)-1])
	}
	for _, p := range missing {
		u.partState(p).lost = true
	}
	u.halve(now, r)
	return u.nextParts(now, r)
}

// tailLossProbe repeats one part. Its Ack shows which of the earlier ones are lost, or
// that only the Acks were.
func (u *upload) tailLossProbe(now clock.Millis, r *rttEstimator, part uint32) []uint32 {
	*u.partState(part) = partState{sentAt: now, resent: true}
	u.timerAt = now + r.timeout(u.backoff)
	return []uint32{part}
}

// stalled reports whether nothing was heard for so long that an Ack of fewer
// parts is no late one: the owner has lost what it held.
func (u *upload) stalled(now clock.Millis, r *rttEstimator) bool {
	return now-u.progressAt > 2*r.timeout(0)
}
