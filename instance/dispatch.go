package instance

import (
	"slices"
	"strconv"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Limits of requests for permits. The caller of a waiting request that must not be
// repeated is asked for its permit shortly before a slot is expected to become free, so
// that the slot doesn't stay idle for a round trip. It isn't asked earlier, because a
// permitted request that hasn't started when the instance dies ends as unknown.
const (
	permitLead      = 20 * clock.Millisecond // before the expected end of a run
	maxPermitsAhead = 2                      // permits that may be requested beyond the number of free slots
)

// blockedTimeout is how long the jobs of a queue wait while no endpoint here is usable,
// before they are placed at another instance.
const blockedTimeout = 150 * clock.Millisecond

// dispatchController starts waiting jobs at the endpoints that this instance dispatches.
type dispatchController struct{ state *EngineState }

// fillServices starts waiting jobs of the scheduled services, and reports whether there were
// any such services.
func (c dispatchController) fillServices() bool {
	if len(c.state.toFill) == 0 {
		return false
	}
	batch := c.state.toFill
	c.state.toFill = nil
	for _, s := range batch {
		s.fillScheduled = false
		c.fill(s)
	}
	return true
}

// enqueue adds a job to the queue of its service and class.
func (st *EngineState) enqueue(j *Job) {
	if j.Work.Class == packet.ClassLong {
		j.Service.LongQueue = insertByDeadline(j.Service.LongQueue, j)
	} else {
		j.Service.ShortQueue = insertByDeadline(j.Service.ShortQueue, j)
	}
	j.Service.addDemand(j.Work.Class)
	st.scheduleFill(j.Service)
}

// insertByDeadline adds a job to a queue that is ordered by deadline, then by arrival.
func insertByDeadline(queue []*Job, j *Job) []*Job {
	index := len(queue)
	for index > 0 && queue[index-1].Work.Deadline > j.Work.Deadline {
		index--
	}
	return slices.Insert(queue, index, j)
}

// fill starts waiting jobs of a service while there are free slots for them.
func (c dispatchController) fill(s *Service) {
	if c.emptyQueue(s) {
		return
	}
	if !c.state.baselinePolicy() {
		s.ShortQueue, s.LongQueue = c.refuseLate(s, s.ShortQueue), c.refuseLate(s, s.LongQueue)
	}
	for c.startNext(s) {
	}
	c.requestPermits(s)
}

// emptyQueue empties the queues of a service if its jobs can no longer run here, and
// reports whether it did. The jobs of a deleted service are refused; otherwise those of
// flows owned here are placed again and others refused.
func (c dispatchController) emptyQueue(s *Service) bool {
	deleted := c.state.Services[s.Hash] != s
	stopping := c.state.StoppingSince != 0 && len(placementController(c).others(&Job{Service: s}, nil)) > 0
	blocked := c.blockedTime(s)
	if !deleted && !stopping && blocked < blockedTimeout {
		return false
	}
	jobs := append(s.ShortQueue, s.LongQueue...)
	s.ShortQueue, s.LongQueue = nil, nil
	if deleted {
		jobs = append(jobs, s.Deferred...)
		s.Deferred = nil
	}
	for _, j := range jobs {
		switch {
		case deleted:
			c.state.refuseJob(j, packet.ReasonService)
		case j.Request == nil && stopping:
			c.state.refuseJob(j, packet.ReasonStopping)
		case j.Request == nil:
			c.state.refuseJob(j, packet.ReasonBackend)
		default:
			c.state.unplaced = append(c.state.unplaced, j)
		}
	}
	return true
}

// blockedTime returns for how long no endpoint dispatched here has been usable. It returns
// blockedTimeout when none is dispatched here, so that jobs don't wait.
func (c dispatchController) blockedTime(s *Service) clock.Millis {
	if s.hasUsableEndpoint(c.state.Now) {
		s.BlockedSince = 0
		return 0
	}
	if len(s.Dispatched) == 0 {
		return blockedTimeout
	}
	if s.BlockedSince == 0 {
		s.BlockedSince = c.state.Now
	}
	return c.state.Now - s.BlockedSince
}

// startNext starts the next job that may run and reports whether there was one. Short
// jobs come before long ones.
func (c dispatchController) startNext(s *Service) bool {
	for _, queue := range []*[]*Job{&s.ShortQueue, &s.LongQueue} {
		j, ep := c.nextJob(s, *queue)
		if j == nil {
			continue
		}
		*queue = removeJob(*queue, j)
		s.recordStart(j.Work.Class, c.state.Now, len(*queue))
		c.startRun(j, ep)
		return true
	}
	return false
}

func removeJob(queue []*Job, j *Job) []*Job {
	return slices.DeleteFunc(queue, func(x *Job) bool { return x == j })
}

// maxSkippedJobs is how many jobs of a queue that find no free slot may be overtaken by
// later ones, which rules may allow at other endpoints.
const maxSkippedJobs = 16

// nextJob returns the first job of a queue that may start and an endpoint for it.
func (c dispatchController) nextJob(s *Service, queue []*Job) (*Job, *Endpoint) {
	skipped := 0
	for _, j := range queue {
		if !j.mayStart() {
			continue
		}
		if ep := c.chooseEndpoint(s, j); ep != nil {
			return j, ep
		}
		if skipped++; len(s.Rules) == 0 || skipped > maxSkippedJobs {
			break
		}
	}
	return nil, nil
}

// mayStart reports whether a job may start without waiting for a permit. The owner of
// the flow obtained the permit of a job that was handed over.
func (j *Job) mayStart() bool {
	return j.Request == nil || !j.Work.Once || j.Request.Permitted
}

// requestPermits requests the permits of the first waiting jobs, for as many as slots
// are free or expected to become free soon.
func (c dispatchController) requestPermits(s *Service) {
	if s.QueueLength() == 0 {
		return
	}
	slotsSoon := min(s.FreeSlots(c.state.Now)+c.endingSoon(s), s.FreeSlots(c.state.Now)+maxPermitsAhead)
	for _, queue := range [][]*Job{s.ShortQueue, s.LongQueue} {
		for _, j := range queue[:min(len(queue), slotsSoon)] {
			if !j.mayStart() && j.Request.AskedAt == 0 {
				c.state.requestPermit(j.Request)
			}
		}
	}
}

// endingSoon returns the number of runs from here that are expected to end within
// permitLead, by the mean run time of their class. Until one was measured, every run counts.
func (c dispatchController) endingSoon(s *Service) int {
	count := 0
	for _, j := range c.state.Runs {
		if j.Service != s || j.Endpoint == nil || j.Stalled {
			continue
		}
		mean := s.RunTimes[j.Work.Class]
		if mean.Samples == 0 || c.state.Now+permitLead >= j.StartedAt+clock.Millis(mean.Value) {
			count++
		}
	}
	return count
}

// chooseEndpoint returns the least utilized endpoint with a free slot for a job, or nil.
func (c dispatchController) chooseEndpoint(s *Service, j *Job) *Endpoint {
	if c.state.baselinePolicy() {
		return c.baselineEndpoint(s)
	}
	if j.Work.Class == packet.ClassLong && s.Running[packet.ClassLong] >= c.longSlots(s, j) {
		return nil
	}
	var best *Endpoint
	minUtilization := 0.0
	for _, ep := range s.allowedEndpoints(j, s.Dispatched, c.state.Now) {
		if !ep.Usable(c.state.Now) || ep.availableSlots(c.state.Now) == 0 || !c.fitsDeadline(s, j, ep) {
			continue
		}
		utilization := ep.utilization(c.state.Now)
		if j.Work.Class == packet.ClassLong && ep.RunningLong >= max(1, ep.Record.Slots-1) {
			utilization++ // prefers endpoints where long work leaves a slot for short work
		}
		if best == nil || utilization < minUtilization {
			best, minUtilization = ep, utilization
		}
	}
	return best
}

func (c dispatchController) startRun(j *Job, ep *Endpoint) {
	if c.state.Now >= j.Work.Deadline {
		c.state.refuseJob(j, packet.ReasonDeadline)
		return
	}
	j.Tries++
	j.Endpoint, j.StartedAt = ep, c.state.Now
	j.RunID = c.state.nextRunID()
	c.state.Runs[j.RunID] = j
	ep.utilization(c.state.Now)
	ep.Running++
	if j.Work.Class == packet.ClassLong {
		ep.RunningLong++
	}
	j.Service.Running[j.Work.Class]++
	c.state.emit(ObserveValue{Metric: "queue_ms", Service: j.Work.Service, Class: j.Work.Class, Value: int64(c.state.Now - j.QueuedAt)})
	c.state.emit(RunRequest{RunID: j.RunID, Endpoint: ep.Record.Address, Host: j.Service.Record.Host, Work: j.Work})
}

// runEnded frees the slot of a run and processes its result.
func (c dispatchController) runEnded(ev RunEnded) {
	j := c.state.Runs[ev.RunID]
	if j == nil {
		return
	}
	delete(c.state.Runs, ev.RunID)
	ep := j.Endpoint
	c.state.clearStalled(j)
	j.RunID, j.Endpoint = 0, nil
	ep.utilization(c.state.Now)
	ep.Running--
	if j.Work.Class == packet.ClassLong {
		ep.RunningLong--
	}
	j.Service.Running[j.Work.Class]--
	c.state.recordResult(ep, j, ev.Result)
	c.state.scheduleFill(j.Service)
	c.state.endOrRetry(j, ev.Result)
}

// endOrRetry ends a job with a result, or retries it. A job that was certainly not
// started may be retried; one that may have run only if it may be repeated.
func (st *EngineState) endOrRetry(j *Job, r Result) {
	retry := r.Outcome == OutcomeNotRun || r.Outcome == OutcomeMisrouted || (r.Outcome == OutcomeUnknown && !j.Work.Once)
	retry = retry && !j.Dropped && (j.Tries < maxTries || j.mayDefer(r)) && st.Now < j.Work.Deadline
	if r.Silent && j.Request == nil {
		retry = false // the owner of its flow may find an instance with healthier endpoints
	}
	if retry && r.Outcome == OutcomeNotRun && r.Reason == packet.ReasonBusy && !r.Shed {
		retry = j.Service.takeRetry() // another instance's queue was full
	}
	if retry && r.Outcome == OutcomeUnknown {
		retry = j.Service.takeRetry()
		j.MayHaveRun = true
	}
	if !retry {
		st.endJob(j, finalResult(r))
		return
	}
	st.emit(LogDecision{Decision: "retry", Reason: r.Reason.String(), Service: j.Work.Service, Subject: r.Detail, Level: LevelDebug})
	if j.Request != nil {
		st.unplaced = append(st.unplaced, j)
		return
	}
	st.enqueue(j)
}

// mayDefer reports whether a job may be deferred after its last try: its flow is owned
// here, it was not started, and it was not refused because of overload.
func (j *Job) mayDefer(r Result) bool {
	return j.Request != nil && r.Outcome != OutcomeUnknown && r.Reason != packet.ReasonBusy
}

// finalResult maps a result to one that can be reported to the caller, with a reason.
func finalResult(r Result) Result {
	switch {
	case r.Outcome == OutcomeMisrouted:
		r.Outcome, r.Reason = OutcomeNotRun, packet.ReasonMisrouted
	case r.Outcome == OutcomeNotRun && r.Reason == packet.ReasonNone:
		r.Reason = packet.ReasonBusy
	}
	return r
}

// takeRetry takes one retry from the service's budget and reports whether there was one.
func (s *Service) takeRetry() bool {
	if s.RetryBudget < 1 {
		return false
	}
	s.RetryBudget--
	return true
}

// dropJob ends a job that was cancelled or is past its deadline. If the job runs, it ends
// when the cancelled run has ended.
func (st *EngineState) dropJob(j *Job) {
	if j.RunID != 0 {
		if !j.Dropped {
			j.Dropped = true
			st.emit(CancelRun{RunID: j.RunID})
		}
		return
	}
	j.Dropped = true
	remove := func(other *Job) bool { return other == j }
	j.Service.ShortQueue = slices.DeleteFunc(j.Service.ShortQueue, remove)
	j.Service.LongQueue = slices.DeleteFunc(j.Service.LongQueue, remove)
	j.Service.Deferred = slices.DeleteFunc(j.Service.Deferred, remove)
	reason := packet.ReasonCancelled
	if st.Now >= j.Work.Deadline {
		reason = packet.ReasonDeadline
	}
	st.refuseJob(j, reason)
}

// expirePeriod is the time between checks of the queues for jobs past their deadline.
const expirePeriod = 50 * clock.Millisecond

// tick requests permits and, every expirePeriod, retries deferred jobs, refuses jobs of
// other instances that are past their deadline (requests of flows owned here have
// timers), and starts waiting jobs at endpoints that have become usable again.
func (c dispatchController) tick() {
	services := c.state.sortedServices()
	for _, s := range services {
		c.requestPermits(s)
	}
	if c.state.Now%expirePeriod >= TickPeriod {
		return
	}
	for _, s := range services {
		c.retryDeferred(s)
		if s.QueueLength() == 0 {
			continue
		}
		for _, j := range slices.Concat(s.ShortQueue, s.LongQueue) {
			if j.Request == nil && c.state.Now >= j.Work.Deadline {
				c.state.dropJob(j)
			}
		}
		c.state.scheduleFill(s)
	}
}

// retryDeferred places the deferred jobs again whose delay is over.
func (c dispatchController) retryDeferred(s *Service) {
	deferred := s.Deferred
	s.Deferred = nil
	for _, j := range deferred {
		if c.state.Now >= j.RetryAt {
			c.state.unplaced = append(c.state.unplaced, j)
		} else {
			s.Deferred = append(s.Deferred, j)
		}
	}
}

// requestSubject returns the name of a request in log lines: its flow and number.
func requestSubject(w *Work) string {
	return strconv.FormatUint(w.Flow, 16) + "-" + strconv.FormatUint(w.Request, 10)
}
