package instance

import (
	"slices"
	"strconv"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// A waiting request is asked about when a slot is expected to come free soon, so
// that the permit is there in time. A request that is permitted and not started
// when the instance dies ends as unknown, so permits are not asked for earlier.
const (
	permitLead      = 20 * clock.Millisecond // before a run is expected to end
	maxPermitsAhead = 2                      // requests asked about beyond the free slots, at most
)

// blockedTimeout is how long a queue waits for endpoints that all rest, before its
// requests go elsewhere.
const blockedTimeout = 150 * clock.Millisecond

// dispatchController fills the slots of the endpoints this instance dispatches.
type dispatchController struct{ state *EngineState }

func (c dispatchController) run() bool {
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

// enqueue lets a job wait for a slot here.
func (st *EngineState) enqueue(j *Job) {
	if j.Work.Class == packet.ClassLong {
		j.Service.LongQueue = insertByDeadline(j.Service.LongQueue, j)
	} else {
		j.Service.ShortQueue = insertByDeadline(j.Service.ShortQueue, j)
	}
	j.Service.addDemand(j.Work.Class)
	st.scheduleFill(j.Service)
}

// insertByDeadline returns a queue with one more job, ordered by deadline and then by arrival.
func insertByDeadline(queue []*Job, j *Job) []*Job {
	index := len(queue)
	for index > 0 && queue[index-1].Work.Deadline > j.Work.Deadline {
		index--
	}
	return slices.Insert(queue, index, j)
}

// fill starts waiting jobs while there are slots for them.
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

// emptyQueue empties the queue when the jobs can no longer run here.
func (c dispatchController) emptyQueue(s *Service) bool {
	gone := c.state.Services[s.Hash] != s
	leaving := c.state.StoppingSince != 0 && len(placeController(c).others(&Job{Service: s}, nil)) > 0
	blocked := c.blockedTime(s)
	if !gone && !leaving && blocked < blockedTimeout {
		return false
	}
	jobs := append(s.ShortQueue, s.LongQueue...)
	s.ShortQueue, s.LongQueue = nil, nil
	if gone {
		jobs = append(jobs, s.Deferred...)
		s.Deferred = nil
	}
	for _, j := range jobs {
		switch {
		case gone:
			c.state.refuseJob(j, packet.ReasonService)
		case j.Request == nil && leaving:
			c.state.refuseJob(j, packet.ReasonStopping)
		case j.Request == nil:
			c.state.refuseJob(j, packet.ReasonBackend)
		default:
			c.state.unplaced = append(c.state.unplaced, j)
		}
	}
	return true
}

// blockedTime returns for how long no endpoint dispatched here could be used.
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

// startNext starts the next job that may run and reports whether there was one.
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

// maxSkippedJobs is how many jobs of a queue that find no endpoint with room are passed
// over for later ones: rules may send those elsewhere.
const maxSkippedJobs = 16

// nextJob returns the nextJob job of a queue that may start, with an endpoint for it.
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

// mayStart reports whether a job needs no further permit.
func (j *Job) mayStart() bool {
	return j.Request == nil || !j.Work.Once || j.Request.Permitted
}

// requestPermits asks the callers of the first waiting jobs for their permits, as many
// as there will be slots soon.
func (c dispatchController) requestPermits(s *Service) {
	if s.QueueLength() == 0 {
		return
	}
	soon := min(s.FreeSlots(c.state.Now)+c.endingSoon(s), s.FreeSlots(c.state.Now)+maxPermitsAhead)
	for _, queue := range [][]*Job{s.ShortQueue, s.LongQueue} {
		for _, j := range queue[:min(len(queue), soon)] {
			if !j.mayStart() && j.Request.AskedAt == 0 {
				c.state.requestPermit(j.Request)
			}
		}
	}
}

// endingSoon returns the number of runs here that are expected to end soon, by the
// usual run time of their class.
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

// chooseEndpoint returns the endpoint with room for a job that was used least of late, or
// nil.
func (c dispatchController) chooseEndpoint(s *Service, j *Job) *Endpoint {
	if c.state.baselinePolicy() {
		return c.baselineEndpoint(s)
	}
	if j.Work.Class == packet.ClassLong && s.Running[packet.ClassLong] >= c.longSlots(s, j) {
		return nil
	}
	var best *Endpoint
	bestUse := 0.0
	for _, ep := range s.allowedEndpoints(j, s.Dispatched, c.state.Now) {
		if !ep.Usable(c.state.Now) || ep.availableSlots(c.state.Now) == 0 || !c.fitsDeadline(s, j, ep) {
			continue
		}
		use := ep.utilization(c.state.Now)
		if j.Work.Class == packet.ClassLong && ep.RunningLong >= max(1, ep.Record.Slots-1) {
			use++ // the last slot of an endpoint goes to long work last
		}
		if best == nil || use < bestUse {
			best, bestUse = ep, use
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

// runEnded frees the slot of a run and passes its result on.
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

// endOrRetry ends a job, or places it again when that is safe: always when it
// certainly did not run, else only if it may be repeated.
func (st *EngineState) endOrRetry(j *Job, r Result) {
	retry := r.Outcome == OutcomeNotRun || r.Outcome == OutcomeMisrouted || (r.Outcome == OutcomeUnknown && !j.Work.Once)
	retry = retry && !j.Dropped && (j.Tries < maxTries || j.mayDefer(r)) && st.Now < j.Work.Deadline
	if r.Silent && j.Request == nil {
		retry = false // its owner may find a place that is less in doubt
	}
	if retry && r.Outcome == OutcomeNotRun && r.Reason == packet.ReasonBusy && !r.Shed {
		retry = j.Service.takeRetry() // another instance had no room
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

// mayHold reports whether a job that found no place may wait for one: its flow is
// owned here, and what refused it was not an overload.
func (j *Job) mayDefer(r Result) bool {
	return j.Request != nil && r.Outcome != OutcomeUnknown && r.Reason != packet.ReasonBusy
}

// settle gives a result that ends a job a reason the caller understands.
func finalResult(r Result) Result {
	switch {
	case r.Outcome == OutcomeMisrouted:
		r.Outcome, r.Reason = OutcomeNotRun, packet.ReasonMisrouted
	case r.Outcome == OutcomeNotRun && r.Reason == packet.ReasonNone:
		r.Reason = packet.ReasonBusy
	}
	return r
}

// spend takes one retry from the service's budget.
func (s *Service) takeRetry() bool {
	if s.RetryBudget < 1 {
		return false
	}
	s.RetryBudget--
	return true
}

// dropJob ends a job that is no longer wanted or past its deadline.
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

// expirePeriod is the time between looks for waiting jobs past their deadline.
const expirePeriod = 50 * clock.Millisecond

// tick refuses jobs of other instances that waited past their deadline; own
// requests have timers. Services are pumped since endpoints become usable again.
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

// placeHeld lets held jobs look for a place again.
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

// runSubject names a run in notes.
func runSubject(w *Work) string {
	return strconv.FormatUint(w.Flow, 16) + "-" + strconv.FormatUint(w.Request, 10)
}
