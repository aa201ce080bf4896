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

// Values of MetastoreFaults.RefuseMode.
const (
	RefuseUnavailable     = "busy"   // respond with status 503
	RefuseTooManyRequests = "many"   // respond with status 429
	RefuseReset           = "reset"  // reset the connection
	RefuseSilent          = "silent" // never respond
)

// MetastoreFaults are the faults of a metastore. The zero value has none.
type MetastoreFaults struct {
	RefuseMode     string       `json:"refuse,omitempty"`  // refuse calls, in one of the modes above
	RefusedCallers []string     `json:"callers,omitempty"` // refuse only calls of these callers; empty means all
	Delay          clock.Millis `json:"slow,omitempty"`    // delay before a call that is not refused is handled, in ms
	AnswerLoss     float64      `json:"lose,omitempty"`    // probability that a write takes effect and its answer is lost
	LateWriteDelay clock.Millis `json:"late,omitempty"`    // delay until such a write takes effect if its condition still holds, in ms
	FreezeWatches  bool         `json:"deaf,omitempty"`    // watches get no answer, even when their time is over, and reads with stale_ok=1 show the state when this was set
}

// Check returns an error for the first fault with an invalid value.
func (f *MetastoreFaults) Check() error {
	modes := []string{"", RefuseUnavailable, RefuseTooManyRequests, RefuseReset, RefuseSilent}
	if !slices.Contains(modes, f.RefuseMode) {
		return fmt.Errorf("field %q: %q is not one of %s: %w", "refuse", f.RefuseMode, strings.Join(modes[1:], ", "), ErrInvalidFault)
	}
	return firstError(checkDelay("slow", f.Delay), checkDelay("late", f.LateWriteDelay), checkProbability("lose", f.AnswerLoss))
}

// Limits of a metastore.
const (
	maxMetastorePage    = 500                     // objects in an answer to a list
	maxMetastoreWait    = 30 * clock.Second       // after which a watch without changes is answered, in ms
	maxMetastoreBody    = 1 << 20                 // bytes of an object
	metastorePathPrefix = "/tanagerdock/objects/" // followed by KIND or KIND/NAME
)

// metaObject is an object of the store as JSON.
type metaObject struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`

	raw string // served verbatim in place of the object, if not empty; need not be valid
}

// text returns the object as it is served.
func (o *metaObject) text() string {
	if o.raw != "" {
		return strings.ReplaceAll(o.raw, "REVISION", strconv.FormatUint(o.Meta.Revision, 10))
	}
	data, err := json.Marshal(o)
	if err != nil {
		panic(err) // a fault of the test
	}
	return string(data)
}

type objectMeta struct {
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

// Metastore is an http.Handler that implements the platform's metadata store with
// objects in memory.
type Metastore struct {
	counts metrics.Registry // calls by operation

	mu           sync.Mutex
	faults       MetastoreFaults
	random       *rand.Rand
	revision     uint64
	objects      map[string]map[string]metaObject // by kind and name
	snapshot     map[string]map[string]metaObject // read with stale_ok=1 under the fault FreezeWatches
	history      []metaChange
	historyStart uint64        // revision before the first change of history
	changed      chan struct{} // closed by notifyWatches
}

// NewMetastore returns an empty store.
func NewMetastore(seed uint64) *Metastore {
	return &Metastore{
		counts: metrics.NewRegistry(), random: rand.New(rand.NewPCG(seed, 0)), revision: 1, historyStart: 1,
		objects: map[string]map[string]metaObject{}, changed: make(chan struct{}),
	}
}

// SetFaults replaces all faults in force, for waiting watches too, except that a refusal of
// some callers only doesn't end their waiting watches.
func (s *Metastore) SetFaults(f MetastoreFaults) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeWatches && !s.faults.FreezeWatches {
		s.snapshot = map[string]map[string]metaObject{}
		for kind, all := range s.objects {
			s.snapshot[kind] = map[string]metaObject{}
			for name, o := range all {
				s.snapshot[kind][name] = o
			}
		}
	}
	s.faults = f
	s.notifyWatches()
	return nil
}

// Compact discards the history, so that watches from earlier revisions get status
// 410.
func (s *Metastore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.revision
	s.notifyWatches()
}

// Counts returns the number of calls by operation.
func (s *Metastore) Counts() map[string]int64 { return CounterValues(s.counts) }

// ListCalls returns the number of calls that read endpoints or configurations
// without a watch.
func (s *Metastore) ListCalls() int64 {
	c := s.Counts()
	return c["GET "+endpointKind] + c["GET "+configurationKind]
}

// Put writes an object as the operator or an endpoint does, and returns the
// store's revision.
func (s *Metastore) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a fault of the test
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Meta.Name, o.Spec, o.raw = name, data, ""
	s.commit(kind, o)
	return s.revision
}

// PutRaw writes an object as another writer does: its text is served verbatim, valid or
// not, with REVISION replaced by its revision. It returns the store's revision.
func (s *Metastore) PutRaw(kind, name, text string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Meta.Name, o.raw = name, text
	s.commit(kind, o)
	return s.revision
}

// Remove deletes an object, as the store does when an endpoint's registration
// expires, and returns the store's revision.
func (s *Metastore) Remove(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.objects[kind][name]; found {
		s.erase(kind, o)
	}
	return s.revision
}

// Names returns the names of the objects of a kind, sorted.
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

// commit stores o at the next revision. s.mu must be held.
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
	s.notifyWatches()
	return o
}

// erase removes an object at the next revision. s.mu must be held.
func (s *Metastore) erase(kind string, o metaObject) {
	s.revision++
	o.Meta.Revision = s.revision
	delete(s.objects[kind], o.Meta.Name)
	s.history = append(s.history, metaChange{kind: kind, object: o, deleted: true})
	s.notifyWatches()
}

// notifyWatches makes waiting watches check for changes of objects and faults. s.mu
// must be held.
func (s *Metastore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Metastore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, metastorePathPrefix)
	if !found {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	operation := r.Method
	if r.URL.Query().Has("watch") {
		operation = "WATCH"
	}
	incrementCounter(s.counts, operation+" "+kind)
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.RefuseMode != "" && (len(f.RefusedCallers) == 0 || slices.Contains(f.RefusedCallers, r.Header.Get(platform.CallerHeader))) {
		refuseCall(w, r, f.RefuseMode)
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

// refuseCall refuses a call in one of the refuse modes.
func refuseCall(w http.ResponseWriter, r *http.Request, mode string) {
	switch mode {
	case RefuseUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RefuseTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case RefuseReset:
		abortConnection()
	case RefuseSilent:
		leaveUnanswered(r.Context(), r)
	}
}

// serveRead responds with one object, or with a page of the objects of a kind.
func (s *Metastore) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.objects[kind]
	if s.faults.FreezeWatches && r.URL.Query().Get("stale_ok") == "1" {
		all = s.snapshot[kind]
	}
	if name != "" {
		o, found := all[name]
		if !found {
			http.Error(w, name+" does not exist", http.StatusNotFound)
			return
		}
		writeText(w, o.text())
		return
	}
	items := []metaObject{}
	for _, o := range all {
		if o.Meta.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b metaObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > maxMetastorePage
	texts := make([]string, 0, maxMetastorePage)
	for i := range items[:min(len(items), maxMetastorePage)] {
		texts = append(texts, items[i].text())
	}
	writeText(w, fmt.Sprintf(`{"items":[%s],"more":%t,"current_rev":%d}`, strings.Join(texts, ","), more, s.revision))
}

// writeText responds with JSON text. Objects of other writers may be invalid, so it isn't
// encoded again.
func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, text+"\n") // the caller may have gone
}

// serveWatch waits for changes of the objects of a kind, at most for the requested
// time.
func (s *Metastore) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		http.Error(w, "watch or wait_ms is not a number", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(clock.Millis(wait), maxMetastoreWait).Duration())
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events, found := s.events(kind, since)
		current, changed, f := s.revision, s.changed, s.faults
		s.mu.Unlock()
		switch {
		case f.RefuseMode != "" && len(f.RefusedCallers) == 0:
			refuseCall(w, r, f.RefuseMode)
			return
		case f.FreezeWatches:
		case !found:
			http.Error(w, "changes since that revision are not in the history", http.StatusGone)
			return
		case len(events) > 0 || expired:
			writeText(w, fmt.Sprintf(`{"events":[%s],"current_rev":%d}`, strings.Join(events, ","), current))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
			timer.Reset(clock.Hour.Duration()) // no longer needed; FreezeWatches may hold the answer back
		case <-r.Context().Done():
			return
		}
	}
}

// events returns the changes of a kind after a revision, and whether the history
// reaches back to that revision. s.mu must be held.
func (s *Metastore) events(kind string, since uint64) ([]string, bool) {
	if since < s.historyStart || since > s.revision {
		return nil, false
	}
	events := []string{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Meta.Revision > since {
			events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, c.object.text(), c.deleted))
		}
	}
	return events, true
}

// serveWrite creates, replaces or deletes an object.
func (s *Metastore) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o metaObject
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMetastoreBody))
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
	leaveUnanswered(r.Context(), r)
}

// write applies a write if its condition holds, and returns the status and body of
// the response.
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
	old.Meta.Name, old.Spec, old.raw = name, o.Spec, ""
	return http.StatusOK, s.commit(kind, old)
}
