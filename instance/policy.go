package instance

import (
	"slices"
)

// Policy is the way in which work is given to endpoints. All but Learnt are there
// to be measured against.
type Policy interface{ policy() }

// LearnedCapacity is the policy of this package; see docs/LOAD.md.
type LearnedCapacity struct{}

// WeightedRandom lets each instance run the requests of its flows at endpoints
// drawn by slots times the weight of the record. Slots are not counted: work waits
// at the backend servers.
type WeightedRandom struct{}

// LeastOutstanding lets each instance run the requests of its flows at the endpoint
// with the fewest runs of its own, by slots times weight. Slots are not counted.
type LeastOutstanding struct{}

func (LearnedCapacity) policy()  {}
func (WeightedRandom) policy()   {}
func (LeastOutstanding) policy() {}

// baselinePolicy reports whether the policy runs requests where their flow is owned.
func (st *EngineState) baselinePolicy() bool {
	switch st.Settings.Policy.(type) {
	case WeightedRandom, LeastOutstanding:
		return true
	}
	return false
}

// baselineEndpoint returns the endpoint that a policy without counted slots gives a job
// to, or nil.
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
