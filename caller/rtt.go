package caller

import "github.com/tanagerdock/tanagerdock/clock"

// Bounds of the repeat timeout.
const (
	minTimeout   = 20 * clock.Millisecond
	firstTimeout = 100 * clock.Millisecond // before any round trip was measured
	maxTimeout   = clock.Second
	minHoleAge   = 5 * clock.Millisecond // a younger hole may be a reordered part
)

// rtt estimates the round-trip time of a flow, in ms.
type rtt struct {
	known  bool
	smooth float64
	spread float64
	least  float64 // shortest of late: a lost Ack makes a trip look long, never short
}

// leastGrowth lets the shortest trip grow with each sample, for paths that have
// become longer.
const leastGrowth = 1.02

func (r *rtt) sample(span clock.Millis) {
	s := float64(max(span, 0))
	if !r.known {
		r.known, r.smooth, r.spread, r.least = true, s, s/2, s
		return
	}
	r.least = min(s, max(r.least, 1)*leastGrowth)
	off := s - r.smooth
	r.smooth += off / 8
	if off < 0 {
		off = -off
	}
	r.spread += (off - r.spread) / 4
}

// timeout returns how long to wait for news after the given number of vain
// timeouts.
func (r *rtt) timeout(backoff uint8) clock.Millis {
	base := firstTimeout
	if r.known {
		base = max(minTimeout, clock.Millis(r.smooth+4*r.spread))
	}
	return min(base<<min(backoff, 10), maxTimeout)
}

// holeAge returns how old a hole must be to be repeated.
func (r *rtt) holeAge() clock.Millis {
	return max(minHoleAge, clock.Millis(2*r.least))
}
