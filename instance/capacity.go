package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Learning of capacity.
const (
	assumedRun  = 20.0 // run time of a short request before any was seen, in ms
	assumedLong = 20.0 // run time of a long request in short ones before any was seen
	demandKept  = 0.99 // share of Service.Demand that each request leaves
	smallestRun = 0.5  // shortest run time counted, in ms
)

// shortRun returns the run time of a short request at an endpoint, in ms: from
// its own short answers, else from its long ones, else from its weight.
func (s *Service) shortRun(ep *Endpoint) float64 {
	short, long := ep.RunTimes[packet.ClassShort], ep.RunTimes[packet.ClassLong]
	switch {
	case short.Samples >= usualRuns:
		return max(short.Value, smallestRun)
	case long.Samples > 0:
		return max(long.Value/s.longFactor(), smallestRun)
	case short.Samples > 0:
		return max(short.Value, smallestRun)
	}
	usual := assumedRun
	if s.RunTimes[packet.ClassShort].Samples > 0 {
		usual = s.RunTimes[packet.ClassShort].Value
	}
	return max(usual/ep.Record.Weight, smallestRun)
}

// longFactor returns the run time of a long request in short ones.
func (s *Service) longFactor() float64 {
	short, long := s.RunTimes[packet.ClassShort], s.RunTimes[packet.ClassLong]
	if short.Samples < usualRuns || long.Samples == 0 {
		return assumedLong
	}
	return max(1, long.Value/max(short.Value, smallestRun))
}

// runTime returns the expected run time of a class at an endpoint, in ms.
func (s *Service) runTime(ep *Endpoint, class packet.Class) float64 {
	if class != packet.ClassLong {
		return s.shortRun(ep)
	}
	if long := ep.RunTimes[packet.ClassLong]; long.Samples > 0 {
		return long.Value
	}
	return s.shortRun(ep) * s.longFactor()
}

// Rate returns the learnt capacity of the endpoints dispatched here that can be
// used, in short requests a ms.
func (s *Service) Rate(now clock.Millis) float64 {
	sum := 0.0
	for _, ep := range s.Dispatched {
		if ep.Usable(now) {
			sum += float64(ep.Record.Slots) / s.shortRun(ep)
		}
	}
	return sum
}

// ask counts the run time that a new job asks for.
func (s *Service) ask(class packet.Class) {
	for i := range s.RecentDemand {
		s.RecentDemand[i] *= demandKept
	}
	if class == packet.ClassLong {
		s.RecentDemand[class] += s.longFactor()
	} else {
		s.RecentDemand[packet.ClassShort]++
	}
}

// longShare returns the share of the run time asked for that is long.
func (s *Service) longShare() float64 {
	sum := s.RecentDemand[packet.ClassShort] + s.RecentDemand[packet.ClassLong]
	if sum == 0 {
		return 0
	}
	return s.RecentDemand[packet.ClassLong] / sum
}

// used returns the share of the time of the slots dispatched here that was used of
// late.
func (s *Service) used(now clock.Millis) float64 {
	sum, slots := 0.0, 0
	for _, ep := range s.Dispatched {
		if ep.Usable(now) {
			sum += ep.usedAt(now) * float64(ep.Record.Slots)
			slots += ep.Record.Slots
		}
	}
	return sum / float64(max(1, slots))
}
