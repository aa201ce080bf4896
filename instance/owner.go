package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// chooseOwner returns the owner of a new flow: the less loaded of two instances that are
// drawn at random, weighted by their capacity for the service. When no instance of the data
// centre dispatches an endpoint of the service, it is this instance, or, during a shutdown,
// any that accepts new flows, or nil.
func (st *EngineState) chooseOwner(s *Service) *Member {
	dispatchers := s.Dispatchers[st.Self.Instance.Centre]
	if len(dispatchers) == 0 {
		if st.StoppingSince != 0 {
			return st.newFlowOwner(st.random.Uint64())
		}
		return st.Self
	}
	first, second := st.drawDispatcher(s, dispatchers), st.drawDispatcher(s, dispatchers)
	if st.dispatcherScore(s, second) < st.dispatcherScore(s, first) {
		first = second
	}
	return first.Member
}

// drawDispatcher draws a dispatcher at random, weighted by its capacity for the service.
func (st *EngineState) drawDispatcher(s *Service, dispatchers []Dispatcher) *Dispatcher {
	sum := 0.0
	for i := range dispatchers {
		sum += st.dispatcherRate(s, &dispatchers[i])
	}
	x := st.random.Float64() * sum
	for i := range dispatchers {
		x -= st.dispatcherRate(s, &dispatchers[i])
		if x < 0 {
			return &dispatchers[i]
		}
	}
	return &dispatchers[len(dispatchers)-1]
}

func (st *EngineState) dispatcherScore(s *Service, d *Dispatcher) float64 {
	c := placementController{st}
	if d.Member == st.Self {
		return c.localWait(s, packet.ClassShort)
	}
	return c.waitAt(s, d, packet.ClassShort)
}
