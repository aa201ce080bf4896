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

// Guards against refused requests when an instance shuts down before it knows another one
// that could take them over.
func TestShutdownBeforeOthersAreKnownRefusesNothing(t *testing.T) {
	sim := newSimulation(t, 5)
	sim.store.staleList = []record.Instance{}
	sim.startOrdersService(3, 4)
	for range 12 {
		sim.addCaller("orders")
	}
	sim.advance(clock.Second)
	sim.daemon("entry-1").handle(instance.StopRequested{})
	sim.sendRequests("stopping")
	sim.advance(6 * clock.Second)
	require.Zero(t, sim.unanswered())
}

func TestLeavingInstanceIsNotReportedAsDead(t *testing.T) {
	sim := startBusyService(t, 6)
	d := sim.daemon("entry-2")
	d.handle(instance.StopRequested{})
	require.True(t, sim.advanceUntil(20*clock.Second, func() bool { return d.stopped }))
	sim.advance(20 * clock.Second)
	for _, other := range sim.daemons {
		for _, n := range other.decisions {
			require.False(t, n.Decision == "suspect" && strings.Contains(n.Subject, "entry-2"))
		}
	}
}

func TestOneSurvivorDeletesTheStatusOfADeadInstance(t *testing.T) {
	sim := startBusyService(t, 7)
	sim.daemon("entry-2").kill()
	sim.advance(clock.Minute)
	require.Empty(t, sim.deletedStatuses(), "it is still listed")
	sim.store.staleList = sim.store.instances(sim.now)
	sim.store.staleList = slices.DeleteFunc(sim.store.staleList, func(i record.Instance) bool { return i.Name == "entry-2" })
	sim.advance(clock.Minute)
	require.Equal(t, []string{"entry-2"}, sim.deletedStatuses())
}

// deletedStatuses lists the instances whose status was deleted, once for each deletion.
func (sm *simulation) deletedStatuses() []string {
	var names []string
	for _, d := range sm.daemons {
		names = append(names, d.deletedStatuses...)
	}
	return names
}

// startUnlisted starts instances that the platform doesn't list yet, and callers whose packets
// are delivered to any of them.
func startUnlisted(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed)
	sim.store.staleList = []record.Instance{}
	sim.putJSON(record.KindService, "orders", record.Schema2, record.Service{})
	for i := range 4 {
		sim.addBackend(fmt.Sprintf("orders-%d", i), "orders", "riga-1", fmt.Sprintf("127.3.0.%d:80", i+1), 2, 20*clock.Millisecond)
	}
	for i := range 3 {
		sim.addInstance(fmt.Sprintf("entry-%d", i+1), "riga-1")
		sim.advance(70 * clock.Millisecond)
	}
	for range 12 {
		sim.addCaller("orders")
	}
	return sim
}

// Guards against requests that run twice: instances that start together don't know each other
// until the platform lists them, and must not take over each other's flows as those of dead
// owners.
func TestInstancesStartedTogetherDoNotTakeOverFlows(t *testing.T) {
	sim := startUnlisted(t, 8)
	const waves = 8
	for n := range waves {
		sim.sendRequests(fmt.Sprint(n, strings.Repeat(" of many parts", 1500)))
		sim.advance(250 * clock.Millisecond)
	}
	sim.store.staleList = nil // the platform lists the instances after 2 s
	sim.advance(10 * clock.Second)
	require.Zero(t, sim.unanswered())
	runs := 0
	for _, c := range sim.callers {
		for _, body := range c.bodies {
			runs += sim.runsOf(body)
		}
	}
	require.Equal(t, 2*waves*len(sim.callers), runs, "no request may run twice while all instances live")
}

func TestConditionsOfDeletedSubjectsAreRemoved(t *testing.T) {
	sim := startBusyService(t, 8)
	sim.backends["127.3.0.1:80"].dead = true
	sim.backends["127.3.0.2:80"].draining = true
	for n := range 5 {
		sim.sendRequests(fmt.Sprint("failing ", n))
		sim.advance(clock.Second)
	}
	sim.advance(5 * clock.Second)
	require.NotEmpty(t, sim.conditions("backend/"), "an operator sees them")
	for _, name := range []string{"orders-0", "orders-1"} {
		sim.store.put(record.Object{Kind: record.KindBackend, Name: name, Schema: record.Schema2, Deleted: true})
	}
	sim.advance(3 * clock.Minute)
	require.Empty(t, sim.conditions("backend/"))
}

// conditions lists the types of the current conditions whose subject has a prefix.
func (sm *simulation) conditions(prefix string) []string {
	var found []string
	for _, d := range sm.daemons {
		for _, c := range d.status.Conditions {
			if strings.HasPrefix(c.Subject, prefix) {
				found = append(found, c.Type)
			}
		}
	}
	return found
}

func TestStartWithoutPlatformFindsNeighbours(t *testing.T) {
	sim := startBusyService(t, 9)
	sim.store.down = true
	d := sim.addInstance("entry-5", "riga-1")
	neighbour := netip.MustParseAddrPort(sim.daemon("entry-1").self.PeerAddress)
	d.engine = instance.New(instance.Settings{Self: d.self, Keys: sim.keys, RandomSeed: 5, Neighbours: []netip.AddrPort{neighbour}}, sim.now)
	sim.advance(10 * clock.Second)
	objects, _ := d.engine.Objects()
	require.Len(t, objects, 5, "the service and four backend servers")
}
