package entry

import (
	"slices"
	"strings"
	"sync"

	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/record"
)

// objectStore holds the newest operator records, for other instances that cannot
// reach the platform. It is safe for concurrent use.
type objectStore struct {
	mu           sync.Mutex
	objects      map[record.Key]record.Object // includes records deleted after fullRevision
	fullRevision uint64                       // revision of the newest full list, 0 before the first
	revision     uint64                       // newest revision applied
}

func newObjectStore() *objectStore {
	return &objectStore{objects: map[record.Key]record.Object{}}
}

// apply updates the store with a full list or with changes. A record is never
// replaced by an older revision of itself.
func (s *objectStore) apply(e instance.ObjectsReceived) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[record.Key]bool, len(e.Objects))
	for _, o := range e.Objects {
		listed[o.Key()] = true
		s.applyObject(o)
	}
	s.revision = max(s.revision, e.Revision)
	if !e.FullList || e.Revision <= s.fullRevision {
		return
	}
	s.fullRevision = e.Revision
	for key, o := range s.objects {
		if o.Revision <= s.fullRevision && (o.Deleted || !listed[key]) {
			delete(s.objects, key)
		}
	}
}

// applyObject stores one operator record unless the store has the same or a newer
// revision of it, or a full list at that or a newer revision left it out.
func (s *objectStore) applyObject(o record.Object) {
	if !slices.Contains(record.OperatorKinds, o.Kind) {
		return
	}
	stored, found := s.objects[o.Key()]
	if found && stored.Revision >= o.Revision || !found && o.Revision <= s.fullRevision {
		return
	}
	s.objects[o.Key()] = o
}

// changesSince returns the records changed or deleted after a revision, sorted by
// key, and the newest revision. It returns false when the store no longer knows
// which records were deleted since then.
func (s *objectStore) changesSince(since uint64) ([]record.Object, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fullRevision == 0 || since == 0 || since < s.fullRevision {
		return nil, 0, false
	}
	var objects []record.Object
	for _, o := range s.objects {
		if o.Revision > since {
			objects = append(objects, o)
		}
	}
	sortObjects(objects)
	return objects, s.revision, true
}

func sortObjects(objects []record.Object) {
	slices.SortFunc(objects, func(a, b record.Object) int {
		return strings.Compare(a.Key().String(), b.Key().String())
	})
}

// list returns the current records, sorted by key, and the newest revision. The
// revision is 0 when no full list was received yet.
func (s *objectStore) list() ([]record.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fullRevision == 0 {
		return nil, 0
	}
	var objects []record.Object
	for _, o := range s.objects {
		if !o.Deleted {
			objects = append(objects, o)
		}
	}
	sortObjects(objects)
	return objects, s.revision
}

// newestRevision returns the newest revision applied, for the metric
// records.revision.
func (s *objectStore) newestRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.revision)
}
