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
	DefaultMaxCallers  = 4096         // callers at once
	DefaultIdleTimeout = clock.Minute // time after which a silent caller is forgotten, in ms
	socketBuffer       = 4 << 20      // bytes asked of the system for each socket and direction
	maxDatagram        = 64 << 10     // bytes
	maxHeld            = 1 << 16      // datagrams held back at once
	reorderDelay       = 5 * clock.Millisecond
)

// FabricSettings are what a fabric is told at its start.
type FabricSettings struct {
	Listen      string       // IP address and UDP port for callers
	Entries     []string     // IP addresses and UDP ports of entry instances
	MaxCallers  int          // callers at once; 0 means DefaultCallers
	IdleTimeout clock.Millis // time after which a silent caller is forgotten, in ms; 0 means DefaultIdle
	Seed        uint64       // seed of every random choice
}

// FabricFaults are the faults of a fabric, for both directions unless said
// otherwise. The zero value has none.
type FabricFaults struct {
	Loss           float64          `json:"loss,omitempty"`      // probability that a datagram is lost
	Duplicate      float64          `json:"duplicate,omitempty"` // probability that it is delivered twice
	Reorder        float64          `json:"reorder,omitempty"`   // probability that later ones overtake it
	Delay          clock.Millis     `json:"delay,omitempty"`     // delay of each datagram, in ms
	Jitter         clock.Millis     `json:"jitter,omitempty"`    // largest random delay on top, in ms
	BlockedEntries []netip.AddrPort `json:"block,omitempty"`     // entry instances that get nothing
}

// Check reports the first fault whose value makes no sense.
func (f *FabricFaults) Check() error {
	return firstError(
		checkProbability("loss", f.Loss),
		checkProbability("duplicate", f.Duplicate),
		checkProbability("reorder", f.Reorder),
		checkDelay("delay", f.Delay),
		checkDelay("jitter", f.Jitter),
	)
}

// Fabric relays datagrams between callers and entry instances. Each datagram of
// a caller goes to a random entry instance, from a socket of that caller's own.
// What arrives on that socket, from anywhere, goes back to the caller.
type Fabric struct {
	settings FabricSettings
	public   *net.UDPConn
	closed   chan struct{}
	counts   fabricCounts
	control  http.Handler
	held     atomic.Int64
	state    atomic.Pointer[fabricState]

	mu      sync.Mutex
	callers map[netip.AddrPort]*fabricCaller
}

// fabricState is what can change while the fabric runs. It is replaced as a
// whole.
type fabricState struct {
	entries []netip.AddrPort
	live    []netip.AddrPort // entries that are not blocked
	faults  FabricFaults
}

// fabricCaller is one caller's own socket towards the entry instances.
type fabricCaller struct {
	address netip.AddrPort
	conn    *net.UDPConn
	used    atomic.Int64 // clock.Millis of the latest datagram
}

// fabricCounts count datagrams.
type fabricCounts struct {
	registry                      metrics.Registry
	in, out                       metrics.Counter // towards entry instances and back
	lost, duplicated, delayed     metrics.Counter
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

// StartFabric returns a fabric that relays what arrives on s.Listen.
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
	public, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		settings: s, public: public, closed: make(chan struct{}), counts: newFabricCounts(),
		callers: map[netip.AddrPort]*fabricCaller{},
	}
	f.control = f.routeControl()
	f.state.Store(&fabricState{entries: entries, live: entries})
	go f.relayIn()
	go f.forgetIdle()
	return f, nil
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	_ = conn.SetReadBuffer(socketBuffer) // the system gives what it allows
	_ = conn.SetWriteBuffer(socketBuffer)
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

func (f *Fabric) routeControl() http.Handler {
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
func (f *Fabric) Address() string { return f.public.LocalAddr().String() }

// Control returns the handler of /fault, /calls and /entries.
func (f *Fabric) Control() http.Handler { return f.control }

// Counts returns the numbers of datagrams by what happened to them.
func (f *Fabric) Counts() map[string]int64 { return CounterValues(f.counts.registry) }

// Faults returns the faults in force.
func (f *Fabric) Faults() FabricFaults { return f.state.Load().faults }

// SetFaults replaces the faults in force.
func (f *Fabric) SetFaults(faults FabricFaults) error {
	if err := faults.Check(); err != nil {
		return err
	}
	f.change(func(s *fabricState) { s.faults = faults })
	return nil
}

// SetEntries replaces the entry instances.
func (f *Fabric) SetEntries(entries []netip.AddrPort) {
	f.change(func(s *fabricState) { s.entries = slices.Clone(entries) })
}

func (f *Fabric) change(edit func(*fabricState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := *f.state.Load()
	edit(&s)
	s.live = slices.DeleteFunc(slices.Clone(s.entries), func(e netip.AddrPort) bool {
		return slices.Contains(s.faults.BlockedEntries, e)
	})
	f.state.Store(&s)
}

// Close ends the fabric at once.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.closed:
		return
	default:
	}
	close(f.closed)
	f.public.Close()
	for _, c := range f.callers {
		c.conn.Close()
	}
}

// newRandom returns the random numbers of one direction of one caller, or of
// all callers towards the entry instances.
func (f *Fabric) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.settings.Seed, stream))
}
