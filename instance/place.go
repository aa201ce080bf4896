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
	maxTries    = 6                      // places tried for one request
	loadAge     = 2 * clock.Second       // older queue states of others count as unknown
	placeMargin = 5.0                    // ms of waiting by which another must be shorter
	usedWait    = 200.0                  // ms of waiting that slots in use all of the time count as
	retryShare  = 0.1                    // retries allowed per request
	retryBurst  = 20.0                   // retries saved up at most
	holdLimit   = 3 * clock.Second       // how long a request is held while no place takes it
	borrowAfter = 1 * clock.Second       // until a held request runs at an endpoint of another instance
	firstHold   = 50 * clock.Millisecond // between tries to place a held request; doubles
	maxHolds    = 3                      // doublings
	refusedRest = beatTimeout            // an instance that refused a connection gets no work for so long
)

// placeController decides which instance runs each whole request: this one, when
// it dispatches endpoints of the service with room, or the less loaded of two
// others.
type placeController struct{ b *EngineState }

func (c placeController) run() bool {
	if len(c.b.ready) == 0 {
		return false
	}
	batch := c.b.ready
	c.b.ready = nil
	for _, j := range batch {
		c.place(j)
	}
	return true
}

func (c placeController) place(j *Job) {
	switch {
	case j.Dropped:
		c.b.refuse(j, packet.ReasonCancelled)
	case c.b.Now >= j.Work.Deadline:
		c.b.refuse(j, packet.ReasonDeadline)
	case c.b.Services[j.Service.Hash] != j.Service:
		c.b.refuse(j, packet.ReasonService)
	case j.Peer != nil && j.Peer.AcceptsWork() && c.b.Now >= j.Peer.AvoidUntil:
		c.handOver(j, j.Peer)
	case j.Tries >= maxTries && c.hold(j):
	case j.Tries >= maxTries:
		c.b.refuse(j, packet.ReasonBusy)
	default:
		c.choose(j)
	}
}

// choose places a job here or at another instance.
func (c placeController) choose(j *Job) {
	j.Peer = nil
	here, other := c.here(j), c.shorter(j, j.AvoidPeer)
	if c.b.alone() || c.pinnedHere(j) {
		other = nil
	}
	nowhere := math.IsInf(here, 1) && other == nil
	var far *Dispatcher
	if !nowhere {
		far = c.spill(j, c.nearest(j, here, other))
	}
	switch {
	case math.IsInf(here, 1) && c.borrow(j):
	case nowhere && c.hold(j):
	case nowhere:
		c.b.refuse(j, packet.ReasonBackend)
		c.b.Report.raise(c.b.Now, conditionNoBackend, "service/"+j.Service.Record.Name, "no backend server takes work", "refused as not run")
	case far != nil:
		c.b.do(LogDecision{Decision: "spill", Reason: "capacity", Service: j.Service.Record.Name, Subject: "instance/" + far.Member.Instance.Name, Detail: runSubject(&j.Work), Level: LevelDebug})
		c.handOver(j, far.Member)
	case c.hopeless(j, here, other):
		c.b.refuse(j, packet.ReasonBusy)
		c.b.Report.raise(c.b.Now, conditionOverload, "service/"+j.Service.Record.Name, "requests would wait past their deadlines", "refused as not run")
	case other != nil && c.better(j, other, here):
		c.handOver(j, other.Member)
	case j.Service.QueueLength() >= j.Service.Record.Queue:
		c.b.refuse(j, packet.ReasonBusy)
		c.b.Report.raise(c.b.Now, conditionOverload, "service/"+j.Service.Record.Name, "the queue is full", "refused as not run")
	default:
		c.b.enqueue(j)
	}
}

// better reports whether another instance is enough of a better place than this
// one. Work that must not be repeated is permitted before it is handed over, and is
// lost to either instance's death: it goes where it starts at once, or sooner by
// half a usual run.
func (c placeController) better(j *Job, other *Dispatcher, here float64) bool {
	there := c.score(j.Service, other, j.Work.Class)
	margin := placeMargin
	if j.Work.Once && there >= 0 {
		margin = max(margin, j.Service.RunTimes[j.Work.Class].Value/2)
	}
	return there+margin < here
}

// hopeless reports whether a job would wait past its deadline wherever it goes.
func (c placeController) hopeless(j *Job, here float64, other *Dispatcher) bool {
	if !math.IsInf(here, 1) && !c.b.late(j) {
		return false
	}
	if other == nil {
		return !math.IsInf(here, 1)
	}
	return c.score(j.Service, other, j.Work.Class) > float64(j.Work.Deadline-c.b.Now)
}

// late reports whether a job that joined the queue here now would start too late
// to end by its deadline, going by the starts of late. Nothing is late when no job
// waits, so that what changed is learnt.
func (b *EngineState) late(j *Job) bool {
	s, class := j.Service, j.Work.Class
	waiting := len(s.ShortQueue)
	if class == packet.ClassLong {
		waiting = len(s.LongQueue)
	}
	if waiting == 0 || s.StartIntervals[class].Samples < usualRuns || s.RunTimes[class].Samples < usualRuns {
		return false
	}
	expected := float64(waiting)*s.StartIntervals[class].Value + fitsFactor*s.RunTimes[class].Value
	return b.Now+clock.Millis(expected) > j.Work.Deadline
}

// started learns how long it takes from one start of a class to the next while
// jobs wait. Longer than two usual runs it only takes while endpoints can't be
// used, which says nothing about the time after.
func (s *Service) started(class packet.Class, now clock.Millis, waiting int) {
	if s.LastStart[class] != 0 && waiting > 0 {
		longest := 2 * max(s.RunTimes[packet.ClassShort].Value, s.RunTimes[packet.ClassLong].Value)
		if gap := float64(now - s.LastStart[class]); longest > 0 {
			s.StartIntervals[class].Add(min(gap, longest))
		}
	}
	s.LastStart[class] = now
	if waiting == 0 {
		s.LastStart[class] = 0
	}
}

// here returns how long a job would wait here, as local does, or +Inf when it may
// not run here: the rules, or its flow's pin, send it elsewhere.
func (c placeController) here(j *Job) float64 {
	s := j.Service
	if len(s.Rules) > 0 && (!s.takes(j.Work.Class, c.b.Now) || c.pinnedAway(j)) {
		return math.Inf(1)
	}
	return c.local(s, j.Work.Class)
}

// pinnedHere reports whether the backend server that a job's flow is pinned to is
// dispatched here and takes work.
func (c placeController) pinnedHere(j *Job) bool {
	return j.Work.PinnedBackend != 0 && slices.ContainsFunc(j.Service.Dispatched, func(ep *Endpoint) bool {
		return ep.Usable(c.b.Now) && token.Hash(ep.Backend.Name) == j.Work.PinnedBackend
	})
}

// pinnedAway reports whether the backend server that a job's flow is pinned to is
// dispatched by others only.
func (c placeController) pinnedAway(j *Job) bool {
	pinned := j.Work.PinnedBackend
	if pinned == 0 {
		return false
	}
	holds := func(p Dispatcher) bool { return p.holds(pinned) }
	if mine := (Dispatcher{Endpoints: j.Service.Dispatched}); mine.holds(pinned) {
		return false
	}
	return slices.ContainsFunc(c.others(j, j.AvoidPeer), holds)
}

// local returns how long a job of a class would wait here, in ms, or +Inf when
// this instance dispatches no endpoint of the service that can be used. Idle slots
// count as negative waiting.
func (c placeController) local(s *Service, class packet.Class) float64 {
	if !s.usable(c.b.Now) || (c.b.StoppingSince != 0 && len(c.others(&Job{Service: s}, nil)) > 0) {
		return math.Inf(1)
	}
	return s.waiting(class, PeerLoad{FreeSlots: s.FreeSlots(c.b.Now), ShortWaiting: len(s.ShortQueue), LongBacklog: s.LongBacklog(), Rate: s.Rate(c.b.Now), Slots: s.UsableSlots(c.b.Now), Utilization: s.used(c.b.Now)})
}

// shorter draws two other instances by their capacity and returns the one where a
// job would wait less.
func (c placeController) shorter(j *Job, avoid *Member) *Dispatcher {
	others := c.others(j, avoid)
	if len(others) == 0 {
		return nil
	}
	best, second := c.b.drawPlace(j.Service, others), c.b.drawPlace(j.Service, others)
	if c.score(j.Service, second, j.Work.Class) < c.score(j.Service, best, j.Work.Class) {
		best = second
	}
	return best
}

// others returns the other instances that dispatch endpoints of a service in
// this data centre, or in others when there are none here or a rule allows it.
func (c placeController) others(j *Job, avoid *Member) []Dispatcher {
	s := j.Service
	var found []Dispatcher
	for _, p := range s.Dispatchers[c.b.Self.Instance.Centre] {
		if p.Member != c.b.Self && p.Member != avoid && p.Member.AcceptsWork() && c.b.Now >= p.Member.AvoidUntil {
			found = append(found, p)
		}
	}
	found = s.steered(j, found)
	if len(found) > 0 || len(s.among(j, s.Dispatched, c.b.Now)) > 0 {
		return found
	}
	return c.far(j, avoid)
}

// far returns the instances of other data centres that a job may go to.
func (c placeController) far(j *Job, avoid *Member) []Dispatcher {
	var found []Dispatcher
	for _, centre := range c.farCentres(j.Service) {
		for _, p := range j.Service.Dispatchers[centre] {
			if p.Member != avoid && p.Member.AcceptsWork() && c.b.Now >= p.Member.AvoidUntil {
				found = append(found, p)
			}
		}
	}
	return j.Service.steered(j, found)
}

// farCentres returns the other data centres with endpoints of a service, sorted.
func (c placeController) farCentres(s *Service) []string {
	centres := slices.Sorted(maps.Keys(s.Dispatchers))
	return slices.DeleteFunc(centres, func(name string) bool { return name == c.b.Self.Instance.Centre })
}

// score returns how long a job of a class would wait at another instance, in ms,
// as last heard.
func (c placeController) score(s *Service, p *Dispatcher, class packet.Class) float64 {
	l := p.Member.Loads[s.Hash]
	if l == nil || c.b.Now-l.ReceivedAt > loadAge {
		return 0
	}
	load := *l
	load.Rate, load.Slots = c.b.placeRate(s, p), p.Slots
	return s.waiting(class, load)
}

// waiting returns how long a job of a class would wait in a queue, in ms. Long
// work waits for long work only.
func (s *Service) waiting(class packet.Class, l PeerLoad) float64 {
	rate := max(l.Rate, 1/rateSpan)
	if class == packet.ClassLong {
		return float64(l.LongBacklog+1)*s.longFactor()/rate + usedWait*l.Utilization*s.longFactor()
	}
	if idle := l.FreeSlots - l.ShortWaiting; idle > 0 {
		return usedWait*l.Utilization - assumedRun*float64(idle)/float64(max(1, l.Slots))
	}
	return usedWait*l.Utilization + float64(l.ShortWaiting+1-l.FreeSlots)/rate
}

// placeRate returns the capacity of a place, in short requests a ms: as learnt
// there, else as the records say.
func (b *EngineState) placeRate(s *Service, p *Dispatcher) float64 {
	if p.Member == b.Self {
		if rate := s.Rate(b.Now); rate > 0 {
			return rate
		}
	}
	if l := p.Member.Loads[s.Hash]; l != nil && l.Rate > 0 {
		return l.Rate
	}
	usual := assumedRun
	if s.RunTimes[packet.ClassShort].Samples > 0 {
		usual = s.RunTimes[packet.ClassShort].Value
	}
	return p.Capacity / usual
}

// handOver sends a job to another instance, after the caller's permit if the
// request must not be repeated.
func (c placeController) handOver(j *Job, m *Member) {
	j.Peer = m
	if j.Work.Once && !j.Request.Permitted {
		c.b.ask(j.Request)
		return
	}
	j.Tries++
	j.RunID = c.b.nextRun()
	j.StartedAt = c.b.Now
	c.b.Runs[j.RunID] = j
	if l := m.Loads[j.Service.Hash]; l != nil {
		l.add(j.Work.Class)
	}
	c.b.do(HandOver{RunID: j.RunID, Peer: m.Instance.Name, ControlAddr: m.Instance.ControlAddress, Work: j.Work})
	c.b.used = append(c.b.used, m)
}

// add counts work sent to an instance since its queue state was heard.
func (l *PeerLoad) add(class packet.Class) {
	if class == packet.ClassLong {
		l.LongBacklog++
		return
	}
	l.ShortWaiting++
}

func (c placeController) handOverEnded(ev HandOverEnded) {
	j := c.b.Runs[ev.RunID]
	if j == nil {
		return
	}
	delete(c.b.Runs, ev.RunID)
	if ev.Result.Outcome == OutcomeNotRun && !ev.Result.Connected {
		// Its process is gone or cut off: heartbeats find out which, and this
		// was no try.
		j.Tries--
		j.Peer.AvoidUntil = c.b.Now + refusedRest
		c.b.doubted = append(c.b.doubted, j.Peer)
	}
	if ev.Result.Outcome == OutcomeAnswered {
		j.Service.RetryBudget = min(j.Service.RetryBudget+retryShare, retryBurst)
		c.measureTrip(j, j.Peer)
	}
	j.RunID, j.AvoidPeer, j.Peer = 0, j.Peer, nil
	c.b.resolve(j, ev.Result)
}
