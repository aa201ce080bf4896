package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
)

// Ways in which a metastore turns calls away.
const (
	RefuseUnavailable     = "busy"   // 503
	RefuseTooManyRequests = "many"   // 429
	RefuseReset           = "reset"  // the connection is reset
	RefuseSilent          = "silent" // the connection gets no answer
)

// MetastoreFaults are the faults of a metastore. The zero value has none.
type MetastoreFaults struct {
	RefuseMode     string       `json:"refuse,omitempty"`  // turn calls away, in one of the ways above
	RefusedCallers []string     `json:"callers,omitempty"` // only those of these callers; empty for all
	Delay          clock.Millis `json:"slow,omitempty"`    // delay of each answer, in ms
	AnswerLoss     float64      `json:"lose,omitempty"`    // probability that a write takes effect and is not answered
	LateWriteDelay clock.Millis `json:"late,omitempty"`    // such a write takes effect this much later, if its condition still holds
	FreezeWatches  bool         `json:"deaf,omitempty"`    // watches hear nothing, and cheap reads show the state before
}

// Check reports the first fault whose value makes no sense.
func (f *MetastoreFaults) Check() error {
	ways := []string{"", RefuseUnavailable, RefuseTooManyRequests, RefuseReset, RefuseSilent}
	if !slices.Contains(ways, f.RefuseMode) {
		return fmt.Errorf("field %q: %q is not one of %s: %w", "refuse", f.RefuseMode, strings.Join(ways[1:], ", "), ErrInvalidFault)
	}
	return firstError(checkDelay("slow", f.Delay), checkDelay("late", f.LateWriteDelay), checkProbability("lose", f.AnswerLoss))
}

// Limits of a metastore.
const (
	metastorePage = 500                     // objects in an answer
	metastoreWait = 30 * clock.Second       // longest wait of a watch
	metastoreBody = 1 << 20                 // bytes of an object
	metastorePath = "/tanagerdock/objects/" // followed by kind and name
)

// metaObject is an object as it is sent.
type metaObject struct {
	Meta   metaHead        `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type metaHead struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// metaChange is one change of an object.
type metaChange struct {
	kind    string
	object  metaObject
	deleted bool
}

// Metastore is the platform's metadata store in memory, as an http.Handler.
type Metastore struct {
	counts metrics.Registry // calls by operation

	mu       sync.Mutex
	faults   MetastoreFaults
	random   *rand.Rand
	revision uint64
	objects  map[string]map[string]metaObject // by kind and name
	before   map[string]map[string]metaObject // what cheap reads show while deaf
	history  []metaChange
	oldest   uint64        // revision before the oldest change of the history
	change   chan struct{} // closed at the next change of objects or faults
}

// NewMetastore returns an empty store.
func NewMetastore(seed uint64) *Metastore {
	return &Metastore{
		counts: metrics.NewRegistry(), random: rand.New(rand.NewPCG(seed, 0)), revision: 1, oldest: 1,
		objects: map[string]map[string]metaObject{}, change: make(chan struct{}),
	}
}

// SetFaults replaces the faults in force. Waiting watches feel them at once.
func (s *Metastore) SetFaults(f MetastoreFaults) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeWatches && !s.faults.FreezeWatches {
		s.before = map[string]map[string]metaObject{}
		for kind, all := range s.objects {
			s.before[kind] = map[string]metaObject{}
			for name, o := range all {
				s.before[kind][name] = o
			}
		}
	}
	s.faults = f
	s.wake()
	return nil
}

// Compact drops the history, which ends the watches that go on from before.
func (s *Metastore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

// Counts returns the number of calls by operation.
func (s *Metastore) Counts() map[string]int64 { return CounterValues(s.counts) }

// ListCalls returns how often endpoints and configurations were listed.
func (s *Metastore) ListCalls() int64 {
	c := s.Counts()
	return c["GET "+endpointKind] + c["GET "+configurationKind]
}

// Put writes an object as the operator or an endpoint does, and returns the
// store's revision.
func (s *Metastore) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a mistake of the test
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Meta.Name, o.Spec = name, data
	s.commit(kind, o)
	return s.revision
}

// Remove deletes an object, as the store does when an endpoint's entry lapses.
func (s *Metastore) Remove(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.objects[kind][name]; found {
		s.erase(kind, o)
	}
	return s.revision
}

// Names returns the names of the objects of a kind.
func (s *Metastore) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// commit makes o the newest state of its object. It needs the lock.
func (s *Metastore) commit(kind string, o metaObject) metaObject {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]metaObject{}
	}
	s.objects[kind][o.Meta.Name] = o
	s.history = append(s.history, metaChange{kind: kind, object: o})
	s.wake()
	return o
}

// erase removes an object. It needs the lock.
func (s *Metastore) erase(kind string, o metaObject) {
	s.revision++
	o.Meta.Revision = s.revision
	delete(s.objects[kind], o.Meta.Name)
	s.history = append(s.history, metaChange{kind: kind, object: o, deleted: true})
	s.wake()
}

func (s *Metastore) wake() {
	close(s.change)
	s.change = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Metastore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, metastorePath)
	if !found {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	operation := r.Method
	if r.URL.Query().Has("watch") {
		operation = "WATCH"
	}
	count(s.counts, operation+" "+kind)
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.RefuseMode != "" && (len(f.RefusedCallers) == 0 || slices.Contains(f.RefusedCallers, r.Header.Get(platform.CallerHeader))) {
		turnAway(w, r, f.RefuseMode)
		return
	}
	sleep(r.Context(), f.Delay)
	switch {
	case operation == "WATCH":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveRead(w, r, kind, name)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func turnAway(w http.ResponseWriter, r *http.Request, way string) {
	switch way {
	case RefuseUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RefuseTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case RefuseReset:
		reset()
	case RefuseSilent:
		silence(r.Context(), r)
	}
}

// serveRead answers with one object, or with a page of a kind.
func (s *Metastore) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.objects[kind]
	if s.faults.FreezeWatches && r.URL.Query().Get("stale_ok") == "1" {
		all = s.before[kind]
	}
	if name != "" {
		o, found := all[name]
		if !found {
			http.Error(w, name+" does not exist", http.StatusNotFound)
			return
		}
		writeJSON(w, o)
		return
	}
	items := []metaObject{}
	for _, o := range all {
		if o.Meta.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b metaObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > metastorePage
	writeJSON(w, map[string]any{"items": items[:min(len(items), metastorePage)], "more": more, "current_rev": s.revision})
}

// serveWatch waits for changes of a kind.
func (s *Metastore) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		http.Error(w, "watch or wait_ms is not a number", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(clock.Millis(wait), metastoreWait).Duration())
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events, found := s.events(kind, since)
		current, change, f := s.revision, s.change, s.faults
		s.mu.Unlock()
		switch {
		case f.RefuseMode != "" && len(f.RefusedCallers) == 0:
			turnAway(w, r, f.RefuseMode)
			return
		case f.FreezeWatches:
		case !found:
			http.Error(w, "history is gone", http.StatusGone)
			return
		case len(events) > 0 || over:
			writeJSON(w, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-change:
		case <-timer.C:
			over = true
			timer.Reset(clock.Hour.Duration())
		case <-r.Context().Done():
			return
		}
	}
}

// events returns the changes of a kind after a revision, and whether the history
// reaches back. It needs the lock.
func (s *Metastore) events(kind string, since uint64) ([]map[string]any, bool) {
	if since < s.oldest || since > s.revision {
		return nil, false
	}
	events := []map[string]any{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Meta.Revision > since {
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
		}
	}
	return events, true
}

// serveWrite creates, replaces or deletes an object.
func (s *Metastore) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o metaObject
	data, err := io.ReadAll(io.LimitReader(r.Body, metastoreBody))
	if err == nil && r.Method != http.MethodDelete {
		err = json.Unmarshal(data, &o)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mu.Lock()
	lost := s.random.Float64() < s.faults.AnswerLoss
	late := s.faults.LateWriteDelay
	s.mu.Unlock()
	if !lost {
		status, answer := s.write(r.Method, kind, name, o)
		w.WriteHeader(status)
		writeJSON(w, answer)
		return
	}
	if late == 0 {
		s.write(r.Method, kind, name, o)
	} else {
		time.AfterFunc(late.Duration(), func() { s.write(r.Method, kind, name, o) })
	}
	silence(r.Context(), r)
}

// write carries a write out if its condition holds.
func (s *Metastore) write(method, kind, name string, o metaObject) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.objects[kind][name]
	switch {
	case method == http.MethodPost && found:
		return http.StatusConflict, old
	case method != http.MethodPost && !found:
		return http.StatusNotFound, nil
	case method != http.MethodPost && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.erase(kind, old)
		return http.StatusOK, old
	case method == http.MethodPut && string(old.Spec) == string(o.Spec):
		return http.StatusOK, old
	}
	old.Meta.Name, old.Spec = name, o.Spec
	return http.StatusOK, s.commit(kind, old)
}
