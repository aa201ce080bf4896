package caller

import "github.com/tanagerdock/tanagerdock/clock"

// Bounds of the repeat timeout.
const (
	minTimeout     = 20 * clock.Millisecond
	initialTimeout = 100 * clock.Millisecond // before any round trip was measured
	maxTimeout     = clock.Second
	minSlack       = 5 * clock.Millisecond // reordering always allowed for
)

// rtt estimates the round-trip time of a flow, in ms.
type rtt struct {
	known  bool
	smooth float64
	spread float64
	slack  clock.Millis // by how much parts were seen to be reordered
}

func (r *rtt) sample(span clock.Millis) {
	s := float64(max(span, 0))
	if !r.known {
		r.known, r.smooth, r.spread = true, s, s/2
		return
	}
	off := s - r.smooth
	r.smooth += off / 8
	if off < 0 {
		off = -off
	}
	r.spread += (off - r.spread) / 4
}

// timeout returns how long to wait for news after the given number of vain
// timeouts. Both ends act on ticks, so a round trip is only known to a TickPeriod.
func (r *rtt) timeout(backoff uint8) clock.Millis {
	base := initialTimeout
	if r.known {
		base = max(minTimeout, clock.Millis(r.smooth+max(4*r.spread, float64(TickPeriod)))+r.slack)
	}
	return min(base<<min(backoff, 10), maxTimeout)
}

// holeAge returns how old a hole must be to count as lost.
func (r *rtt) holeAge() clock.Millis {
	return clock.Millis(r.smooth+r.spread) + max(r.slack, minSlack)
}

// needless reports whether a part that was repeated span ago and is held now
// must have arrived by its first sending: the repeat cannot be back yet.
func (r *rtt) needless(span clock.Millis) bool {
	return r.known && float64(span) < r.smooth/2
}

// widen allows for more reordering after a needless repeat, up to a round trip.
func (r *rtt) widen() {
	r.slack = min(2*max(r.slack, minSlack), clock.Millis(r.smooth+r.spread))
}

// narrow allows for less after a repeat that was needed.
func (r *rtt) narrow() {
	r.slack -= r.slack / 16
}
