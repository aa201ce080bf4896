package instance

import (
	"slices"
)

// Policy selects how work is distributed among endpoints. All but LearnedCapacity are
// baselines for measurements.
type Policy interface{ policy() }

// LearnedCapacity distributes work by the measured capacity of endpoints. It is the
// policy for production; see docs/LOAD.md.
type LearnedCapacity struct{}

// WeightedRandom lets each instance send the requests of its flows to endpoints drawn
// at random, weighted by slots times the weight in the record. It ignores how many
// slots are in use, so that requests queue at the backend servers.
type WeightedRandom struct{}

// LeastOutstanding lets each instance send the requests of its flows to the endpoint
// with the fewest runs from this instance, relative to slots times weight. It doesn't
// wait for a free slot.
type LeastOutstanding struct{}

func (LearnedCapacity) policy()  {}
func (WeightedRandom) policy()   {}
func (LeastOutstanding) policy() {}

// baselinePolicy reports whether a baseline policy is in use. Requests are then
// dispatched by the owner of their flow and never handed over.
func (st *EngineState) baselinePolicy() bool {
	switch st.Settings.Policy.(type) {
	case WeightedRandom, LeastOutstanding:
		return true
	}
	return false
}

// baselineEndpoint returns the endpoint that a baseline policy selects for a job, or
// nil when none is usable.
func (c dispatchController) baselineEndpoint(s *Service) *Endpoint {
	usable := slices.DeleteFunc(slices.Clone(s.Dispatched), func(ep *Endpoint) bool { return !ep.Usable(c.state.Now) })
	if len(usable) == 0 {
		return nil
	}
	if _, random := c.state.Settings.Policy.(WeightedRandom); random {
		return c.drawEndpoint(usable)
	}
	best := usable[0]
	for _, ep := range usable[1:] {
		if float64(ep.Running+1)/ep.Capacity() < float64(best.Running+1)/best.Capacity() {
			best = ep
		}
	}
	return best
}

func (c dispatchController) drawEndpoint(usable []*Endpoint) *Endpoint {
	sum := 0.0
	for _, ep := range usable {
		sum += ep.Capacity()
	}
	x := c.state.random.Float64() * sum
	for _, ep := range usable {
		x -= ep.Capacity()
		if x < 0 {
			return ep
		}
	}
	return usable[len(usable)-1]
}
