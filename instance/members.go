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
	beatCycle   = 4 * clock.Second        // in which every instance of the data centre is asked, if the limits allow
	beatPeriod  = 250 * clock.Millisecond // between heartbeats to successive instances, at most
	beatLeast   = 60 * clock.Millisecond  // the same, at least: it bounds the traffic of large data centres
	beatTimeout = 200 * clock.Millisecond // until an unanswered heartbeat is repeated
	beatTries   = 3                       // unanswered heartbeats until an instance counts as dead
	quietLimit  = 500 * clock.Millisecond // traffic to an instance quiet for longer asks for a heartbeat
	forgetAfter = 30 * clock.Second       // a dead instance that is not listed is forgotten
	joinLimit   = 3 * clock.Second        // an instance that starts waits this long at most to be known
)

// Member is one entry instance as this instance sees it.
type Member struct {
	Instance         record.Instance
	Hash             uint64
	Incarnation      uint64
	PeerAddr         netip.AddrPort
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
	FreeSlots    int          // idle slots
	ShortWaiting int          // short requests waiting
	LongBacklog  int          // long requests waiting or running
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
	ByHash     map[uint64]*Member
	All        []*Member            // by name
	Available  map[string][]*Member // by data centre: those that take new work, by name
	ListedAt   clock.Millis         // when the platform's list first came, or 0
	Ready      bool                 // this instance may dispatch endpoints and take flows
	changed    bool                 // Live and the dispatch of endpoints are out of date
	moved      bool                 // hops may be out of date
	hops       []NextHop            // those of the router in use
	watch      watchState
	beatAt     clock.Millis
	introduced clock.Millis // when neighbours were last written to
	period     clock.Millis // between heartbeats
	beat       uint64
	turn       int
}

func newMembers() Members {
	return Members{
		ByHash: make(map[uint64]*Member), Available: make(map[string][]*Member),
		watch: watchState{watches: true},
	}
}

// add takes in a new member as alive.
func (m *Members) add(i record.Instance) *Member {
	peers, _ := netip.ParseAddrPort(i.PeerAddress)
	n := &Member{
		Instance: i, Hash: token.Hash(i.Name), Incarnation: uint64(i.Incarnation), PeerAddr: peers,
		Alive: true, Leaving: i.State == record.StateLeaving, Loads: make(map[uint64]*PeerLoad),
	}
	m.ByHash[n.Hash] = n
	m.All = append(m.All, n)
	slices.SortFunc(m.All, func(x, y *Member) int { return cmp.Compare(x.Instance.Name, y.Instance.Name) })
	m.changed = true
	return n
}

func (m *Members) remove(n *Member) {
	delete(m.ByHash, n.Hash)
	m.All = slices.DeleteFunc(m.All, func(x *Member) bool { return x == n })
	m.changed = true
}

// memberController decides which instances are alive. The platform's list is
// where instances are found; heartbeats tell whether they live.
type memberController struct{ b *EngineState }

func (c memberController) listed(ev InstancesListed) {
	c.b.Members.moved = true
	for _, m := range c.b.Members.All {
		m.Listed = false
	}
	for _, i := range ev.Instances {
		switch {
		case i.Check() != nil:
		case i.Name != c.b.Settings.Self.Name:
			c.learn(i).Listed = true
		case uint64(i.Incarnation) == c.b.Self.Incarnation:
			c.b.Self.Listed = true
		}
	}
	if c.b.Members.ListedAt == 0 {
		c.b.Members.ListedAt = c.b.Now
		c.greet()
	}
}

// learn takes in an instance's description. An older incarnation changes nothing.
func (c memberController) learn(i record.Instance) *Member {
	m := c.b.Members.ByHash[token.Hash(i.Name)]
	switch {
	case m == nil:
		m = c.b.Members.add(i)
		c.b.note("join", "listed", "", "instance/"+i.Name, i.PeerAddress)
		c.pingNear(m)
	case uint64(i.Incarnation) > m.Incarnation:
		c.restart(m, uint64(i.Incarnation))
		m.Instance = i
		m.PeerAddr, _ = netip.ParseAddrPort(i.PeerAddress)
		c.pingNear(m)
	case uint64(i.Incarnation) == m.Incarnation:
		m.Instance = i
		c.leaving(m, i.State == record.StateLeaving || m.Leaving)
	}
	return m
}

func (c memberController) restart(m *Member, incarnation uint64) {
	c.b.Members.moved = true
	c.b.note("restart", "incarnation", "", "instance/"+m.Instance.Name, "")
	m.Incarnation = incarnation
	m.Alive, m.Leaving, m.KnowsSelf = true, false, false
	m.UnansweredSince, m.MissedHeartbeats = 0, 0
	clear(m.Loads)
	c.b.Members.changed = true
}

func (c memberController) leaving(m *Member, leaving bool) {
	if m.Leaving == leaving {
		return
	}
	m.Leaving = leaving
	c.b.Members.changed = true
	c.b.note("leave", "announced", "", "instance/"+m.Instance.Name, "")
}

// Limits of asking other instances for newer configuration.
const (
	aheadLimit  = 1500 * clock.Millisecond // how long the platform is waited for first
	fetchPeriod = 2 * clock.Second
)

// forget gives up an instance that is dead and no longer listed. One survivor
// removes what it left on the platform.
func (c memberController) forget(m *Member) {
	c.b.Members.remove(m)
	c.b.Report.clear(conditionInstance, "instance/"+m.Instance.Name)
	if rendezvous(m.Hash, c.b.Members.Available[m.Instance.Centre]) == c.b.Self {
		c.b.do(DeleteStatus{Instance: m.Instance.Name, Incarnation: clock.Millis(m.Incarnation)})
	}
}

// lost counts an instance as dead. One that said that it was leaving has just
// done so.
func (c memberController) lost(m *Member) {
	subject := "instance/" + m.Instance.Name
	m.Alive, m.KnowsSelf = false, false
	c.b.Members.changed = true
	if m.Leaving {
		c.b.note("leave", "gone", "", subject, "")
		return
	}
	c.b.note("suspect", "silent", "", subject, "")
	c.b.Report.raise(c.b.Now, conditionInstance, subject, "heartbeats are not answered", "its flows are taken over by other instances")
}

// join lets this instance dispatch endpoints and take flows once the others know
// of it, so that two instances do not dispatch the same endpoint, or each take the
// other's flows for orphans, for longer than need be. The platform's list lags: only
// when it shows this process does it show all that started before.
func (c memberController) join() {
	s := &c.b.Members
	if s.Ready {
		return
	}
	if c.b.Now-c.b.StartedAt < joinLimit && (!c.b.Self.Listed || !c.known()) {
		return
	}
	s.Ready = true
	s.changed = true
	c.b.note("join", "ready", "", "instance/"+c.b.Self.Instance.Name, "")
}

func (c memberController) known() bool {
	for _, m := range c.b.Members.All {
		if m != c.b.Self && m.AcceptsWork() && !m.KnowsSelf && m.Instance.Centre == c.b.Self.Instance.Centre {
			return false
		}
	}
	return true
}

// derive works out which instances take work, and which of them dispatches each
// endpoint.
func (c memberController) derive() {
	s := &c.b.Members
	s.changed = false
	c.b.Self.Leaving = c.b.StoppingSince != 0
	s.Available = make(map[string][]*Member)
	for _, m := range s.All {
		if m.AcceptsWork() && (m != c.b.Self || s.Ready) {
			s.Available[m.Instance.Centre] = append(s.Available[m.Instance.Centre], m)
		}
	}
	if here := c.b.Self.Instance.Centre; c.b.StoppingSince != 0 && len(s.Available) == 0 {
		s.Available[here] = []*Member{c.b.Self} // no other can take over
	}
	s.period = min(max(beatCycle/clock.Millis(max(1, len(s.Available[c.b.Self.Instance.Centre])-1)), beatLeast), beatPeriod)
	watchController(c).choose()
	for _, v := range c.b.sortedServices() {
		c.derivePlaces(v)
		c.b.pump(v)
	}
}

func (c memberController) derivePlaces(v *Service) {
	v.Dispatched = nil
	v.Dispatchers = make(map[string][]Dispatcher)
	byCentre := make(map[string][]*Endpoint)
	for _, ep := range v.Endpoints {
		if ep.Backend.State == record.StateActive {
			byCentre[ep.Backend.Centre] = append(byCentre[ep.Backend.Centre], ep)
		}
	}
	if c.b.alone() {
		v.Dispatched = byCentre[c.b.Self.Instance.Centre]
	}
	for centre, endpoints := range byCentre {
		for i, m := range assign(endpoints, c.b.Members.Available[centre]) {
			c.b.keep(endpoints[i], m)
			if m == c.b.Self && !c.b.alone() {
				v.Dispatched = append(v.Dispatched, endpoints[i])
			}
			v.addPlace(centre, m, endpoints[i])
		}
	}
}

func (s *Service) addPlace(centre string, m *Member, ep *Endpoint) {
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
