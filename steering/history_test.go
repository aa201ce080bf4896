package steering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
)

// An instance that applies the changes since its revision must know the same endpoints as the
// instance that it got them from.
func TestChangesSince(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now, revision := clock.Millis(startTime), uint64(10)
	teacher, pupil := NewEngine(Settings{Centre: "here", StaleAfter: 1650}), NewEngine(Settings{Centre: "here", StaleAfter: 1650})
	endpoint := func(n int) Endpoint {
		return Endpoint{ID: fmt.Sprintf("i-%x", n+1), Number: uint64(n + 1), Revision: revision, Service: "desk", Centre: "here", Slots: 2, Address: AddrPort{uint32(n + 1), 80}}
	}
	var list []Endpoint
	for n := range 10 {
		list = append(list, endpoint(n))
	}
	teacher.Handle(now, EndpointsListed{Endpoints: list, Revision: revision})
	_, known := teacher.ChangesSince(revision - 1)
	require.False(t, known, "what was before the list isn't known")
	pupil.Handle(now, EndpointsListed{Endpoints: list, Revision: revision})
	pupilRevision := revision
	for round := range 300 {
		var changes []EndpointChange
		for range random.IntN(4) {
			revision++
			p := endpoint(random.IntN(12))
			switch random.IntN(3) {
			case 0:
				changes = append(changes, EndpointChange{Endpoint: Endpoint{ID: p.ID, Revision: revision}, Removed: true})
			case 1:
				p.Draining = true
				changes = append(changes, EndpointChange{Endpoint: p})
			case 2:
				changes = append(changes, EndpointChange{Endpoint: p})
			}
		}
		revision += uint64(random.IntN(2))
		now += 1000
		for _, e := range []*Engine{teacher, pupil} {
			e.Handle(now, RecordsConfirmed{EndpointsAt: now, ConfigurationAt: now})
			e.Handle(now, Ticked{})
		}
		teacher.Handle(now, EndpointsChanged{Changes: changes, Revision: revision})
		if random.IntN(4) > 0 {
			continue // the pupil misses these changes
		}
		missed, known := teacher.ChangesSince(pupilRevision)
		require.True(t, known, "round %d", round)
		pupil.Handle(now, EndpointsChanged{Changes: missed, Revision: revision})
		pupilRevision = revision
		require.Equal(t, sortedEndpoints(teacher), sortedEndpoints(pupil), "round %d", round)
	}
}

// Changes are no longer known once an endpoint that left with them was forgotten.
func TestForgottenChangesAreNotKnown(t *testing.T) {
	now, revision := clock.Millis(startTime), uint64(10)
	teacher := NewEngine(Settings{Centre: "here", StaleAfter: 1650})
	list := []Endpoint{{ID: "i-1", Number: 1, Revision: 3, Service: "desk", Centre: "here", Slots: 2, Address: AddrPort{1, 80}}}
	teacher.Handle(now, EndpointsListed{Endpoints: list, Revision: revision})
	removed := []EndpointChange{{Endpoint: Endpoint{ID: "i-1", Revision: revision + 1}, Removed: true}}
	teacher.Handle(now, EndpointsChanged{Changes: removed, Revision: revision + 1})
	changes, known := teacher.ChangesSince(revision)
	require.True(t, known)
	require.Len(t, changes, 1)
	for range 3 {
		now += goneTimeout + lapseTimeout
		teacher.Handle(now, RecordsConfirmed{EndpointsAt: now, ConfigurationAt: now})
		teacher.Handle(now, Ticked{})
	}
	_, known = teacher.ChangesSince(revision)
	require.False(t, known)
}

func sortedEndpoints(e *Engine) []Endpoint {
	list := e.Endpoints()
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}
