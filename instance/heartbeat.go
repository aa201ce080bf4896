package instance

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// greet sends a heartbeat to every instance of the data centre.
func (c memberController) greet() {
	for _, m := range c.b.Members.All {
		c.pingNear(m)
	}
}

// pingNear sends a heartbeat to an instance of this data centre.
func (c memberController) pingNear(m *Member) {
	if m != c.b.Self && m.Instance.Centre == c.b.Self.Instance.Centre {
		c.ping(m)
	}
}

// ping sends a heartbeat, unless one was sent within the last timeout.
func (c memberController) ping(m *Member) {
	if m.HeartbeatSentAt != 0 && c.b.Now-m.HeartbeatSentAt < beatTimeout {
		return
	}
	c.b.Members.beat++
	m.HeartbeatSentAt = c.b.Now
	if m.UnansweredSince == 0 {
		m.UnansweredSince = c.b.Now
	}
	e := c.b.envelope(m)
	e.Heartbeat = c.b.Members.beat
	c.b.do(SendEnvelope{To: m.PeerAddr, Envelope: e})
}

// envelope returns an envelope with the sender's fields set.
func (b *EngineState) envelope(to *Member) packet.Envelope {
	e := packet.Envelope{
		Sender: b.Self.Hash, Incarnation: b.Self.Incarnation,
		Leaving: b.StoppingSince != 0, Revision: b.Records.Revision, EndpointRuns: b.held(to),
		WatchesPlatform: b.Members.watch.chosen && b.Members.watch.answered,
	}
	if !to.KnowsSelf || to.MissedHeartbeats > 0 {
		hello := b.Self.Instance
		e.Hello = &hello
	}
	return e
}

// heard takes in what every envelope says about its sender. It returns nil when
// the sender is unknown or an older incarnation.
func (c memberController) heard(ev EnvelopeReceived) *Member {
	if ev.Envelope.Sender == c.b.Self.Hash {
		return nil
	}
	if ev.Envelope.Hello != nil {
		c.b.Members.moved = true
		c.learn(*ev.Envelope.Hello)
	}
	m := c.b.Members.ByHash[ev.Envelope.Sender]
	if m == nil || ev.Envelope.Incarnation < m.Incarnation {
		return nil
	}
	if ev.Envelope.Incarnation > m.Incarnation {
		c.restart(m, ev.Envelope.Incarnation)
	}
	if ev.Envelope.WatchesPlatform {
		c.b.Members.watch.heard = c.b.Now
	}
	c.leaving(m, ev.Envelope.Leaving)
	c.loads(m, ev.Envelope.Loads)
	c.b.away(ev.Envelope.EndpointRuns)
	watchController(c).compareRevision(m, ev.Envelope.Revision)
	if ev.Envelope.Heartbeat != 0 {
		c.beat(m, ev.Envelope)
	}
	return m
}

func (c memberController) loads(m *Member, loads []packet.Load) {
	for _, l := range loads {
		known := m.Loads[l.Service]
		if known == nil {
			if c.b.Services[l.Service] == nil {
				continue
			}
			known = &PeerLoad{}
			m.Loads[l.Service] = known
		}
		*known = PeerLoad{FreeSlots: int(l.IdleSlots), ShortWaiting: int(l.QueuedShort), LongBacklog: int(l.LongRequests), Rate: float64(l.Rate) / rateSpan, Utilization: float64(l.Utilization) / usedUnit, ReceivedAt: c.b.Now}
	}
}

func (c memberController) beat(m *Member, e packet.Envelope) {
	if e.Reply {
		c.answered(m)
		return
	}
	reply := c.b.envelope(m)
	reply.Heartbeat, reply.Reply = e.Heartbeat, true
	c.b.do(SendEnvelope{To: m.PeerAddr, Envelope: reply})
	if !m.Alive || !m.KnowsSelf {
		c.ping(m)
	}
}

func (c memberController) answered(m *Member) {
	c.b.Members.moved = c.b.Members.moved || m.MissedHeartbeats > 0 || !m.KnowsSelf || !m.Alive
	m.RepliedAt, m.UnansweredSince, m.MissedHeartbeats, m.KnowsSelf = c.b.Now, 0, 0, true
	if m.Alive {
		return
	}
	m.Alive = true
	c.b.Members.changed = true
	c.b.note("revive", "heartbeat", "", "instance/"+m.Instance.Name, "")
	c.b.Report.clear(conditionInstance, "instance/"+m.Instance.Name)
}

func (c memberController) tick() {
	c.introduce()
	c.beatNext()
	for _, m := range slices.Clone(c.b.Members.All) {
		if m != c.b.Self {
			c.check(m)
		}
	}
	c.join()
}

// beatNext sends one heartbeat a period, to the instances in turn.
func (c memberController) beatNext() {
	s := &c.b.Members
	if len(s.All) < 2 || c.b.Now-s.beatAt < s.period {
		return
	}
	s.beatAt = c.b.Now
	for range s.All {
		s.turn++
		m := s.All[s.turn%len(s.All)]
		if m != c.b.Self && m.Instance.Centre == c.b.Self.Instance.Centre {
			c.ping(m)
			return
		}
	}
}

// check repeats an unanswered heartbeat and counts a silent instance as dead.
func (c memberController) check(m *Member) {
	if m.UnansweredSince == 0 || c.b.Now-m.HeartbeatSentAt < beatTimeout {
		return
	}
	m.MissedHeartbeats++
	c.b.Members.moved = true
	switch {
	case m.Alive && m.MissedHeartbeats < beatTries:
		c.ping(m)
	case m.Alive:
		m.UnansweredSince = 0
		c.lost(m)
	default:
		m.UnansweredSince = 0
	}
	if !m.Alive && !m.Listed && c.b.Now-max(m.RepliedAt, c.b.StartedAt) > forgetAfter {
		c.forget(m)
	}
}

// neighbourPeriod is the time between introductions to neighbours.
const neighbourPeriod = 1 * clock.Second

// introduce makes this instance known to its neighbours while it knows of no other
// instance, so that it finds them without the platform's list.
func (c memberController) introduce() {
	s := &c.b.Members
	if len(s.All) > 1 || c.b.Now-s.introduced < neighbourPeriod {
		return
	}
	s.introduced = c.b.Now
	for _, address := range c.b.Settings.Neighbours {
		s.beat++
		e := c.b.envelope(&Member{}) // to one that does not know this instance
		e.Heartbeat = s.beat
		c.b.do(SendEnvelope{To: address, Envelope: e})
	}
}

// used asks an instance that traffic goes to for a sign of life.
func (c memberController) used(m *Member) {
	if m.UnansweredSince == 0 && c.b.Now-max(m.RepliedAt, m.HeartbeatSentAt) > quietLimit {
		c.ping(m)
	}
}

// doubt asks an instance that could not be reached for a sign of life at once.
func (c memberController) doubt(m *Member) {
	if m.UnansweredSince == 0 {
		c.ping(m)
	}
}
