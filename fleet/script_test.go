package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/steering"
)

// fleetCase is one script of testdata/fleet.yaml: members of one data centre whose
// messages pass between them, and a store that some of them can read.
type fleetCase struct {
	Name    string       `yaml:"name"`
	Members int          `yaml:"members"`
	Bound   clock.Millis `yaml:"bound"` // default 3000
	Apart   bool         `yaml:"apart"` // members don't know each other at first
	Steps   []fleetStep  `yaml:"steps"`
}

// fleetStep is what happens to members, by their rank from 0, and what has to hold
// afterwards.
type fleetStep struct {
	Pass   clock.Millis `yaml:"pass"`   // time that passes
	Kill   []int        `yaml:"kill"`   // end without a word
	Stop   []int        `yaml:"stop"`   // end in order
	Start  []int        `yaml:"start"`  // start again, with records of now
	Freeze []int        `yaml:"freeze"` // stand still
	Thaw   []int        `yaml:"thaw"`
	Blind  []int        `yaml:"blind"` // can't read the store
	See    []int        `yaml:"see"`
	Deaf   []int        `yaml:"deaf"` // get no messages
	Hear   []int        `yaml:"hear"`
	Lose   bool         `yaml:"lose"`   // messages of the next change are lost
	Change bool         `yaml:"change"` // the store changes
	Meet   bool         `yaml:"meet"`   // the store's list of members reaches all

	Watch []int        `yaml:"watch"` // who watches now; nil for any
	Most  int          `yaml:"most"`  // so many watched at most, at any time of the pass; 0 for any
	Age   clock.Millis `yaml:"age"`   // no live member's records got older than this; 0 for any
	Calls int          `yaml:"calls"` // reads of the store in the pass, at most; 0 for any
	Known bool         `yaml:"known"` // all live members know the latest change
	Bytes int          `yaml:"bytes"` // what any member sent in a second of the pass on average, at most; 0 for any
}

func TestFleets(t *testing.T) {
	var cases []fleetCase
	script.Read(t, "testdata/fleet.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			w := newWorld(t, c)
			for i, s := range c.Steps {
				w.step(fmt.Sprintf("step %d", i+1), s)
			}
		})
	}
}

// node is one member in the world.
type node struct {
	Member
	engine *Engine
	live   bool
	frozen bool
	blind  bool
	deaf   bool
	readAt clock.Millis // when it may read the store next
	inbox  []MessageReceived
	sent   int // bytes in this pass
}

// world plays members on a fake clock.
type world struct {
	t        *testing.T
	now      clock.Millis
	bound    clock.Millis
	nodes    []*node
	revision uint64
	changed  uint64 // revision of the latest change
	lose     bool
	calls    int
	watchers int
	oldest   clock.Millis
}

// Times of the world, in ms. A watcher's pause is that of the daemon.
const (
	tickTime  = 100
	readPause = 400
)

func newWorld(t *testing.T, c fleetCase) *world {
	w := &world{t: t, now: 1_000_000, bound: c.Bound, revision: 10, changed: 10}
	if w.bound == 0 {
		w.bound = 3000
	}
	for i := range c.Members {
		m := Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", StartedAt: w.now}
		m.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(i%250 + 1)}), 7720)
		w.nodes = append(w.nodes, &node{Member: m})
	}
	slices.SortFunc(w.nodes, func(a, b *node) int {
		return byRank(&peer{Member: a.Member, rank: rank(a.Name)}, &peer{Member: b.Member, rank: rank(b.Name)})
	})
	for _, n := range w.nodes {
		w.boot(n)
	}
	if !c.Apart {
		w.meet()
	}
	return w
}

func (w *world) boot(n *node) {
	n.live, n.frozen = true, false
	n.StartedAt = w.now
	n.engine = NewEngine(Settings{Self: n.Member, RecordBound: w.bound}, w.now)
	n.readAt = w.now
	w.read(n)
}

func (w *world) meet() {
	var all []Member
	for _, n := range w.nodes {
		all = append(all, n.Member)
	}
	for _, n := range w.nodes {
		if n.live {
			w.perform(n, n.engine.Handle(w.now, MembersListed{Members: all}))
		}
	}
}

// read lets a member read the store: both kinds of records.
func (w *world) read(n *node) {
	if n.blind {
		return
	}
	s := n.engine.RecordState(w.now)
	from := s.EndpointsRevision
	read := RecordsRead{IsConfiguration: true}
	if s.ConfigurationRevision != w.changed {
		read.Delta = &steering.Delta{From: s.ConfigurationRevision, Revision: w.changed}
	}
	s.ConfigurationRevision, s.ConfirmedRevision = w.changed, w.revision
	read.State = s
	w.perform(n, n.engine.Handle(w.now, read))
	s = n.engine.RecordState(w.now)
	s.EndpointsRevision, s.ChangeRevision = w.revision, w.changed
	var changes []steering.EndpointChange
	if from < w.changed {
		changes = append(changes, steering.EndpointChange{Endpoint: steering.Endpoint{ID: "i-1", Revision: w.changed}})
	}
	w.perform(n, n.engine.Handle(w.now, RecordsRead{State: s, Since: from, Changes: changes}))
}

func (w *world) perform(n *node, actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Send:
			data, err := Encode(n.Member, v.Message)
			require.NoError(w.t, err)
			n.sent += len(data) * len(v.To)
			for _, to := range v.To {
				w.deliver(to, data)
			}
		case FetchRecords:
			w.calls++
			if w.read(n); n.blind {
				w.fetchFrom(n, v.Peer)
			}
		case SetWatching, NotifySteering, RemoveMember:
		}
	}
}

// fetchFrom lets a member take the records of a peer.
func (w *world) fetchFrom(n *node, from Member) {
	for _, p := range w.nodes {
		if p.Name == from.Name && p.live && !p.frozen {
			w.perform(n, n.engine.Handle(w.now, RecordsFetched{State: p.engine.RecordState(w.now)}))
		}
	}
}

func (w *world) deliver(to netip.AddrPort, data []byte) {
	from, m, err := Decode(data)
	require.NoError(w.t, err)
	if _, news := m.(EndpointChanges); news && w.lose {
		return
	}
	for _, n := range w.nodes {
		if n.Address == to && n.live && !n.deaf {
			n.inbox = append(n.inbox, MessageReceived{From: from, Message: m})
		}
	}
}

func (w *world) each(list []int, do func(*node)) {
	for _, i := range list {
		do(w.nodes[i])
	}
}

func (w *world) step(name string, s fleetStep) {
	w.t.Helper()
	w.calls, w.watchers, w.oldest = 0, 0, 0
	for _, n := range w.nodes {
		n.sent = 0
	}
	w.each(s.Kill, func(n *node) { n.live, n.inbox = false, nil })
	w.each(s.Stop, func(n *node) {
		w.perform(n, n.engine.Handle(w.now, Stopping{}))
		n.live, n.inbox = false, nil
	})
	w.each(s.Start, func(n *node) { w.boot(n) })
	w.each(s.Freeze, func(n *node) { n.frozen = true })
	w.each(s.Thaw, func(n *node) { n.frozen = false })
	w.each(s.Blind, func(n *node) { n.blind = true })
	w.each(s.See, func(n *node) { n.blind = false })
	w.each(s.Deaf, func(n *node) { n.deaf, n.inbox = true, nil })
	w.each(s.Hear, func(n *node) { n.deaf = false })
	if s.Meet {
		w.meet()
	}
	w.lose = s.Lose
	if s.Change {
		w.revision += 3
		w.changed = w.revision
	}
	for end := w.now + s.Pass; w.now < end; {
		w.now += tickTime
		w.tick()
	}
	w.expect(name, s)
}

// tick lets time pass for all members. Watchers' watches answer at once when the
// store has changed, and otherwise after their wait.
func (w *world) tick() {
	watchers := 0
	for _, n := range w.nodes {
		if !n.live || n.frozen {
			continue
		}
		inbox := n.inbox
		n.inbox = nil
		for _, r := range inbox {
			w.perform(n, n.engine.Handle(w.now, r))
		}
		w.perform(n, n.engine.Handle(w.now, Ticked{}))
		if !n.engine.Watching() {
			continue
		}
		watchers++
		if w.now < n.readAt && (n.engine.state.ChangeRevision == w.changed || w.now < n.readAt-WatchWait(w.bound)) {
			continue
		}
		w.calls++
		n.readAt = w.now + readPause + WatchWait(w.bound)
		w.read(n)
	}
	w.watchers = max(w.watchers, watchers)
	for _, n := range w.nodes {
		if n.live && !n.frozen && !n.blind {
			w.oldest = max(w.oldest, n.engine.age(w.now))
		}
	}
}

func (w *world) expect(name string, s fleetStep) {
	w.t.Helper()
	if s.Watch != nil {
		watching := []int{}
		for i, n := range w.nodes {
			if n.live && !n.frozen && n.engine.Watching() {
				watching = append(watching, i)
			}
		}
		require.Equal(w.t, s.Watch, watching, name)
	}
	if s.Most > 0 {
		require.LessOrEqual(w.t, w.watchers, s.Most, name)
	}
	if s.Age > 0 {
		require.LessOrEqual(w.t, w.oldest, s.Age, name)
	}
	if s.Calls > 0 {
		require.LessOrEqual(w.t, w.calls, s.Calls, name)
	}
	for i, n := range w.nodes {
		if s.Bytes > 0 {
			require.LessOrEqual(w.t, n.sent*1000/int(s.Pass), s.Bytes, "%s: bytes a second of member %d", name, i)
		}
	}
	if s.Known {
		for i, n := range w.nodes {
			if n.live && !n.frozen {
				require.GreaterOrEqual(w.t, n.engine.state.EndpointsRevision, w.changed, "%s: member %d", name, i)
				require.Equal(w.t, w.changed, n.engine.state.ConfigurationRevision, "%s: member %d", name, i)
			}
		}
	}
}

// Messages come out as they went in, and broken ones are refused.
func TestMessages(t *testing.T) {
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
		EndpointFinding{steering.EndpointFault{Endpoint: "i-1", Incarnation: 9, Refused: true}},
	} {
		data, err := Encode(from, m)
		require.NoError(t, err)
		sender, got, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, from, sender)
		require.Equal(t, m, got)
	}
	_, err := Encode(from, EndpointFinding{steering.EndpointFault{Endpoint: strings.Repeat("x", MaxMessageSize)}})
	require.ErrorIs(t, err, ErrMessage)
	for _, data := range [][]byte{nil, {0xff}, []byte("text")} {
		_, _, err := Decode(data)
		require.ErrorIs(t, err, ErrMessage)
	}
	nobody, err := Encode(Member{Name: "edge-1"}, Hello{})
	require.NoError(t, err)
	_, _, err = Decode(nobody)
	require.ErrorIs(t, err, ErrMessage)
	silent, err := Encode(from, nil)
	require.NoError(t, err)
	_, _, err = Decode(silent)
	require.ErrorIs(t, err, ErrMessage)
}

// As many changes as may come at once fit into messages.
func TestNewsFit(t *testing.T) {
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
	n := fitting(m.Changes)
	require.Greater(t, n, 4, "changes in a message")
	m.Changes = m.Changes[:n]
	_, err := Encode(Member{
		Name: strings.Repeat("n", 40), Centre: strings.Repeat("c", 24), Address: netip.MustParseAddrPort("255.255.255.255:65535"), StartedAt: 1 << 41,
	}, m)
	require.NoError(t, err)
}

// A watcher tells a few changes to many members, and leaves many for them to read, so
// that its link stays free for beats.
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
		messages, told := 0, 0
		for _, a := range e.tellChanges(1000, 0, changes) {
			messages++
			told += len(a.(Send).Message.(EndpointChanges).Changes)
		}
		require.Equal(t, c.messages, messages, "%+v", c)
		if messages > 0 {
			require.Equal(t, c.changes, told, "%+v", c)
		}
	}
}

// As many tallies as go into a message fit.
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

// As many flows as are asked for at once fit into a message.
func TestSightsFit(t *testing.T) {
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
