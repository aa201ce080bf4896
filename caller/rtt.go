package caller

import "github.com/tanagerdock/tanagerdock/clock"

// Bounds of the repeat timeout.
const (
	minTimeout       = 20 * clock.Millisecond
	initialTimeout   = 100 * clock.Millisecond // before any round trip was measured
	maxTimeout       = clock.Second
	minReorderWindow = 5 * clock.Millisecond // reordering always allowed for
)

// rttEstimator estimates the round-trip time of a flow, in ms.
type rttEstimator struct {
	measured      bool
	smoothed      float64
	variation     float64
	reorderWindow clock.Millis // by how much parts were seen to be reordered
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

// timeout returns how long to wait for news after the given number of vain
// timeouts. Both ends act on ticks, so a round trip is only known to a TickPeriod.
func (r *rttEstimator) timeout(backoff uint8) clock.Millis {
	base := initialTimeout
	if r.measured {
		base = max(minTimeout, clock.Millis(r.smoothed+max(4*r.variation, float64(TickPeriod)))+r.reorderWindow)
	}
	return min(base<<min(backoff, 10), maxTimeout)
}

// lossDelay returns how old a hole must be to count as lost.
func (r *rttEstimator) lossDelay() clock.Millis {
	return clock.Millis(r.smoothed+r.variation) + max(r.reorderWindow, minReorderWindow)
}

// spuriousResend reports whether a part that was repeated span ago and is held now
// must have arrived by its first sending: the repeat cannot be back yet.
func (r *rttEstimator) spuriousResend(elapsed clock.Millis) bool {
	return r.measured && float64(elapsed) < r.smoothed/2
}

// widenReorderWindow allows for more reordering after a needless repeat, up to a round trip.
func (r *rttEstimator) widenReorderWindow() {
	r.reorderWindow = min(2*max(r.reorderWindow, minReorderWindow), clock.Millis(r.smoothed+r.variation))
}

// narrowReorderWindow allows for less after a repeat that was needed.
func (r *rttEstimator) narrowReorderWindow() {
	r.reorderWindow -= r.reorderWindow / 16
}
