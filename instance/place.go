package instance

import (
	"maps"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Choice of the instance that runs a request.
const (
	maxTries    = 6                      // places tried for one request
	loadAge     = 2 * clock.Second       // older queue states of others count as unknown
	placeMargin = 0.5                    // queue per capacity by which another must be shorter
	unknownLoad = 0.25                   // queue per capacity assumed of instances not heard of
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
type placeController struct{ b *Board }

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
	case j.Peer != nil && j.Peer.Takes() && c.b.Now >= j.Peer.Until:
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
	here, other := c.local(j.Service), c.shorter(j.Service, j.Avoid)
	switch {
	case here < 0 && c.borrow(j):
	case here < 0 && other == nil && c.hold(j):
	case here < 0 && other == nil:
		c.b.refuse(j, packet.ReasonBackend)
		c.b.Report.raise(c.b.Now, conditionNoBackend, "service/"+j.Service.Record.Name, "no backend server takes work", "refused as not run")
	case other != nil && (here < 0 || c.score(j.Service, other)+placeMargin < here):
		c.handOver(j, other.Member)
	case j.Service.Waiting() >= j.Service.Record.Queue:
		c.b.refuse(j, packet.ReasonBusy)
		c.b.Report.raise(c.b.Now, conditionOverload, "service/"+j.Service.Record.Name, "the queue is full", "refused as not run")
	default:
		c.b.enqueue(j)
	}
}

// hold lets a job wait until an instance that died is replaced or a backend
// server takes work again, and reports whether it may.
func (c placeController) hold(j *Job) bool {
	s := j.Service
	if !s.active() || len(s.Held) >= s.Record.Queue {
		return false
	}
	if j.Held == 0 {
		j.Held = c.b.Now
		c.b.do(Note{Decision: "hold", Reason: packet.ReasonBackend.String(), Service: s.Record.Name, Subject: runSubject(&j.Work), Level: LevelDebug})
	}
	if c.b.Now-j.Held >= holdLimit {
		return false
	}
	j.Again = c.b.Now + firstHold<<min(j.Holds, maxHolds)
	j.Holds++
	j.Tries, j.Avoid = 0, nil
	s.Held = append(s.Held, j)
	return true
}

// borrow runs a job that was held for long at an endpoint that another instance
// dispatches: that one can't be reached, and may be gone for all others too. As
// when two instances believe that they dispatch an endpoint, each fills its slots
// at most once.
func (c placeController) borrow(j *Job) bool {
	if j.Held == 0 || c.b.Now-j.Held < borrowAfter || c.b.Stopping != 0 {
		return false
	}
	ep := c.lendable(j.Service, j.Work.Class)
	if ep == nil {
		return false
	}
	if !j.mayStart() {
		c.b.ask(j.Request)
		return false
	}
	c.b.note("borrow", packet.ReasonBackend.String(), j.Work.Service, ep.subject(), runSubject(&j.Work))
	dispatchController(c).start(j, ep)
	return true
}

// lendable returns an endpoint with room for a run from here, of this data centre
// rather than of another, or nil.
func (c placeController) lendable(s *Service, class packet.Class) *Endpoint {
	var far *Endpoint
	for _, ep := range s.Endpoints {
		switch {
		case !ep.Usable(c.b.Now) || !ep.room(class):
		case ep.Backend.Centre == c.b.Self.Instance.Centre:
			return ep
		case far == nil:
			far = ep
		}
	}
	return far
}

// local returns this instance's queue per capacity, or -1 when it dispatches no
// endpoint of the service that can be used.
func (c placeController) local(s *Service) float64 {
	if !s.usable(c.b.Now) || (c.b.Stopping != 0 && len(c.others(s, nil)) > 0) {
		return -1
	}
	if s.Free(c.b.Now) > s.Waiting() {
		return 0
	}
	return float64(s.Waiting()+1) / s.Capacity()
}

// shorter draws two other instances and returns the one with the shorter queue
// per capacity.
func (c placeController) shorter(s *Service, avoid *Member) *Place {
	others := c.others(s, avoid)
	if len(others) == 0 {
		return nil
	}
	best := &others[c.b.random.IntN(len(others))]
	second := &others[c.b.random.IntN(len(others))]
	if c.score(s, second) < c.score(s, best) {
		best = second
	}
	return best
}

// others returns the other instances that dispatch endpoints of a service in
// this data centre, or in others when there are none here or a rule allows it.
func (c placeController) others(s *Service, avoid *Member) []Place {
	var found []Place
	for _, p := range s.Places[c.b.Self.Instance.Centre] {
		if p.Member != c.b.Self && p.Member != avoid && p.Member.Takes() && c.b.Now >= p.Member.Until {
			found = append(found, p)
		}
	}
	if len(found) > 0 || len(s.Mine) > 0 {
		return found
	}
	for _, centre := range c.farCentres(s) {
		for _, p := range s.Places[centre] {
			if p.Member != avoid && p.Member.Takes() && c.b.Now >= p.Member.Until {
				found = append(found, p)
			}
		}
	}
	return found
}

// farCentres returns the other data centres with endpoints of a service, sorted.
func (c placeController) farCentres(s *Service) []string {
	centres := slices.Sorted(maps.Keys(s.Places))
	return slices.DeleteFunc(centres, func(name string) bool { return name == c.b.Self.Instance.Centre })
}

// score returns another instance's queue per capacity as last heard.
func (c placeController) score(s *Service, p *Place) float64 {
	l := p.Member.Loads[s.Hash]
	if l == nil || c.b.Now-l.At > loadAge {
		return unknownLoad
	}
	if l.Free > l.Queued {
		return -float64(l.Free) / p.Capacity
	}
	return float64(l.Queued+1) / p.Capacity
}

// handOver sends a job to another instance, after the caller's permit if the
// request must not be repeated.
func (c placeController) handOver(j *Job, m *Member) {
	j.Peer = m
	if j.Work.Once && !j.Request.Granted {
		c.b.ask(j.Request)
		return
	}
	j.Tries++
	j.Run = c.b.nextRun()
	j.Begun = c.b.Now
	c.b.Runs[j.Run] = j
	if l := m.Loads[j.Service.Hash]; l != nil {
		l.add()
	}
	c.b.do(HandOver{Run: j.Run, Peer: m.Instance.Name, Control: m.Instance.Control, Work: j.Work})
	c.b.used = append(c.b.used, m)
}

// add counts work sent to an instance since its queue state was heard.
func (l *PeerLoad) add() {
	if l.Free > 0 {
		l.Free--
		return
	}
	l.Queued++
}

func (c placeController) handOverEnded(ev HandOverEnded) {
	j := c.b.Runs[ev.Run]
	if j == nil {
		return
	}
	delete(c.b.Runs, ev.Run)
	if ev.Result.Outcome == OutcomeNotRun && !ev.Result.Dialled {
		// Its process is gone or cut off: heartbeats find out which, and this
		// was no try.
		j.Tries--
		j.Peer.Until = c.b.Now + refusedRest
		c.b.doubted = append(c.b.doubted, j.Peer)
	}
	j.Run, j.Avoid, j.Peer = 0, j.Peer, nil
	c.b.resolve(j, ev.Result)
}

// chooseOwner returns the owner for a new flow: of two instances drawn by their
// capacity for the service, the less loaded one.
func (b *Board) chooseOwner(s *Service) *Member {
	places := s.Places[b.Self.Instance.Centre]
	if len(places) == 0 {
		if b.Stopping != 0 {
			return b.taker(b.random.Uint64())
		}
		return b.Self
	}
	first, second := b.drawPlace(places), b.drawPlace(places)
	if b.placeScore(s, second) < b.placeScore(s, first) {
		first = second
	}
	return first.Member
}

func (b *Board) drawPlace(places []Place) *Place {
	sum := 0.0
	for i := range places {
		sum += places[i].Capacity
	}
	x := b.random.Float64() * sum
	for i := range places {
		x -= places[i].Capacity
		if x < 0 {
			return &places[i]
		}
	}
	return &places[len(places)-1]
}

func (b *Board) placeScore(s *Service, p *Place) float64 {
	c := placeController{b}
	if p.Member == b.Self {
		return c.local(s)
	}
	return c.score(s, p)
}
