package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Weights in the cost of an endpoint. The endpoint with the lowest cost gets a new flow.
// They spread load that changes within seconds over endpoints of different speed.
const (
	// Cost of a pending request relative to that of an open flow. A pending request occupies
	// a slot now; an open flow does so only for part of the time.
	pendingWeight = 2.0
	// For endpoints of other data centres: the platform charges for traffic between data
	// centres, and a partition breaks the flows that cross it.
	otherCentreFactor = 30.0
	// The same while the local endpoints are congested. Requests are then answered earlier in
	// another data centre, in spite of the distance.
	spilloverFactor = 1.5
	// An endpoint that is warming up takes 1.6 times as long on the platform.
	warmupFactor = 1.6
	// Silent and ejected endpoints are chosen only if there is no other.
	avoidedFactor = 1e6
)

// Limits above which the local endpoints of a service count as congested. New flows then
// spill over to other data centres. This handles a data centre that receives the consumers
// of others or has lost most of its endpoints, while other data centres have capacity.
const (
	// How long an endpoint counts as congested after a small answer. An endpoint at capacity
	// rejects a request at once with a small answer. Instances don't see the contents, so
	// such answers matter only if minCongestedShare of the endpoints give them.
	shedWindow        = 500 * clock.Millisecond
	maxPendingPerSlot = 2.0 // pending requests per slot that this instance sees
	minCongestedShare = 0.5 // of the local endpoints
)

// Limits of the measured slowness of an endpoint.
const (
	endpointLatencyWeight = 0.08 // weight of one answer in the average; 12 answers outweigh the first one
	minSlowness           = 0.4
	maxSlowness           = 4.0
)

// load is the load and latency of an endpoint, as far as this instance sees.
type load struct {
	flows           int
	pendingRequests int
	// Moving average of the latency, in ms; 0 before the first answer.
	latency float64
	shedAt  clock.Millis // last small answer
}

// congested reports whether an endpoint seems to be at capacity.
func (s *endpointState) congested(now clock.Millis) bool {
	return s.load.shedAt != 0 && now-s.load.shedAt < shedWindow || float64(s.load.pendingRequests) > maxPendingPerSlot*float64(s.Slots)
}

// centreFactor returns the cost factor of endpoints in other data centres, given the
// endpoints of a service.
func (e *Engine) centreFactor(now clock.Millis, list []*endpointState) float64 {
	local, congested := 0, 0
	for _, s := range list {
		if s.Centre != e.settings.Centre || s.silence.avoided(now) || !e.admits(now, s) {
			continue
		}
		local++
		if s.congested(now) || e.cold(now, s) {
			congested++
		}
	}
	if local > 0 && float64(congested) >= minCongestedShare*float64(local) {
		return spilloverFactor
	}
	return otherCentreFactor
}

// update adds the latency of an answer.
func (l *load) update(latency clock.Millis) {
	if l.latency == 0 {
		l.latency = float64(latency)
		return
	}
	l.latency += endpointLatencyWeight * (float64(latency) - l.latency)
}

// place returns the endpoint of a service with the lowest cost for a new flow, or nil if
// the service has none that is admitted, or only cold ones that may not be used now. If tried isn't
// nil, the flow got no answer from that endpoint, and it is returned only if there is no other.
func (e *Engine) place(now clock.Millis, service string, tried *endpointState) *endpointState {
	list := e.directory.byService[service]
	if len(list) == 0 {
		return nil
	}
	if s := e.placeBySums(now, service, list, tried); s != nil {
		e.recordOpening(now, s)
		s.failures.nextProbationAt = now + probationInterval
		return s
	}
	mean := meanLatency(list)
	centreFactor := e.centreFactor(now, list)
	c := newChoice()
	// Random start, so that instances that see equal costs don't all choose the same
	// endpoint.
	start := int(e.random.Uint64N(uint64(len(list))))
	for i := range list {
		s := list[(start+i)%len(list)]
		if s == tried || !e.admits(now, s) {
			continue
		}
		c.offer(now, e, s, e.cost(now, s, mean, centreFactor))
	}
	best := c.best()
	if best == nil {
		best = e.onlyTried(now, list, tried)
	}
	if best == nil {
		return nil
	}
	e.recordOpening(now, best)
	best.failures.nextProbationAt = now + probationInterval
	return best
}

// cost returns the cost of placing a new flow at an endpoint.
func (e *Engine) cost(now clock.Millis, s *endpointState, mean, centreFactor float64) float64 {
	cost := (1 + float64(s.load.flows) + pendingWeight*float64(s.load.pendingRequests)) / float64(s.Slots)
	// Squared, to prefer fast endpoints while they have capacity. Load is mostly far below
	// capacity, and only fast endpoints finish long requests in time. As they fill up,
	// their latency rises and the load evens out.
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
	return cost * e.limitCost(now, s)
}

// slowness returns the latency of an endpoint relative to the mean of its service, within
// limits.
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
