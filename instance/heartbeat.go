package instance

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// greet sends a heartbeat to every instance of the data centre.
func (c memberController) sendHeartbeats() {
	for _, m := range c.state.Members.All {
		c.sendLocalHeartbeat(m)
	}
}

// pingNear sends a heartbeat to an instance of this data centre.
func (c memberController) sendLocalHeartbeat(m *Member) {
	if m != c.state.Self && m.Instance.Centre == c.state.Self.Instance.Centre {
		c.sendHeartbeat(m)
	}
}

// ping sends a heartbeat, unless one was sent within the last timeout.
func (c memberController) sendHeartbeat(m *Member) {
	if m.HeartbeatSentAt != 0 && c.state.Now-m.HeartbeatSentAt < heartbeatTimeout {
		return
	}
	c.state.Members.lastHeartbeatID++
	m.HeartbeatSentAt = c.state.Now
	if m.UnansweredSince == 0 {
		m.UnansweredSince = c.state.Now
	}
	e := c.state.newEnvelope(m)
	e.Heartbeat = c.state.Members.lastHeartbeatID
	c.state.emit(SendEnvelope{To: m.PeerAddress, Envelope: e})
}

// envelope returns an envelope with the sender's fields set.
func (st *EngineState) newEnvelope(to *Member) packet.Envelope {
	e := packet.Envelope{
		Sender: st.Self.Hash, Incarnation: st.Self.Incarnation,
		Leaving: st.StoppingSince != 0, Revision: st.Records.Revision, EndpointRuns: st.runReport(to),
		WatchesPlatform: st.Members.watch.selected && st.Members.watch.platformAnswers,
	}
	if !to.KnowsSelf || to.MissedHeartbeats > 0 {
		hello := st.Self.Instance
		e.Hello = &hello
	}
	return e
}

// heard takes in what every envelope says about its sender. It returns nil when
// the sender is unknown or an older incarnation.
func (c memberController) receive(ev EnvelopeReceived) *Member {
	if ev.Envelope.Sender == c.state.Self.Hash {
		return nil
	}
	if ev.Envelope.Hello != nil {
		c.state.Members.routerDirty = true
		c.update(*ev.Envelope.Hello)
	}
	m := c.state.Members.ByHash[ev.Envelope.Sender]
	if m == nil || ev.Envelope.Incarnation < m.Incarnation {
		return nil
	}
	if ev.Envelope.Incarnation > m.Incarnation {
		c.restarted(m, ev.Envelope.Incarnation)
	}
	if ev.Envelope.WatchesPlatform {
		c.state.Members.watch.watcherHeardAt = c.state.Now
	}
	c.setLeaving(m, ev.Envelope.Leaving)
	c.updateLoads(m, ev.Envelope.Loads)
	c.state.updateRemoteRuns(ev.Envelope.EndpointRuns)
	watchController(c).fetchIfNewer(m, ev.Envelope.Revision)
	if ev.Envelope.Heartbeat != 0 {
		c.handleHeartbeat(m, ev.Envelope)
	}
	return m
}

func (c memberController) updateLoads(m *Member, loads []packet.Load) {
	for _, l := range loads {
		known := m.Loads[l.Service]
		if known == nil {
			if c.state.Services[l.Service] == nil {
				continue
			}
			known = &PeerLoad{}
			m.Loads[l.Service] = known
		}
		*known = PeerLoad{IdleSlots: int(l.IdleSlots), QueuedShort: int(l.QueuedShort), LongRequests: int(l.LongRequests), Rate: float64(l.Rate) / loadRatePeriod, Utilization: float64(l.Utilization) / utilizationScale, ReceivedAt: c.state.Now}
	}
}

func (c memberController) handleHeartbeat(m *Member, e packet.Envelope) {
	if e.Reply {
		c.heartbeatAnswered(m)
		return
	}
	reply := c.state.newEnvelope(m)
	reply.Heartbeat, reply.Reply = e.Heartbeat, true
	c.state.emit(SendEnvelope{To: m.PeerAddress, Envelope: reply})
	if !m.Alive || !m.KnowsSelf {
		c.sendHeartbeat(m)
	}
}

func (c memberController) heartbeatAnswered(m *Member) {
	c.state.Members.routerDirty = c.state.Members.routerDirty || m.MissedHeartbeats > 0 || !m.KnowsSelf || !m.Alive
	m.RepliedAt, m.UnansweredSince, m.MissedHeartbeats, m.KnowsSelf = c.state.Now, 0, 0, true
	if m.Alive {
		return
	}
	m.Alive = true
	c.state.Members.dirty = true
	c.state.logDecision("revive", "heartbeat", "", "instance/"+m.Instance.Name, "")
	c.state.Report.clear(conditionInstance, "instance/"+m.Instance.Name)
}

func (c memberController) tick() {
	c.contactNeighbours()
	c.sendNextHeartbeat()
	for _, m := range slices.Clone(c.state.Members.All) {
		if m != c.state.Self {
			c.checkHeartbeat(m)
		}
	}
	c.join()
}

// beatNext sends one heartbeat a period, to the instances in turn.
func (c memberController) sendNextHeartbeat() {
	s := &c.state.Members
	if len(s.All) < 2 || c.state.Now-s.lastHeartbeatAt < s.heartbeatPeriod {
		return
	}
	s.lastHeartbeatAt = c.state.Now
	for range s.All {
		s.cursor++
		m := s.All[s.cursor%len(s.All)]
		if m != c.state.Self && m.Instance.Centre == c.state.Self.Instance.Centre {
			c.sendHeartbeat(m)
			return
		}
	}
}

// check repeats an unanswered heartbeat and counts a silent instance as dead.
func (c memberController) checkHeartbeat(m *Member) {
	if m.UnansweredSince == 0 || c.state.Now-m.HeartbeatSentAt < heartbeatTimeout {
		return
	}
	m.MissedHeartbeats++
	c.state.Members.routerDirty = true
	switch {
	case m.Alive && m.MissedHeartbeats < maxMissedHeartbeats:
		c.sendHeartbeat(m)
	case m.Alive:
		m.UnansweredSince = 0
		c.markDead(m)
	default:
		m.UnansweredSince = 0
	}
	if !m.Alive && !m.Listed && c.state.Now-max(m.RepliedAt, c.state.StartedAt) > forgetDelay {
		c.forget(m)
	}
}

// neighbourPeriod is the time between introductions to neighbours.
const neighbourPeriod = 1 * clock.Second

// introduce makes this instance known to its neighbours while it knows of no other
// instance, so that it finds them without the platform's list.
func (c memberController) contactNeighbours() {
	s := &c.state.Members
	if len(s.All) > 1 || c.state.Now-s.neighboursContactedAt < neighbourPeriod {
		return
	}
	s.neighboursContactedAt = c.state.Now
	for _, address := range c.state.Settings.Neighbours {
		s.lastHeartbeatID++
		e := c.state.newEnvelope(&Member{}) // to one that does not know this instance
		e.Heartbeat = s.lastHeartbeatID
		c.state.emit(SendEnvelope{To: address, Envelope: e})
	}
}

// used asks an instance that traffic goes to for a sign of life.
func (c memberController) checkQuiet(m *Member) {
	if m.UnansweredSince == 0 && c.state.Now-max(m.RepliedAt, m.HeartbeatSentAt) > quietTimeout {
		c.sendHeartbeat(m)
	}
}

// doubt asks an instance that could not be reached for a sign of life at once.
func (c memberController) checkUnreachable(m *Member) {
	if m.UnansweredSince == 0 {
		c.sendHeartbeat(m)
	}
}
