package instance

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// Failure detection. Heartbeats go round the instances of the data centre, one
// a period. The period shrinks as the data centre grows, down to a limit, so that
// an instance nobody sends traffic to is found dead within beatCycle and three
// timeouts. An instance that traffic is passed on to is asked at once when it has
// been quiet.
const (
	heartbeatCycle      = 4 * clock.Second        // in which every instance of the data centre is asked, if the limits allow
	maxHeartbeatPeriod  = 250 * clock.Millisecond // between heartbeats to successive instances, at most
	minHeartbeatPeriod  = 60 * clock.Millisecond  // the same, at least: it bounds the traffic of large data centres
	heartbeatTimeout    = 200 * clock.Millisecond // until an unanswered heartbeat is repeated
	maxMissedHeartbeats = 3                       // unanswered heartbeats until an instance counts as dead
	quietTimeout        = 500 * clock.Millisecond // traffic to an instance quiet for longer asks for a heartbeat
	forgetDelay         = 30 * clock.Second       // a dead instance that is not listed is forgotten
	joinTimeout         = 3 * clock.Second        // an instance that starts waits this long at most to be known
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
	KnowsSelf        bool         // it has answered a heartbeat of this process
	RepliedAt        clock.Millis // when its latest heartbeat answer came
	UnansweredSince  clock.Millis // when the first unanswered heartbeat was sent, or 0
	HeartbeatSentAt  clock.Millis // when the latest heartbeat was sent
	MissedHeartbeats int          // heartbeats unanswered in a row
	NewerSince       clock.Millis // since when its configuration is newer than ours, or 0
	AvoidUntil       clock.Millis // gets no work before, since it could not be reached
	Loads            map[uint64]*PeerLoad
	HandOverCost     MovingAverage // cost of work handed over to another data centre, in ms
	HandOverCostAt   clock.Millis  // when Trip was last measured
}

// PeerLoad is the newest queue state heard from another instance.
type PeerLoad struct {
	IdleSlots    int          // idle slots
	QueuedShort  int          // short requests waiting
	LongRequests int          // long requests waiting or running
	Rate         float64      // learnt capacity, in short requests a ms; 0 means not told
	Utilization  float64      // share of its slots' time used of late
	Slots        int          // of its endpoints, as the records say
	ReceivedAt   clock.Millis // when it was heard
}

// AcceptsWork reports whether the member takes new flows and work.
func (m *Member) AcceptsWork() bool {
	return m.Alive && !m.Leaving
}

// Members holds every instance this instance knows, itself included.
type Members struct {
	ByHash                map[uint64]*Member
	All                   []*Member            // by name
	Available             map[string][]*Member // by data centre: those that take new work, by name
	ListedAt              clock.Millis         // when the platform's list first came, or 0
	Ready                 bool                 // this instance may dispatch endpoints and take flows
	dirty                 bool                 // Live and the dispatch of endpoints are out of date
	routerDirty           bool                 // hops may be out of date
	hops                  []NextHop            // those of the router in use
	watch                 watchState
	lastHeartbeatAt       clock.Millis
	neighboursContactedAt clock.Millis // when neighbours were last written to
	heartbeatPeriod       clock.Millis // between heartbeats
	lastHeartbeatID       uint64
	cursor                int
}

func newMembers() Members {
	return Members{
		ByHash: make(map[uint64]*Member), Available: make(map[string][]*Member),
		watch: watchState{watching: true},
	}
}

// add takes in a new member as alive.
func (m *Members) add(i record.Instance) *Member {
	peers, _ := netip.ParseAddrPort(i.PeerAddress)
	n := &Member{
		Instance: i, Hash: token.Hash(i.Name), Incarnation: uint64(i.Incarnation), PeerAddress: peers,
		Alive: true, Leaving: i.State == record.StateLeaving, Loads: make(map[uint64]*PeerLoad),
	}
	m.ByHash[n.Hash] = n
	m.All = append(m.All, n)
	slices.SortFunc(m.All, func(x, y *Member) int { return cmp.Compare(x.Instance.Name, y.Instance.Name) })
	m.dirty = true
	return n
}

func (m *Members) remove(n *Member) {
	delete(m.ByHash, n.Hash)
	m.All = slices.DeleteFunc(m.All, func(x *Member) bool { return x == n })
	m.dirty = true
}

// memberController decides which instances are alive. The platform's list is
// where instances are found; heartbeats tell whether they live.
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

// learn takes in an instance's description. An older incarnation changes nothing.
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

// Limits of asking other instances for newer configuration.
const (
	platformGrace    = 1500 * clock.Millisecond // how long the platform is waited for first
	minFetchInterval = 2 * clock.Second
)

// forget gives up an instance that is dead and no longer listed. One survivor
// removes what it left on the platform.
func (c memberController) forget(m *Member) {
	c.state.Members.remove(m)
	c.state.Report.clear(conditionInstance, "instance/"+m.Instance.Name)
	if rendezvous(m.Hash, c.state.Members.Available[m.Instance.Centre]) == c.state.Self {
		c.state.emit(DeleteStatus{Instance: m.Instance.Name, Incarnation: clock.Millis(m.Incarnation)})
	}
}

// lost counts an instance as dead. One that said that it was leaving has just
// done so.
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

// join lets this instance dispatch endpoints and take flows once the others know
// of it, so that two instances do not dispatch the same endpoint, or each take the
// other's flows for orphans, for longer than need be. The platform's list lags: only
// when it shows this process does it show all that started before.
func (c memberController) join() {
	s := &c.state.Members
	if s.Ready {
		return
	}
	if c.state.Now-c.state.StartedAt < joinTimeout && (!c.state.Self.Listed || !c.knownToAll()) {
		return
	}
	s.Ready = true
	s.dirty = true
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

// derive works out which instances take work, and which of them dispatches each
// endpoint.
func (c memberController) derive() {
	s := &c.state.Members
	s.dirty = false
	c.state.Self.Leaving = c.state.StoppingSince != 0
	s.Available = make(map[string][]*Member)
	for _, m := range s.All {
		if m.AcceptsWork() && (m != c.state.Self || s.Ready) {
			s.Available[m.Instance.Centre] = append(s.Available[m.Instance.Centre], m)
		}
	}
	if here := c.state.Self.Instance.Centre; c.state.StoppingSince != 0 && len(s.Available) == 0 {
		s.Available[here] = []*Member{c.state.Self} // no other can take over
	}
	s.heartbeatPeriod = min(max(heartbeatCycle/clock.Millis(max(1, len(s.Available[c.state.Self.Instance.Centre])-1)), minHeartbeatPeriod), maxHeartbeatPeriod)
	watchController(c).choose()
	for _, v := range c.state.sortedServices() {
		c.deriveDispatchers(v)
		c.state.scheduleFill(v)
	}
}

func (c memberController) deriveDispatchers(v *Service) {
	v.Dispatched = nil
	v.Dispatchers = make(map[string][]Dispatcher)
	byCentre := make(map[string][]*Endpoint)
	for _, ep := range v.Endpoints {
		if ep.Backend.State == record.StateActive {
			byCentre[ep.Backend.Centre] = append(byCentre[ep.Backend.Centre], ep)
		}
	}
	if c.state.baselinePolicy() {
		v.Dispatched = byCentre[c.state.Self.Instance.Centre]
	}
	for centre, endpoints := range byCentre {
		for i, m := range assign(endpoints, c.state.Members.Available[centre]) {
			c.state.setDispatcher(endpoints[i], m)
			if m == c.state.Self && !c.state.baselinePolicy() {
				v.Dispatched = append(v.Dispatched, endpoints[i])
			}
			v.addDispatcher(centre, m, endpoints[i])
		}
	}
}

func (s *Service) addDispatcher(centre string, m *Member, ep *Endpoint) {
	places := s.Dispatchers[centre]
	for i := range places {
		if places[i].Member == m {
			places[i].Capacity += ep.Capacity()
			places[i].Slots += ep.Record.Slots
			places[i].Endpoints = append(places[i].Endpoints, ep)
			return
		}
	}
	s.Dispatchers[centre] = append(places, Dispatcher{Member: m, Capacity: ep.Capacity(), Slots: ep.Record.Slots, Endpoints: []*Endpoint{ep}})
}
