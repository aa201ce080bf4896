package instance

import (
	"maps"
	"math"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Choice of the instance that dispatches a request.
const (
	maxTries          = 6                      // runs and hand-overs tried for one request
	maxLoadAge        = 2 * clock.Second       // older load reports of other instances count as unknown
	minWaitGain       = 5.0                    // a job is handed over if it is expected to wait this much less there, in ms
	utilizationWait   = 200.0                  // waiting time that is added at a utilization of 1, in ms
	retriesPerRequest = 0.1                    // retries that each answered request adds to the budget
	maxRetryBudget    = 20.0                   // upper bound of the retry budget
	maxDeferral       = 3 * clock.Second       // how long a request is deferred while no instance takes it
	borrowDelay       = 1 * clock.Second       // until a deferred request may run at an endpoint that another instance dispatches
	minDeferDelay     = 50 * clock.Millisecond // first delay of a deferred request; doubles each time
	maxDeferDoublings = 3                      // doublings of the delay
	unreachableDelay  = heartbeatTimeout       // an instance to which a connection failed gets no work for this long
)

// placementController decides which instance dispatches each request: this one, or the less
// loaded of two others drawn at random when the request would wait less there.
type placementController struct{ state *EngineState }

// placeJobs places the jobs that wait for it, and reports whether there were any.
func (c placementController) placeJobs() bool {
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

func (c placementController) place(j *Job) {
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

// choose queues a job here, hands it over to another instance, defers or refuses it.
func (c placementController) choose(j *Job) {
	j.Peer = nil
	here, other := c.waitHere(j), c.drawOther(j, j.AvoidPeer)
	if c.state.baselinePolicy() || c.pinnedHere(j) {
		other = nil
	}
	noDispatcher := math.IsInf(here, 1) && other == nil
	var spillTarget *Dispatcher
	if !noDispatcher {
		spillTarget = c.chooseSpillTarget(j, c.shortestWait(j, here, other))
	}
	switch {
	case math.IsInf(here, 1) && c.borrowEndpoint(j):
	case noDispatcher && c.deferJob(j):
	case noDispatcher:
		c.state.refuseJob(j, packet.ReasonBackend)
		c.state.Report.raise(c.state.Now, conditionNoBackend, "service/"+j.Service.Record.Name, "no backend server takes work", "refused as not run")
	case spillTarget != nil:
		c.state.emit(LogDecision{Decision: "spill", Reason: "capacity", Service: j.Service.Record.Name, Subject: "instance/" + spillTarget.Member.Instance.Name, Detail: requestSubject(&j.Work), Level: LevelDebug})
		c.handOver(j, spillTarget.Member)
	case c.lateEverywhere(j, here, other):
		c.state.refuseJob(j, packet.ReasonBusy)
		c.state.Report.raise(c.state.Now, conditionOverload, "service/"+j.Service.Record.Name, "requests would wait past their deadlines", "refused as not run")
	case other != nil && c.shouldHandOver(j, other, here):
		c.handOver(j, other.Member)
	case j.Service.QueueLength() >= j.Service.Record.Queue:
		c.state.refuseJob(j, packet.ReasonBusy)
		c.state.Report.raise(c.state.Now, conditionOverload, "service/"+j.Service.Record.Name, "the queue is full", "refused as not run")
	default:
		c.state.enqueue(j)
	}
}

// shouldHandOver reports whether a job should be handed over: whether it would wait less at the
// other instance by minWaitGain. Work that must not be repeated gets its permit before it
// is handed over, and ends as unknown if either instance dies. If it doesn't start there
// at once, the gain must be at least half the mean run time.
func (c placementController) shouldHandOver(j *Job, other *Dispatcher, here float64) bool {
	there := c.waitAt(j.Service, other, j.Work.Class)
	margin := minWaitGain
	if j.Work.Once && there >= 0 {
		margin = max(margin, j.Service.RunTimes[j.Work.Class].Value/2)
	}
	return there+margin < here
}

// lateEverywhere reports whether a job is expected to miss its deadline both here and at
// the other instance.
func (c placementController) lateEverywhere(j *Job, here float64, other *Dispatcher) bool {
	if !math.IsInf(here, 1) && !c.state.expectedLate(j) {
		return false
	}
	if other == nil {
		return !math.IsInf(here, 1)
	}
	return c.waitAt(j.Service, other, j.Work.Class) > float64(j.Work.Deadline-c.state.Now)
}

// expectedLate reports whether a job that is queued here now is expected to miss its deadline, by
// the recent rate of starts and the mean run time. No job is late when the queue is empty,
// so that the averages are updated after a change.
func (st *EngineState) expectedLate(j *Job) bool {
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

// recordStart measures the time between starts of a class while jobs wait. It is capped at
// two mean run times, because longer intervals only occur while endpoints are ejected and
// don't predict the intervals after that.
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

// waitHere returns how long a job would wait here, as localWait does, or +Inf when the
// rules or the pin of its flow don't allow it to run here.
func (c placementController) waitHere(j *Job) float64 {
	s := j.Service
	if len(s.Rules) > 0 && (!s.hasEndpointFor(j.Work.Class, c.state.Now) || c.pinnedElsewhere(j)) {
		return math.Inf(1)
	}
	return c.localWait(s, j.Work.Class)
}

// pinnedHere reports whether the backend server that a job's flow is pinned to is
// dispatched here and takes work.
func (c placementController) pinnedHere(j *Job) bool {
	return j.Work.PinnedBackend != 0 && slices.ContainsFunc(j.Service.Dispatched, func(ep *Endpoint) bool {
		return ep.Usable(c.state.Now) && token.Hash(ep.Backend.Name) == j.Work.PinnedBackend
	})
}

// pinnedElsewhere reports whether the backend server that a job's flow is pinned to is
// dispatched by other instances only.
func (c placementController) pinnedElsewhere(j *Job) bool {
	pinned := j.Work.PinnedBackend
	if pinned == 0 {
		return false
	}
	hasPinned := func(d Dispatcher) bool { return d.hasEndpointOf(pinned) }
	if local := (Dispatcher{Endpoints: j.Service.Dispatched}); local.hasEndpointOf(pinned) {
		return false
	}
	return slices.ContainsFunc(c.others(j, j.AvoidPeer), hasPinned)
}

// localWait returns how long a job of a class would wait here, in ms, or +Inf when this
// instance dispatches no usable endpoint of the service. Idle slots make it negative.
func (c placementController) localWait(s *Service, class packet.Class) float64 {
	if !s.hasUsableEndpoint(c.state.Now) || (c.state.StoppingSince != 0 && len(c.others(&Job{Service: s}, nil)) > 0) {
		return math.Inf(1)
	}
	return s.queueWait(class, PeerLoad{IdleSlots: s.FreeSlots(c.state.Now), QueuedShort: len(s.ShortQueue), LongRequests: s.LongBacklog(), Rate: s.Rate(c.state.Now), Slots: s.UsableSlots(c.state.Now), Utilization: s.utilization(c.state.Now)})
}

// drawOther draws two other instances at random, weighted by capacity, and returns the one
// where a job would wait less.
func (c placementController) drawOther(j *Job, avoid *Member) *Dispatcher {
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

// others returns the other instances that a job may be handed over to: those of this data
// centre, or those of other data centres when this one has no endpoint for the job.
func (c placementController) others(j *Job, avoid *Member) []Dispatcher {
	s := j.Service
	var found []Dispatcher
	for _, d := range s.Dispatchers[c.state.Self.Instance.Centre] {
		if d.Member != c.state.Self && d.Member != avoid && d.Member.AcceptsWork() && c.state.Now >= d.Member.AvoidUntil {
			found = append(found, d)
		}
	}
	found = s.allowedDispatchers(j, found)
	if len(found) > 0 || len(s.allowedEndpoints(j, s.Dispatched, c.state.Now)) > 0 {
		return found
	}
	return c.farDispatchers(j, avoid)
}

// farDispatchers returns the instances of other data centres that a job may be handed over
// to.
func (c placementController) farDispatchers(j *Job, avoid *Member) []Dispatcher {
	var found []Dispatcher
	for _, centre := range c.farCentres(j.Service) {
		for _, d := range j.Service.Dispatchers[centre] {
			if d.Member != avoid && d.Member.AcceptsWork() && c.state.Now >= d.Member.AvoidUntil {
				found = append(found, d)
			}
		}
	}
	return j.Service.allowedDispatchers(j, found)
}

// farCentres returns the other data centres with endpoints of a service, sorted.
func (c placementController) farCentres(s *Service) []string {
	centres := slices.Sorted(maps.Keys(s.Dispatchers))
	return slices.DeleteFunc(centres, func(name string) bool { return name == c.state.Self.Instance.Centre })
}

// waitAt returns how long a job of a class would wait at another instance, in ms, by its
// latest load report, or 0 when there is no recent one.
func (c placementController) waitAt(s *Service, d *Dispatcher, class packet.Class) float64 {
	l := d.Member.Loads[s.Hash]
	if l == nil || c.state.Now-l.ReceivedAt > maxLoadAge {
		return 0
	}
	load := *l
	load.Rate, load.Slots = c.state.dispatcherRate(s, d), d.Slots
	return s.queueWait(class, load)
}

// queueWait returns how long a job of a class would wait at the given load, in ms. Long
// jobs only wait for long jobs. For short jobs, idle slots lower it, also below 0.
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

// dispatcherRate returns the capacity of a dispatcher, in short requests per ms: as
// measured there, else by slots and weights in the records.
func (st *EngineState) dispatcherRate(s *Service, d *Dispatcher) float64 {
	if d.Member == st.Self {
		if rate := s.Rate(st.Now); rate > 0 {
			return rate
		}
	}
	if l := d.Member.Loads[s.Hash]; l != nil && l.Rate > 0 {
		return l.Rate
	}
	mean := assumedRunTime
	if s.RunTimes[packet.ClassShort].Samples > 0 {
		mean = s.RunTimes[packet.ClassShort].Value
	}
	return d.Capacity / mean
}

// handOver sends a job to another instance. If the request must not be repeated, it first
// requests the caller's permit.
func (c placementController) handOver(j *Job, m *Member) {
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

// addJob counts a job that was sent to the instance after its latest load report.
func (l *PeerLoad) addJob(class packet.Class) {
	if class == packet.ClassLong {
		l.LongRequests++
		return
	}
	l.QueuedShort++
}

func (c placementController) handOverEnded(ev HandOverEnded) {
	j := c.state.Runs[ev.RunID]
	if j == nil {
		return
	}
	delete(c.state.Runs, ev.RunID)
	if ev.Result.Outcome == OutcomeNotRun && !ev.Result.Connected {
		// The instance is dead or unreachable, which heartbeats will show. The work
		// wasn't sent, so this doesn't count as a try.
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
