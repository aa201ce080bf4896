package instance_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
)

// busyDesk starts an order desk with callers that have requests under way.
func busyDesk(t *testing.T, seed uint64) *frame {
	f := newFrame(t, seed)
	f.desk(4, 4)
	for range 12 {
		f.addCaller("orders")
	}
	f.run(clock.Second)
	f.wave("before")
	f.run(7 * clock.Millisecond)
	return f
}

// wave sends a request that may be repeated and one that must not on each flow.
func (f *frame) wave(name string) {
	for i, c := range f.callers {
		c.request(fmt.Sprintf("%s idempotent %d", name, i), false, 5*clock.Second)
		c.request(fmt.Sprintf("%s once %d", name, i), true, 5*clock.Second)
	}
}

// unanswered counts requests that did not end with their own whole answer.
func (f *frame) unanswered() int {
	n := 0
	for _, c := range f.callers {
		for _, body := range c.bodies {
			if !c.answered(body) {
				n++
			}
		}
	}
	return n
}

func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	f := busyDesk(t, 2)
	for i := range 4 {
		d := f.node(fmt.Sprintf("entry-%d", i+1))
		d.handle(instance.StopRequested{})
		f.wave(d.self.Name)
		require.True(t, f.until(20*clock.Second, func() bool { return d.stopped }))
		f.addNode(d.self.Name, "riga-1")
		f.run(4 * clock.Second)
	}
	f.run(6 * clock.Second)
	require.Zero(t, f.unanswered())
}

func TestFlowsOutliveTheirOwner(t *testing.T) {
	f := busyDesk(t, 3)
	f.run(clock.Second)
	require.Zero(t, f.unanswered())
	f.node("entry-2").kill()
	f.wave("after")
	f.run(6 * clock.Second)
	require.Zero(t, f.unanswered(), "no request was under way when the instance died")
}

func TestPausedOwnerStartsNothingTwice(t *testing.T) {
	f := busyDesk(t, 4)
	d := f.node("entry-3")
	d.pause()
	f.cut("entry-3", "platform", true)
	f.run(4 * clock.Second)
	d.resume()
	f.cut("entry-3", "platform", false)
	f.run(6 * clock.Second)
	for _, c := range f.callers {
		for _, body := range c.bodies {
			if body[:11] == "before once" {
				require.LessOrEqual(t, f.runsOf(body), 1, body)
			}
		}
	}
}

// seclude cuts an instance off from the other instances and the callers.
func (f *frame) seclude(d *node, on bool) {
	for _, other := range f.nodes {
		if other != d {
			f.cut(d.self.Name, other.self.Name, on)
		}
	}
	for _, c := range f.callers {
		f.cut(d.self.Name, c.name, on)
	}
}

// A flow that comes back to an instance finds there what it had left behind,
// an old token included. The caller must be told a newer one, or it goes on
// sending under the token of the owner in between.
func TestFlowsReturnToAnEarlierOwner(t *testing.T) {
	f := newFrame(t, 7)
	f.desk(2, 4)
	for range 12 {
		f.addCaller("orders")
	}
	f.wave("first")
	f.run(2 * clock.Second)
	for _, name := range []string{"entry-1", "entry-2", "entry-1", "entry-2"} {
		away := f.node(name)
		f.seclude(away, true)
		f.run(2 * clock.Second)
		f.wave("without " + name + strings.Repeat(" of many parts", 2000) + f.now.Time().String())
		f.run(6 * clock.Second)
		require.Zero(t, f.unanswered(), "without %s", name)
		f.seclude(away, false)
		f.run(2 * clock.Second)
	}
}
