package instance

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// sendHeartbeats sends a heartbeat to every instance of the data centre.
func (c memberController) sendHeartbeats() {
	for _, m := range c.state.Members.All {
		c.sendLocalHeartbeat(m)
	}
}

// sendLocalHeartbeat sends a heartbeat to an instance if it is in this data centre.
func (c memberController) sendLocalHeartbeat(m *Member) {
	if m != c.state.Self && m.Instance.Centre == c.state.Self.Instance.Centre {
		c.sendHeartbeat(m)
	}
}

// sendHeartbeat sends a heartbeat, unless one was sent within the last heartbeatTimeout.
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

// newEnvelope returns an envelope to an instance with the sender's fields set.
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

// receive processes what an envelope says about its sender and returns the sender. It
// returns nil when the sender is this instance, unknown, or an older incarnation.
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

// sendNextHeartbeat sends one heartbeat each period, to the instances of the data centre
// in turn.
func (c memberController) sendNextHeartbeat() {
	ms := &c.state.Members
	if len(ms.All) < 2 || c.state.Now-ms.lastHeartbeatAt < ms.heartbeatPeriod {
		return
	}
	ms.lastHeartbeatAt = c.state.Now
	for range ms.All {
		ms.cursor++
		m := ms.All[ms.cursor%len(ms.All)]
		if m != c.state.Self && m.Instance.Centre == c.state.Self.Instance.Centre {
			c.sendHeartbeat(m)
			return
		}
	}
}

// checkHeartbeat repeats an unanswered heartbeat, and marks the instance dead after
// maxMissedHeartbeats. A dead instance that isn't listed is removed after removeDelay.
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
	if !m.Alive && !m.Listed && c.state.Now-max(m.RepliedAt, c.state.StartedAt) > removeDelay {
		c.removeDead(m)
	}
}

// neighbourPeriod is the time between heartbeats to the configured neighbours.
const neighbourPeriod = 1 * clock.Second

// contactNeighbours sends heartbeats to the configured neighbours while this instance
// knows no other instance, so that it finds them without the platform's list.
func (c memberController) contactNeighbours() {
	ms := &c.state.Members
	if len(ms.All) > 1 || c.state.Now-ms.neighboursContactedAt < neighbourPeriod {
		return
	}
	ms.neighboursContactedAt = c.state.Now
	for _, address := range c.state.Settings.Neighbours {
		ms.lastHeartbeatID++
		e := c.state.newEnvelope(&Member{}) // includes this instance's description
		e.Heartbeat = ms.lastHeartbeatID
		c.state.emit(SendEnvelope{To: address, Envelope: e})
	}
}

// checkQuiet sends a heartbeat to an instance that traffic goes to if neither a heartbeat
// nor an answer was exchanged for quietTimeout.
func (c memberController) checkQuiet(m *Member) {
	if m.UnansweredSince == 0 && c.state.Now-max(m.RepliedAt, m.HeartbeatSentAt) > quietTimeout {
		c.sendHeartbeat(m)
	}
}

// checkUnreachable sends a heartbeat to an instance to which a connection failed.
func (c memberController) checkUnreachable(m *Member) {
	if m.UnansweredSince == 0 {
		c.sendHeartbeat(m)
	}
}
