package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Limits and defaults of a fabric.
const (
	DefaultMaxCallers  = 4096
	DefaultIdleTimeout = clock.Minute
	socketBufferSize   = 4 << 20               // bytes requested for each socket and direction
	maxDatagramSize    = 64 << 10              // bytes
	maxDelayed         = 1 << 16               // datagrams waiting for a delayed send; more are dropped
	reorderDelay       = 5 * clock.Millisecond // added to a datagram that later ones are to overtake
)

// FabricSettings configure a fabric.
type FabricSettings struct {
	Listen      string       // IP address and UDP port for callers
	Entries     []string     // IP addresses and UDP ports of entry instances
	MaxCallers  int          // maximum number of concurrent callers; 0 means DefaultMaxCallers
	IdleTimeout clock.Millis // time without datagrams after which a caller is removed, in ms; 0 means DefaultIdleTimeout
	Seed        uint64       // seed of the random number generators
}

// FabricFaults are the faults of a fabric. Except for BlockedEntries they apply
// to both directions. The zero value has none.
type FabricFaults struct {
	Loss           float64          `json:"loss,omitempty"`      // probability that a datagram is dropped
	Duplicate      float64          `json:"duplicate,omitempty"` // probability that a datagram is sent twice
	Reorder        float64          `json:"reorder,omitempty"`   // probability that a datagram is sent reorderDelay later
	Delay          clock.Millis     `json:"delay,omitempty"`     // delay of each datagram, in ms
	Jitter         clock.Millis     `json:"jitter,omitempty"`    // maximum random delay added to Delay, in ms
	BlockedEntries []netip.AddrPort `json:"block,omitempty"`     // entry instances that datagrams aren't sent to
}

// Check returns an error for the first fault with an invalid value.
func (f *FabricFaults) Check() error {
	return firstError(
		checkProbability("loss", f.Loss),
		checkProbability("duplicate", f.Duplicate),
		checkProbability("reorder", f.Reorder),
		checkDelay("delay", f.Delay),
		checkDelay("jitter", f.Jitter),
	)
}

// Fabric relays datagrams between callers and entry instances. It forwards each
// datagram of a caller to a random entry instance, through a socket of its own
// for each caller. Datagrams that arrive on that socket, from any address, are
// forwarded to the caller.
type Fabric struct {
	settings   FabricSettings
	callerConn *net.UDPConn
	closed     chan struct{}
	counts     fabricCounts
	control    http.Handler
	delayedNow atomic.Int64 // datagrams waiting for a delayed send
	state      atomic.Pointer[fabricState]

	mu      sync.Mutex
	callers map[netip.AddrPort]*fabricCaller
}

// fabricState is the state that control calls change. A change replaces it with
// a new copy, so that relaying needs no lock.
type fabricState struct {
	entries   []netip.AddrPort
	reachable []netip.AddrPort // entries that are not blocked
	faults    FabricFaults
}

// fabricCaller is a caller and the socket through which its datagrams go to entry
// instances.
type fabricCaller struct {
	address  netip.AddrPort
	conn     *net.UDPConn
	lastUsed atomic.Int64 // clock.Millis of the latest datagram
}

// fabricCounts are the counters of datagrams.
type fabricCounts struct {
	registry                  metrics.Registry
	in, out                   metrics.Counter // received from callers, and for callers
	lost, duplicated, delayed metrics.Counter // by faults

	// Dropped: no entry instance is reachable, there are too many callers, or too
	// many datagrams are delayed.
	undeliverable, full, overflow metrics.Counter
}

func newFabricCounts() fabricCounts {
	r := metrics.NewRegistry()
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return fabricCounts{
		registry: r, in: c("in"), out: c("out"),
		lost: c("lost"), duplicated: c("duplicated"), delayed: c("delayed"),
		undeliverable: c("undeliverable"), full: c("full"), overflow: c("overflow"),
	}
}

// StartFabric returns a fabric that relays the datagrams that arrive on s.Listen.
func StartFabric(s FabricSettings) (*Fabric, error) {
	if s.MaxCallers == 0 {
		s.MaxCallers = DefaultMaxCallers
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	entries, err := parseEntries(s.Entries)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(s.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen address %q", s.Listen)
	}
	callerConn, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		settings: s, callerConn: callerConn, closed: make(chan struct{}), counts: newFabricCounts(),
		callers: map[netip.AddrPort]*fabricCaller{},
	}
	f.control = f.controlHandler()
	f.state.Store(&fabricState{entries: entries, reachable: entries})
	go f.relayToEntries()
	go f.closeIdleCallers()
	return f, nil
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	_ = conn.SetReadBuffer(socketBufferSize) // the system may give less
	_ = conn.SetWriteBuffer(socketBufferSize)
	return conn, nil
}

func parseEntries(list []string) ([]netip.AddrPort, error) {
	entries := make([]netip.AddrPort, 0, len(list))
	for _, text := range list {
		e, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Wrapf(err, "entry instance address %q", text)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func (f *Fabric) controlHandler() http.Handler {
	mux := http.NewServeMux()
	handleFaults[FabricFaults](mux, f)
	handleCalls(mux, f.counts.registry)
	mux.HandleFunc("GET /entries", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, f.state.Load().entries)
	})
	mux.HandleFunc("PUT /entries", func(w http.ResponseWriter, r *http.Request) {
		var entries []netip.AddrPort
		if readJSON(w, r, &entries) {
			f.SetEntries(entries)
			writeJSON(w, entries)
		}
	})
	return mux
}

// Address returns the IP address and UDP port for callers.
func (f *Fabric) Address() string { return f.callerConn.LocalAddr().String() }

// Control returns the handler of /fault, /calls and /entries. Faults don't affect
// it.
func (f *Fabric) Control() http.Handler { return f.control }

// Counts returns the counters of datagrams by name.
func (f *Fabric) Counts() map[string]int64 { return CounterValues(f.counts.registry) }

// Faults returns the faults in force.
func (f *Fabric) Faults() FabricFaults { return f.state.Load().faults }

// SetFaults replaces all faults in force.
func (f *Fabric) SetFaults(faults FabricFaults) error {
	if err := faults.Check(); err != nil {
		return err
	}
	f.update(func(s *fabricState) { s.faults = faults })
	return nil
}

// SetEntries replaces the entry instances.
func (f *Fabric) SetEntries(entries []netip.AddrPort) {
	f.update(func(s *fabricState) { s.entries = slices.Clone(entries) })
}

// update replaces the state by a copy that edit has changed.
func (f *Fabric) update(edit func(*fabricState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := *f.state.Load()
	edit(&s)
	s.reachable = slices.DeleteFunc(slices.Clone(s.entries), func(e netip.AddrPort) bool {
		return slices.Contains(s.faults.BlockedEntries, e)
	})
	f.state.Store(&s)
}

// Close closes all sockets of the fabric.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.closed:
		return
	default:
	}
	close(f.closed)
	f.callerConn.Close()
	for _, c := range f.callers {
		c.conn.Close()
	}
}

// newRandom returns the random number generator of a relay goroutine. Its stream
// tells the goroutines apart, so that a seed gives each the same numbers again.
func (f *Fabric) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.settings.Seed, stream))
}
