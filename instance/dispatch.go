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
	askLead  = 20 * clock.Millisecond // before a run is expected to end
	askAhead = 2                      // requests asked about beyond the free slots, at most
)

// blockedLimit is how long a queue waits for endpoints that all rest, before its
// requests go elsewhere.
const blockedLimit = 150 * clock.Millisecond

// dispatchController fills the slots of the endpoints this instance dispatches.
type dispatchController struct{ b *EngineState }

func (c dispatchController) run() bool {
	if len(c.b.pumps) == 0 {
		return false
	}
	batch := c.b.pumps
	c.b.pumps = nil
	for _, s := range batch {
		s.pumping = false
		c.fill(s)
	}
	return true
}

// enqueue lets a job wait for a slot here.
func (b *EngineState) enqueue(j *Job) {
	if j.Work.Class == packet.ClassLong {
		j.Service.LongQueue = queued(j.Service.LongQueue, j)
	} else {
		j.Service.ShortQueue = queued(j.Service.ShortQueue, j)
	}
	j.Service.ask(j.Work.Class)
	b.pump(j.Service)
}

// queued returns a queue with one more job, ordered by deadline and then by arrival.
func queued(queue []*Job, j *Job) []*Job {
	at := len(queue)
	for at > 0 && queue[at-1].Work.Deadline > j.Work.Deadline {
		at--
	}
	return slices.Insert(queue, at, j)
}

// fill starts waiting jobs while there are slots for them.
func (c dispatchController) fill(s *Service) {
	if c.moveAway(s) {
		return
	}
	if !c.b.alone() {
		s.ShortQueue, s.LongQueue = c.shed(s, s.ShortQueue), c.shed(s, s.LongQueue)
	}
	for c.startOne(s) {
	}
	c.askFirst(s)
}

// moveAway empties the queue when the jobs can no longer run here.
func (c dispatchController) moveAway(s *Service) bool {
	gone := c.b.Services[s.Hash] != s
	leaving := c.b.StoppingSince != 0 && len(placeController(c).others(&Job{Service: s}, nil)) > 0
	blocked := c.blocked(s)
	if !gone && !leaving && blocked < blockedLimit {
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
			c.b.refuse(j, packet.ReasonService)
		case j.Request == nil && leaving:
			c.b.refuse(j, packet.ReasonStopping)
		case j.Request == nil:
			c.b.refuse(j, packet.ReasonBackend)
		default:
			c.b.ready = append(c.b.ready, j)
		}
	}
	return true
}

// blocked returns for how long no endpoint dispatched here could be used.
func (c dispatchController) blocked(s *Service) clock.Millis {
	if s.usable(c.b.Now) {
		s.BlockedSince = 0
		return 0
	}
	if len(s.Dispatched) == 0 {
		return blockedLimit
	}
	if s.BlockedSince == 0 {
		s.BlockedSince = c.b.Now
	}
	return c.b.Now - s.BlockedSince
}

// startOne starts the next job that may run and reports whether there was one.
func (c dispatchController) startOne(s *Service) bool {
	for _, queue := range []*[]*Job{&s.ShortQueue, &s.LongQueue} {
		j, ep := c.first(s, *queue)
		if j == nil {
			continue
		}
		*queue = without(*queue, j)
		s.started(j.Work.Class, c.b.Now, len(*queue))
		c.start(j, ep)
		return true
	}
	return false
}

func without(queue []*Job, j *Job) []*Job {
	return slices.DeleteFunc(queue, func(x *Job) bool { return x == j })
}

// lookAhead is how many jobs of a queue that find no endpoint with room are passed
// over for later ones: rules may send those elsewhere.
const lookAhead = 16

// first returns the first job of a queue that may start, with an endpoint for it.
func (c dispatchController) first(s *Service, queue []*Job) (*Job, *Endpoint) {
	passed := 0
	for _, j := range queue {
		if !j.mayStart() {
			continue
		}
		if ep := c.slot(s, j); ep != nil {
			return j, ep
		}
		if passed++; len(s.Rules) == 0 || passed > lookAhead {
			break
		}
	}
	return nil, nil
}

// mayStart reports whether a job needs no further permit.
func (j *Job) mayStart() bool {
	return j.Request == nil || !j.Work.Once || j.Request.Permitted
}

// askFirst asks the callers of the first waiting jobs for their permits, as many
// as there will be slots soon.
func (c dispatchController) askFirst(s *Service) {
	if s.QueueLength() == 0 {
		return
	}
	soon := min(s.FreeSlots(c.b.Now)+c.ending(s), s.FreeSlots(c.b.Now)+askAhead)
	for _, queue := range [][]*Job{s.ShortQueue, s.LongQueue} {
		for _, j := range queue[:min(len(queue), soon)] {
			if !j.mayStart() && j.Request.AskedAt == 0 {
				c.b.ask(j.Request)
			}
		}
	}
}

// ending returns the number of runs here that are expected to end soon, by the
// usual run time of their class.
func (c dispatchController) ending(s *Service) int {
	ending := 0
	for _, j := range c.b.Runs {
		if j.Service != s || j.Endpoint == nil || j.Stalled {
			continue
		}
		usual := s.RunTimes[j.Work.Class]
		if usual.Samples == 0 || c.b.Now+askLead >= j.StartedAt+clock.Millis(usual.Value) {
			ending++
		}
	}
	return ending
}

// slot returns the endpoint with room for a job that was used least of late, or
// nil.
func (c dispatchController) slot(s *Service, j *Job) *Endpoint {
	if c.b.alone() {
		return c.unbounded(s)
	}
	if j.Work.Class == packet.ClassLong && s.Running[packet.ClassLong] >= c.longSlots(s, j) {
		return nil
	}
	var best *Endpoint
	bestUse := 0.0
	for _, ep := range s.among(j, s.Dispatched, c.b.Now) {
		if !ep.Usable(c.b.Now) || ep.room(c.b.Now) == 0 || !c.fits(s, j, ep) {
			continue
		}
		use := ep.usedAt(c.b.Now)
		if j.Work.Class == packet.ClassLong && ep.RunningLong >= max(1, ep.Record.Slots-1) {
			use++ // the last slot of an endpoint goes to long work last
		}
		if best == nil || use < bestUse {
			best, bestUse = ep, use
		}
	}
	return best
}

func (c dispatchController) start(j *Job, ep *Endpoint) {
	if c.b.Now >= j.Work.Deadline {
		c.b.refuse(j, packet.ReasonDeadline)
		return
	}
	j.Tries++
	j.Endpoint, j.StartedAt = ep, c.b.Now
	j.RunID = c.b.nextRun()
	c.b.Runs[j.RunID] = j
	ep.usedAt(c.b.Now)
	ep.Running++
	if j.Work.Class == packet.ClassLong {
		ep.RunningLong++
	}
	j.Service.Running[j.Work.Class]++
	c.b.do(ObserveValue{Metric: "queue_ms", Service: j.Work.Service, Class: j.Work.Class, Value: int64(c.b.Now - j.QueuedAt)})
	c.b.do(RunRequest{RunID: j.RunID, Endpoint: ep.Record.Address, Host: j.Service.Record.Host, Work: j.Work})
}

// runEnded frees the slot of a run and passes its result on.
func (c dispatchController) runEnded(ev RunEnded) {
	j := c.b.Runs[ev.RunID]
	if j == nil {
		return
	}
	delete(c.b.Runs, ev.RunID)
	ep := j.Endpoint
	c.b.unstall(j)
	j.RunID, j.Endpoint = 0, nil
	ep.usedAt(c.b.Now)
	ep.Running--
	if j.Work.Class == packet.ClassLong {
		ep.RunningLong--
	}
	j.Service.Running[j.Work.Class]--
	c.b.learn(ep, j, ev.Result)
	c.b.pump(j.Service)
	c.b.resolve(j, ev.Result)
}

// resolve ends a job, or places it again when that is safe: always when it
// certainly did not run, else only if it may be repeated.
func (b *EngineState) resolve(j *Job, r Result) {
	again := r.Outcome == OutcomeNotRun || r.Outcome == OutcomeMisrouted || (r.Outcome == OutcomeUnknown && !j.Work.Once)
	again = again && !j.Dropped && (j.Tries < maxTries || j.mayHold(r)) && b.Now < j.Work.Deadline
	if r.Silent && j.Request == nil {
		again = false // its owner may find a place that is less in doubt
	}
	if again && r.Outcome == OutcomeNotRun && r.Reason == packet.ReasonBusy && !r.Shed {
		again = j.Service.spend() // another instance had no room
	}
	if again && r.Outcome == OutcomeUnknown {
		again = j.Service.spend()
		j.MayHaveRun = true
	}
	if !again {
		b.end(j, settle(r))
		return
	}
	b.do(LogDecision{Decision: "retry", Reason: r.Reason.String(), Service: j.Work.Service, Subject: r.Detail, Level: LevelDebug})
	if j.Request != nil {
		b.ready = append(b.ready, j)
		return
	}
	b.enqueue(j)
}

// mayHold reports whether a job that found no place may wait for one: its flow is
// owned here, and what refused it was not an overload.
func (j *Job) mayHold(r Result) bool {
	return j.Request != nil && r.Outcome != OutcomeUnknown && r.Reason != packet.ReasonBusy
}

// settle gives a result that ends a job a reason the caller understands.
func settle(r Result) Result {
	switch {
	case r.Outcome == OutcomeMisrouted:
		r.Outcome, r.Reason = OutcomeNotRun, packet.ReasonMisrouted
	case r.Outcome == OutcomeNotRun && r.Reason == packet.ReasonNone:
		r.Reason = packet.ReasonBusy
	}
	return r
}

// spend takes one retry from the service's budget.
func (s *Service) spend() bool {
	if s.RetryBudget < 1 {
		return false
	}
	s.RetryBudget--
	return true
}

// dropJob ends a job that is no longer wanted or past its deadline.
func (b *EngineState) dropJob(j *Job) {
	if j.RunID != 0 {
		if !j.Dropped {
			j.Dropped = true
			b.do(CancelRun{RunID: j.RunID})
		}
		return
	}
	j.Dropped = true
	remove := func(other *Job) bool { return other == j }
	j.Service.ShortQueue = slices.DeleteFunc(j.Service.ShortQueue, remove)
	j.Service.LongQueue = slices.DeleteFunc(j.Service.LongQueue, remove)
	j.Service.Deferred = slices.DeleteFunc(j.Service.Deferred, remove)
	reason := packet.ReasonCancelled
	if b.Now >= j.Work.Deadline {
		reason = packet.ReasonDeadline
	}
	b.refuse(j, reason)
}

// expirePeriod is the time between looks for waiting jobs past their deadline.
const expirePeriod = 50 * clock.Millisecond

// tick refuses jobs of other instances that waited past their deadline; own
// requests have timers. Services are pumped since endpoints become usable again.
func (c dispatchController) tick() {
	services := c.b.sortedServices()
	for _, s := range services {
		c.askFirst(s)
	}
	if c.b.Now%expirePeriod >= TickPeriod {
		return
	}
	for _, s := range services {
		c.placeHeld(s)
		if s.QueueLength() == 0 {
			continue
		}
		for _, j := range slices.Concat(s.ShortQueue, s.LongQueue) {
			if j.Request == nil && c.b.Now >= j.Work.Deadline {
				c.b.dropJob(j)
			}
		}
		c.b.pump(s)
	}
}

// placeHeld lets held jobs look for a place again.
func (c dispatchController) placeHeld(s *Service) {
	held := s.Deferred
	s.Deferred = nil
	for _, j := range held {
		if c.b.Now >= j.RetryAt {
			c.b.ready = append(c.b.ready, j)
		} else {
			s.Deferred = append(s.Deferred, j)
		}
	}
}

// runSubject names a run in notes.
func runSubject(w *Work) string {
	return strconv.FormatUint(w.Flow, 16) + "-" + strconv.FormatUint(w.Request, 10)
}
