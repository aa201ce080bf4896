package steering

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Weights of what makes an endpoint a worse choice. They answer demand that
// swings within seconds over endpoints of unequal speed.
const (
	// A request under way costs a newcomer its whole time; an open flow only the
	// share of time in which it has one under way.
	waitingWeight = 2.0
	// What an endpoint of another data centre has to be better by: the platform
	// charges bytes between data centres, and a cut breaks the flows that cross it.
	otherCentreFactor = 30.0
	// The same while the own endpoints are congested: then a caller is served better
	// there, at the price of the way.
	spilloverFactor = 1.5
	// An endpoint that has just started takes 1.6 times as long on the platform.
	warmupFactor = 1.6
	// A silent endpoint is chosen only when there is no other.
	avoidedFactor = 1e6
)

// When the endpoints of the own data centre count as congested. It answers a data
// centre that gets others' consumers, or has lost most of its endpoints, while those
// of the others have room.
const (
	// An endpoint without room answers so at once, in a few bytes. Nobody sees what
	// an answer says, but many such answers at many endpoints are no coincidence.
	shedWindow        = 500 * clock.Millisecond
	maxWaitingPerSlot = 2.0 // requests under way a slot that one instance sees
	minCongestedShare = 0.5 // of the endpoints
)

// Bounds and pace of what is learnt of an endpoint's speed.
const (
	endpointLatencyWeight = 0.08 // weight of one answer; a dozen answers outweigh the guess
	minSlowness           = 0.4
	maxSlowness           = 4.0
)

// load is what an endpoint has to do, as far as this daemon sees.
type load struct {
	flows   int
	waiting int // requests under way
	// Times answers took, in ms, smoothed; 0 before the first.
	latency float64
	shedAt  clock.Millis // when a small answer last came
}

// congested reports whether an endpoint has no room, as far as this daemon sees.
func (s *endpointState) congested(now clock.Millis) bool {
	return s.load.shedAt != 0 && now-s.load.shedAt < shedWindow || float64(s.load.waiting) > maxWaitingPerSlot*float64(s.Slots)
}

// centreFactor is how much worse an endpoint of another data centre is for a service.
func (e *Engine) centreFactor(now clock.Millis, list []*endpointState) float64 {
	local, congested := 0, 0
	for _, s := range list {
		if s.Centre != e.settings.Centre || s.silence.avoided(now) {
			continue
		}
		local++
		if s.congested(now) {
			congested++
		}
	}
	if local > 0 && float64(congested) >= minCongestedShare*float64(local) {
		return spilloverFactor
	}
	return otherCentreFactor
}

// update takes the time of an answer in.
func (l *load) update(took clock.Millis) {
	if l.latency == 0 {
		l.latency = float64(took)
		return
	}
	l.latency += endpointLatencyWeight * (float64(took) - l.latency)
}

// place chooses an endpoint of a service for a new flow, or nil. It leaves out
// an endpoint that has just been tried.
func (e *Engine) place(now clock.Millis, service string, tried *endpointState) *endpointState {
	list := e.directory.byService[service]
	if len(list) == 0 {
		return nil
	}
	mean := meanLatency(list)
	centreFactor := e.centreFactor(now, list)
	var best *endpointState
	minCost := math.Inf(1)
	// Each daemon starts elsewhere, so that those that know as little don't all
	// choose the same.
	start := int(e.random.Uint64N(uint64(len(list))))
	for i := range list {
		s := list[(start+i)%len(list)]
		if s == tried {
			continue
		}
		if cost := e.cost(now, s, mean, centreFactor); cost < minCost {
			best, minCost = s, cost
		}
	}
	if best == nil {
		best = list[0] // the one that has been tried
	}
	best.failures.nextProbationAt = now + probationInterval
	return best
}

// cost is what a new flow would meet at an endpoint.
func (e *Engine) cost(now clock.Millis, s *endpointState, mean, centreFactor float64) float64 {
	cost := (1 + float64(s.load.flows) + waitingWeight*float64(s.load.waiting)) / float64(s.Slots)
	// Squared, so that fast endpoints are preferred while they have room: most of the
	// time demand is far below capacity, and a long request ends in time only there.
	// Their answers take longer as they fill up, which evens it out.
	slowness := s.slowness(mean)
	cost *= slowness * slowness
	if now < s.warmedUpAt {
		cost *= warmupFactor
	}
	if s.Centre != e.settings.Centre {
		cost *= centreFactor
	}
	if s.silence.avoided(now) || s.failures.excluded(now) {
		cost *= avoidedFactor
	}
	return cost
}

// slowness is how much longer an endpoint takes than the mean of its service.
func (s *endpointState) slowness(mean float64) float64 {
	if s.load.latency == 0 || mean == 0 {
		return 1
	}
	return min(max(s.load.latency/mean, minSlowness), maxSlowness)
}

func meanLatency(list []*endpointState) float64 {
	sum, n := 0.0, 0
	for _, s := range list {
		if s.load.latency > 0 {
			sum += s.load.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
