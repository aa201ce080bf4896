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
	settingsCheckPeriod = 2 * clock.Second
	// What was seen of endpoints is shared at this pace; one that fails answers ten
	// requests in two of them at the sizes of today.
	tallyPeriod = 500 * clock.Millisecond
)

// Daemon forwards the packets of one instance.
type Daemon struct {
	settingsFile string
	settings     atomic.Pointer[platform.Settings]
	log          *eventLog
	metrics      *daemonMetrics

	packetConn      *net.UDPConn
	readyListener   net.Listener
	peerConn        *net.UDPConn // nil when there is no port for it
	peerListener    net.Listener // records and metrics
	metricsListener net.Listener // metrics; nil when there is no port of its own

	mu              sync.Mutex // guards engine, fleet, held and fed
	engine          *steering.Engine
	fleet           *fleet.Engine
	queue           packetQueue // packets that wait for the first records
	peerRecordsRead bool        // records came from a peer, so there is no need to list them

	self           fleet.Member
	store          atomic.Pointer[platform.Store]
	storeHealth    storeHealth
	watchGate      *daemon.Gate
	fetchRequests  chan fleet.FetchRecords // at most one waits
	lastPacketAt   atomic.Int64            // clock.Millis of the latest packet
	stopping       atomic.Bool
	stopRequested  chan struct{} // closed by Stop
	stopOnce       sync.Once
	reloadRequests chan struct{}
	goroutines     sync.WaitGroup
}

// Open opens the daemon's sockets. Nothing runs until Run.
func Open(o Options) (*Daemon, error) {
	d := &Daemon{
		settingsFile:   o.SettingsFile,
		log:            newEventLog(o.Log),
		stopRequested:  make(chan struct{}),
		reloadRequests: make(chan struct{}, 1),
		watchGate:      daemon.NewGate(false),
		fetchRequests:  make(chan fleet.FetchRecords, 1),
	}
	d.metrics = newDaemonMetrics(d)
	d.applySettings(o.Settings)
	if err := d.openSockets(o.MetricsPort); err != nil {
		d.closeSockets()
		return nil, err
	}
	s := &o.Settings
	d.self = fleet.Member{Name: s.Instance, Centre: s.Centre, Address: d.peerAddress(), StartedAt: clock.Now()}
	bound := s.RecordBound()
	d.engine = steering.NewEngine(steering.Settings{Centre: s.Centre, StaleAfter: fleet.StaleAge(bound), Seed: rand.Uint64()})
	d.fleet = fleet.NewEngine(fleet.Settings{Self: d.self, RecordBound: bound}, clock.Now())
	return d, nil
}

// use puts settings in force.
func (d *Daemon) applySettings(s platform.Settings) {
	old := d.settings.Swap(&s)
	if old == nil || old.Store != s.Store {
		client := platform.NewClient(s.Store, storeTimeout)
		client.Caller = s.Instance
		d.store.Store(platform.NewStore(client))
	}
}

func (d *Daemon) openSockets(metrics uint16) (err error) {
	s := d.settings.Load()
	if d.packetConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Packets)); err != nil {
		return errors.Wrapf(err, "listen for packets on %s", s.Packets)
	}
	_ = d.packetConn.SetReadBuffer(socketBufferSize) // the system gives what it allows
	if d.readyListener, err = net.Listen("tcp4", s.Ready.String()); err != nil {
		return errors.Wrapf(err, "listen for readiness on %s", s.Ready)
	}
	if metrics != 0 {
		at := netip.AddrPortFrom(s.Packets.Addr(), metrics)
		if d.metricsListener, err = net.Listen("tcp4", at.String()); err != nil {
			return errors.Wrapf(err, "listen for metrics on %s", at)
		}
	}
	return d.openPeerSockets(s)
}

func (d *Daemon) closeSockets() {
	for _, c := range []io.Closer{d.packetConn, d.readyListener, d.peerConn, d.peerListener, d.metricsListener} {
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
	d.log.info("start", "instance", s.Instance, "centre", s.Centre, "packets", s.Packets, "store", s.Store, "version", daemon.Version())
	readyServer := &http.Server{Handler: d.readyHandler(), ReadHeaderTimeout: requestTimeout.Duration()}
	peerServer := &http.Server{Handler: d.peerHandler(), ReadHeaderTimeout: requestTimeout.Duration()}
	d.goroutines.Go(func() { d.log.run(ctx) })
	d.goroutines.Go(func() { _ = readyServer.Serve(d.readyListener) }) // ends with ErrServerClosed
	if d.metricsListener != nil {
		d.goroutines.Go(func() { _ = peerServer.Serve(d.metricsListener) })
	}
	if d.peerListener != nil {
		d.goroutines.Go(func() { _ = peerServer.Serve(d.peerListener) })
		d.goroutines.Go(d.receiveMessages)
	}
	d.goroutines.Go(func() { d.follow(ctx, d.configurationSource()) })
	d.goroutines.Go(func() { d.follow(ctx, d.endpointSource()) })
	d.goroutines.Go(func() { d.followMembers(ctx) })
	d.goroutines.Go(func() { d.fetchFirstRecords(ctx) })
	d.goroutines.Go(func() { d.processFetches(ctx) })
	d.goroutines.Go(func() { d.tick(ctx) })
	receiveDone := make(chan error, 1)
	go func() { receiveDone <- d.receive() }()
	var err error
	select {
	case err = <-receiveDone:
	case <-ctx.Done():
	case <-d.stopRequested:
		d.drain(ctx)
	}
	d.log.info("stop", "instance", s.Instance, "flows", d.flowCount(), "error", errorText(err))
	cancel()
	_ = readyServer.Close() // their connections are of no use any more
	_ = peerServer.Close()
	d.closeSockets()
	d.goroutines.Wait()
	return err
}

// Stop starts a graceful shutdown.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() {
		d.stopping.Store(true)
		close(d.stopRequested)
	})
}

// Times of a graceful shutdown, in ms.
const (
	// The platform asks for readiness twice a second and takes an instance out
	// after two misses; packets under way come on top.
	minDrainTime = 1500 * clock.Millisecond
	quietPeriod  = 300 * clock.Millisecond // without a packet, then nobody sends any more
	// What is left of the time until SIGKILL, for the last lines of the log.
	killMargin = 500 * clock.Millisecond
)

// drain forwards until packets stop coming.
func (d *Daemon) drain(ctx context.Context) {
	d.log.info("leaving", "flows", d.flowCount())
	d.handleFleet(fleet.Stopping{})
	start := clock.Now()
	deadline := start + max(d.settings.Load().Grace-killMargin, minDrainTime)
	for daemon.Pause(ctx, quietPeriod/2) {
		now := clock.Now()
		quiet := now-clock.Millis(d.lastPacketAt.Load()) >= quietPeriod
		if now >= deadline || now-start >= minDrainTime && quiet {
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

func (d *Daemon) flowCount() int {
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
	return d.engine.Ready() && !d.stopping.Load()
}

// perform carries out actions and logs them.
func (d *Daemon) perform(actions []steering.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case steering.Probe:
			d.goroutines.Go(func() { d.probe(v) })
		case steering.ConfigurationAccepted:
			d.metrics.version.Update(v.Version)
			d.log.info("configuration accepted", "version", v.Version, "revision", v.Revision, "routes", v.Routes, "removed", v.RemovedRoutes)
		case steering.EndpointsLoaded:
			d.log.info("endpoints listed", "count", v.Count, "revision", v.Revision)
		case steering.EndpointStateChanged:
			d.log.info("endpoint "+v.State, "endpoint", v.Endpoint, "service", v.Service, "address", v.Address.String(), "revision", v.Revision)
		case steering.EndpointSilent:
			d.metrics.silentEndpoints.Inc(1)
			d.log.info("endpoint silent", "endpoint", v.Endpoint, "service", v.Service, "missed", v.UnansweredFlows, "rest_ms", int64(v.Backoff))
		case steering.ReportFault:
			d.handleFleet(fleet.EndpointFaultFound{Fault: v.EndpointFault})
		case steering.QueryFlows:
			d.log.infoLimited("flows doubted", "count", len(v.Flows), "first", v.Flows[0].FlowID())
			d.handleFleet(fleet.FlowQueryRequested{Flows: v.Flows})
		case steering.SendTallies:
			d.sendTallies()
		case steering.ReportFlows:
			d.handleFleet(fleet.FlowReplyRequested{To: v.Receiver, Flows: v.Flows})
		case steering.ResetFlow:
			d.resetFlow(v)
		case steering.EndpointEjected:
			d.metrics.ejectedEndpoints.Inc(1)
			d.log.info("endpoint failing", "endpoint", v.Endpoint, "service", v.Service, "why", v.Cause, "ban_ms", int64(v.EjectionTime), "reset", v.ResetFlows)
		case steering.EndpointLost:
			d.log.info("endpoint lost", "endpoint", v.Endpoint, "service", v.Service, "why", v.Cause, "reset", v.ResetFlows)
		}
	}
}

// tick lets time pass for the engine and watches the settings file.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod.Duration())
	defer ticker.Stop()
	var answers []steering.Answered
	file := newFileWatch(d.settingsFile)
	detector := newStallDetector()
	nextSettingsCheck := clock.Now() + settingsCheckPeriod
	nextTallies := clock.Now() + tallyPeriod
	nextTick := clock.Now() + tickPeriod
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reloadRequests:
			d.readSettings("signal")
			continue
		case <-ticker.C:
		}
		if stalled := detector.check(); stalled > 0 {
			d.log.info("woke", "slept_ms", stalled)
			d.handle(steering.ProcessStalled{})
		}
		now := clock.Now()
		d.handle(steering.Ticked{Delay: now - nextTick})
		nextTick = now + tickPeriod
		d.handleFleet(fleet.Ticked{})
		d.mu.Lock()
		answers = d.engine.TakeAnswers(answers[:0])
		d.mu.Unlock()
		for _, a := range answers {
			d.metrics.recordLatency(a)
		}
		if now >= nextTallies {
			nextTallies = now + tallyPeriod
			d.sendTallies()
		}
		d.writeReport(ctx)
		if now >= nextSettingsCheck {
			nextSettingsCheck = now + settingsCheckPeriod
			if file.changed() {
				d.readSettings("file changed")
			}
		}
	}
}

// shareTallies tells other instances what this one saw of endpoints.
func (d *Daemon) sendTallies() {
	d.mu.Lock()
	tallies := d.engine.TakeTallies(clock.Now())
	d.mu.Unlock()
	if len(tallies) > 0 {
		d.handleFleet(fleet.EndpointTalliesTaken{Tallies: tallies})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
