package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Estimates of run times and capacity.
const (
	assumedRunTime    = 20.0 // run time of short requests until one was measured, in ms
	assumedLongFactor = 20.0 // ratio of long to short run times until both were measured
	demandDecay       = 0.99 // factor by which each new request scales Service.RecentDemand
	minRunTime        = 0.5  // lower bound of run times in estimates, in ms
)

// shortRunTime returns the expected run time of a short request at an endpoint, in ms:
// from its short requests, else from its long ones, else from the record's weight.
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

// longFactor returns the ratio of the run times of long and short requests.
func (s *Service) longFactor() float64 {
	short, long := s.RunTimes[packet.ClassShort], s.RunTimes[packet.ClassLong]
	if short.Samples < trustedSamples || long.Samples == 0 {
		return assumedLongFactor
	}
	return max(1, long.Value/max(short.Value, minRunTime))
}

// runTime returns the expected run time of a request of a class at an endpoint, in ms.
func (s *Service) runTime(ep *Endpoint, class packet.Class) float64 {
	if class != packet.ClassLong {
		return s.shortRunTime(ep)
	}
	if long := ep.RunTimes[packet.ClassLong]; long.Samples > 0 {
		return long.Value
	}
	return s.shortRunTime(ep) * s.longFactor()
}

// Rate returns the measured capacity of the usable endpoints that this instance
// dispatches, in short requests per ms.
func (s *Service) Rate(now clock.Millis) float64 {
	sum := 0.0
	for _, ep := range s.Dispatched {
		if ep.Usable(now) {
			sum += float64(ep.Record.Slots) / s.shortRunTime(ep)
		}
	}
	return sum
}

// addDemand adds the expected run time of a new job, in units of short run times, to
// RecentDemand.
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

// longShare returns the share of long requests in RecentDemand.
func (s *Service) longShare() float64 {
	sum := s.RecentDemand[packet.ClassShort] + s.RecentDemand[packet.ClassLong]
	if sum == 0 {
		return 0
	}
	return s.RecentDemand[packet.ClassLong] / sum
}

// utilization returns the share of the slots of the usable endpoints dispatched here that
// was in use lately.
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
