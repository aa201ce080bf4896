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

// BackendSettings are what a backend server is told at its start.
type BackendSettings struct {
	Listen         string       // IP address and port for requests
	Host           string       // the one host it serves
	Slots          int          // requests it works on at once; 0 means record.DefaultSlots
	MaxConnections int          // connections it accepts; 0 means record.DefaultConnections
	Speed          float64      // work done a ms; 0 means 1
	WarmupTime     clock.Millis // time after the start in which work is slower, in ms
	WarmupSlowdown float64      // how much slower it is then; 0 means DefaultChill
	Seed           uint64       // seed of every random choice
}

// DefaultWarmupSlowdown is the factor by which a cold backend server is slower.
const DefaultWarmupSlowdown = 4

// What a backend server's health can claim.
const (
	ClaimHealthy   = "fine" // healthy and not draining
	ClaimUnhealthy = "bad"  // not healthy
)

// Which connections of a backend server can be silent.
const (
	SilentAll  = "all"  // every connection, old and new
	SilentOpen = "open" // those open now, for good; new ones work
)

// BackendFaults are the faults of a backend server. The zero value has none.
type BackendFaults struct {
	Drain        bool    `json:"drain,omitempty"`  // refuse new work as not run and tell so
	MarkDraining bool    `json:"mark,omitempty"`   // tell that it drains, but take work
	Shed         bool    `json:"shed,omitempty"`   // refuse new work as not run
	Down         bool    `json:"down,omitempty"`   // refuse connections and reset those open
	Reset        bool    `json:"reset,omitempty"`  // accept connections and reset them, and those open
	Silent       string  `json:"silent,omitempty"` // connections that take everything and answer nothing
	Slowdown     float64 `json:"slow,omitempty"`   // factor by which work is slower
	HealthClaim  string  `json:"lie,omitempty"`    // what health claims; load claims to be idle then
	HostOverride string  `json:"host,omitempty"`   // the host it serves instead of its own
	Truncate     float64 `json:"kill,omitempty"`   // probability that the connection ends halfway through an answer
}

// Check reports the first fault whose value makes no sense.
func (f *BackendFaults) Check() error {
	if f.Silent != "" && f.Silent != SilentAll && f.Silent != SilentOpen {
		return errors.Wrapf(ErrInvalidFault, "field %q: %q is not one of %s, %s", "silent", f.Silent, SilentAll, SilentOpen)
	}
	if f.HealthClaim != "" && f.HealthClaim != ClaimHealthy && f.HealthClaim != ClaimUnhealthy {
		return errors.Wrapf(ErrInvalidFault, "field %q: %q is not one of %s, %s", "lie", f.HealthClaim, ClaimHealthy, ClaimUnhealthy)
	}
	if !(f.Slowdown >= 0 && f.Slowdown <= maxFactor) {
		return errors.Wrapf(ErrInvalidFault, "field %q: %v is not within 0 to %d", "slow", f.Slowdown, maxFactor)
	}
	return checkProbability("kill", f.Truncate)
}

// Backend is a backend server for one host. A request whose body starts with a
// line of the form of Work holds a slot for its time and is answered with
// AnswerTo; any other body is sent back. The ledger tells what was run.
type Backend struct {
	settings BackendSettings
	started  clock.Millis
	gate     *gate
	slots    chan struct{} // holds a token for each slot in use
	counts   metrics.Registry
	ledger   ledger
	control  http.Handler

	switching sync.Mutex // held while faults change
	mu        sync.Mutex
	faults    BackendFaults
	random    *rand.Rand
	queued    int
}

// StartBackend returns a backend server that takes requests on s.Listen.
func StartBackend(s BackendSettings) (*Backend, error) {
	s.setDefaults()
	b := &Backend{
		settings: s,
		started:  clock.Now(),
		slots:    make(chan struct{}, s.Slots),
		counts:   metrics.NewRegistry(),
		ledger:   ledger{entries: map[entryKey]*LedgerEntry{}},
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
	}
	b.control = b.routeControl()
	g, err := openGate(s.Listen, s.MaxConnections, b.route())
	if err != nil {
		return nil, err
	}
	b.gate = g
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

func (b *Backend) route() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", b.serveWork)
	mux.HandleFunc("GET /health", b.serveHealth)
	mux.HandleFunc("GET /load", b.serveLoad)
	mux.Handle("GET /ledger", &b.ledger)
	return mux
}

func (b *Backend) routeControl() http.Handler {
	mux := http.NewServeMux()
	handleFaults[BackendFaults](mux, b)
	handleCalls(mux, b.counts)
	mux.Handle("GET /ledger", &b.ledger)
	return mux
}

// Address returns the IP address and port for requests.
func (b *Backend) Address() string { return b.gate.address }

// Control returns the handler of /fault, /calls and /ledger.
func (b *Backend) Control() http.Handler { return b.control }

// Ledger returns what was run, by id.
func (b *Backend) Ledger() []LedgerEntry { return b.ledger.list() }

// Counts returns how often each thing happened.
func (b *Backend) Counts() map[string]int64 { return CounterValues(b.counts) }

// Close ends the server and its connections at once.
func (b *Backend) Close() { b.gate.shut() }

// Faults returns the faults in force.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// SetFaults replaces the faults in force.
func (b *Backend) SetFaults(f BackendFaults) error {
	if err := f.Check(); err != nil {
		return err
	}
	b.switching.Lock()
	defer b.switching.Unlock()
	b.gate.treat(f.Reset, f.Silent == SilentAll)
	if f.Silent != "" {
		b.gate.silenceOpen()
	}
	if f.Reset {
		b.gate.resetOpen()
	}
	if f.Down {
		b.gate.shut()
	} else if err := b.gate.open(); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	return nil
}

// host returns the host that is served.
func (b *Backend) host(f BackendFaults) string {
	if f.HostOverride != "" {
		return f.HostOverride
	}
	return b.settings.Host
}

func (b *Backend) chance(probability float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < probability
}

// takeSlot waits for a slot until ctx ends and reports whether it got one.
func (b *Backend) takeSlot(ctx context.Context) bool {
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

func (b *Backend) freeSlot() { <-b.slots }

func (b *Backend) addQueued(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued += n
}

// workTime returns how long a piece of work takes now.
func (b *Backend) workTime(t clock.Millis) clock.Millis {
	span := float64(t) / b.settings.Speed
	if clock.Now()-b.started < b.settings.WarmupTime {
		span *= b.settings.WarmupSlowdown
	}
	if slow := b.Faults().Slowdown; slow > 0 {
		span *= slow
	}
	return clock.Millis(span)
}

// bareHost returns the Host of a request without a port.
func bareHost(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}
