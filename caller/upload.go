package caller

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// The congestion window, in parts.
const (
	initialCongestionWindow = 16
	minCongestionWindow     = 8
	maxCongestionWindow     = packet.MaskParts
)

// An owner probe is the last part sent again after the owner has acknowledged all
// parts. If the flow has a new owner meanwhile, that one answers.
const (
	initialOwnerProbeDelay = 250 * clock.Millisecond
	maxOwnerProbeDelay     = clock.Second
)

// windowResendTimeouts is the number of timeouts without progress at which all parts
// in flight count as lost. At every other timeout a single part is resent, to get an
// Ack.
const windowResendTimeouts = 2

// partState is the state of one part that was sent.
type partState struct {
	sentAt     clock.Millis // when it was last sent
	resent     bool         // sent more than once: its Ack gives no round-trip time
	lost       bool         // counts as lost and has to be resent
	fastResend bool         // lost while later parts arrived: resent even if the congestion window is full
}

// upload decides which parts of a request are sent to its owner, and when.
type upload struct {
	window              packet.Window
	congestionWindow    uint32                      // parts that may be in flight
	partStates          [packet.MaskParts]partState // of the parts from window.Next on, at index part modulo MaskParts
	lossSeen            bool                        // a part was lost, so the congestion window grows by one part per Ack at most
	halvedAt            clock.Millis                // when the congestion window was last halved
	windowBeforeHalving uint32                      // congestion window before that
	progressAt          clock.Millis                // when an Ack last reported new parts
	lastAckAt           clock.Millis                // when the last Ack arrived
	backoff             uint8                       // timeouts since the last progress
	ownerProbes         uint8                       // owner probes sent, which sets the delay of the next one
	probeUnanswered     bool                        // no Ack arrived since the latest owner probe
	timerAt             clock.Millis                // when the next timeout or owner probe is due
}

func newUpload(size int, now clock.Millis) upload {
	return upload{window: packet.Window{Count: packet.CountParts(size)}, congestionWindow: initialCongestionWindow, progressAt: now}
}

func (u *upload) partState(part uint32) *partState { return &u.partStates[part%packet.MaskParts] }

// sentWhole reports whether every part was sent at least once.
func (u *upload) sentWhole() bool { return u.window.Sent == u.window.Count }

// nextParts returns the parts to send now and records them as sent: lost ones first,
// then new ones.
func (u *upload) nextParts(now clock.Millis, r *rttEstimator) []uint32 {
	unacked := u.window.Unacknowledged()
	inFlight := uint32(0)
	for _, p := range unacked {
		if !u.partState(p).lost {
			inFlight++
		}
	}
	var parts []uint32
	for _, p := range unacked {
		s := u.partState(p)
		if s.lost && (s.fastResend || inFlight < u.congestionWindow) {
			*s = partState{sentAt: now, resent: true}
			parts = append(parts, p)
			inFlight++
		}
	}
	for _, p := range u.window.NextUnsent(u.congestionWindow) {
		*u.partState(p) = partState{sentAt: now}
		parts = append(parts, p)
	}
	if len(parts) > 0 {
		u.timerAt = now + r.timeout(u.backoff)
	}
	return parts
}

// applyAck handles an Ack: the owner has all parts below next and those in mask.
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

// measureRTT takes a round-trip sample from each part that this Ack is the first to
// report. For parts that an earlier Ack reported, the time until this one includes
// waiting for other parts.
func (u *upload) measureRTT(now clock.Millis, r *rttEstimator, before packet.Window) {
	for _, p := range before.Unacknowledged() {
		if s := u.partState(p); received(u.window, p) && !s.resent && !s.lost {
			r.sample(now - s.sentAt)
		}
	}
}

// undoHalving restores the congestion window if a resend turns out to have been
// spurious. Each resent part that arrived also adapts the reorder window.
func (u *upload) undoHalving(now clock.Millis, r *rttEstimator, before packet.Window) {
	for _, p := range before.Unacknowledged() {
		s := u.partState(p)
		switch {
		case !s.resent || !received(u.window, p):
		case r.spuriousResend(now - s.sentAt):
			r.widenReorderWindow()
			u.congestionWindow = max(u.congestionWindow, u.windowBeforeHalving)
			return
		default:
			r.narrowReorderWindow()
		}
	}
}

// received reports whether the receiver has acknowledged a part.
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

// halve halves the congestion window, at most once per lossDelay.
func (u *upload) halve(now clock.Millis, r *rttEstimator) {
	u.lossSeen = true
	if now-u.halvedAt < r.lossDelay() {
		return
	}
	u.windowBeforeHalving = u.congestionWindow
	u.congestionWindow, u.halvedAt = max(u.congestionWindow/2, minCongestionWindow), now
}

// detectLosses marks parts as lost that were sent at least lossDelay ago while later
// ones were acknowledged.
func (u *upload) detectLosses(now clock.Millis, r *rttEstimator) {
	for _, p := range u.window.Holes() {
		s := u.partState(p)
		if s.lost || now-s.sentAt < r.lossDelay() {
			continue
		}
		if s.resent && u.lastAckAt <= s.sentAt {
			continue // no Ack arrived since it was resent: left to the timeout
		}
		s.lost, s.fastResend = true, true
		u.halve(now, r)
	}
}

// scheduleOwnerProbe sets the time of the next owner probe. A packet of the owner also
// calls it, which postpones the probe.
func (u *upload) scheduleOwnerProbe(now clock.Millis) {
	u.timerAt = now + min(initialOwnerProbeDelay<<min(u.ownerProbes, 8), maxOwnerProbeDelay)
}

// onTimer handles a timeout, or a due owner probe if all parts were acknowledged. It
// returns the parts to send.
func (u *upload) onTimer(now clock.Millis, r *rttEstimator) []uint32 {
	if u.window.Done() {
		u.ownerProbes = min(u.ownerProbes+1, 8)
		if u.probeUnanswered {
			u.ownerProbes = 0 // the owner may be gone: the next probe is due soon, to find a new one
		}
		u.probeUnanswered = true
		u.scheduleOwnerProbe(now)
		last := u.window.Count - 1
		*u.partState(last) = partState{sentAt: now, resent: true}
		return []uint32{last}
	}
	u.backoff = min(u.backoff+1, 10)
	unacked := u.window.Unacknowledged()
	if len(unacked) > 0 && u.backoff != windowResendTimeouts {
		return u.tailLossProbe(now, r, unacked[len(unacked)-1])
	}
	for _, p := range unacked {
		u.partState(p).lost = true
	}
	u.halve(now, r)
	return u.nextParts(now, r)
}

// tailLossProbe resends one part. Its Ack shows which of the earlier parts are lost,
// or that only Acks were lost.
func (u *upload) tailLossProbe(now clock.Millis, r *rttEstimator, part uint32) []uint32 {
	*u.partState(part) = partState{sentAt: now, resent: true}
	u.timerAt = now + r.timeout(u.backoff)
	return []uint32{part}
}

// stalled reports whether there was no progress for so long that an Ack of fewer
// parts isn't one that was delayed in the network: the owner has lost parts.
func (u *upload) stalled(now clock.Millis, r *rttEstimator) bool {
	return now-u.progressAt > 2*r.timeout(0)
}
