package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

// BackendSettings configure a backend server.
type BackendSettings struct {
	Listen         string       // IP address and TCP port for requests
	Host           string       // the only host it serves
	Slots          int          // maximum number of concurrent requests; 0 means record.DefaultSlots
	MaxConnections int          // maximum number of open connections; 0 means record.DefaultConnections
	Speed          float64      // ms of work done per ms; 0 means 1
	WarmupTime     clock.Millis // duration of the warm-up after the start, in ms
	WarmupSlowdown float64      // factor by which requests take longer during the warm-up; 0 means DefaultWarmupSlowdown
	Seed           uint64       // seed of the random number generator
}

// DefaultWarmupSlowdown is the factor by which requests take longer during the
// warm-up.
const DefaultWarmupSlowdown = 4

// Values of BackendFaults.HealthClaim.
const (
	ClaimHealthy   = "fine" // report healthy and not draining
	ClaimUnhealthy = "bad"  // report unhealthy
)

// Values of BackendFaults.Silent.
const (
	SilentAll  = "all"  // all connections, open and new
	SilentOpen = "open" // connections that are open now, until they end; new ones work
)

// BackendFaults are the faults of a backend server. The zero value has none.
type BackendFaults struct {
	Drain        bool    `json:"drain,omitempty"`  // refuse requests as not run, and report that it drains
	MarkDraining bool    `json:"mark,omitempty"`   // report that it drains, but run requests
	Shed         bool    `json:"shed,omitempty"`   // refuse requests as not run, and report unhealthy
	Down         bool    `json:"down,omitempty"`   // refuse connections, and reset the open ones
	Reset        bool    `json:"reset,omitempty"`  // reset new connections after accepting them, and the open ones
	Silent       string  `json:"silent,omitempty"` // connections that discard what they receive and send nothing
	Slowdown     float64 `json:"slow,omitempty"`   // factor by which requests take longer; 0 means 1
	HealthClaim  string  `json:"lie,omitempty"`    // false answer to GET /health; GET /load then reports no load
	HostOverride string  `json:"host,omitempty"`   // served in place of BackendSettings.Host
	Truncate     float64 `json:"kill,omitempty"`   // probability that the connection ends halfway through an answer
}

// Check returns an error for the first fault with an invalid value.
func (f *BackendFaults) Check() error {
	if f.Silent != "" && f.Silent != SilentAll && f.Silent != SilentOpen {
		return errors.Wrapf(ErrInvalidFault, "field %q: %q is not one of %s, %s", "silent", f.Silent, SilentAll, SilentOpen)
	}
	if f.HealthClaim != "" && f.HealthClaim != ClaimHealthy && f.HealthClaim != ClaimUnhealthy {
		return errors.Wrapf(ErrInvalidFault, "field %q: %q is not one of %s, %s", "lie", f.HealthClaim, ClaimHealthy, ClaimUnhealthy)
	}
	if !(f.Slowdown >= 0 && f.Slowdown <= maxSlowdown) {
		return errors.Wrapf(ErrInvalidFault, "field %q: %v is not within 0 to %d", "slow", f.Slowdown, maxSlowdown)
	}
	return checkProbability("kill", f.Truncate)
}

// Backend is a backend server for one host. A request whose body ParseWork
// accepts occupies a slot for its run time and gets the answer of BuildAnswer;
// any other body is echoed. The ledger counts the runs of each request.
type Backend struct {
	settings  BackendSettings
	startedAt clock.Millis
	listener  *faultListener
	slots     chan struct{} // one element for each slot in use
	counts    metrics.Registry
	ledger    ledger
	control   http.Handler

	setFaultsMu sync.Mutex // serializes SetFaults
	mu          sync.Mutex
	faults      BackendFaults
	random      *rand.Rand
	queued      int
}

// StartBackend returns a backend server that accepts requests on s.Listen.
func StartBackend(s BackendSettings) (*Backend, error) {
	s.setDefaults()
	b := &Backend{
		settings:  s,
		startedAt: clock.Now(),
		slots:     make(chan struct{}, s.Slots),
		counts:    metrics.NewRegistry(),
		ledger:    ledger{entries: map[entryKey]*LedgerEntry{}},
		random:    rand.New(rand.NewPCG(s.Seed, 0)),
	}
	b.control = b.controlHandler()
	l, err := startFaultListener(s.Listen, s.MaxConnections, b.requestHandler())
	if err != nil {
		return nil, err
	}
	b.listener = l
	return b, nil
}

func (s *BackendSettings) setDefaults() {
	if s.Slots == 0 {
		s.Slots = record.DefaultSlots
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = record.DefaultConnections
	}
	if s.Speed == 0 {
		s.Speed = 1
	}
	if s.WarmupSlowdown == 0 {
		s.WarmupSlowdown = DefaultWarmupSlowdown
	}
}

func (b *Backend) requestHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", b.serveWork)
	mux.HandleFunc("GET /health", b.serveHealth)
	mux.HandleFunc("GET /load", b.serveLoad)
	mux.Handle("GET /ledger", &b.ledger)
	return mux
}

func (b *Backend) controlHandler() http.Handler {
	mux := http.NewServeMux()
	handleFaults[BackendFaults](mux, b)
	handleCalls(mux, b.counts)
	mux.Handle("GET /ledger", &b.ledger)
	return mux
}

// Address returns the IP address and TCP port for requests.
func (b *Backend) Address() string { return b.listener.address }

// Control returns the handler of /fault, /calls and /ledger. Faults don't affect it.
func (b *Backend) Control() http.Handler { return b.control }

// Ledger returns the runs of each request, ordered by id.
func (b *Backend) Ledger() []LedgerEntry { return b.ledger.list() }

// Counts returns the counters of requests and their outcomes by name.
func (b *Backend) Counts() map[string]int64 { return CounterValues(b.counts) }

// Close stops the server and resets its connections.
func (b *Backend) Close() { b.listener.stop() }

// Faults returns the faults in force.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// SetFaults replaces all faults in force.
func (b *Backend) SetFaults(f BackendFaults) error {
	if err := f.Check(); err != nil {
		return err
	}
	b.setFaultsMu.Lock()
	defer b.setFaultsMu.Unlock()
	b.listener.setNewConnFaults(f.Reset, f.Silent == SilentAll)
	if f.Silent != "" {
		b.listener.silenceOpenConns()
	}
	if f.Reset {
		b.listener.resetOpenConns()
	}
	if f.Down {
		b.listener.stop()
	} else if err := b.listener.open(); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	return nil
}

// servedHost returns the host that is served under faults f.
func (b *Backend) servedHost(f BackendFaults) string {
	if f.HostOverride != "" {
		return f.HostOverride
	}
	return b.settings.Host
}

// chance returns true with the given probability.
func (b *Backend) chance(probability float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < probability
}

// acquireSlot waits for a slot until ctx ends, and reports whether it got one.
func (b *Backend) acquireSlot(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	b.addQueued(1)
	defer b.addQueued(-1)
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) releaseSlot() { <-b.slots }

func (b *Backend) addQueued(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued += n
}

// scaledRunTime returns the run time of a request that takes t at speed 1,
// under the speed, warm-up and slowdown in force.
func (b *Backend) scaledRunTime(t clock.Millis) clock.Millis {
	runTime := float64(t) / b.settings.Speed
	if clock.Now()-b.startedAt < b.settings.WarmupTime {
		runTime *= b.settings.WarmupSlowdown
	}
	if slow := b.Faults().Slowdown; slow > 0 {
		runTime *= slow
	}
	return clock.Millis(runTime)
}

// hostWithoutPort returns the Host of a request without its port.
func hostWithoutPort(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}
