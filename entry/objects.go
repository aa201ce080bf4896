package entry

import (
	"slices"
	"strings"
	"sync"

	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/record"
)

// objectStore is the daemon's copy of the newest operator records, kept for
// other instances that cannot reach the platform. It is safe for concurrent use.
type objectStore struct {
	mu           sync.Mutex
	objects      map[record.Key]record.Object // deleted ones above floor included
	fullRevision uint64                       // newest revision at which the whole set was known
	revision     uint64                       // newest revision taken in
}

func newObjectStore() *objectStore {
	return &objectStore{objects: map[record.Key]record.Object{}}
}

// apply takes in records. An older revision never replaces a newer one.
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

// applyOne takes in one record unless it, or its absence, is known to be older.
func (s *objectStore) applyObject(o record.Object) {
	if !slices.Contains(record.OperatorKinds, o.Kind) {
		return
	}
	known, found := s.objects[o.Key()]
	if found && known.Revision >= o.Revision || !found && o.Revision <= s.fullRevision {
		return
	}
	s.objects[o.Key()] = o
}

// newer returns the records newer than since, deleted ones included, sorted by
// key. It reports false when what was deleted since then is no longer known.
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

// list returns the records in force, sorted by key, and the revision at which
// the set was whole, 0 when it never was.
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

// newest returns the newest revision taken in.
func (s *objectStore) newestRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.revision)
}
