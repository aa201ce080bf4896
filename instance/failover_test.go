package instance_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
)

// startBusyService starts the orders service and callers with requests in progress.
func startBusyService(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed)
	sim.startOrdersService(4, 4)
	for range 12 {
		sim.addCaller("orders")
	}
	sim.advance(clock.Second)
	sim.sendRequests("before")
	sim.advance(7 * clock.Millisecond)
	return sim
}

// sendRequests sends on each flow a request that may be repeated and one that must not.
func (sm *simulation) sendRequests(name string) {
	for i, c := range sm.callers {
		c.request(fmt.Sprintf("%s idempotent %d", name, i), false, 5*clock.Second)
		c.request(fmt.Sprintf("%s once %d", name, i), true, 5*clock.Second)
	}
}

// unanswered returns the number of requests without their complete answer.
func (sm *simulation) unanswered() int {
	n := 0
	for _, c := range sm.callers {
		for _, body := range c.bodies {
			if !c.answered(body) {
				n++
			}
		}
	}
	return n
}

func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	sim := startBusyService(t, 2)
	for i := range 4 {
		d := sim.daemon(fmt.Sprintf("entry-%d", i+1))
		d.handle(instance.StopRequested{})
		sim.sendRequests(d.self.Name)
		require.True(t, sim.advanceUntil(20*clock.Second, func() bool { return d.stopped }))
		sim.addInstance(d.self.Name, "riga-1")
		sim.advance(4 * clock.Second)
	}
	sim.advance(6 * clock.Second)
	require.Zero(t, sim.unanswered())
}

func TestFlowsAreTakenOverFromADeadOwner(t *testing.T) {
	sim := startBusyService(t, 3)
	sim.advance(clock.Second)
	require.Zero(t, sim.unanswered())
	sim.daemon("entry-2").kill()
	sim.sendRequests("after")
	sim.advance(6 * clock.Second)
	require.Zero(t, sim.unanswered(), "no request was under way when the instance died")
}

// Guards against a second run of a request that must not be repeated, when its owner resumes
// after other instances have taken over its flows.
func TestStalledOwnerStartsNoRequestTwice(t *testing.T) {
	sim := startBusyService(t, 4)
	d := sim.daemon("entry-3")
	d.stall()
	sim.setCut("entry-3", "platform", true)
	sim.advance(4 * clock.Second)
	d.resume()
	sim.setCut("entry-3", "platform", false)
	sim.advance(6 * clock.Second)
	for _, c := range sim.callers {
		for _, body := range c.bodies {
			if body[:11] == "before once" {
				require.LessOrEqual(t, sim.runsOf(body), 1, body)
			}
		}
	}
}

// isolate cuts an instance off from the other instances and the callers, or ends that.
func (sm *simulation) isolate(d *fakeDaemon, on bool) {
	for _, other := range sm.daemons {
		if other != d {
			sm.setCut(d.self.Name, other.self.Name, on)
		}
	}
	for _, c := range sm.callers {
		sm.setCut(d.self.Name, c.name, on)
	}
}

// Guards against unanswered requests on a flow that returns to an earlier owner. That instance
// still has the flow's old token. It must send the caller a newer one, or the caller keeps
// using the token of the owner in between.
func TestFlowsReturnToAnEarlierOwner(t *testing.T) {
	sim := newSimulation(t, 7)
	sim.startOrdersService(2, 4)
	for range 12 {
		sim.addCaller("orders")
	}
	sim.sendRequests("first")
	sim.advance(2 * clock.Second)
	for _, name := range []string{"entry-1", "entry-2", "entry-1", "entry-2"} {
		isolated := sim.daemon(name)
		sim.isolate(isolated, true)
		sim.advance(2 * clock.Second)
		sim.sendRequests("without " + name + strings.Repeat(" of many parts", 2000) + sim.now.Time().String())
		sim.advance(6 * clock.Second)
		require.Zero(t, sim.unanswered(), "without %s", name)
		sim.isolate(isolated, false)
		sim.advance(2 * clock.Second)
	}
}
