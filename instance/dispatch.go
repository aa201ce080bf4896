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
type dispatchController struct{ b *Board }

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
func (b *Board) enqueue(j *Job) {
	if j.Work.Class == packet.ClassLong {
		j.Service.Long = queued(j.Service.Long, j)
	} else {
		j.Service.Short = queued(j.Service.Short, j)
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
		s.Short, s.Long = c.shed(s, s.Short), c.shed(s, s.Long)
	}
	for c.startOne(s) {
	}
	c.askFirst(s)
}

// moveAway empties the queue when the jobs can no longer run here.
func (c dispatchController) moveAway(s *Service) bool {
	gone := c.b.Services[s.Hash] != s
	leaving := c.b.Stopping != 0 && len(placeController(c).others(&Job{Service: s}, nil)) > 0
	blocked := c.blocked(s)
	if !gone && !leaving && blocked < blockedLimit {
		return false
	}
	jobs := append(s.Short, s.Long...)
	s.Short, s.Long = nil, nil
	if gone {
		jobs = append(jobs, s.Held...)
		s.Held = nil
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
		s.Blocked = 0
		return 0
	}
	if len(s.Mine) == 0 {
		return blockedLimit
	}
	if s.Blocked == 0 {
		s.Blocked = c.b.Now
	}
	return c.b.Now - s.Blocked
}

// startOne starts the next job that may run and reports whether there was one.
func (c dispatchController) startOne(s *Service) bool {
	for _, queue := range []*[]*Job{&s.Short, &s.Long} {
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
	return j.Request == nil || !j.Work.Once || j.Request.Granted
}

// askFirst asks the callers of the first waiting jobs for their permits, as many
// as there will be slots soon.
func (c dispatchController) askFirst(s *Service) {
	if s.Waiting() == 0 {
		return
	}
	soon := min(s.Free(c.b.Now)+c.ending(s), s.Free(c.b.Now)+askAhead)
	for _, queue := range [][]*Job{s.Short, s.Long} {
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
		if j.Service != s || j.At == nil || j.Stalled {
			continue
		}
		usual := s.Times[j.Work.Class]
		if usual.Count == 0 || c.b.Now+askLead >= j.Begun+clock.Millis(usual.Value) {
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
	for _, ep := range s.among(j, s.Mine, c.b.Now) {
		if !ep.Usable(c.b.Now) || ep.room(c.b.Now) == 0 || !c.fits(s, j, ep) {
			continue
		}
		use := ep.usedAt(c.b.Now)
		if j.Work.Class == packet.ClassLong && ep.BusyLong >= max(1, ep.Record.Slots-1) {
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
	j.At, j.Begun = ep, c.b.Now
	j.Run = c.b.nextRun()
	c.b.Runs[j.Run] = j
	ep.usedAt(c.b.Now)
	ep.Busy++
	if j.Work.Class == packet.ClassLong {
		ep.BusyLong++
	}
	j.Service.Running[j.Work.Class]++
	c.b.do(Observe{Metric: "queue_ms", Service: j.Work.Service, Class: j.Work.Class, Value: int64(c.b.Now - j.Queued)})
	c.b.do(RunRequest{Run: j.Run, Endpoint: ep.Record.Address, Host: j.Service.Record.Host, Work: j.Work})
}

// runEnded frees the slot of a run and passes its result on.
func (c dispatchController) runEnded(ev RunEnded) {
	j := c.b.Runs[ev.Run]
	if j == nil {
		return
	}
	delete(c.b.Runs, ev.Run)
	ep := j.At
	c.b.unstall(j)
	j.Run, j.At = 0, nil
	ep.usedAt(c.b.Now)
	ep.Busy--
	if j.Work.Class == packet.ClassLong {
		ep.BusyLong--
	}
	j.Service.Running[j.Work.Class]--
	c.b.learn(ep, j, ev.Result)
	c.b.pump(j.Service)
	c.b.resolve(j, ev.Result)
}

// resolve ends a job, or places it again when that is safe: always when it
// certainly did not run, else only if it may be repeated.
func (b *Board) resolve(j *Job, r Result) {
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
		j.Doubt = true
	}
	if !again {
		b.end(j, settle(r))
		return
	}
	b.do(Note{Decision: "retry", Reason: r.Reason.String(), Service: j.Work.Service, Subject: r.Detail, Level: LevelDebug})
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
	if s.Budget < 1 {
		return false
	}
	s.Budget--
	return true
}

// dropJob ends a job that is no longer wanted or past its deadline.
func (b *Board) dropJob(j *Job) {
	if j.Run != 0 {
		if !j.Dropped {
			j.Dropped = true
			b.do(CancelRun{Run: j.Run})
		}
		return
	}
	j.Dropped = true
	remove := func(other *Job) bool { return other == j }
	j.Service.Short = slices.DeleteFunc(j.Service.Short, remove)
	j.Service.Long = slices.DeleteFunc(j.Service.Long, remove)
	j.Service.Held = slices.DeleteFunc(j.Service.Held, remove)
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
		if s.Waiting() == 0 {
			continue
		}
		for _, j := range slices.Concat(s.Short, s.Long) {
			if j.Request == nil && c.b.Now >= j.Work.Deadline {
				c.b.dropJob(j)
			}
		}
		c.b.pump(s)
	}
}

// placeHeld lets held jobs look for a place again.
func (c dispatchController) placeHeld(s *Service) {
	held := s.Held
	s.Held = nil
	for _, j := range held {
		if c.b.Now >= j.Again {
			c.b.ready = append(c.b.ready, j)
		} else {
			s.Held = append(s.Held, j)
		}
	}
}

// runSubject names a run in notes.
func runSubject(w *Work) string {
	return strconv.FormatUint(w.Flow, 16) + "-" + strconv.FormatUint(w.Request, 10)
}
