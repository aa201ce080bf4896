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

// PlatformSettings are what a platform is told at its start.
type PlatformSettings struct {
	HistoryLength   int                 // changes kept for watches; 0 means DefaultHistory
	InstanceListLag clock.Millis        // how far the list of instances lags behind, in ms
	Seed            uint64              // seed of every random choice
	Now             func() clock.Millis // the time; nil means clock.Now
}

// PlatformFaults are the faults of a platform. The zero value has none.
type PlatformFaults struct {
	Down            bool         `json:"down,omitempty"`    // every connection is reset
	Delay           clock.Millis `json:"slow,omitempty"`    // delay before a call is carried out, in ms
	AnswerLoss      float64      `json:"lose,omitempty"`    // probability that a write's answer is lost after it took effect
	WriteLoss       float64      `json:"drop,omitempty"`    // probability that a write is lost before it takes effect
	FreezeInstances bool         `json:"stale,omitempty"`   // the list of instances is frozen
	ReplicaLag      uint64       `json:"replica,omitempty"` // reads of objects see the state this many revisions ago
	CutOffCallers   []string     `json:"cut,omitempty"`     // callers whose calls get no answer and no effect
}

// Check reports the first fault whose value makes no sense.
func (f *PlatformFaults) Check() error {
	return firstError(checkDelay("slow", f.Delay), checkProbability("lose", f.AnswerLoss), checkProbability("drop", f.WriteLoss))
}

// Platform is an object store in memory with the HTTP interface of package
// platform, as an http.Handler.
type Platform struct {
	settings PlatformSettings
	counts   metrics.Registry // calls by operation
	mux      *http.ServeMux

	mu     sync.Mutex
	faults PlatformFaults
	random *rand.Rand
	store  store
	leases leases
	frozen []record.Instance // what a stale list shows
	change chan struct{}     // closed at the next change of objects or faults
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
		change:   make(chan struct{}),
	}
	p.route()
	return p
}

// route lists the operations by the name under which they are counted.
func (p *Platform) route() {
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
			count(p.counts, o.name)
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

// SetFaults replaces the faults in force. Waiting watches feel them at once.
func (p *Platform) SetFaults(f PlatformFaults) error {
	if err := f.Check(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeInstances && !p.faults.FreezeInstances {
		p.frozen = p.instances()
	}
	p.faults = f
	p.wake()
	return nil
}

// Counts returns the number of calls by operation.
func (p *Platform) Counts() map[string]int64 { return CounterValues(p.counts) }

// instances returns the lagging list. It needs the lock.
func (p *Platform) instances() []record.Instance {
	return p.leases.instances(p.settings.Now() - p.settings.InstanceListLag)
}

// wake lets waiting watches look again. It needs the lock.
func (p *Platform) wake() {
	close(p.change)
	p.change = make(chan struct{})
}

// serve carries out one operation under the faults in force.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request, write bool, operation func(*http.Request) answer) {
	r.Body = http.MaxBytesReader(w, r.Body, maxRequest)
	caller := r.Header.Get(platform.CallerHeader)
	f := p.Faults()
	if slices.Contains(f.CutOffCallers, caller) {
		silence(r.Context(), r)
	}
	if f.Delay > 0 {
		sleep(context.Background(), f.Delay) // a call takes effect also when its caller has given up
	}
	if f.Down || write && p.chance(f.WriteLoss) {
		reset()
	}
	a := operation(r)
	f = p.Faults() // a watch may have waited long
	if f.Down || write && p.chance(f.AnswerLoss) {
		reset()
	}
	if slices.Contains(f.CutOffCallers, caller) {
		silence(r.Context(), r)
	}
	a.send(w)
}

func (p *Platform) chance(probability float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < probability
}

// reset ends the connection of the call being served without an answer.
func reset() { panic(http.ErrAbortHandler) }
