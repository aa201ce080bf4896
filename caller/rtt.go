package caller

import "github.com/tanagerdock/tanagerdock/clock"

// Bounds of the retransmission timeout and of the reorder window.
const (
	minTimeout       = 20 * clock.Millisecond
	initialTimeout   = 100 * clock.Millisecond // before a round trip was measured
	maxTimeout       = clock.Second
	minReorderWindow = 5 * clock.Millisecond // reordering that is always tolerated
)

// rttEstimator estimates the round-trip time of a flow in ms, and how far the
// network reorders its packets.
type rttEstimator struct {
	measured      bool
	smoothed      float64      // moving average of the samples
	variation     float64      // moving average of their deviation
	reorderWindow clock.Millis // how late a part may arrive before it counts as lost
}

func (r *rttEstimator) sample(elapsed clock.Millis) {
	millis := float64(max(elapsed, 0))
	if !r.measured {
		r.measured, r.smoothed, r.variation = true, millis, millis/2
		return
	}
	deviation := millis - r.smoothed
	r.smoothed += deviation / 8
	if deviation < 0 {
		deviation = -deviation
	}
	r.variation += (deviation - r.variation) / 4
}

// timeout returns the retransmission timeout after a number of timeouts without
// progress; each doubles it. It exceeds the round-trip time by a TickPeriod or more:
// both ends act on ticks, so a measured round trip is no more precise than that.
func (r *rttEstimator) timeout(backoff uint8) clock.Millis {
	base := initialTimeout
	if r.measured {
		base = max(minTimeout, clock.Millis(r.smoothed+max(4*r.variation, float64(TickPeriod)))+r.reorderWindow)
	}
	return min(base<<min(backoff, 10), maxTimeout)
}

// lossDelay returns how long after its sending a part counts as lost, if a later part
// was acknowledged.
func (r *rttEstimator) lossDelay() clock.Millis {
	return clock.Millis(r.smoothed+r.variation) + max(r.reorderWindow, minReorderWindow)
}

// spuriousResend reports whether the Ack of a part that was resent elapsed ago must
// be for an earlier sending: an Ack of the resent part takes longer.
func (r *rttEstimator) spuriousResend(elapsed clock.Millis) bool {
	return r.measured && float64(elapsed) < r.smoothed/2
}

// widenReorderWindow tolerates more reordering after a spurious resend, up to a
// round trip.
func (r *rttEstimator) widenReorderWindow() {
	r.reorderWindow = min(2*max(r.reorderWindow, minReorderWindow), clock.Millis(r.smoothed+r.variation))
}

// narrowReorderWindow tolerates less reordering after a resend that was needed.
func (r *rttEstimator) narrowReorderWindow() {
	r.reorderWindow -= r.reorderWindow / 16
}
