package fleet

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/steering"
)

// orderCase is a series of messages and answers that a member gets, with what it knows after each.
type orderCase struct {
	Name  string      `yaml:"name"`
	Steps []orderStep `yaml:"steps"`
}

type orderStep struct {
	At       clock.Millis `yaml:"at"`
	From     string       `yaml:"from"` // beat of a watcher, relayed beat, news of endpoints, records of a member, or the store
	Sender   byte         `yaml:"sender"`
	Boot     clock.Millis `yaml:"boot"` // start of the sender's process
	Revision uint64       `yaml:"revision"`
	Age      clock.Millis `yaml:"age"`
	Orders   []string     `yaml:"orders"`
	Known    uint64       `yaml:"known"`   // revision afterwards
	Avoided  []string     `yaml:"avoids"`  // orders afterwards
	Time     clock.Millis `yaml:"time"`    // of the confirmation afterwards
	Notified bool         `yaml:"notice"`  // steering was told
	Watching bool         `yaml:"watcher"` // the sender counts as an active watcher
}

func testMemberAt(i byte, startedAt clock.Millis) Member {
	return Member{Name: fmt.Sprintf("edge-%d", i), Centre: "here", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1), StartedAt: startedAt}
}

func ordersAt(revision uint64, centres ...string) evacuation.Orders {
	var changes []evacuation.Change
	for _, c := range centres {
		changes = append(changes, evacuation.Change{Order: evacuation.Order{Centre: c, Revision: revision}})
	}
	return evacuation.Orders{}.Apply(changes, revision)
}

// Whatever comes late, twice or from an earlier process, orders don't go back, and nothing
// confirms them later than the store did.
func TestOrders(t *testing.T) {
	var cases []orderCase
	script.Read(t, "testdata/orders.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			e := NewEngine(Settings{Self: testMemberAt(9, 0), RecordBound: 5000, Evacuations: true}, 1_000_000)
			e.Handle(1_000_000, MembersListed{Members: []Member{testMemberAt(1, 0), testMemberAt(2, 0)}})
			for i, s := range c.Steps {
				s.play(t, e, fmt.Sprintf("step %d", i+1))
			}
		})
	}
}

// play hands the event of a step to a member, and checks what it knows then.
func (s *orderStep) play(t *testing.T, e *Engine, name string) {
	now, sender := 1_000_000+s.At, testMemberAt(max(s.Sender, 1), s.Boot)
	notified := false
	for _, a := range e.Handle(now, s.event(sender)) {
		if n, ok := a.(NotifySteering); ok {
			_, isOrders := n.Event.(steering.EvacuationsRead)
			notified = notified || isOrders
		}
	}
	require.Equal(t, s.Notified, notified, name)
	var avoided []string
	for _, o := range e.Evacuations().List {
		avoided = append(avoided, o.Centre)
	}
	require.Equal(t, s.Known, e.Evacuations().Revision, name)
	require.Equal(t, s.Avoided, avoided, name)
	if s.Known != 0 {
		require.Equal(t, 1_000_000+s.Time, e.evacuations.confirmedAt, name)
	}
	require.Equal(t, s.Watching, e.isActiveWatcher(now, e.peers.find(sender.Name)), name)
}

func (s *orderStep) event(sender Member) Event {
	var orders *EvacuationState
	if s.Revision != 0 {
		orders = &EvacuationState{Orders: ordersAt(s.Revision, s.Orders...), Age: s.Age}
	}
	switch s.From {
	case "beat":
		return MessageReceived{From: sender, Message: Heartbeat{Evacuations: orders}}
	case "relayed":
		return MessageReceived{From: testMemberAt(3, 0), Message: RelayedHeartbeat{Watcher: sender, Evacuations: orders}}
	case "news":
		return MessageReceived{From: sender, Message: EndpointChanges{}}
	case "records":
		return RecordsFetched{Evacuations: orders}
	}
	return EvacuationsRead{Orders: orders.Orders}
}

// heartbeatOfOlderVersion is the heartbeat of a version that knows no orders.
type heartbeatOfOlderVersion struct {
	State   RecordState `cbor:"state"`
	Leaving bool        `cbor:"leaving,omitempty"`
	Relay   bool        `cbor:"relay,omitempty"`
}

func TestOlderVersionsReadHeartbeatsAndSendThem(t *testing.T) {
	from := testMemberAt(1, 5)
	state := RecordState{ConfigurationRevision: 5, EndpointsRevision: 7, EndpointsAge: 8}
	type olderEnvelope struct {
		From      Member                   `cbor:"from"`
		Heartbeat *heartbeatOfOlderVersion `cbor:"beat,omitempty"`
	}
	older, err := cbor.Marshal(olderEnvelope{From: from, Heartbeat: &heartbeatOfOlderVersion{State: state, Relay: true}})
	require.NoError(t, err)
	without, err := Encode(from, Heartbeat{State: state, Relay: true})
	require.NoError(t, err)
	require.Equal(t, older, without, "without orders nothing has changed")
	_, m, err := Decode(older)
	require.NoError(t, err)
	require.Equal(t, Heartbeat{State: state, Relay: true}, m)
	with, err := Encode(from, Heartbeat{State: state, Evacuations: &EvacuationState{Orders: ordersAt(3, "north"), Age: 4}})
	require.NoError(t, err)
	var read olderEnvelope
	require.NoError(t, cbor.Unmarshal(with, &read))
	require.Equal(t, &heartbeatOfOlderVersion{State: state}, read.Heartbeat)
	_, m, err = Decode(with)
	require.NoError(t, err)
	require.Equal(t, &EvacuationState{Orders: ordersAt(3, "north"), Age: 4}, m.(Heartbeat).Evacuations)
}

func TestInvalidOrdersAreRejected(t *testing.T) {
	for _, s := range []EvacuationState{
		{},
		{Orders: ordersAt(1 << 63)},
		{Orders: ordersAt(3), Age: -1},
		{Orders: ordersAt(3), Age: maxRecordAge + 1},
		{Orders: evacuation.Orders{Revision: 3, List: []evacuation.Order{{Centre: ""}}}},
	} {
		for _, m := range []Message{Heartbeat{Evacuations: &s}, RelayedHeartbeat{Watcher: testMemberAt(1, 0), Evacuations: &s}} {
			data, err := Encode(testMemberAt(2, 0), m)
			require.NoError(t, err)
			_, _, err = Decode(data)
			require.ErrorIs(t, err, ErrMessage, "%+v", s)
		}
	}
}

// Entries of any program must not make heartbeats too large, nor take the place of data centres.
func TestOrdersFitIntoHeartbeat(t *testing.T) {
	var list []evacuation.Order
	for i := range 40 {
		list = append(list, evacuation.Order{Centre: fmt.Sprintf("%03d", i) + strings.Repeat("x", 20*i%120), Revision: 1<<40 + uint64(i)})
	}
	list = append(list, evacuation.Order{Centre: "north", Revision: 1}, evacuation.Order{Centre: strings.Repeat("s", evacuation.MaxNameBytes), Revision: 2})
	orders, left := LimitEvacuations(evacuation.Orders{Revision: 1 << 41, List: list}, []string{"north", strings.Repeat("s", evacuation.MaxNameBytes)})
	require.True(t, orders.InForce("north"))
	require.True(t, orders.InForce(strings.Repeat("s", evacuation.MaxNameBytes)))
	require.Len(t, left, len(list)-len(orders.List))
	require.NoError(t, orders.Check())
	require.True(t, orders.Partial)
	longest := Member{Name: strings.Repeat("n", maxNameBytes), Centre: strings.Repeat("c", maxNameBytes), Address: netip.MustParseAddrPort("255.255.255.255:65535"), StartedAt: 1 << 41}
	state := RecordState{
		ConfigurationRevision: 1 << 40, ConfirmedRevision: 1 << 40, ChangeRevision: 1 << 40, EndpointsRevision: 1 << 40,
		ConfigurationAge: maxRecordAge, EndpointsAge: maxRecordAge, RecoveredAge: 1 << 40,
	}
	s := &EvacuationState{Orders: orders, Age: maxRecordAge}
	for _, m := range []Message{Heartbeat{State: state, Evacuations: s, Relay: true}, RelayedHeartbeat{Watcher: longest, State: state, Evacuations: s}} {
		_, err := Encode(longest, m)
		require.NoError(t, err)
	}
	few, left := LimitEvacuations(evacuation.Orders{Revision: 1 << 41, List: list[:2]}, nil)
	require.Empty(t, left)
	require.False(t, few.Partial)
}

func TestReportListsOrders(t *testing.T) {
	e := NewEngine(Settings{Self: testMemberAt(1, 0), RecordBound: 5000, Evacuations: true}, 1000)
	e.Handle(1000, EvacuationsRead{Orders: ordersAt(3, "north", "south")})
	e.Handle(5000, Ticked{})
	r := e.Report(20_000, 1, 1, func(clock.Millis) []steering.Condition { return nil })
	require.Equal(t, []ReportedEvacuation{{"north", 3}, {"south", 3}}, r.Evacuations)
	require.Nil(t, e.Report(31_000, 1, 1, func(clock.Millis) []steering.Condition { return nil }), "nothing has changed")
	e.Handle(31_000, EvacuationsRead{Orders: ordersAt(4, "south")})
	r = e.Report(31_001, 1, 1, func(clock.Millis) []steering.Condition { return nil })
	require.Equal(t, []ReportedEvacuation{{"south", 4}}, r.Evacuations)
}

// A member that isn't to follow orders reads and sends none.
func TestOrdersAreIgnoredUnlessSwitchedOn(t *testing.T) {
	e := NewEngine(Settings{Self: testMemberAt(1, 0), RecordBound: 5000}, 1000)
	e.Handle(1000, MembersListed{Members: []Member{testMemberAt(2, 0)}})
	state := &EvacuationState{Orders: ordersAt(3, "north")}
	require.Nil(t, e.Handle(1100, EvacuationsRead{Orders: state.Orders}))
	for _, event := range []Event{MessageReceived{From: testMemberAt(2, 0), Message: Heartbeat{Evacuations: state}}, RecordsFetched{Evacuations: state}} {
		for _, a := range e.Handle(1100, event) {
			n, ok := a.(NotifySteering)
			require.True(t, !ok || n.Event == e.Confirmation(), "%+v", a)
		}
	}
	require.Nil(t, e.EvacuationState(1100))
	require.True(t, e.Fresh(RecordState{}, &EvacuationState{Age: maxRecordAge}))
}

func TestRecordsToStartWithHaveFreshOrders(t *testing.T) {
	e := NewEngine(Settings{Self: testMemberAt(1, 0), RecordBound: 5000, Evacuations: true}, 1000)
	require.True(t, e.Fresh(RecordState{}, &EvacuationState{Age: 2000}))
	require.False(t, e.Fresh(RecordState{}, &EvacuationState{Age: 3000}))
	require.True(t, e.Fresh(RecordState{}, nil), "the store is read for the orders")
}

// orderHeartbeats returns the heartbeats among actions that carry orders.
func orderHeartbeats(actions []Action) (list []Heartbeat) {
	for _, a := range actions {
		if s, isSend := a.(Send); isSend {
			if m, isHeartbeat := s.Message.(Heartbeat); isHeartbeat && m.Evacuations != nil {
				list = append(list, m)
			}
		}
	}
	return list
}

func TestWatcherSendsOrdersAtOnceAndWhenItLeaves(t *testing.T) {
	e := NewEngine(Settings{Self: testMemberAt(1, 0), RecordBound: 5000, Evacuations: true}, 1000)
	e.Handle(1000, MembersListed{Members: []Member{testMemberAt(2, 0)}})
	e.Handle(6000, Ticked{})
	require.True(t, e.Watching())
	e.Handle(6000, EvacuationsRead{Orders: ordersAt(3)})
	for _, c := range []struct {
		orders evacuation.Orders
		beats  int
	}{{ordersAt(4), 0}, {ordersAt(5, "north"), 1}, {ordersAt(5, "north"), 0}, {ordersAt(6), 1}} {
		list := orderHeartbeats(e.Handle(6010, EvacuationsRead{Orders: c.orders}))
		require.Len(t, list, c.beats, "revision %d", c.orders.Revision)
		for _, m := range list {
			require.Equal(t, c.orders, m.Evacuations.Orders)
		}
	}
	list := orderHeartbeats(e.Handle(6020, Stopping{}))
	require.Len(t, list, 1)
	require.Equal(t, &EvacuationState{Orders: ordersAt(6), Age: 10}, list[0].Evacuations)
}

// Neither a suspension, nor a relay that stalled, makes orders younger than they are.
func TestDelaysMakeOrdersOlder(t *testing.T) {
	e := NewEngine(Settings{Self: testMemberAt(1, 0), RecordBound: 5000, Evacuations: true}, 1000)
	e.Handle(9000, Ticked{})
	e.Handle(9010, EvacuationsRead{Orders: ordersAt(3)})
	e.Handle(9050, ProcessSuspended{Duration: 4000})
	require.EqualValues(t, 4040, e.EvacuationState(9050).Age)
	e.Handle(9060, MessageReceived{From: testMemberAt(2, 0), Message: Heartbeat{Evacuations: &EvacuationState{Orders: ordersAt(3)}}})
	require.EqualValues(t, 4050, e.EvacuationState(9060).Age, "the message may have waited since the suspension")
	s := EvacuationState{Orders: ordersAt(3), Age: 100}
	require.Equal(t, &EvacuationState{Orders: ordersAt(3), Age: 6000}, s.delayed(5900))
	require.EqualValues(t, maxRecordAge, s.delayed(maxRecordAge).Age)
}

// An answer with orders shows that the store answers somebody.
func TestAnswerWithOrdersIsNoOutage(t *testing.T) {
	e := NewEngine(Settings{Self: testMemberAt(1, 0), RecordBound: 3000, Evacuations: true}, 1000)
	for now := clock.Millis(1000); now <= 9000; now += 100 {
		e.Handle(now, Ticked{})
		e.Handle(now, StoreCallFailed{})
		if now%1000 == 0 {
			e.Handle(now, MessageReceived{From: testMemberAt(2, 0), Message: Heartbeat{
				State: RecordState{ConfigurationAge: maxRecordAge, EndpointsAge: maxRecordAge}, Evacuations: &EvacuationState{Orders: ordersAt(3)},
			}})
		}
	}
	e.Handle(9050, RecordsRead{IsConfiguration: true})
	require.Zero(t, e.Confirmation().StoreRecoveredAt)
}
