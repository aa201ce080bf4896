package fleet

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/steering"
)

// scenario is one case of testdata/fleet.yaml: members of one data centre that exchange
// messages, and a store that some of them can read.
type scenario struct {
	Name      string         `yaml:"name"`
	Members   int            `yaml:"members"`
	Bound     clock.Millis   `yaml:"bound"`     // record bound; 0 for 3000
	Endpoints int            `yaml:"endpoints"` // at which each member has some load to report; 0 if members report none
	Unlisted  bool           `yaml:"apart"`     // members don't know each other at first
	Orders    bool           `yaml:"orders"`    // operators order evacuations
	Old       []int          `yaml:"old"`       // members of a version that knows no orders and no reports of load
	Steps     []scenarioStep `yaml:"steps"`
}

// scenarioStep has actions on members, given by their rank from 0, and conditions that are
// checked after Duration.
type scenarioStep struct {
	Duration        clock.Millis `yaml:"pass"`   // simulated time of the step
	Kill            []int        `yaml:"kill"`   // end without a message
	Stop            []int        `yaml:"stop"`   // shut down gracefully
	Start           []int        `yaml:"start"`  // start again, with the store's current records
	Stall           []int        `yaml:"freeze"` // run nothing until resumed; messages queue up
	Resume          []int        `yaml:"thaw"`
	DenyStore       []int        `yaml:"blind"` // can't read the store until allowed again
	AllowStore      []int        `yaml:"see"`
	DropMessages    []int        `yaml:"deaf"` // receive no messages until delivered again
	DeliverMessages []int        `yaml:"hear"`
	DropSent        []int        `yaml:"mute"` // their messages are lost until sent again
	SendMessages    []int        `yaml:"speak"`
	LoseChanges     bool         `yaml:"lose"`     // EndpointChanges messages of this step are lost
	Change          string       `yaml:"change"`   // "true": the configuration and an endpoint change in the store; or "only endpoints"
	Evacuate        string       `yaml:"evacuate"` // an operator orders the evacuation of a data centre
	Lift            string       `yaml:"lift"`     // an operator lifts it
	ListMembers     bool         `yaml:"meet"`     // all members receive the store's list of members

	Watchers          []int        `yaml:"watch"`  // members that watch at the end; nil for any
	MaxWatchers       int          `yaml:"most"`   // highest number of watchers at any time of the step; 0 for any
	MaxAge            clock.Millis `yaml:"age"`    // highest age of records at running members that can read the store; 0 for any
	MaxCalls          int          `yaml:"calls"`  // highest number of reads of the store in the step; 0 for any
	ChangesKnown      bool         `yaml:"known"`  // all running members know the latest change
	MaxBytesPerSecond int          `yaml:"bytes"`  // highest average that a member sent in the step; 0 for any
	MaxServed         int          `yaml:"served"` // highest number of fetches that a member served in the step; 0 for any
	Summed            int          `yaml:"summed"` // members whose load the sums have that each running member of this version knows; 0 for any
	MaxSumAge         clock.Millis `yaml:"sumAge"` // highest age of these sums
	Avoided           []string     `yaml:"avoids"` // data centres that all running members with orders avoid, unless they are cut off; nil for any
	Outage            []int        `yaml:"outage"` // running members that know of an outage of the store that ended in the step; nil for any
}

func TestScenarios(t *testing.T) {
	var cases []scenario
	script.Read(t, "testdata/fleet.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			sm := newSimulation(t, c)
			for i, s := range c.Steps {
				sm.step(fmt.Sprintf("step %d", i+1), s)
			}
		})
	}
}

// testMember is one member of a simulation.
type testMember struct {
	Member
	engine       *Engine
	live         bool
	stalled      bool
	storeDenied  bool
	dropMessages bool
	dropSent     bool
	isOld        bool
	orders       evacuation.Orders // that its steering knows
	nextReadAt   clock.Millis      // when its next watch call ends without a change
	retryPause   clock.Millis      // after its last call, if that failed
	inbox        []MessageReceived
	bytesSent    int      // in this step
	served       int      // fetches by other members in this step
	known        []string // members that steering was told
	memberSums
}

// simulation runs members on a simulated clock.
type simulation struct {
	t                     *testing.T
	now                   clock.Millis
	bound                 clock.Millis
	members               []*testMember
	revision              uint64
	changeRevision        uint64 // revision of the latest change of endpoints
	configurationRevision uint64
	hasOrders             bool
	orders                evacuation.Orders // in the store
	loseChanges           bool
	calls                 int
	maxWatchers           int
	maxAge                clock.Millis
	endpoints             int
}

// Times of the simulation, in ms. readPause is the forwarder's pause between watch calls.
const (
	tickPeriod = 100
	readPause  = 400
)

func newSimulation(t *testing.T, c scenario) *simulation {
	sm := &simulation{t: t, now: 1_000_000, bound: c.Bound, revision: 10, changeRevision: 10, configurationRevision: 10, endpoints: c.Endpoints}
	if sm.bound == 0 {
		sm.bound = 3000
	}
	for i := range c.Members {
		m := Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", StartedAt: sm.now}
		m.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(i%250 + 1)}), 7720)
		sm.members = append(sm.members, &testMember{Member: m})
	}
	sm.hasOrders = c.Orders
	slices.SortFunc(sm.members, func(a, b *testMember) int {
		return compareRank(&peer{Member: a.Member, rank: rank(a.Name)}, &peer{Member: b.Member, rank: rank(b.Name)})
	})
	sm.each(c.Old, func(n *testMember) { n.isOld = true })
	for _, n := range sm.members {
		sm.start(n)
	}
	if !c.Unlisted {
		sm.listMembers()
	}
	return sm
}

func (sm *simulation) start(n *testMember) {
	n.live, n.stalled = true, false
	n.StartedAt = sm.now
	s := Settings{Self: n.Member, RecordBound: sm.bound, Evacuations: sm.hasOrders && !n.isOld, NotifyMembers: true}
	n.engine, n.known = NewEngine(s, sm.now), nil
	n.orders = evacuation.Orders{}
	n.nextReadAt = sm.now
	sm.readStore(n)
}

func (sm *simulation) listMembers() {
	var all []Member
	for _, n := range sm.members {
		all = append(all, n.Member)
	}
	for _, n := range sm.members {
		if n.live {
			sm.perform(n, n.engine.Handle(sm.now, MembersListed{Members: all}))
		}
	}
}

// readStore lets a member read the configuration and the endpoints from the store.
func (sm *simulation) readStore(n *testMember) {
	if n.storeDenied {
		sm.perform(n, n.engine.Handle(sm.now, StoreCallFailed{}))
		shortest, longest := n.engine.RetryPauses()
		n.retryPause = min(max(2*n.retryPause, shortest), longest)
		n.nextReadAt = sm.now + n.retryPause
		return
	}
	n.retryPause = 0
	s := n.engine.RecordState(sm.now)
	from := s.EndpointsRevision
	read := RecordsRead{IsConfiguration: true}
	if s.ConfigurationRevision != sm.configurationRevision {
		read.Delta = &steering.Delta{From: s.ConfigurationRevision, Revision: sm.configurationRevision}
	}
	s.ConfigurationRevision, s.ConfirmedRevision = sm.configurationRevision, sm.revision
	read.State = s
	sm.perform(n, n.engine.Handle(sm.now, read))
	s = n.engine.RecordState(sm.now)
	s.EndpointsRevision, s.ChangeRevision = sm.revision, sm.changeRevision
	var changes []steering.EndpointChange
	if from < sm.changeRevision {
		changes = append(changes, steering.EndpointChange{Endpoint: steering.Endpoint{ID: "i-1", Revision: sm.changeRevision}})
	}
	sm.perform(n, n.engine.Handle(sm.now, RecordsRead{State: s, Since: from, Changes: changes}))
	if sm.hasOrders {
		sm.orders.Revision = sm.revision
		sm.perform(n, n.engine.Handle(sm.now, EvacuationsRead{Orders: sm.orders}))
	}
}

func (sm *simulation) perform(n *testMember, actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Send:
			data, err := Encode(n.Member, v.Message)
			require.NoError(sm.t, err)
			n.bytesSent += len(data) * len(v.To)
			if n.dropSent {
				continue
			}
			for _, to := range v.To {
				sm.deliver(to, data)
			}
		case FetchRecords:
			if v.Endpoints && sm.fetchFrom(n, v.Peer, v.EndpointsRevision) && !v.Configuration {
				continue
			}
			sm.calls++
			if sm.readStore(n); n.storeDenied {
				sm.fetchFrom(n, v.Peer, 0)
			}
		case NotifySteering:
			switch r := v.Event.(type) {
			case steering.MembersKnown:
				n.known = r.Names
			case steering.EvacuationsRead:
				require.Greater(sm.t, r.Orders.Revision, n.orders.Revision, "orders of %s go back", n.Name)
				n.orders = r.Orders
			case steering.DemandSummed:
				n.recordSums(sm, r.Summary)
			}
		case SetWatching, RemoveMember:
		}
	}
}

// fetchFrom lets a member fetch the changes of endpoints that another member knows, if they
// reach a revision, or all its records if the revision is 0. It reports whether it did.
func (sm *simulation) fetchFrom(n *testMember, from Member, revision uint64) bool {
	for _, p := range sm.members {
		if p.Name != from.Name || !p.live || p.stalled || p.engine.state.EndpointsRevision < revision {
			continue
		}
		p.served++
		r := RecordsFetched{State: p.engine.RecordState(sm.now), EndpointsOnly: revision != 0}
		if revision == 0 {
			r.Evacuations = p.engine.EvacuationState(sm.now)
		}
		sm.perform(n, n.engine.Handle(sm.now, r))
		return true
	}
	return false
}

func (sm *simulation) deliver(to netip.AddrPort, data []byte) {
	from, m, err := Decode(data)
	require.NoError(sm.t, err)
	m = sm.asUnderstood(to, m)
	if _, isChanges := m.(EndpointChanges); isChanges && sm.loseChanges {
		return
	}
	for _, n := range sm.members {
		if n.Address == to && n.live && !n.dropMessages {
			received := m
			if n.isOld || sm.isOld(from) {
				received = withoutOrders(m)
			}
			require.True(sm.t, sm.hasOrders || reflect.DeepEqual(m, withoutOrders(m)), "orders are sent")
			n.inbox = append(n.inbox, MessageReceived{From: from, Message: received})
		}
	}
}

func (sm *simulation) isOld(m Member) bool {
	return slices.ContainsFunc(sm.members, func(n *testMember) bool { return n.isOld && n.Name == m.Name })
}

// withoutOrders returns a message as an older version sends, relays or reads it.
func withoutOrders(m Message) Message {
	switch v := m.(type) {
	case Heartbeat:
		v.Evacuations = nil
		return v
	case RelayedHeartbeat:
		v.Evacuations = nil
		return v
	}
	return m
}

func (sm *simulation) each(list []int, do func(*testMember)) {
	for _, i := range list {
		do(sm.members[i])
	}
}

func (sm *simulation) step(name string, s scenarioStep) {
	sm.t.Helper()
	sm.calls, sm.maxWatchers, sm.maxAge = 0, 0, 0
	for _, n := range sm.members {
		n.bytesSent, n.served = 0, 0
	}
	sm.each(s.Kill, func(n *testMember) { n.live, n.inbox = false, nil })
	sm.each(s.Stop, func(n *testMember) {
		sm.perform(n, n.engine.Handle(sm.now, Stopping{}))
		n.live, n.inbox = false, nil
	})
	sm.each(s.Start, func(n *testMember) { sm.start(n) })
	sm.each(s.Stall, func(n *testMember) { n.stalled = true })
	sm.each(s.Resume, func(n *testMember) { n.stalled = false })
	sm.each(s.DenyStore, func(n *testMember) { n.storeDenied = true })
	sm.each(s.AllowStore, func(n *testMember) { n.storeDenied = false })
	sm.each(s.DropMessages, func(n *testMember) { n.dropMessages, n.inbox = true, nil })
	sm.each(s.DeliverMessages, func(n *testMember) { n.dropMessages = false })
	sm.each(s.DropSent, func(n *testMember) { n.dropSent = true })
	sm.each(s.SendMessages, func(n *testMember) { n.dropSent = false })
	if s.ListMembers {
		sm.listMembers()
	}
	for _, c := range []evacuation.Change{{Order: evacuation.Order{Centre: s.Evacuate}}, {Order: evacuation.Order{Centre: s.Lift}, Lifted: true}} {
		if c.Centre != "" {
			sm.revision++
			c.Revision = sm.revision
			sm.orders = sm.orders.Apply([]evacuation.Change{c}, sm.revision)
		}
	}
	sm.loseChanges = s.LoseChanges
	if s.Change != "" {
		sm.revision += 3
		sm.changeRevision = sm.revision
	}
	if s.Change == "true" {
		sm.configurationRevision = sm.revision
	}
	for end := sm.now + s.Duration; sm.now < end; {
		sm.now += tickPeriod
		sm.tick()
	}
	sm.expect(name, s)
}

// tick delivers messages and a Ticked event to all members, and answers watch calls: at
// once if the store has changed, otherwise after their wait.
func (sm *simulation) tick() {
	watchers := 0
	for _, n := range sm.members {
		if !n.live || n.stalled {
			continue
		}
		inbox := n.inbox
		n.inbox = nil
		for _, r := range inbox {
			sm.perform(n, n.engine.Handle(sm.now, r))
		}
		sm.takeDemand(n)
		sm.perform(n, n.engine.Handle(sm.now, Ticked{}))
		if !n.engine.Watching() {
			continue
		}
		watchers++
		unchanged := n.engine.state.ChangeRevision == sm.changeRevision && (!sm.hasOrders || n.isOld || slices.Equal(n.orders.List, sm.orders.List))
		if sm.now < n.nextReadAt && (unchanged || sm.now < n.nextReadAt-WatchWait(sm.bound)) {
			continue
		}
		sm.calls++
		n.nextReadAt = sm.now + readPause + WatchWait(sm.bound)
		sm.readStore(n)
	}
	sm.maxWatchers = max(sm.maxWatchers, watchers)
	for _, n := range sm.members {
		if n.live && !n.stalled && !n.storeDenied {
			sm.maxAge = max(sm.maxAge, n.engine.recordAge(sm.now))
		}
	}
}

func (sm *simulation) expect(name string, s scenarioStep) {
	sm.t.Helper()
	if s.Watchers != nil {
		watching := []int{}
		for i, n := range sm.members {
			if n.live && !n.stalled && n.engine.Watching() {
				watching = append(watching, i)
			}
		}
		require.Equal(sm.t, s.Watchers, watching, name)
	}
	sm.expectSums(name, s)
	if s.Outage != nil {
		require.Equal(sm.t, s.Outage, sm.knowOutage(s.Duration), name)
	}
	if s.MaxWatchers > 0 {
		require.LessOrEqual(sm.t, sm.maxWatchers, s.MaxWatchers, name)
	}
	if s.MaxAge > 0 {
		require.LessOrEqual(sm.t, sm.maxAge, s.MaxAge, name)
	}
	if s.MaxCalls > 0 {
		require.LessOrEqual(sm.t, sm.calls, s.MaxCalls, name)
	}
	sm.expectTraffic(name, s)
	if s.Avoided != nil {
		sm.expectAvoided(name, s.Avoided)
	}
	if s.ChangesKnown {
		for i, n := range sm.members {
			if n.live && !n.stalled {
				require.GreaterOrEqual(sm.t, n.engine.state.EndpointsRevision, sm.changeRevision, "%s: member %d", name, i)
				require.Equal(sm.t, sm.configurationRevision, n.engine.state.ConfigurationRevision, "%s: member %d", name, i)
			}
		}
	}
}

func (sm *simulation) expectAvoided(name string, want []string) {
	sm.t.Helper()
	for i, n := range sm.members {
		if !n.live || n.stalled || n.isOld || n.storeDenied && n.dropMessages {
			continue
		}
		avoided := []string{}
		for _, o := range n.orders.List {
			avoided = append(avoided, o.Centre)
		}
		require.True(sm.t, n.orders.Known(), "%s: member %d knows the orders", name, i)
		require.Equal(sm.t, want, avoided, "%s: member %d", name, i)
	}
}

// knowOutage returns the running members that know of an outage of the store that ended in the
// latest duration.
func (sm *simulation) knowOutage(duration clock.Millis) []int {
	know := []int{}
	for i, n := range sm.members {
		if n.live && !n.stalled && n.engine.Confirmation().StoreRecoveredAt > sm.now-duration {
			know = append(know, i)
		}
	}
	return know
}

func (sm *simulation) expectTraffic(name string, s scenarioStep) {
	sm.t.Helper()
	for i, n := range sm.members {
		if s.MaxServed > 0 {
			require.LessOrEqual(sm.t, n.served, s.MaxServed, "%s: fetches that member %d served", name, i)
		}
		if s.MaxBytesPerSecond > 0 {
			require.LessOrEqual(sm.t, n.bytesSent*1000/int(s.Duration), s.MaxBytesPerSecond, "%s: bytes per second of member %d", name, i)
		}
	}
}

// Decoding returns the encoded message and sender. Messages that are too large, malformed,
// empty or without a valid sender are rejected with ErrMessage.
func TestMessageRoundTrip(t *testing.T) {
	from := Member{Name: "edge-1", Centre: "here", Address: netip.MustParseAddrPort("127.0.0.1:7720"), StartedAt: 5}
	state := RecordState{ConfigurationRevision: 1, ConfirmedRevision: 2, ChangeRevision: 3, EndpointsRevision: 4, ConfigurationAge: 5, EndpointsAge: 6, RecoveredAge: 7}
	for _, m := range []Message{
		Hello{WantReply: true, Members: []Member{from}},
		Heartbeat{State: state, Leaving: true},
		EndpointChanges{Since: 3, State: state, Changes: []steering.EndpointChange{{Endpoint: steering.Endpoint{ID: "i-1", Number: 1, Revision: 4}, Removed: true}}},
		ConfigurationChange{State: state, Delta: steering.Delta{
			From: 1, Revision: 2, Version: 3, IdleTimeout: 4, Unset: []steering.AddrPort{{Address: 1, Port: 2}},
			Set: []steering.RouteEntry{{Destination: steering.AddrPort{Address: 3, Port: 4}, Route: steering.Route{Name: "r", Shares: []steering.Share{{Service: "s", Weight: 1}}}}},
		}},
		RelayedHeartbeat{Watcher: from, State: state},
		HeartbeatMissed{},
		EndpointTallies{Tallies: []steering.Tally{{Token: 1 << 31, Normal: 2, Small: 3, Overdue: 4, UnansweredAges: []clock.Millis{5, 6}}}},
		FlowQuery{Flows: []steering.FlowProgress{{Consumer: steering.AddrPort{Address: 1, Port: 2}, Destination: steering.AddrPort{Address: 3, Port: 4}, Ack: 5}}},
		FlowReply{Flows: []steering.FlowProgress{{Consumer: steering.AddrPort{Address: 1, Port: 2}, Destination: steering.AddrPort{Address: 3, Port: 4}, Ack: 6}}},
		EndpointFault{steering.EndpointFault{Endpoint: "i-1", Incarnation: 9, Refused: true}},
	} {
		data, err := Encode(from, m)
		require.NoError(t, err)
		sender, got, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, from, sender)
		require.Equal(t, m, got)
	}
	_, err := Encode(from, EndpointFault{steering.EndpointFault{Endpoint: strings.Repeat("x", MaxMessageSize)}})
	require.ErrorIs(t, err, ErrMessage)
	for _, data := range [][]byte{nil, {0xff}, []byte("text")} {
		_, _, err := Decode(data)
		require.ErrorIs(t, err, ErrMessage)
	}
	incomplete, err := Encode(Member{Name: "edge-1"}, Hello{})
	require.NoError(t, err)
	_, _, err = Decode(incomplete)
	require.ErrorIs(t, err, ErrMessage)
	empty, err := Encode(from, nil)
	require.NoError(t, err)
	_, _, err = Decode(empty)
	require.ErrorIs(t, err, ErrMessage)
}

// The number of changes that countFitting computes fits into a message even if all numbers
// and strings have their longest encoding. Encode would reject a larger message, and all
// members would have to fetch the changes.
func TestEndpointChangesFit(t *testing.T) {
	change := steering.EndpointChange{Endpoint: steering.Endpoint{
		ID: "i-" + strings.Repeat("f", 16), Number: 1 << 63, Revision: 1 << 40, Service: strings.Repeat("s", 24),
		Address: steering.AddrPort{Address: 1 << 31, Port: 65535}, Centre: strings.Repeat("c", 24), Slots: 1 << 16,
		Draining: true, Warmup: 100_000, Incarnation: 1 << 41,
	}}
	m := EndpointChanges{Since: 1 << 40, State: RecordState{
		ConfigurationRevision: 1 << 40, ConfirmedRevision: 1 << 40, ChangeRevision: 1 << 40, EndpointsRevision: 1 << 40,
		ConfigurationAge: 100_000, EndpointsAge: 100_000, RecoveredAge: 1 << 40,
	}}
	for range 40 {
		m.Changes = append(m.Changes, change)
	}
	n := countFitting(m.Changes)
	require.Greater(t, n, 4, "changes in a message")
	m.Changes = m.Changes[:n]
	_, err := Encode(Member{
		Name: strings.Repeat("n", 40), Centre: strings.Repeat("c", 24), Address: netip.MustParseAddrPort("255.255.255.255:65535"), StartedAt: 1 << 41,
	}, m)
	require.NoError(t, err)
}

// A watcher sends few changes to all members, but not many changes to many members, since
// these would delay its heartbeats. Members fetch such changes.
func TestManyChangesAreNotPushed(t *testing.T) {
	for _, c := range []struct{ members, changes, messages int }{{20, 1, 1}, {20, 40, 4}, {100, 10, 1}, {100, 40, 0}} {
		e := NewEngine(Settings{Self: Member{Name: "edge-0", Centre: "here", Address: netip.MustParseAddrPort("10.0.0.1:1")}, RecordBound: 3000}, 1000)
		var list []Member
		for i := range c.members {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
			list = append(list, Member{Name: fmt.Sprintf("edge-%d", i+1), Centre: "here", Address: at})
		}
		e.Handle(1000, MembersListed{Members: list})
		var changes []steering.EndpointChange
		for i := range c.changes {
			id := fmt.Sprintf("i-%010x", i)
			changes = append(changes, steering.EndpointChange{Endpoint: steering.Endpoint{ID: id, Service: "order-desk", Centre: "here", Revision: uint64(i + 1)}})
		}
		messages, pushed := 0, 0
		for _, a := range e.pushChanges(1000, 0, changes, RecordState{}) {
			messages++
			pushed += len(a.(Send).Message.(EndpointChanges).Changes)
		}
		require.Equal(t, c.messages, messages, "%+v", c)
		if messages > 0 {
			require.Equal(t, c.changes, pushed, "%+v", c)
		}
	}
}

// talliesPerMessage tallies fit into a message even with long numbers.
func TestTalliesFit(t *testing.T) {
	m := EndpointTallies{}
	for range talliesPerMessage {
		m.Tallies = append(m.Tallies, steering.Tally{Token: 1 << 31, Normal: 1 << 15, Small: 1 << 15, Overdue: 1 << 15, UnansweredAges: []clock.Millis{2500, 2500, 2500}})
	}
	_, err := Encode(Member{
		Name: strings.Repeat("n", 40), Centre: strings.Repeat("c", 24), Address: netip.MustParseAddrPort("255.255.255.255:65535"), StartedAt: 1 << 41,
	}, m)
	require.NoError(t, err)
}

// The flows of the largest query of steering fit into a message.
func TestFlowQueryFits(t *testing.T) {
	m := FlowQuery{}
	for range steering.MaxFlowsPerQuery {
		end := steering.AddrPort{Address: 1<<32 - 1, Port: 1<<16 - 1}
		m.Flows = append(m.Flows, steering.FlowProgress{Consumer: end, Destination: end, Ack: 1<<32 - 1})
	}
	_, err := Encode(Member{
		Name: strings.Repeat("n", 40), Centre: strings.Repeat("c", 24), Address: netip.MustParseAddrPort("255.255.255.255:65535"), StartedAt: 1 << 41,
	}, m)
	require.NoError(t, err)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _, _ = Decode(data)
	})
}

// A member that starts while the store doesn't answer must not make its own records or those
// of the other members look confirmed.
func TestRestartConfirmsNoRecords(t *testing.T) {
	member := func(i byte) Member {
		return Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)}
	}
	old := NewEngine(Settings{Self: member(1), RecordBound: 3000}, 10_000)
	old.Handle(10_000, MembersListed{Members: []Member{member(2)}})
	for _, isConfiguration := range []bool{true, false} {
		state := RecordState{ConfigurationRevision: 5, ConfirmedRevision: 5, ChangeRevision: 7, EndpointsRevision: 7}
		old.Handle(10_000, RecordsRead{IsConfiguration: isConfiguration, State: state})
	}
	restarted := NewEngine(Settings{Self: member(2), RecordBound: 3000}, 20_000)
	restarted.Handle(20_000, MembersListed{Members: []Member{member(1)}})
	require.Zero(t, restarted.Confirmation().EndpointsAt, "before it has records")
	require.Zero(t, restarted.Confirmation().ConfigurationAt, "before it has records")
	restarted.Handle(20_050, RecordsFetched{State: old.RecordState(20_050)})
	require.EqualValues(t, 10_000, restarted.Confirmation().EndpointsAt)
	require.EqualValues(t, 10_000, restarted.Confirmation().ConfigurationAt)
	old.Handle(20_100, MessageReceived{From: member(2), Message: Heartbeat{State: restarted.RecordState(20_100)}})
	require.EqualValues(t, 10_000, old.Confirmation().EndpointsAt, "at another member")
	require.EqualValues(t, 10_000, old.Confirmation().ConfigurationAt, "at another member")
	require.False(t, old.isActiveWatcher(20_100, old.peers.find("edge-2")), "the restarted member gets no answers")
}

func TestWhatWaitedDuringStallConfirmsNoLaterRecords(t *testing.T) {
	member := func(i byte) Member {
		return Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)}
	}
	state := RecordState{ConfigurationRevision: 5, ConfirmedRevision: 5, ChangeRevision: 7, EndpointsRevision: 7, ConfigurationAge: 100, EndpointsAge: 100}
	heartbeat := MessageReceived{From: member(1), Message: Heartbeat{State: state}}
	e := NewEngine(Settings{Self: member(2), RecordBound: 3000}, 9000)
	e.Handle(9000, MembersListed{Members: []Member{member(1)}})
	e.Handle(9000, RecordsFetched{State: state})
	for now := clock.Millis(9100); now <= 10_000; now += 100 {
		e.Handle(now, Ticked{})
	}
	e.Handle(10_000, heartbeat)
	requireConfirmed := func(at clock.Millis, event string) {
		t.Helper()
		require.Equal(t, at, e.Confirmation().ConfigurationAt, event)
		require.Equal(t, at, e.Confirmation().EndpointsAt, event)
	}
	requireConfirmed(9900, "heartbeat before the stall")
	e.Handle(16_000, heartbeat)
	requireConfirmed(9900, "heartbeat that is read before the first tick")
	e.Handle(16_001, Ticked{})
	e.Handle(16_002, heartbeat)
	requireConfirmed(9900, "heartbeat that is read after it")
	e.Handle(16_003, RecordsFetched{State: state})
	requireConfirmed(9900, "records of another member")
	e.Handle(16_004, RecordsRead{IsConfiguration: true, State: state})
	e.Handle(16_005, RecordsRead{State: state})
	requireConfirmed(10_000, "answers of the store")
	for now := clock.Millis(16_100); now <= 17_100; now += 100 {
		e.Handle(now, Ticked{})
	}
	e.Handle(17_100, heartbeat)
	requireConfirmed(17_000, "heartbeat after the recovery")
}

func TestSuspensionMakesRecordsOlder(t *testing.T) {
	e := NewEngine(Settings{Self: Member{Name: "edge-1", Centre: "here"}, RecordBound: 3000}, 9000)
	e.Handle(9000, Ticked{})
	state := RecordState{ConfigurationRevision: 5, ConfirmedRevision: 5, ChangeRevision: 7, EndpointsRevision: 7}
	for _, isConfiguration := range []bool{true, false} {
		e.Handle(9010, RecordsRead{IsConfiguration: isConfiguration, State: state})
	}
	e.Handle(9050, ProcessSuspended{Duration: 4000}) // the clock doesn't count the suspension
	require.EqualValues(t, 4040, e.RecordState(9050).EndpointsAge)
	require.EqualValues(t, 4040, e.RecordState(9050).ConfigurationAge)
	require.EqualValues(t, 5010, e.Confirmation().EndpointsAt)
	// An answer that waited in the socket since before the suspension.
	e.Handle(9060, RecordsRead{State: state})
	require.EqualValues(t, 5010, e.Confirmation().EndpointsAt)
	for now := clock.Millis(9100); now <= 9050+stallRecovery; now += 100 {
		e.Handle(now, Ticked{})
	}
	e.Handle(9050+stallRecovery, RecordsRead{State: state})
	require.EqualValues(t, 9050+stallRecovery, e.Confirmation().EndpointsAt)
}

func TestRecordsThatTakeLongToReadAreConfirmedWhenRequested(t *testing.T) {
	state := RecordState{ConfigurationRevision: 5, ConfirmedRevision: 5, ChangeRevision: 7, EndpointsRevision: 7}
	e := NewEngine(Settings{RecordBound: 3000}, 1000)
	e.Handle(5000, RecordsRead{FullList: true, State: state, RequestedAt: 2500})
	require.EqualValues(t, 2500, e.Confirmation().EndpointsAt, "list of the store")
	state.EndpointsAge, state.ConfigurationAge = 100, 100
	e.Handle(9000, RecordsFetched{State: state, RequestedAt: 7000})
	require.EqualValues(t, 6900, e.Confirmation().EndpointsAt, "records of another member")
	require.EqualValues(t, 6900, e.Confirmation().ConfigurationAt, "records of another member")
}

func TestRelayThatStalledDoesNotMakeHeartbeatsYounger(t *testing.T) {
	var members []Member
	for i := range byte(40) {
		members = append(members, Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i + 1}), 1)})
	}
	watcher := NewEngine(Settings{Self: members[0], RecordBound: 3000}, 9000)
	watcher.Handle(9000, MembersListed{Members: members})
	relay := watcher.peers.orderAfter(members[0].Name)[0].Member
	e := NewEngine(Settings{Self: relay, RecordBound: 3000}, 9000)
	e.Handle(9000, MembersListed{Members: members})
	e.Handle(10_000, Ticked{})
	heartbeat := MessageReceived{From: members[0], Message: Heartbeat{Relay: true, State: RecordState{ConfigurationAge: 100, EndpointsAge: 100}}}
	relayedAge := func(now clock.Millis) clock.Millis {
		for _, a := range e.Handle(now, heartbeat) {
			if s, ok := a.(Send); ok {
				m := s.Message.(RelayedHeartbeat)
				require.Equal(t, m.State.ConfigurationAge, m.State.EndpointsAge)
				return m.State.EndpointsAge
			}
		}
		require.Fail(t, "no heartbeat was relayed")
		return 0
	}
	require.EqualValues(t, 100, relayedAge(10_050))
	require.EqualValues(t, 6100, relayedAge(16_000), "after a stall")
}

// A watcher that stalled for longer than probeTimeout must not remove members whose answers to
// its probes still wait to be handled.
func TestStallDoesNotRemoveMembers(t *testing.T) {
	member := func(i byte) Member {
		return Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)}
	}
	first, second := member(1), member(2)
	if rank(first.Name) > rank(second.Name) {
		first, second = second, first
	}
	for _, suspended := range []bool{false, true} {
		e := NewEngine(Settings{Self: first, RecordBound: 3000}, 1000)
		e.Handle(1000, MembersListed{Members: []Member{second}})
		e.Handle(1000, MessageReceived{From: second, Message: Hello{}})
		now := clock.Millis(1000)
		for ; now < 1000+2*probePeriod; now += 50 {
			e.Handle(now, Ticked{})
		}
		require.NotZero(t, e.peers.list[0].probedSince, "the member is probed")
		if suspended {
			e.Handle(now, ProcessSuspended{Duration: probeTimeout})
		} else {
			now += probeTimeout
		}
		for range 3 {
			for _, a := range e.Handle(now, Ticked{}) {
				require.NotEqual(t, RemoveMember{Name: second.Name}, a)
			}
			now += 50
		}
		require.Len(t, e.peers.list, 1)
	}
}

// A member whose object was deleted writes it again, but not because a list is a little older
// than its write.
func TestRegistration(t *testing.T) {
	var r Registration
	require.False(t, r.Due(1000, true), "another process of it has written it")
	require.True(t, r.Due(1000, false))
	r.Written(1000)
	require.False(t, r.Due(1000+listLag, false), "the list may be older than the write")
	require.True(t, r.Due(1001+listLag, false), "the object was deleted")
	require.False(t, r.Due(1001+listLag, true))
}

// While the store doesn't answer, the attempts of all members of a data centre together must
// not grow with their number, and a lone member must try about once a second.
func TestRetryPauses(t *testing.T) {
	for _, c := range []struct {
		members           int
		shortest, longest clock.Millis
	}{{1, 100, 1000}, {6, 125, 1000}, {28, 675, 2700}, {59, 1450, 3000}, {500, 1500, 3000}} {
		e := NewEngine(Settings{Self: Member{Name: "edge-0", Centre: "here", Address: netip.MustParseAddrPort("10.0.0.1:1")}, RecordBound: 3000}, 1000)
		var list []Member
		for i := range c.members - 1 {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(1 + i/250), byte(i % 250)}), 1)
			list = append(list, Member{Name: fmt.Sprintf("edge-%d", i+1), Centre: "here", Address: at})
		}
		e.Handle(1000, MembersListed{Members: list})
		shortest, longest := e.RetryPauses()
		require.Equal(t, c.shortest, shortest, "%d members", c.members)
		require.Equal(t, c.longest, longest, "%d members", c.members)
	}
}

// Of a large data centre that starts at once, a quarter of the members read the store, and each
// passes its records on to at most three others. The members of a small one all read it.
func TestStartParents(t *testing.T) {
	for _, n := range []int{1, 3, 7, 8, 28, 59, 67} {
		var all []Member
		for i := range n {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
			all = append(all, Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", Address: at})
		}
		readers, children := map[string]bool{}, map[string]int{}
		for _, m := range all {
			e := NewEngine(Settings{Self: m, RecordBound: 3000}, 1000)
			e.Handle(1000, MembersListed{Members: all})
			if parent, found := e.StartParent(); found {
				children[parent.Name]++
			} else {
				readers[m.Name] = true
			}
		}
		want := n
		if n >= minStartMembers {
			want = (n + 3) / 4
		}
		require.Len(t, readers, want, "%d members", n)
		for name, served := range children {
			require.True(t, readers[name], "%d members: %s has records to pass on", n, name)
			require.LessOrEqual(t, served, 3, "%d members", n)
		}
	}
}

// The same of unreadable entries, whose causes are long.
func TestUnreadableChangesFit(t *testing.T) {
	var m EndpointChanges
	for range 40 {
		p := steering.Endpoint{ID: "i-" + strings.Repeat("f", 16), Revision: 1 << 40}
		m.Changes = append(m.Changes, steering.EndpointChange{Endpoint: p, Unreadable: true, Cause: strings.Repeat("x", steering.MaxCause)})
	}
	m.Changes = m.Changes[:countFitting(m.Changes)]
	_, err := Encode(Member{
		Name: strings.Repeat("n", 40), Centre: strings.Repeat("c", 24), Address: netip.MustParseAddrPort("255.255.255.255:65535"), StartedAt: 1 << 41,
	}, m)
	require.NoError(t, err)
}

// The time of day may jump back between two starts of a member, so that the later start has the
// earlier time. Its heartbeats must count all the same.
func TestRestartAfterClockStep(t *testing.T) {
	member := func(i byte, startedAt clock.Millis) Member {
		return Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1), StartedAt: startedAt}
	}
	state := RecordState{ConfigurationRevision: 5, ConfirmedRevision: 5, ChangeRevision: 7, EndpointsRevision: 7}
	e := NewEngine(Settings{Self: member(2, 1000), RecordBound: 3000}, 10_000)
	e.Handle(10_000, RecordsFetched{State: state})
	e.Handle(10_100, MessageReceived{From: member(1, 9_000_000), Message: Heartbeat{State: state, Leaving: true}})
	require.False(t, e.isActiveWatcher(10_100, e.peers.find("edge-1")), "it has stopped")
	e.Handle(10_500, MessageReceived{From: member(1, 6_600_000), Message: Heartbeat{State: state}})
	require.True(t, e.isActiveWatcher(10_500, e.peers.find("edge-1")), "it started again, and its clock has jumped back")
	require.EqualValues(t, 10_500, e.Confirmation().EndpointsAt)
}

// The store may report a removal with the revision of the entry's last change.
func TestMemberThatMissedTheFirstOfSeveralMessagesDoesNotTakeTheNext(t *testing.T) {
	member := func(i byte) Member {
		return Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)}
	}
	for _, c := range []struct {
		name     string
		revision func(i int) uint64 // of the removal of endpoint i
		messages int
	}{
		{"removals with the revision of the entry", func(i int) uint64 { return uint64(i + 1) }, 0},
		{"removals with the revision of the removal", func(i int) uint64 { return uint64(101 + i) }, 3},
		{"removals of both kinds", func(i int) uint64 {
			if i == 5 {
				return 106
			}
			return uint64(i + 1)
		}, 1},
	} {
		watcher := NewEngine(Settings{Self: member(1), RecordBound: 3000}, 10_000)
		watcher.Handle(10_000, MembersListed{Members: []Member{member(2)}})
		receiver := NewEngine(Settings{Self: member(2), RecordBound: 3000}, 10_000)
		receiver.Handle(10_000, MembersListed{Members: []Member{member(1)}})
		state := RecordState{ConfigurationRevision: 5, ConfirmedRevision: 5, ChangeRevision: 100, EndpointsRevision: 100}
		for _, e := range []*Engine{watcher, receiver} {
			e.Handle(10_000, RecordsFetched{State: state})
		}
		var changes []steering.EndpointChange
		for i := range 30 {
			p := steering.Endpoint{ID: fmt.Sprintf("i-%010x", i), Revision: c.revision(i)}
			changes = append(changes, steering.EndpointChange{Endpoint: p, Removed: true})
		}
		state.ChangeRevision, state.EndpointsRevision = 200, 200
		before := watcher.RecordState(10_100)
		watcher.state = state
		actions := watcher.pushChanges(10_100, 100, changes, before)
		for _, a := range actions[min(1, len(actions)):] {
			receiver.Handle(10_100, MessageReceived{From: member(1), Message: a.(Send).Message})
		}
		require.EqualValues(t, 100, receiver.state.EndpointsRevision, "%s: the first message was lost", c.name)
		require.EqualValues(t, 10_000, receiver.Confirmation().EndpointsAt, c.name)
		require.Len(t, actions, c.messages, c.name)
	}
}

func TestMessageWithAPartOfTheChangesDoesNotConfirmTheRest(t *testing.T) {
	member := func(i byte) Member {
		return Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)}
	}
	watcher := NewEngine(Settings{Self: member(1), RecordBound: 3000}, 10_000)
	watcher.Handle(10_000, MembersListed{Members: []Member{member(2)}})
	receiver := NewEngine(Settings{Self: member(2), RecordBound: 3000}, 10_000)
	receiver.Handle(10_000, MembersListed{Members: []Member{member(1)}})
	state := RecordState{ConfigurationRevision: 5, ConfirmedRevision: 5, ChangeRevision: 100, EndpointsRevision: 100}
	for _, e := range []*Engine{watcher, receiver} {
		e.Handle(10_000, RecordsFetched{State: state})
	}
	watcher.watching = true
	var changes []steering.EndpointChange
	for i := range 30 {
		p := steering.Endpoint{ID: fmt.Sprintf("i-%010x", i), Revision: uint64(101 + i)}
		changes = append(changes, steering.EndpointChange{Endpoint: p, Removed: true})
	}
	state.ChangeRevision, state.EndpointsRevision = 130, 130
	var messages []Message
	for _, a := range watcher.Handle(10_100, RecordsRead{Since: 100, Changes: changes, State: state}) {
		if v, ok := a.(Send); ok {
			messages = append(messages, v.Message)
		}
	}
	require.Len(t, messages, 3)
	for i, m := range messages {
		want := clock.Millis(10_000)
		if i == len(messages)-1 {
			want = 10_100
		}
		receiver.Handle(10_100, MessageReceived{From: member(1), Message: m})
		require.Equal(t, want, receiver.Confirmation().EndpointsAt, "after message %d", i+1)
	}
}
