package standin

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tanagerdock/tanagerdock/record"
)

// store holds the current state of all records and the latest changes. One change
// makes one revision.
type store struct {
	revision     uint64 // of the latest change
	current      map[record.Key]record.Object
	history      []record.Object // changes after baseRevision, by revision
	baseRevision uint64
	base         map[record.Key]record.Object // the state at baseRevision
	maxHistory   int                          // maximum length of history
}

func newStore(maxHistory int) store {
	return store{current: map[record.Key]record.Object{}, base: map[record.Key]record.Object{}, maxHistory: maxHistory}
}

// commit gives o the next revision and makes it the current state of its record.
func (s *store) commit(o record.Object) record.Object {
	s.revision++
	o.Revision = s.revision
	apply(s.current, o)
	s.history = append(s.history, o)
	if len(s.history) > s.maxHistory {
		first := s.history[0]
		s.history = s.history[1:]
		apply(s.base, first)
		s.baseRevision = first.Revision
	}
	return o
}

// apply applies a change to a state.
func apply(state map[record.Key]record.Object, o record.Object) {
	if o.Deleted {
		delete(state, o.Key())
		return
	}
	state[o.Key()] = o
}

// stateAt returns the state at a revision, which must not be below baseRevision. The
// caller must not modify the result.
func (s *store) stateAt(revision uint64) map[record.Key]record.Object {
	if revision == s.revision {
		return s.current
	}
	state := maps.Clone(s.base)
	for _, o := range s.history {
		if o.Revision <= revision {
			apply(state, o)
		}
	}
	return state
}

// changes returns the changes of some kinds after revision since, up to revision
// until.
func (s *store) changes(kinds map[record.Kind]bool, since, until uint64) []record.Object {
	list := []record.Object{}
	first := since - s.baseRevision // index of the first change after since
	for _, o := range s.history[min(first, uint64(len(s.history))):] {
		if o.Revision <= until && kinds[o.Kind] {
			list = append(list, o)
		}
	}
	return list
}

// objectsOfKind returns the objects of a kind, ordered by name.
func objectsOfKind(state map[record.Key]record.Object, kind record.Kind) []record.Object {
	list := []record.Object{}
	for _, o := range state {
		if o.Kind == kind {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b record.Object) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
