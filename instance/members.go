package instance

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// Failure detection. An instance sends one heartbeat each period, to the instances of
// the data centre in turn. The period shrinks as the data centre grows, down to a limit,
// so that the death of an instance without traffic is detected within heartbeatCycle
// and three time-outs. An instance that traffic goes to gets a heartbeat as soon as it
// has been quiet for quietTimeout.
const (
	heartbeatCycle      = 4 * clock.Second        // every instance of the data centre gets a heartbeat in this time, if the limits of the period allow
	maxHeartbeatPeriod  = 250 * clock.Millisecond // between heartbeats to successive instances
	minHeartbeatPeriod  = 60 * clock.Millisecond  // bounds the traffic in large data centres
	heartbeatTimeout    = 200 * clock.Millisecond // until a heartbeat counts as missed
	maxMissedHeartbeats = 3                       // consecutive missed heartbeats after which an instance counts as dead
	quietTimeout        = 500 * clock.Millisecond // traffic to an instance that has been quiet for longer triggers a heartbeat
	removeDelay         = 30 * clock.Second       // until a dead instance that the platform no longer lists is removed
	joinTimeout         = 3 * clock.Second        // a starting instance takes flows after this time even if not all others have answered
)

// Member is one entry instance as this instance sees it.
type Member struct {
	Instance         record.Instance
	Hash             uint64
	Incarnation      uint64
	PeerAddress      netip.AddrPort
	Alive            bool
	Leaving          bool
	Listed           bool         // in the platform's latest list
	KnowsSelf        bool         // it has answered a heartbeat of this process, so it knows this incarnation
	RepliedAt        clock.Millis // when it last answered a heartbeat
	UnansweredSince  clock.Millis // when the first of the unanswered heartbeats was sent, or 0
	HeartbeatSentAt  clock.Millis // when the latest heartbeat was sent
	MissedHeartbeats int          // consecutive heartbeats without an answer
	NewerSince       clock.Millis // since when its records are newer than those here, or 0
	AvoidUntil       clock.Millis // gets no work before this time, as a connection to it failed
	Loads            map[uint64]*PeerLoad
	HandOverCost     MovingAverage // mean time that a hand-over to its data centre takes beyond the run, in ms
	HandOverCostAt   clock.Millis  // when HandOverCost was last measured
}

// PeerLoad is the latest queue state that another instance reported for a service.
type PeerLoad struct {
	IdleSlots    int
	QueuedShort  int          // short jobs in its queue
	LongRequests int          // long jobs that wait or run there
	Rate         float64      // measured capacity in short requests per ms; 0 means unknown
	Utilization  float64      // share of its slots that was in use lately
	Slots        int          // of the endpoints that it dispatches, by their records
	ReceivedAt   clock.Millis // when the report was received
}

// AcceptsWork reports whether the instance takes new flows and work: it is alive and
// not shutting down.
func (m *Member) AcceptsWork() bool {
	return m.Alive && !m.Leaving
}

// Members holds every known instance, including this one.
type Members struct {
	ByHash                map[uint64]*Member
	All                   []*Member            // sorted by name
	Available             map[string][]*Member // those that accept work, by data centre, sorted by name
	ListedAt              clock.Millis         // when the platform's list was first received, or 0
	Ready                 bool                 // this instance may dispatch endpoints and take flows
	dirty                 bool                 // Available and the dispatchers of endpoints must be computed again
	routerDirty           bool                 // hops must be computed again
	hops                  []NextHop            // next hops in the latest Router
	watch                 watchState
	lastHeartbeatAt       clock.Millis // when sendNextHeartbeat last sent a heartbeat
	neighboursContactedAt clock.Millis // when the configured neighbours last got heartbeats
	heartbeatPeriod       clock.Millis // between heartbeats
	lastHeartbeatID       uint64
	cursor                int // index in All, modulo its length, of the instance that sendNextHeartbeat chose last
}

func newMembers() Members {
	return Members{
		ByHash: make(map[uint64]*Member), Available: make(map[string][]*Member),
		watch: watchState{watching: true},
	}
}

// add adds an instance, which counts as alive.
func (ms *Members) add(i record.Instance) *Member {
	peerAddress, _ := netip.ParseAddrPort(i.PeerAddress)
	m := &Member{
		Instance: i, Hash: token.Hash(i.Name), Incarnation: uint64(i.Incarnation), PeerAddress: peerAddress,
		Alive: true, Leaving: i.State == record.StateLeaving, Loads: make(map[uint64]*PeerLoad),
	}
	ms.ByHash[m.Hash] = m
	ms.All = append(ms.All, m)
	slices.SortFunc(ms.All, func(x, y *Member) int { return cmp.Compare(x.Instance.Name, y.Instance.Name) })
	ms.dirty = true
	return m
}

func (ms *Members) remove(m *Member) {
	delete(ms.ByHash, m.Hash)
	ms.All = slices.DeleteFunc(ms.All, func(x *Member) bool { return x == m })
	ms.dirty = true
}

// memberController decides which instances are alive. The platform's list introduces
// instances; heartbeats decide whether they are alive.
type memberController struct{ state *EngineState }

func (c memberController) listed(ev InstancesListed) {
	c.state.Members.routerDirty = true
	for _, m := range c.state.Members.All {
		m.Listed = false
	}
	for _, i := range ev.Instances {
		switch {
		case i.Check() != nil:
		case i.Name != c.state.Settings.Self.Name:
			c.update(i).Listed = true
		case uint64(i.Incarnation) == c.state.Self.Incarnation:
			c.state.Self.Listed = true
		}
	}
	if c.state.Members.ListedAt == 0 {
		c.state.Members.ListedAt = c.state.Now
		c.sendHeartbeats()
	}
}

// update adds an instance or updates its description. It ignores the description of an
// older incarnation.
func (c memberController) update(i record.Instance) *Member {
	m := c.state.Members.ByHash[token.Hash(i.Name)]
	switch {
	case m == nil:
		m = c.state.Members.add(i)
		c.state.logDecision("join", "listed", "", "instance/"+i.Name, i.PeerAddress)
		c.sendLocalHeartbeat(m)
	case uint64(i.Incarnation) > m.Incarnation:
		c.restarted(m, uint64(i.Incarnation))
		m.Instance = i
		m.PeerAddress, _ = netip.ParseAddrPort(i.PeerAddress)
		c.sendLocalHeartbeat(m)
	case uint64(i.Incarnation) == m.Incarnation:
		m.Instance = i
		c.setLeaving(m, i.State == record.StateLeaving || m.Leaving)
	}
	return m
}

func (c memberController) restarted(m *Member, incarnation uint64) {
	c.state.Members.routerDirty = true
	c.state.logDecision("restart", "incarnation", "", "instance/"+m.Instance.Name, "")
	m.Incarnation = incarnation
	m.Alive, m.Leaving, m.KnowsSelf = true, false, false
	m.UnansweredSince, m.MissedHeartbeats = 0, 0
	clear(m.Loads)
	c.state.Members.dirty = true
}

func (c memberController) setLeaving(m *Member, leaving bool) {
	if m.Leaving == leaving {
		return
	}
	m.Leaving = leaving
	c.state.Members.dirty = true
	c.state.logDecision("leave", "announced", "", "instance/"+m.Instance.Name, "")
}

// removeDead removes an instance that is dead and no longer listed. One of the remaining
// instances, the same in the view of each, deletes its status from the platform.
func (c memberController) removeDead(m *Member) {
	c.state.Members.remove(m)
	c.state.Report.clear(conditionInstance, "instance/"+m.Instance.Name)
	if rendezvous(m.Hash, c.state.Members.Available[m.Instance.Centre]) == c.state.Self {
		c.state.emit(DeleteStatus{Instance: m.Instance.Name, Incarnation: clock.Millis(m.Incarnation)})
	}
}

// markDead marks an instance as dead. It raises a condition unless the instance had
// announced its shutdown.
func (c memberController) markDead(m *Member) {
	subject := "instance/" + m.Instance.Name
	m.Alive, m.KnowsSelf = false, false
	c.state.Members.dirty = true
	if m.Leaving {
		c.state.logDecision("leave", "gone", "", subject, "")
		return
	}
	c.state.logDecision("suspect", "silent", "", subject, "")
	c.state.Report.raise(c.state.Now, conditionInstance, subject, "heartbeats are not answered", "its flows are taken over by other instances")
}

// join lets this instance dispatch endpoints and take flows once the others know it.
// Before that, two instances could dispatch the same endpoint, or each could take over
// the other's flows as those of an unknown owner. It waits until the platform's list,
// which lags behind, shows this process: then it shows all that started before, too.
func (c memberController) join() {
	ms := &c.state.Members
	if ms.Ready {
		return
	}
	if c.state.Now-c.state.StartedAt < joinTimeout && (!c.state.Self.Listed || !c.knownToAll()) {
		return
	}
	ms.Ready = true
	ms.dirty = true
	c.state.logDecision("join", "ready", "", "instance/"+c.state.Self.Instance.Name, "")
}

func (c memberController) knownToAll() bool {
	for _, m := range c.state.Members.All {
		if m != c.state.Self && m.AcceptsWork() && !m.KnowsSelf && m.Instance.Centre == c.state.Self.Instance.Centre {
			return false
		}
	}
	return true
}

// derive computes which instances accept work and which of them dispatches each
// endpoint.
func (c memberController) derive() {
	ms := &c.state.Members
	ms.dirty = false
	c.state.Self.Leaving = c.state.StoppingSince != 0
	ms.Available = make(map[string][]*Member)
	for _, m := range ms.All {
		if m.AcceptsWork() && (m != c.state.Self || ms.Ready) {
			ms.Available[m.Instance.Centre] = append(ms.Available[m.Instance.Centre], m)
		}
	}
	if centre := c.state.Self.Instance.Centre; c.state.StoppingSince != 0 && len(ms.Available) == 0 {
		ms.Available[centre] = []*Member{c.state.Self} // no other instance can take over
	}
	ms.heartbeatPeriod = min(max(heartbeatCycle/clock.Millis(max(1, len(ms.Available[c.state.Self.Instance.Centre])-1)), minHeartbeatPeriod), maxHeartbeatPeriod)
	watchController(c).selectWatchers()
	for _, s := range c.state.sortedServices() {
		c.deriveDispatchers(s)
		c.state.scheduleFill(s)
	}
}

// deriveDispatchers assigns the active endpoints of a service to the available instances
// of their data centre. Under a baseline policy, each instance instead sends work to all
// endpoints of its data centre.
func (c memberController) deriveDispatchers(s *Service) {
	s.Dispatched = nil
	s.Dispatchers = make(map[string][]Dispatcher)
	byCentre := make(map[string][]*Endpoint)
	for _, ep := range s.Endpoints {
		if ep.Backend.State == record.StateActive {
			byCentre[ep.Backend.Centre] = append(byCentre[ep.Backend.Centre], ep)
		}
	}
	if c.state.baselinePolicy() {
		s.Dispatched = byCentre[c.state.Self.Instance.Centre]
	}
	for centre, endpoints := range byCentre {
		for i, m := range assign(endpoints, c.state.Members.Available[centre]) {
			c.state.setDispatcher(endpoints[i], m)
			if m == c.state.Self && !c.state.baselinePolicy() {
				s.Dispatched = append(s.Dispatched, endpoints[i])
			}
			s.addDispatcher(centre, m, endpoints[i])
		}
	}
}

func (s *Service) addDispatcher(centre string, m *Member, ep *Endpoint) {
	dispatchers := s.Dispatchers[centre]
	for i := range dispatchers {
		if dispatchers[i].Member == m {
			dispatchers[i].Capacity += ep.Capacity()
			dispatchers[i].Slots += ep.Record.Slots
			dispatchers[i].Endpoints = append(dispatchers[i].Endpoints, ep)
			return
		}
	}
	s.Dispatchers[centre] = append(dispatchers, Dispatcher{Member: m, Capacity: ep.Capacity(), Slots: ep.Record.Slots, Endpoints: []*Endpoint{ep}})
}
