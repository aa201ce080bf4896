package instance_test

import (
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
