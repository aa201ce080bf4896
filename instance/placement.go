package instance

import (
	"maps"
	"math"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Choice of the instance that runs a request.
const (
	maxTries          = 6                      // places tried for one request
	maxLoadAge        = 2 * clock.Second       // older queue states of others count as unknown
	minWaitGain       = 5.0                    // ms of waiting by which another must be shorter
	utilizationWait   = 200.0                  // ms of waiting that slots in use all of the time count as
	retriesPerRequest = 0.1                    // retries allowed per request
	maxRetryBudget    = 20.0                   // retries saved up at most
	maxDeferral       = 3 * clock.Second       // how long a request is held while no place takes it
	borrowDelay       = 1 * clock.Second       // until a held request runs at an endpoint of another instance
	minDeferDelay     = 50 * clock.Millisecond // between tries to place a held request; doubles
	maxDeferDoublings = 3                      // doublings
	unreachableDelay  = heartbeatTimeout       // an instance that refused a connection gets no work for so long
)

// placeController decides which instance runs each whole request: this one, when
// it dispatches endpoints of the service with room, or the less loaded of two
// others.
type placeController struct{ state *EngineState }

func (c placeController) run() bool {
	if len(c.state.unplaced) == 0 {
		return false
	}
	batch := c.state.unplaced
	c.state.unplaced = nil
	for _, j := range batch {
		c.place(j)
	}
	return true
}

func (c placeController) place(j *Job) {
	switch {
	case j.Dropped:
		c.state.refuseJob(j, packet.ReasonCancelled)
	case c.state.Now >= j.Work.Deadline:
		c.state.refuseJob(j, packet.ReasonDeadline)
	case c.state.Services[j.Service.Hash] != j.Service:
		c.state.refuseJob(j, packet.ReasonService)
	case j.Peer != nil && j.Peer.AcceptsWork() && c.state.Now >= j.Peer.AvoidUntil:
		c.handOver(j, j.Peer)
	case j.Tries >= maxTries && c.deferJob(j):
	case j.Tries >= maxTries:
		c.state.refuseJob(j, packet.ReasonBusy)
	default:
		c.choose(j)
	}
}

// choose places a job here or at another instance.
func (c placeController) choose(j *Job) {
	j.Peer = nil
	here, other := c.waitHere(j), c.drawOther(j, j.AvoidPeer)
	if c.state.baselinePolicy() || c.pinnedHere(j) {
		other = nil
	}
	nowhere := math.IsInf(here, 1) && other == nil
	var far *Dispatcher
	if !nowhere {
		far = c.chooseSpillTarget(j, c.shortestWait(j, here, other))
	}
	switch {
	case math.IsInf(here, 1) && c.borrowEndpoint(j):
	case nowhere && c.deferJob(j):
	case nowhere:
		c.state.refuseJob(j, packet.ReasonBackend)
		c.state.Report.raise(c.state.Now, conditionNoBackend, "service/"+j.Service.Record.Name, "no backend server takes work", "refused as not run")
	case far != nil:
		c.state.emit(LogDecision{Decision: "spill", Reason: "capacity", Service: j.Service.Record.Name, Subject: "instance/" + far.Member.Instance.Name, Detail: runSubject(&j.Work), Level: LevelDebug})
		c.handOver(j, far.Member)
	case c.lateEverywhere(j, here, other):
		c.state.refuseJob(j, packet.ReasonBusy)
		c.state.Report.raise(c.state.Now, conditionOverload, "service/"+j.Service.Record.Name, "requests would wait past their deadlines", "refused as not run")
	case other != nil && c.better(j, other, here):
		c.handOver(j, other.Member)
	case j.Service.QueueLength() >= j.Service.Record.Queue:
		c.state.refuseJob(j, packet.ReasonBusy)
		c.state.Report.raise(c.state.Now, conditionOverload, "service/"+j.Service.Record.Name, "the queue is full", "refused as not run")
	default:
		c.state.enqueue(j)
	}
}

// better reports whether another instance is enough of a better place than this
// one. Work that must not be repeated is permitted before it is handed over, and is
// lost to either instance's death: it goes where it starts at once, or sooner by
// half a usual run.
func (c placeController) better(j *Job, other *Dispatcher, here float64) bool {
	there := c.waitAt(j.Service, other, j.Work.Class)
	margin := minWaitGain
	if j.Work.Once && there >= 0 {
		margin = max(margin, j.Service.RunTimes[j.Work.Class].Value/2)
	}
	return there+margin < here
}

// hopeless reports whether a job would wait past its deadline wherever it goes.
func (c placeController) lateEverywhere(j *Job, here float64, other *Dispatcher) bool {
	if !math.IsInf(here, 1) && !c.state.late(j) {
		return false
	}
	if other == nil {
		return !math.IsInf(here, 1)
	}
	return c.waitAt(j.Service, other, j.Work.Class) > float64(j.Work.Deadline-c.state.Now)
}

// late reports whether a job that joined the queue here now would start too late
// to end by its deadline, going by the starts of late. Nothing is late when no job
// waits, so that what changed is learnt.
func (st *EngineState) late(j *Job) bool {
	s, class := j.Service, j.Work.Class
	waiting := len(s.ShortQueue)
	if class == packet.ClassLong {
		waiting = len(s.LongQueue)
	}
	if waiting == 0 || s.StartIntervals[class].Samples < trustedSamples || s.RunTimes[class].Samples < trustedSamples {
		return false
	}
	expected := float64(waiting)*s.StartIntervals[class].Value + deadlineFitFactor*s.RunTimes[class].Value
	return st.Now+clock.Millis(expected) > j.Work.Deadline
}

// started learns how long it takes from one start of a class to the next while
// jobs wait. Longer than two usual runs it only takes while endpoints can't be
// used, which says nothing about the time after.
func (s *Service) recordStart(class packet.Class, now clock.Millis, waiting int) {
	if s.LastStart[class] != 0 && waiting > 0 {
		maxInterval := 2 * max(s.RunTimes[packet.ClassShort].Value, s.RunTimes[packet.ClassLong].Value)
		if interval := float64(now - s.LastStart[class]); maxInterval > 0 {
			s.StartIntervals[class].Add(min(interval, maxInterval))
		}
	}
	s.LastStart[class] = now
	if waiting == 0 {
		s.LastStart[class] = 0
	}
}

// here returns how long a job would wait here, as local does, or +Inf when it may
// not run here: the rules, or its flow's pin, send it elsewhere.
func (c placeController) waitHere(j *Job) float64 {
	s := j.Service
	if len(s.Rules) > 0 && (!s.hasEndpointFor(j.Work.Class, c.state.Now) || c.pinnedElsewhere(j)) {
		return math.Inf(1)
	}
	return c.localWait(s, j.Work.Class)
}

// pinnedHere reports whether the backend server that a job's flow is pinned to is
// dispatched here and takes work.
func (c placeController) pinnedHere(j *Job) bool {
	return j.Work.PinnedBackend != 0 && slices.ContainsFunc(j.Service.Dispatched, func(ep *Endpoint) bool {
		return ep.Usable(c.state.Now) && token.Hash(ep.Backend.Name) == j.Work.PinnedBackend
	})
}

// pinnedAway reports whether the backend server that a job's flow is pinned to is
// dispatched by others only.
func (c placeController) pinnedElsewhere(j *Job) bool {
	pinned := j.Work.PinnedBackend
	if pinned == 0 {
		return false
	}
	hasPinned := func(p Dispatcher) bool { return p.hasEndpointOf(pinned) }
	if mine := (Dispatcher{Endpoints: j.Service.Dispatched}); mine.hasEndpointOf(pinned) {
		return false
	}
	return slices.ContainsFunc(c.others(j, j.AvoidPeer), hasPinned)
}

// local returns how long a job of a class would wait here, in ms, or +Inf when
// this instance dispatches no endpoint of the service that can be used. Idle slots
// count as negative waiting.
func (c placeController) localWait(s *Service, class packet.Class) float64 {
	if !s.hasUsableEndpoint(c.state.Now) || (c.state.StoppingSince != 0 && len(c.others(&Job{Service: s}, nil)) > 0) {
		return math.Inf(1)
	}
	return s.queueWait(class, PeerLoad{IdleSlots: s.FreeSlots(c.state.Now), QueuedShort: len(s.ShortQueue), LongRequests: s.LongBacklog(), Rate: s.Rate(c.state.Now), Slots: s.UsableSlots(c.state.Now), Utilization: s.utilization(c.state.Now)})
}

// shorter draws two other instances by their capacity and returns the one where a
// job would wait less.
func (c placeController) drawOther(j *Job, avoid *Member) *Dispatcher {
	others := c.others(j, avoid)
	if len(others) == 0 {
		return nil
	}
	best, second := c.state.drawDispatcher(j.Service, others), c.state.drawDispatcher(j.Service, others)
	if c.waitAt(j.Service, second, j.Work.Class) < c.waitAt(j.Service, best, j.Work.Class) {
		best = second
	}
	return best
}

// others returns the other instances that dispatch endpoints of a service in
// this data centre, or in others when there are none here or a rule allows it.
func (c placeController) others(j *Job, avoid *Member) []Dispatcher {
	s := j.Service
	var found []Dispatcher
	for _, p := range s.Dispatchers[c.state.Self.Instance.Centre] {
		if p.Member != c.state.Self && p.Member != avoid && p.Member.AcceptsWork() && c.state.Now >= p.Member.AvoidUntil {
			found = append(found, p)
		}
	}
	found = s.allowedDispatchers(j, found)
	if len(found) > 0 || len(s.allowedEndpoints(j, s.Dispatched, c.state.Now)) > 0 {
		return found
	}
	return c.farDispatchers(j, avoid)
}

// far returns the instances of other data centres that a job may go to.
func (c placeController) farDispatchers(j *Job, avoid *Member) []Dispatcher {
	var found []Dispatcher
	for _, centre := range c.farCentres(j.Service) {
		for _, p := range j.Service.Dispatchers[centre] {
			if p.Member != avoid && p.Member.AcceptsWork() && c.state.Now >= p.Member.AvoidUntil {
				found = append(found, p)
			}
		}
	}
	return j.Service.allowedDispatchers(j, found)
}

// farCentres returns the other data centres with endpoints of a service, sorted.
func (c placeController) farCentres(s *Service) []string {
	centres := slices.Sorted(maps.Keys(s.Dispatchers))
	return slices.DeleteFunc(centres, func(name string) bool { return name == c.state.Self.Instance.Centre })
}

// score returns how long a job of a class would wait at another instance, in ms,
// as last heard.
func (c placeController) waitAt(s *Service, p *Dispatcher, class packet.Class) float64 {
	l := p.Member.Loads[s.Hash]
	if l == nil || c.state.Now-l.ReceivedAt > maxLoadAge {
		return 0
	}
	load := *l
	load.Rate, load.Slots = c.state.dispatcherRate(s, p), p.Slots
	return s.queueWait(class, load)
}

// waiting returns how long a job of a class would wait in a queue, in ms. Long
// work waits for long work only.
func (s *Service) queueWait(class packet.Class, l PeerLoad) float64 {
	rate := max(l.Rate, 1/loadRatePeriod)
	if class == packet.ClassLong {
		return float64(l.LongRequests+1)*s.longFactor()/rate + utilizationWait*l.Utilization*s.longFactor()
	}
	if idle := l.IdleSlots - l.QueuedShort; idle > 0 {
		return utilizationWait*l.Utilization - assumedRunTime*float64(idle)/float64(max(1, l.Slots))
	}
	return utilizationWait*l.Utilization + float64(l.QueuedShort+1-l.IdleSlots)/rate
}

// placeRate returns the capacity of a place, in short requests a ms: as learnt
// there, else as the records say.
func (st *EngineState) dispatcherRate(s *Service, p *Dispatcher) float64 {
	if p.Member == st.Self {
		if rate := s.Rate(st.Now); rate > 0 {
			return rate
		}
	}
	if l := p.Member.Loads[s.Hash]; l != nil && l.Rate > 0 {
		return l.Rate
	}
	mean := assumedRunTime
	if s.RunTimes[packet.ClassShort].Samples > 0 {
		mean = s.RunTimes[packet.ClassShort].Value
	}
	return p.Capacity / mean
}

// handOver sends a job to another instance, after the caller's permit if the
// request must not be repeated.
func (c placeController) handOver(j *Job, m *Member) {
	j.Peer = m
	if j.Work.Once && !j.Request.Permitted {
		c.state.requestPermit(j.Request)
		return
	}
	j.Tries++
	j.RunID = c.state.nextRunID()
	j.StartedAt = c.state.Now
	c.state.Runs[j.RunID] = j
	if l := m.Loads[j.Service.Hash]; l != nil {
		l.addJob(j.Work.Class)
	}
	c.state.emit(HandOver{RunID: j.RunID, Peer: m.Instance.Name, ControlAddress: m.Instance.ControlAddress, Work: j.Work})
	c.state.forwardedTo = append(c.state.forwardedTo, m)
}

// add counts work sent to an instance since its queue state was heard.
func (l *PeerLoad) addJob(class packet.Class) {
	if class == packet.ClassLong {
		l.LongRequests++
		return
	}
	l.QueuedShort++
}

func (c placeController) handOverEnded(ev HandOverEnded) {
	j := c.state.Runs[ev.RunID]
	if j == nil {
		return
	}
	delete(c.state.Runs, ev.RunID)
	if ev.Result.Outcome == OutcomeNotRun && !ev.Result.Connected {
		// Its process is gone or cut off: heartbeats find out which, and this
		// was no try.
		j.Tries--
		j.Peer.AvoidUntil = c.state.Now + unreachableDelay
		c.state.unreachable = append(c.state.unreachable, j.Peer)
	}
	if ev.Result.Outcome == OutcomeAnswered {
		j.Service.RetryBudget = min(j.Service.RetryBudget+retriesPerRequest, maxRetryBudget)
		c.recordHandOverCost(j, j.Peer)
	}
	j.RunID, j.AvoidPeer, j.Peer = 0, j.Peer, nil
	c.state.endOrRetry(j, ev.Result)
}
