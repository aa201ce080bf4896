package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

// DefaultHistoryLength is the number of changes a platform keeps for watches.
const DefaultHistoryLength = 10_000

// PlatformSettings configure a platform.
type PlatformSettings struct {
	HistoryLength   int                 // number of changes kept for watches; 0 means DefaultHistoryLength
	InstanceListLag clock.Millis        // delay until changes show in the list of instances, in ms
	Seed            uint64              // seed of the random number generator
	Now             func() clock.Millis // returns the time; nil means clock.Now
}

// PlatformFaults are the faults of a platform. The zero value has none.
type PlatformFaults struct {
	Down            bool         `json:"down,omitempty"`    // reset the connection of every call
	Delay           clock.Millis `json:"slow,omitempty"`    // delay before a call takes effect, in ms
	AnswerLoss      float64      `json:"lose,omitempty"`    // probability that a write takes effect and its answer is lost
	WriteLoss       float64      `json:"drop,omitempty"`    // probability that a write is lost before it takes effect
	FreezeInstances bool         `json:"stale,omitempty"`   // keep showing the list of instances of the time when this was set
	ReplicaLag      uint64       `json:"replica,omitempty"` // number of revisions by which reads of objects lag behind
	CutOffCallers   []string     `json:"cut,omitempty"`     // callers whose calls take no effect and get no answer
}

// Check returns an error for the first fault with an invalid value.
func (f *PlatformFaults) Check() error {
	return firstError(checkDelay("slow", f.Delay), checkProbability("lose", f.AnswerLoss), checkProbability("drop", f.WriteLoss))
}

// Platform is an http.Handler that implements the HTTP interface of package
// platform with objects in memory.
type Platform struct {
	settings PlatformSettings
	counts   metrics.Registry // calls by operation
	mux      *http.ServeMux

	mu              sync.Mutex
	faults          PlatformFaults
	random          *rand.Rand
	store           store
	leases          leases
	frozenInstances []record.Instance // shown under the fault FreezeInstances
	changed         chan struct{}     // closed by notifyWatches
}

// NewPlatform returns an empty platform without faults.
func NewPlatform(s PlatformSettings) *Platform {
	if s.HistoryLength == 0 {
		s.HistoryLength = DefaultHistoryLength
	}
	if s.Now == nil {
		s.Now = clock.Now
	}
	p := &Platform{
		settings: s,
		counts:   metrics.NewRegistry(),
		mux:      http.NewServeMux(),
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
		store:    newStore(s.HistoryLength),
		leases:   leases{},
		changed:  make(chan struct{}),
	}
	p.registerHandlers()
	return p
}

// registerHandlers registers the operations with the names under which GET /calls
// counts them.
func (p *Platform) registerHandlers() {
	operations := []struct {
		name, pattern string
		write         bool
		serve         func(r *http.Request) answer
	}{
		{"get", "GET /v1/objects/{kind}/{name}", false, p.serveGet},
		{"list", "GET /v1/objects/{kind}", false, p.serveList},
		{"put", "PUT /v1/objects/{kind}/{name}", true, p.servePut},
		{"delete", "DELETE /v1/objects/{kind}/{name}", true, p.serveDelete},
		{"watch", "GET /v1/watch", false, p.serveWatch},
		{"renew", "PUT /v1/leases/{name}", true, p.serveRenew},
		{"release", "DELETE /v1/leases/{name}", true, p.serveRelease},
		{"instances", "GET /v1/instances", false, p.serveInstances},
	}
	for _, o := range operations {
		p.mux.HandleFunc(o.pattern, func(w http.ResponseWriter, r *http.Request) {
			incrementCounter(p.counts, o.name)
			p.serve(w, r, o.write, o.serve)
		})
	}
	handleFaults[PlatformFaults](p.mux, p)
	handleCalls(p.mux, p.counts)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Faults returns the faults in force.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces all faults in force, for waiting watches too.
func (p *Platform) SetFaults(f PlatformFaults) error {
	if err := f.Check(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeInstances && !p.faults.FreezeInstances {
		p.frozenInstances = p.instances()
	}
	p.faults = f
	p.notifyWatches()
	return nil
}

// Counts returns the number of calls by operation.
func (p *Platform) Counts() map[string]int64 { return CounterValues(p.counts) }

// instances returns the list of instances as of InstanceListLag ago. p.mu must be
// held.
func (p *Platform) instances() []record.Instance {
	return p.leases.instances(p.settings.Now() - p.settings.InstanceListLag)
}

// notifyWatches makes waiting watches check for changes of objects and faults. p.mu
// must be held.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// serve runs one operation under the faults in force and sends its answer.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request, write bool, operation func(*http.Request) answer) {
	r.Body = http.MaxBytesReader(w, r.Body, maxCallBody)
	caller := r.Header.Get(platform.CallerHeader)
	f := p.Faults()
	if slices.Contains(f.CutOffCallers, caller) {
		leaveUnanswered(r.Context(), r)
	}
	if f.Delay > 0 {
		sleep(context.Background(), f.Delay) // not r.Context(): a call takes effect even if its caller has given up
	}
	if f.Down || write && p.chance(f.WriteLoss) {
		abortConnection()
	}
	a := operation(r)
	f = p.Faults() // they may have changed while a watch waited
	if f.Down || write && p.chance(f.AnswerLoss) {
		abortConnection()
	}
	if slices.Contains(f.CutOffCallers, caller) {
		leaveUnanswered(r.Context(), r)
	}
	a.send(w)
}

// chance returns true with the given probability.
func (p *Platform) chance(probability float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < probability
}

// abortConnection ends a handler and resets the connection of its call.
func abortConnection() { panic(http.ErrAbortHandler) }
