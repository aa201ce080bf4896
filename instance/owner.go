package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// chooseOwner returns the owner for a new flow: of two instances drawn by their
// capacity for the service, the less loaded one.
func (b *EngineState) chooseOwner(s *Service) *Member {
	places := s.Dispatchers[b.Self.Instance.Centre]
	if len(places) == 0 {
		if b.StoppingSince != 0 {
			return b.taker(b.random.Uint64())
		}
		return b.Self
	}
	first, second := b.drawPlace(s, places), b.drawPlace(s, places)
	if b.placeScore(s, second) < b.placeScore(s, first) {
		first = second
	}
	return first.Member
}

// drawPlace draws a place by capacity.
func (b *EngineState) drawPlace(s *Service, places []Dispatcher) *Dispatcher {
	sum := 0.0
	for i := range places {
		sum += b.placeRate(s, &places[i])
	}
	x := b.random.Float64() * sum
	for i := range places {
		x -= b.placeRate(s, &places[i])
		if x < 0 {
			return &places[i]
		}
	}
	return &places[len(places)-1]
}

func (b *EngineState) placeScore(s *Service, p *Dispatcher) float64 {
	c := placeController{b}
	if p.Member == b.Self {
		return c.local(s, packet.ClassShort)
	}
	return c.score(s, p, packet.ClassShort)
}
