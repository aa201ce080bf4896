package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// chooseOwner returns the owner for a new flow: of two instances drawn by their
// capacity for the service, the less loaded one.
func (st *EngineState) chooseOwner(s *Service) *Member {
	places := s.Dispatchers[st.Self.Instance.Centre]
	if len(places) == 0 {
		if st.StoppingSince != 0 {
			return st.newFlowOwner(st.random.Uint64())
		}
		return st.Self
	}
	first, second := st.drawDispatcher(s, places), st.drawDispatcher(s, places)
	if st.dispatcherScore(s, second) < st.dispatcherScore(s, first) {
		first = second
	}
	return first.Member
}

// drawDispatcher draws a place by capacity.
func (st *EngineState) drawDispatcher(s *Service, places []Dispatcher) *Dispatcher {
	sum := 0.0
	for i := range places {
		sum += st.dispatcherRate(s, &places[i])
	}
	x := st.random.Float64() * sum
	for i := range places {
		x -= st.dispatcherRate(s, &places[i])
		if x < 0 {
			return &places[i]
		}
	}
	return &places[len(places)-1]
}

func (st *EngineState) dispatcherScore(s *Service, p *Dispatcher) float64 {
	c := placeController{st}
	if p.Member == st.Self {
		return c.localWait(s, packet.ClassShort)
	}
	return c.waitAt(s, p, packet.ClassShort)
}
