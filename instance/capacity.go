package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Learning of capacity.
const (
	assumedRunTime    = 20.0 // run time of a short request before any was seen, in ms
	assumedLongFactor = 20.0 // run time of a long request in short ones before any was seen
	demandDecay       = 0.99 // share of Service.Demand that each request leaves
	minRunTime        = 0.5  // shortest run time counted, in ms
)

// shortRunTime returns the run time of a short request at an endpoint, in ms: from
// its own short answers, else from its long ones, else from its weight.
func (s *Service) shortRunTime(ep *Endpoint) float64 {
	short, long := ep.RunTimes[packet.ClassShort], ep.RunTimes[packet.ClassLong]
	switch {
	case short.Samples >= trustedSamples:
		return max(short.Value, minRunTime)
	case long.Samples > 0:
		return max(long.Value/s.longFactor(), minRunTime)
	case short.Samples > 0:
		return max(short.Value, minRunTime)
	}
	mean := assumedRunTime
	if s.RunTimes[packet.ClassShort].Samples > 0 {
		mean = s.RunTimes[packet.ClassShort].Value
	}
	return max(mean/ep.Record.Weight, minRunTime)
}

// longFactor returns the run time of a long request in short ones.
func (s *Service) longFactor() float64 {
	short, long := s.RunTimes[packet.ClassShort], s.RunTimes[packet.ClassLong]
	if short.Samples < trustedSamples || long.Samples == 0 {
		return assumedLongFactor
	}
	return max(1, long.Value/max(short.Value, minRunTime))
}

// runTime returns the expected run time of a class at an endpoint, in ms.
func (s *Service) runTime(ep *Endpoint, class packet.Class) float64 {
	if class != packet.ClassLong {
		return s.shortRunTime(ep)
	}
	if long := ep.RunTimes[packet.ClassLong]; long.Samples > 0 {
		return long.Value
	}
	return s.shortRunTime(ep) * s.longFactor()
}

// Rate returns the learnt capacity of the endpoints dispatched here that can be
// used, in short requests a ms.
func (s *Service) Rate(now clock.Millis) float64 {
	sum := 0.0
	for _, ep := range s.Dispatched {
		if ep.Usable(now) {
			sum += float64(ep.Record.Slots) / s.shortRunTime(ep)
		}
	}
	return sum
}

// addDemand counts the run time that a new job asks for.
func (s *Service) addDemand(class packet.Class) {
	for i := range s.RecentDemand {
		s.RecentDemand[i] *= demandDecay
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

// utilization returns the share of the time of the slots dispatched here that was utilization of
// late.
func (s *Service) utilization(now clock.Millis) float64 {
	sum, slots := 0.0, 0
	for _, ep := range s.Dispatched {
		if ep.Usable(now) {
			sum += ep.utilization(now) * float64(ep.Record.Slots)
			slots += ep.Record.Slots
		}
	}
	return sum / float64(max(1, slots))
}
