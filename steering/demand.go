package steering

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/demand"
)

// With the sums of package demand, an instance places a new flow by the load of its data centre
// rather than by its own share of it.
const (
	// Sums of fewer instances than this say little more than what one of them sees itself.
	MinDemandMembers = 16
	// Age of a digest in a sum beyond which the sum isn't used. Each further part of
	// a large sum comes a heartbeat later.
	maxSumAge = demand.MaxAge
	// Recent answers that an endpoint's mean latency must count to be used.
	minSumAnswers = 4
	// Share of the answers that still counts after a period, so that a mean is that of the last 2 s.
	answerDecay = 0.8
	// The new flows of this many periods are spread by the same sums. With fewer, instances fill the
	// endpoints that had room when the sums were taken again and again, as they don't see each other's
	// flows before the next ones.
	sumHorizon = 12.0
	// Cost of a pending request of another instance relative to that of an open flow. It has mostly
	// been answered when the sums arrive.
	sumPendingWeight = 0.5
	// Endpoints drawn for a new flow, the same one maybe several times. Of these, the one with the fewest flows of this instance is
	// chosen, so that an instance spreads its own flows evenly when the sums tell it little.
	sumDraws = 16
	// Answers at which an endpoint's own latency counts as much as the mean of its service.
	priorAnswers = 60.0
	// Periods in which flows may have been placed that the sums don't count yet.
	limitPeriods = 4.0
	// For endpoints that hold as many flows as they may. Any other is better, but not a silent one.
	limitFactor = 1e4
)

// DemandSummed is emitted when the watcher of the data centre sent a part of the sums.
type DemandSummed struct{ Summary demand.Summary }

func (DemandSummed) event() {}

// DemandState says how the engine uses sums, for the metrics and the log.
type DemandState struct {
	InUse   bool         // new flows are placed by sums
	Members int          // instances in the latest sum
	Age     clock.Millis // of the latest sum; 0 if there is none
	Placed  int64        // flows placed by sums since the start
	Wrong   int64        // small answers of endpoints that the sums called free
}

// dataCentreDemand holds the sums of the data centre, and what this instance reported itself.
type dataCentreDemand struct {
	number   uint64 // of the latest digest
	sums     uint64 // number of parts of sums that came
	parts    []sumPart
	services map[string]*serviceDemand
	weights  []float64 // scratch memory of drawByWeight
	members  int
	placed   int64
	wrong    int64
}

// sumPart is when the digests in a part of the sums were taken, on average.
type sumPart struct{ takenAt clock.Millis }

// serviceDemand is what is known of a service's endpoints together.
type serviceDemand struct {
	level     float64 // of fillLevel, by the sums with the number levelOf
	levelOf   uint64
	latency   float64     // mean over the endpoints of the data centre by the sums, in ms; 0 if it isn't known
	endpoints int         // of the data centre
	placed    int         // new flows of all instances in a period
	sheds     int         // refused requests that all instances saw in a period
	history   [4]ownFlows // of this instance at its latest digests, the latest first
	ownThen   int         // flows of this instance when the digests in the sums were taken
	kept      float64     // share of the flows in the sums that are still open, by this instance's own
	// Since this instance's latest digest.
	ownPlaced, ownSheds int
}

// ownFlows is how many flows this instance had at a time.
type ownFlows struct {
	at    clock.Millis
	flows int
}

// flowsAt returns the flows that this instance had at a time.
func (s *serviceDemand) flowsAt(at clock.Millis) int {
	for _, h := range s.history {
		if h.at <= at {
			return h.flows
		}
	}
	return s.history[len(s.history)-1].flows
}

// endpointDemand is the load of an endpoint in the data centre.
type endpointDemand struct {
	// By the sums, without what this instance reported.
	otherFlows, otherPending int
	latency                  float64 // mean in ms; 0 if it isn't known
	// What this instance's latest digest said.
	reportedFlows, reportedPending int
	answersBehind                  float64 // recent answers that it counts
	// Recent answers that this instance saw, and the sum of their latencies.
	answers, latencySum float64
}

// DemandWanted reports whether the configuration asks for sums: it says how many flows
// endpoints may hold.
func (e *Engine) DemandWanted() bool {
	if e.configuration == nil {
		return false
	}
	for _, s := range e.configuration.Services {
		if s.MaxFlows > 0 {
			return true
		}
	}
	return false
}

// TakeDemand returns the digest of this instance's load, in parts, and starts new counts.
func (e *Engine) TakeDemand(now clock.Millis) []demand.Digest {
	v := &e.demand
	v.number++
	var loads []demand.Load
	for t, same := range e.directory.byToken {
		if len(same) != 1 {
			continue
		}
		s := same[0]
		l := s.takeLoad()
		l.Token = uint32(t)
		if l.Flows > 0 || l.Pending > 0 || l.Answers > 0 {
			loads = append(loads, l)
		}
	}
	var services []demand.Service
	for name, s := range v.services {
		copy(s.history[1:], s.history[:])
		s.history[0] = ownFlows{now, e.countOwn(name)}
		if s.ownPlaced > 0 || s.ownSheds > 0 {
			services = append(services, demand.Service{Name: name, Placed: min(s.ownPlaced, demand.MaxCount), Sheds: min(s.ownSheds, demand.MaxCount)})
		}
		s.ownPlaced, s.ownSheds = 0, 0
	}
	return demand.NewDigest(v.number, loads, services)
}

// countOwn returns the flows that this instance has at the data centre's endpoints of a service.
func (e *Engine) countOwn(service string) (n int) {
	for _, s := range e.directory.byService[service] {
		if s.Centre == e.settings.Centre {
			n += s.load.flows
		}
	}
	return n
}

// takeLoad returns the endpoint's load at this instance, and remembers it as reported.
func (s *endpointState) takeLoad() demand.Load {
	d := &s.demand
	l := demand.Load{Flows: min(s.load.flows, demand.MaxCount), Pending: min(s.load.pendingRequests, demand.MaxCount)}
	if n := int(math.Round(d.answers)); n > 0 {
		l.Answers = min(n, demand.MaxCount)
		l.Latency = min(clock.Millis(math.Round(d.latencySum/d.answers)), demand.MaxLatency)
	}
	d.reportedFlows, d.reportedPending = l.Flows, l.Pending
	d.answers, d.latencySum = answerDecay*d.answers, answerDecay*d.latencySum
	return l
}

// applySums takes a part of the sums of the data centre.
func (e *Engine) applySums(now clock.Millis, sum *demand.Summary) {
	v := &e.demand
	if len(v.parts) != sum.Parts {
		v.parts = make([]sumPart, sum.Parts)
	}
	v.parts[sum.Part] = sumPart{now - sum.Age}
	v.members = sum.Members
	v.sums++
	for _, s := range v.services {
		s.placed, s.sheds, s.ownThen = 0, 0, s.flowsAt(now-sum.Age)
	}
	for _, s := range sum.Services {
		if len(e.directory.byService[s.Name]) > 0 {
			d := e.demandOf(s.Name)
			d.placed, d.sheds = s.Placed, s.Sheds
		}
	}
	for t, same := range e.directory.byToken {
		if demand.PartOf(uint32(t), sum.Parts) == sum.Part {
			for _, s := range same {
				s.demand.otherFlows, s.demand.otherPending, s.demand.latency = 0, 0, 0
			}
		}
	}
	for i := range sum.Loads {
		if same := e.directory.byToken[Token(sum.Loads[i].Token)]; len(same) == 1 {
			same[0].demand.applySum(&sum.Loads[i])
		}
	}
	e.updateMeans()
}

// applySum takes the sum for an endpoint. It contains the latest digest of this instance, whose
// present load is known.
func (d *endpointDemand) applySum(l *demand.Load) {
	d.otherFlows = max(l.Flows-d.reportedFlows, 0)
	d.otherPending = max(l.Pending-d.reportedPending, 0)
	if l.Answers >= minSumAnswers {
		d.latency, d.answersBehind = float64(l.Latency), float64(l.Answers)
	}
}

// updateMeans computes the mean latency of each service over its endpoints in the data centre.
func (e *Engine) updateMeans() {
	for name, list := range e.directory.byService {
		sum, n, endpoints := 0.0, 0, 0
		for _, s := range list {
			if s.Centre != e.settings.Centre {
				continue
			}
			endpoints++
			if s.demand.latency > 0 {
				sum += s.demand.latency
				n++
			}
		}
		d := e.demandOf(name)
		d.endpoints, d.latency = endpoints, sum/float64(max(n, 1))
	}
}

func (e *Engine) demandOf(service string) *serviceDemand {
	v := &e.demand
	if v.services == nil {
		v.services = map[string]*serviceDemand{}
	}
	s := v.services[service]
	if s == nil {
		s = &serviceDemand{}
		v.services[service] = s
	}
	return s
}

// sumsRecent reports whether all parts of the sums are there and young enough to be used.
func (e *Engine) sumsRecent(now clock.Millis) bool {
	v := &e.demand
	if len(v.parts) == 0 || v.members < MinDemandMembers || !e.DemandWanted() {
		return false
	}
	limit := maxSumAge + clock.Millis(len(v.parts)-1)*demand.Period
	for _, p := range v.parts {
		if now-p.takenAt > limit {
			return false
		}
	}
	return true
}

// DemandState returns how the engine uses sums.
func (e *Engine) DemandState(now clock.Millis) DemandState {
	v := &e.demand
	d := DemandState{InUse: e.sumsRecent(now), Members: v.members, Placed: v.placed, Wrong: v.wrong}
	for _, p := range v.parts {
		if p.takenAt != 0 {
			d.Age = max(d.Age, now-p.takenAt)
		}
	}
	return d
}

// placeBySums returns the endpoint for a new flow by the sums, or nil if there are no recent ones
// or none of the data centre's endpoints may be chosen. All instances have the same sums: if each
// chose the endpoint with the lowest cost, all would choose the same one. So each endpoint gets
// its share of the new flows until the next sums, by what it has below the level to which they
// fill the endpoints.
func (e *Engine) placeBySums(now clock.Millis, service string, list []*endpointState, tried *endpointState) *endpointState {
	if !e.sumsRecent(now) || e.centreFactor(now, list) == spilloverFactor {
		return nil
	}
	v, d := &e.demand, e.demandOf(service)
	v.weights = v.weights[:0]
	d.kept = min(float64(e.countOwn(service)+1)/float64(d.ownThen+1), 1)
	if d.levelOf != v.sums {
		d.levelOf, d.level = v.sums, e.fillLevel(now, list, d)
	}
	total := 0.0
	for _, s := range list {
		weight := 0.0
		if s != tried && e.maySum(now, s, d) {
			weight = s.capacity(d) * max(d.level-e.sumCost(now, s, d), 0)
		}
		total += weight
		v.weights = append(v.weights, weight)
	}
	if total == 0 {
		return nil
	}
	v.placed++
	return e.draw(list, total, d)
}

// draw draws some endpoints by the weights, and returns the one with the fewest flows of this
// instance for its capacity.
func (e *Engine) draw(list []*endpointState, total float64, d *serviceDemand) *endpointState {
	var best *endpointState
	lowest := math.Inf(1)
	for range sumDraws {
		s := list[e.drawByWeight(total)]
		if own := float64(s.load.flows) / s.capacity(d); own < lowest {
			best, lowest = s, own
		}
	}
	return best
}

// drawByWeight draws an index by the weights of placeBySums.
func (e *Engine) drawByWeight(total float64) int {
	at, last := e.random.Float64()*total, 0
	for i, w := range e.demand.weights {
		if w == 0 {
			continue
		}
		last = i
		if at -= w; at < 0 {
			break
		}
	}
	return last
}

// fillLevel returns the cost that all endpoints have when they got the new flows that are
// expected until the instances see the effect of these sums.
func (e *Engine) fillLevel(now clock.Millis, list []*endpointState, d *serviceDemand) float64 {
	flows := max(sumHorizon*float64(d.placed), 1)
	low, high := 0.0, 1.0
	for e.countBelow(now, list, d, high) < flows && high < demand.MaxCount {
		low, high = high, 2*high
	}
	for high-low > 0.01 {
		mid := (low + high) / 2
		if e.countBelow(now, list, d, mid) < flows {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// countBelow returns the number of flows that bring the endpoints up to a cost.
func (e *Engine) countBelow(now clock.Millis, list []*endpointState, d *serviceDemand, level float64) float64 {
	n := 0.0
	for _, s := range list {
		if e.maySum(now, s, d) {
			n += max(level-e.sumCost(now, s, d), 0) * s.capacity(d)
		}
	}
	return n
}

// maySum reports whether placeBySums may choose an endpoint.
func (e *Engine) maySum(now clock.Millis, s *endpointState, d *serviceDemand) bool {
	return s.Centre == e.settings.Centre && !s.silence.avoided(now) && !s.failures.excluded(now) && !e.atLimit(s, d)
}

// sumCost is the cost of a new flow by the sums and what this instance has open now.
func (e *Engine) sumCost(now clock.Millis, s *endpointState, d *serviceDemand) float64 {
	others := float64(s.demand.otherFlows) + sumPendingWeight*float64(s.demand.otherPending)
	own := float64(s.load.flows) + pendingWeight*float64(s.load.pendingRequests)
	cost := (1 + d.kept*others + own) / float64(s.Slots) * s.sumSlowness(d)
	if now < s.warmedUpAt {
		cost *= warmupFactor
	}
	return cost
}

// sumSlowness is the slowness of an endpoint by the answers that all instances saw.
func (s *endpointState) sumSlowness(d *serviceDemand) float64 {
	if s.demand.latency == 0 || d.latency == 0 {
		return 1
	}
	n := s.demand.answersBehind
	return min(max((n*s.demand.latency/d.latency+priorAnswers)/(n+priorAnswers), minSlowness), maxSlowness)
}

// capacity is the load that an endpoint bears compared with others.
func (s *endpointState) capacity(d *serviceDemand) float64 {
	return float64(s.Slots) / s.sumSlowness(d)
}

// atLimit reports whether an endpoint has as many flows by the sums as it may hold, less those
// that all instances may have placed there since or may place before the next sums.
func (e *Engine) atLimit(s *endpointState, d *serviceDemand) bool {
	limit := e.configuration.Services[s.Service].MaxFlows
	if limit == 0 {
		return false
	}
	expected := limitPeriods * float64(d.placed) / float64(max(d.endpoints, 1))
	return float64(s.demand.otherFlows+s.load.flows)+expected+2*math.Sqrt(expected) >= float64(limit)
}

// limitCost is the factor of an endpoint's cost for its limit of flows.
func (e *Engine) limitCost(now clock.Millis, s *endpointState) float64 {
	if s.Centre == e.settings.Centre && e.sumsRecent(now) && e.atLimit(s, e.demandOf(s.Service)) {
		return limitFactor
	}
	return 1
}

// recordPlaced counts a flow that this instance placed.
func (e *Engine) recordPlaced(service string) { e.demandOf(service).ownPlaced++ }

// recordShed counts a small answer. An endpoint with a free slot by the sums should give none.
func (e *Engine) recordShed(now clock.Millis, s *endpointState) {
	if e.admissionOf(s.Service) == nil {
		e.demandOf(s.Service).ownSheds++ // otherwise, recordAdmission counts it
	}
	if e.sumsRecent(now) && s.demand.otherPending+s.load.pendingRequests < s.Slots {
		e.demand.wrong++
	}
}

// recordSumLatency counts the latency of an answer for the next digest.
func (s *endpointState) recordSumLatency(latency clock.Millis) {
	s.demand.answers++
	s.demand.latencySum += float64(latency)
}
