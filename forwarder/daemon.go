package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Options are what a Daemon is made of.
type Options struct {
	Settings     platform.Settings
	SettingsFile string // settings file, read again when it changes; empty for none
	Log          io.Writer
	MetricsPort  uint16 // port for metrics; 0 for the inner port alone
}

// Periods of the daemon, in ms.
const (
	// Openings that an endpoint reset are found within a tick, and consumers use up
	// their tries within some 20 ms.
	tickPeriod = 50 * clock.Millisecond
	// A settings file may change without a signal; nothing in it is urgent.
	filePeriod = 2 * clock.Second
	// What was seen of endpoints is shared at this pace; one that fails answers ten
	// requests in two of them at the sizes of today.
	sharePeriod = 500 * clock.Millisecond
)

// Daemon forwards the packets of one instance.
type Daemon struct {
	file     string
	settings atomic.Pointer[platform.Settings]
	journal  *journal
	counts   *counts

	packets *net.UDPConn
	ready   net.Listener
	peers   *net.UDPConn // nil when there is no port for it
	inner   net.Listener // records and metrics
	metrics net.Listener // metrics; nil when there is no port of its own

	mu     sync.Mutex // guards engine, fleet, held and fed
	engine *steering.Engine
	fleet  *fleet.Engine
	held   held // packets that wait for the first records
	fed    bool // records came from a peer, so there is no need to list them

	self     fleet.Member
	store    atomic.Pointer[platform.Store]
	touched  touch
	watching *daemon.Gate
	fetches  chan fleet.FetchRecords // at most one waits
	arrived  atomic.Int64            // clock.Millis of the latest packet
	halting  atomic.Bool
	halt     chan struct{} // closed by Stop
	haltOnce sync.Once
	reload   chan struct{}
	work     sync.WaitGroup
}

// Open opens the daemon's sockets. Nothing runs until Run.
func Open(o Options) (*Daemon, error) {
	d := &Daemon{
		file:     o.SettingsFile,
		journal:  newJournal(o.Log),
		halt:     make(chan struct{}),
		reload:   make(chan struct{}, 1),
		watching: daemon.NewGate(false),
		fetches:  make(chan fleet.FetchRecords, 1),
	}
	d.counts = newCounts(d)
	d.use(o.Settings)
	if err := d.openSockets(o.MetricsPort); err != nil {
		d.closeSockets()
		return nil, err
	}
	s := &o.Settings
	d.self = fleet.Member{Name: s.Instance, Centre: s.Centre, Address: d.innerAddress(), StartedAt: clock.Now()}
	bound := s.RecordBound()
	d.engine = steering.NewEngine(steering.Settings{Centre: s.Centre, StaleAfter: fleet.StaleAge(bound), Seed: rand.Uint64()})
	d.fleet = fleet.NewEngine(fleet.Settings{Self: d.self, RecordBound: bound}, clock.Now())
	return d, nil
}

// use puts settings in force.
func (d *Daemon) use(s platform.Settings) {
	old := d.settings.Swap(&s)
	if old == nil || old.StoreURL != s.StoreURL {
		client := platform.NewClient(s.StoreURL, storeTimeout)
		client.Caller = s.Instance
		d.store.Store(platform.NewStore(client))
	}
}

func (d *Daemon) openSockets(metrics uint16) (err error) {
	s := d.settings.Load()
	if d.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.PacketAddress)); err != nil {
		return errors.Wrapf(err, "listen for packets on %s", s.PacketAddress)
	}
	_ = d.packets.SetReadBuffer(socketBuffer) // the system gives what it allows
	if d.ready, err = net.Listen("tcp4", s.ReadyAddress.String()); err != nil {
		return errors.Wrapf(err, "listen for readiness on %s", s.ReadyAddress)
	}
	if metrics != 0 {
		at := netip.AddrPortFrom(s.PacketAddress.Addr(), metrics)
		if d.metrics, err = net.Listen("tcp4", at.String()); err != nil {
			return errors.Wrapf(err, "listen for metrics on %s", at)
		}
	}
	return d.openInner(s)
}

func (d *Daemon) closeSockets() {
	for _, c := range []io.Closer{d.packets, d.ready, d.peers, d.inner, d.metrics} {
		if v := reflect.ValueOf(c); v.IsValid() && !v.IsNil() {
			_ = c.Close() // nothing is waiting to be sent
		}
	}
}

// Run serves until Stop has been called and packets stopped coming, or until ctx
// ends.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := d.settings.Load()
	d.journal.say("start", "instance", s.Instance, "centre", s.Centre, "packets", s.PacketAddress, "store", s.StoreURL, "version", daemon.Version())
	server := &http.Server{Handler: d.readyHandler(), ReadHeaderTimeout: requestTimeout.Duration()}
	inner := &http.Server{Handler: d.innerHandler(), ReadHeaderTimeout: requestTimeout.Duration()}
	d.work.Go(func() { d.journal.run(ctx) })
	d.work.Go(func() { _ = server.Serve(d.ready) }) // ends with ErrServerClosed
	if d.metrics != nil {
		d.work.Go(func() { _ = inner.Serve(d.metrics) })
	}
	if d.inner != nil {
		d.work.Go(func() { _ = inner.Serve(d.inner) })
		d.work.Go(d.receivePeers)
	}
	d.work.Go(func() { d.follow(ctx, d.configurationSource()) })
	d.work.Go(func() { d.follow(ctx, d.endpointSource()) })
	d.work.Go(func() { d.join(ctx) })
	d.work.Go(func() { d.feed(ctx) })
	d.work.Go(func() { d.fetch(ctx) })
	d.work.Go(func() { d.tick(ctx) })
	received := make(chan error, 1)
	go func() { received <- d.receive() }()
	var err error
	select {
	case err = <-received:
	case <-ctx.Done():
	case <-d.halt:
		d.drain(ctx)
	}
	d.journal.say("stop", "instance", s.Instance, "flows", d.flows(), "error", text(err))
	cancel()
	_ = server.Close() // their connections are of no use any more
	_ = inner.Close()
	d.closeSockets()
	d.work.Wait()
	return err
}

// Stop starts a graceful shutdown.
func (d *Daemon) Stop() {
	d.haltOnce.Do(func() {
		d.halting.Store(true)
		close(d.halt)
	})
}

// Times of a graceful shutdown, in ms.
const (
	// The platform asks for readiness twice a second and takes an instance out
	// after two misses; packets under way come on top.
	leaveTime = 1500 * clock.Millisecond
	quietTime = 300 * clock.Millisecond // without a packet, then nobody sends any more
	// What is left of the time until SIGKILL, for the last lines of the log.
	leaveMargin = 500 * clock.Millisecond
)

// drain forwards until packets stop coming.
func (d *Daemon) drain(ctx context.Context) {
	d.journal.say("leaving", "flows", d.flows())
	d.handleFleet(fleet.Stopping{})
	start := clock.Now()
	latest := start + max(d.settings.Load().GracePeriod-leaveMargin, leaveTime)
	for daemon.Pause(ctx, quietTime/2) {
		now := clock.Now()
		quiet := now-clock.Millis(d.arrived.Load()) >= quietTime
		if now >= latest || now-start >= leaveTime && quiet {
			return
		}
	}
}

// handle gives an event to the engine and carries out its actions.
func (d *Daemon) handle(e steering.Event) {
	d.mu.Lock()
	actions := d.engine.Handle(clock.Now(), e)
	d.mu.Unlock()
	d.perform(actions)
}

func (d *Daemon) flows() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.FlowCount()
}

// hasRecords reports whether the instance knows all records.
func (d *Daemon) hasRecords() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Complete()
}

// isReady reports whether the instance should get packets.
func (d *Daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Ready() && !d.halting.Load()
}

// perform carries out actions and logs them.
func (d *Daemon) perform(actions []steering.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case steering.Probe:
			d.work.Go(func() { d.probe(v) })
		case steering.ConfigurationAccepted:
			d.counts.version.Update(v.Version)
			d.journal.say("configuration accepted", "version", v.Version, "revision", v.Revision, "routes", v.Routes, "removed", v.RemovedRoutes)
		case steering.EndpointsLoaded:
			d.journal.say("endpoints listed", "count", v.Count, "revision", v.Revision)
		case steering.EndpointStateChanged:
			d.journal.say("endpoint "+v.State, "endpoint", v.Endpoint, "service", v.Service, "address", v.Address.String(), "revision", v.Revision)
		case steering.EndpointSilent:
			d.counts.silent.Inc(1)
			d.journal.say("endpoint silent", "endpoint", v.Endpoint, "service", v.Service, "missed", v.UnansweredFlows, "rest_ms", int64(v.Backoff))
		case steering.ReportFault:
			d.handleFleet(fleet.EndpointFaultFound{Fault: v.EndpointFault})
		case steering.QueryFlows:
			d.journal.limited("flows doubted", "count", len(v.Flows), "first", v.Flows[0].FlowID())
			d.handleFleet(fleet.FlowQueryRequested{Flows: v.Flows})
		case steering.SendTallies:
			d.shareTallies()
		case steering.ReportFlows:
			d.handleFleet(fleet.FlowReplyRequested{To: v.Receiver, Flows: v.Flows})
		case steering.ResetFlow:
			d.resetFlow(v)
		case steering.EndpointEjected:
			d.counts.failing.Inc(1)
			d.journal.say("endpoint failing", "endpoint", v.Endpoint, "service", v.Service, "why", v.Cause, "ban_ms", int64(v.EjectionTime), "reset", v.ResetFlows)
		case steering.EndpointLost:
			d.journal.say("endpoint lost", "endpoint", v.Endpoint, "service", v.Service, "why", v.Cause, "reset", v.ResetFlows)
		}
	}
}

// tick lets time pass for the engine and watches the settings file.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod.Duration())
	defer ticker.Stop()
	var answers []steering.Answered
	file := watchFile(d.file)
	sleep := newSleepWatch()
	nextFile := clock.Now() + filePeriod
	nextShare := clock.Now() + sharePeriod
	due := clock.Now() + tickPeriod
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reload:
			d.readSettings("signal")
			continue
		case <-ticker.C:
		}
		if slept := sleep.check(); slept > 0 {
			d.journal.say("woke", "slept_ms", slept)
			d.handle(steering.ProcessStalled{})
		}
		now := clock.Now()
		d.handle(steering.Ticked{Delay: now - due})
		due = now + tickPeriod
		d.handleFleet(fleet.Ticked{})
		d.mu.Lock()
		answers = d.engine.TakeAnswers(answers[:0])
		d.mu.Unlock()
		for _, a := range answers {
			d.counts.answered(a)
		}
		if now >= nextShare {
			nextShare = now + sharePeriod
			d.shareTallies()
		}
		d.report(ctx)
		if now >= nextFile {
			nextFile = now + filePeriod
			if file.changed() {
				d.readSettings("file changed")
			}
		}
	}
}

// shareTallies tells other instances what this one saw of endpoints.
func (d *Daemon) shareTallies() {
	d.mu.Lock()
	tallies := d.engine.TakeTallies(clock.Now())
	d.mu.Unlock()
	if len(tallies) > 0 {
		d.handleFleet(fleet.EndpointTalliesTaken{Tallies: tallies})
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
