package instance_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/record"
)

func TestStoppingBeforeTheOthersAreKnownRefusesNothing(t *testing.T) {
	f := newFrame(t, 5)
	f.store.frozen = []record.Instance{}
	f.desk(3, 4)
	for range 12 {
		f.addCaller("orders")
	}
	f.run(clock.Second)
	f.node("entry-1").handle(instance.StopRequested{})
	f.wave("stopping")
	f.run(6 * clock.Second)
	require.Zero(t, f.unanswered())
}

func TestLeavingInstanceIsNotReportedAsSilent(t *testing.T) {
	f := busyDesk(t, 6)
	d := f.node("entry-2")
	d.handle(instance.StopRequested{})
	require.True(t, f.until(20*clock.Second, func() bool { return d.stopped }))
	f.run(20 * clock.Second)
	for _, other := range f.nodes {
		for _, n := range other.notes {
			require.False(t, n.Decision == "suspect" && strings.Contains(n.Subject, "entry-2"))
		}
	}
}

func TestOneSurvivorDropsTheStatusOfADeadInstance(t *testing.T) {
	f := busyDesk(t, 7)
	f.node("entry-2").kill()
	f.run(clock.Minute)
	require.Empty(t, f.drops(), "it is still listed")
	f.store.frozen = f.store.instances(f.now)
	f.store.frozen = slices.DeleteFunc(f.store.frozen, func(i record.Instance) bool { return i.Name == "entry-2" })
	f.run(clock.Minute)
	require.Equal(t, []string{"entry-2"}, f.drops())
}

// drops lists the instances whose status was removed, once for each removal.
func (f *frame) drops() []string {
	var names []string
	for _, d := range f.nodes {
		names = append(names, d.drops...)
	}
	return names
}

// startApart starts instances that the platform does not show to each other yet,
// and callers whose packets land on any of them.
func startApart(t *testing.T, seed uint64) *frame {
	f := newFrame(t, seed)
	f.store.frozen = []record.Instance{}
	f.putJSON(record.KindService, "orders", record.Schema2, record.Service{})
	for i := range 4 {
		f.addBackend(fmt.Sprintf("orders-%d", i), "orders", "riga-1", fmt.Sprintf("127.3.0.%d:80", i+1), 2, 20*clock.Millisecond)
	}
	for i := range 3 {
		f.addNode(fmt.Sprintf("entry-%d", i+1), "riga-1")
		f.run(70 * clock.Millisecond)
	}
	for range 12 {
		f.addCaller("orders")
	}
	return f
}

// Instances that start together do not know each other until the platform's list
// catches up. None may take the others for gone and their flows for its own.
func TestInstancesThatStartTogetherLeaveEachOthersFlowsAlone(t *testing.T) {
	f := startApart(t, 8)
	const waves = 8
	for n := range waves {
		f.wave(fmt.Sprint(n, strings.Repeat(" of many parts", 1500)))
		f.run(250 * clock.Millisecond)
	}
	f.store.frozen = nil // the list lags by 2 s
	f.run(10 * clock.Second)
	require.Zero(t, f.unanswered())
	runs := 0
	for _, c := range f.callers {
		for _, body := range c.bodies {
			runs += f.runsOf(body)
		}
	}
	require.Equal(t, 2*waves*len(f.callers), runs, "no request may run twice while all instances live")
}

func TestConditionsEndWithTheirSubject(t *testing.T) {
	f := busyDesk(t, 8)
	f.backends["127.3.0.1:80"].dead = true
	f.backends["127.3.0.2:80"].draining = true
	for n := range 5 {
		f.wave(fmt.Sprint("failing ", n))
		f.run(clock.Second)
	}
	f.run(5 * clock.Second)
	require.NotEmpty(t, f.conditions("backend/"), "an operator sees them")
	for _, name := range []string{"orders-0", "orders-1"} {
		f.store.put(record.Object{Kind: record.KindBackend, Name: name, Schema: record.Schema2, Deleted: true})
	}
	f.run(3 * clock.Minute)
	require.Empty(t, f.conditions("backend/"))
}

// conditions lists the types of the conditions in force about a kind of subject.
func (f *frame) conditions(prefix string) []string {
	var found []string
	for _, d := range f.nodes {
		for _, c := range d.status.Conditions {
			if strings.HasPrefix(c.Subject, prefix) {
				found = append(found, c.Type)
			}
		}
	}
	return found
}

func TestStartingWithoutThePlatformFindsTheNeighbours(t *testing.T) {
	f := busyDesk(t, 9)
	f.store.down = true
	d := f.addNode("entry-5", "riga-1")
	neighbour := netip.MustParseAddrPort(f.node("entry-1").self.PeerAddress)
	d.engine = instance.New(instance.Settings{Self: d.self, Keys: f.keys, RandomSeed: 5, Neighbours: []netip.AddrPort{neighbour}}, f.now)
	f.run(10 * clock.Second)
	objects, _ := d.engine.Objects()
	require.Len(t, objects, 5, "the service and four backend servers")
}
