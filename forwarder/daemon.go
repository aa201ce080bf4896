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

// Options configure a Daemon.
type Options struct {
	Settings     platform.Settings
	SettingsFile string // read again when it changes; empty for none
	Log          io.Writer
	MetricsPort  uint16 // additional port for metrics; 0 for none
}

// Periods of the daemon, in ms.
const (
	// The engine detects on ticks that an endpoint has reset openings, and a consumer uses
	// up its attempts within about 20 ms.
	tickPeriod = 50 * clock.Millisecond
	// How often the settings file is checked for changes that come without a signal.
	// Nothing in it is urgent.
	settingsCheckPeriod = 2 * clock.Second
	// How often counts of answers per endpoint are sent to other instances. A failing
	// endpoint answers about ten requests in two periods at today's load.
	tallyPeriod = 500 * clock.Millisecond
)

// Daemon forwards the packets of one instance.
type Daemon struct {
	settingsFile string
	settings     atomic.Pointer[platform.Settings]
	log          *eventLog
	metrics      *daemonMetrics

	packetConn      *net.UDPConn
	reader          packetReader // of packetConn
	readyListener   net.Listener
	peerConn        *net.UDPConn // messages of other instances; nil without an internal port
	peerListener    net.Listener // records and metrics; nil without an internal port
	metricsListener net.Listener // nil without Options.MetricsPort

	mu              sync.Mutex // guards engine, fleet, queue, peerRecordsRead and evacuationFaults
	engine          *steering.Engine
	fleet           *fleet.Engine
	queue           packetQueue // packets that arrived before the first records
	peerRecordsRead bool        // records were fetched from a peer, so the store need not be listed
	sumsInUse       bool        // new flows were placed by sums when this was last checked
	// Entries of evacuations that can't be followed, by this instance's latest list.
	evacuationFaults []steering.Condition

	self           fleet.Member
	store          atomic.Pointer[platform.Store]
	storeHealth    storeHealth
	startGate      *daemon.Gate // open when the store may be read for the first records
	watchGate      *daemon.Gate
	fetchRequests  chan fleet.FetchRecords // holds at most one request
	lastPacketAt   atomic.Int64            // clock.Millis when the latest packet arrived
	stopping       atomic.Bool
	stopRequested  chan struct{} // closed by Stop
	stopOnce       sync.Once
	reloadRequests chan struct{}
	goroutines     sync.WaitGroup
}

// Open opens the daemon's sockets. It starts no goroutine; Run does.
func Open(o Options) (*Daemon, error) {
	d := &Daemon{
		settingsFile:   o.SettingsFile,
		log:            newEventLog(o.Log),
		stopRequested:  make(chan struct{}),
		reloadRequests: make(chan struct{}, 1),
		startGate:      daemon.NewGate(false),
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
	bound, evacuations := s.RecordBound(), s.EvacuationBound > 0
	d.engine = steering.NewEngine(steering.Settings{
		Centre: s.Centre, Instance: s.Instance, StaleAfter: fleet.StaleAge(bound), TickPeriod: tickPeriod, Seed: rand.Uint64(),
		Evacuations: evacuations, Warmup: warmupBounds(s),
	})
	d.fleet = fleet.NewEngine(fleet.Settings{
		Self: d.self, RecordBound: bound, Evacuations: evacuations, NotifyMembers: s.WarmupLimited && d.peerConn != nil,
	}, clock.Now())
	if s.WarmupLimited {
		d.metrics.registerWarmup(d)
	}
	return d, nil
}

// applySettings replaces the settings, and the store client when the store's URL changed.
func (d *Daemon) applySettings(s platform.Settings) {
	old := d.settings.Swap(&s)
	if old == nil || old.StoreURL != s.StoreURL {
		client := platform.NewClient(s.StoreURL, storeTimeout)
		client.Caller = s.Instance
		client.Observe = d.metrics.storeCalls.observe
		d.store.Store(platform.NewStore(client))
	}
}

func (d *Daemon) openSockets(metricsPort uint16) (err error) {
	s := d.settings.Load()
	if d.packetConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.PacketAddress)); err != nil {
		return errors.Wrapf(err, "listen for packets on %s", s.PacketAddress)
	}
	_ = d.packetConn.SetReadBuffer(socketBufferSize) // the kernel caps the size; a smaller buffer is no error
	if err = d.reader.open(d.packetConn, d.logBacklogStart, d.logBacklogEnd); err != nil {
		return err
	}
	if d.readyListener, err = net.Listen("tcp4", s.ReadyAddress.String()); err != nil {
		return errors.Wrapf(err, "listen for readiness on %s", s.ReadyAddress)
	}
	if metricsPort != 0 {
		address := netip.AddrPortFrom(s.PacketAddress.Addr(), metricsPort)
		if d.metricsListener, err = net.Listen("tcp4", address.String()); err != nil {
			return errors.Wrapf(err, "listen for metrics on %s", address)
		}
	}
	return d.openPeerSockets(s)
}

func (d *Daemon) closeSockets() {
	for _, c := range []io.Closer{d.packetConn, d.readyListener, d.peerConn, d.peerListener, d.metricsListener} {
		if v := reflect.ValueOf(c); v.IsValid() && !v.IsNil() {
			_ = c.Close() // no data is waiting to be sent
		}
	}
}

// Run serves until packets stopped arriving after a call of Stop, until the time for a
// graceful shutdown is over, or until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := d.settings.Load()
	d.log.info("start", "instance", s.Instance, "centre", s.Centre, "packets", s.PacketAddress, "store", s.StoreURL, "version", daemon.Version())
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
	defer d.startTimer().Stop()
	d.goroutines.Go(func() { d.follow(ctx, d.configurationSource()) })
	d.goroutines.Go(func() { d.follow(ctx, d.endpointSource()) })
	if s.EvacuationBound > 0 {
		d.goroutines.Go(func() { d.follow(ctx, d.evacuationSource()) })
	}
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
	d.logStoreCalls()
	d.log.info("stop", "instance", s.Instance, "flows", d.flowCount(), "error", errorText(err))
	cancel()
	_ = readyServer.Close() // requests in progress no longer matter
	_ = peerServer.Close()
	d.closeSockets()
	d.goroutines.Wait()
	return err
}

// Stop starts a graceful shutdown. It does not wait for its end.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() {
		d.stopping.Store(true)
		close(d.stopRequested)
	})
}

// Times of a graceful shutdown, in ms.
const (
	// The platform checks readiness twice a second and takes an instance out of rotation
	// after two failed checks. The rest is for packets that are already on their way.
	minDrainTime = 1500 * clock.Millisecond
	quietPeriod  = 300 * clock.Millisecond // time without a packet after which none is expected
	// Time that is kept free before SIGKILL for writing the last log lines.
	killMargin = 500 * clock.Millisecond
)

// drain returns when no packets arrive any more, or shortly before SIGKILL. Meanwhile the
// daemon still forwards packets, and is not ready.
func (d *Daemon) drain(ctx context.Context) {
	d.log.info("leaving", "flows", d.flowCount())
	d.handleFleet(fleet.Stopping{})
	start := clock.Now()
	deadline := start + max(d.settings.Load().GracePeriod-killMargin, minDrainTime)
	for daemon.Pause(ctx, quietPeriod/2) {
		now := clock.Now()
		quiet := now-clock.Millis(d.lastPacketAt.Load()) >= quietPeriod
		if now >= deadline || now-start >= minDrainTime && quiet {
			return
		}
	}
}

// handle passes an event to the steering engine and carries out the actions it returns.
func (d *Daemon) handle(e steering.Event) {
	var actions []steering.Action
	d.locked(func() { actions = d.engine.Handle(clock.Now(), e) })
	d.perform(actions)
}

func (d *Daemon) flowCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.FlowCount()
}

// hasRecords reports whether the configuration and all endpoints are known.
func (d *Daemon) hasRecords() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Complete()
}

// isReady reports whether the platform should send packets to this instance.
func (d *Daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Ready() && !d.stopping.Load()
}

// perform carries out the steering engine's actions. Some of them only report a change,
// which is logged.
func (d *Daemon) perform(actions []steering.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case steering.Probe:
			d.goroutines.Go(func() { d.guard("probe", func() { d.probe(v) }) })
		case steering.ConfigurationAccepted:
			d.metrics.configurationVersion.Update(v.Version)
			d.log.info("configuration accepted", "version", v.Version, "revision", v.Revision, "routes", v.Routes, "removed", v.RemovedRoutes)
		case steering.EndpointsLoaded:
			d.log.info("endpoints listed", "count", v.Count, "revision", v.Revision)
		case steering.EvacuationOrdered:
			d.logOrder(v)
		case steering.EvacuationLifted:
			d.logLift(v)
		case steering.EndpointUnreadable:
			d.metrics.unreadableEntries.Inc(1)
			d.log.infoLimited("endpoint unreadable", "endpoint", v.Endpoint, "revision", v.Revision, "why", v.Cause)
		case steering.ConfigurationUnreadable:
			d.metrics.unreadableEntries.Inc(1)
			d.log.infoLimited("configuration unreadable", "route", v.Route, "service", v.Service, "revision", v.Revision, "why", v.Cause)
		case steering.EndpointStateChanged:
			d.log.info("endpoint "+v.State, "endpoint", v.Endpoint, "service", v.Service, "address", v.Address.String(), "revision", v.Revision)
		case steering.EndpointSilent:
			d.metrics.silentEndpoints.Inc(1)
			d.log.info("endpoint silent", "endpoint", v.Endpoint, "service", v.Service, "missed", v.UnansweredFlows, "rest_ms", int64(v.Backoff))
		case steering.CentreWarmup:
			d.logCentreWarmup(v)
		case steering.ReportFault:
			d.handleFleet(fleet.EndpointFaultFound{Fault: v.EndpointFault})
		case steering.QueryFlows:
			d.log.infoLimited("flows queried", "count", len(v.Flows), "first", v.Flows[0].FlowID())
			d.handleFleet(fleet.FlowQueryRequested{Flows: v.Flows})
		case steering.SendTallies:
			d.sendTallies()
		case steering.ReportFlows:
			d.handleFleet(fleet.FlowReplyRequested{To: v.Receiver, Flows: v.Flows})
		case steering.ResetFlow:
			d.resetFlow(v)
		case steering.EndpointEjected:
			d.metrics.ejectedEndpoints.Inc(1)
			d.log.info("endpoint failing", "endpoint", v.Endpoint, "service", v.Service, "why", v.Cause, "ban_ms", int64(v.EjectionTime),
				"own", v.Evidence.Own, "others", v.Evidence.Others, evidenceAttributes(&v.Evidence), d.waitAttribute())
		case steering.EndpointLost:
			d.log.info("endpoint lost", "endpoint", v.Endpoint, "service", v.Service, "why", v.Cause, "reset", v.ResetFlows, evidenceAttributes(&v.Evidence), d.waitAttribute())
		case steering.ResetsContradicted:
			d.metrics.flowsContradicted[v.Cause].Inc(int64(v.ResetFlows))
			d.log.info("resets contradicted", "endpoint", v.Endpoint, "service", v.Service, "why", v.Cause, "reset", v.ResetFlows,
				"by", v.By, "after_ms", int64(v.Delay), "state", v.State)
		}
	}
}

// tick sends Ticked events to both engines, and does what is due at an interval: latency
// metrics, tallies, reports, and the checks for stalls and for changed settings.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod.Duration())
	defer ticker.Stop()
	var answers []steering.Answered
	file := newFileWatch(d.settingsFile)
	detector := newStallDetector()
	nextSettingsCheck := clock.Now() + settingsCheckPeriod
	nextTallies := clock.Now() + tallyPeriod
	nextStoreCalls := clock.Now() + storeCallsLogPeriod
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
		now := clock.Now()
		d.guard("tick", func() { d.tickSteering(detector, now-nextTick) })
		nextTick = now + tickPeriod
		d.guard("tick of the members", func() { d.handleFleet(fleet.Ticked{}) })
		d.guard("answers", func() { answers = d.recordAnswers(answers[:0]) })
		if now >= nextTallies {
			nextTallies = now + tallyPeriod
			d.guard("tallies", d.sendTallies)
			d.guard("demand", d.sendDemand)
		}
		d.guard("report", func() { d.writeReport(ctx) })
		if now >= nextStoreCalls {
			nextStoreCalls = now + storeCallsLogPeriod
			d.logStoreCalls()
		}
		if now >= nextSettingsCheck {
			nextSettingsCheck = now + settingsCheckPeriod
			if file.changed() {
				d.readSettings("file changed")
			}
		}
	}
}

// tickSteering sends a tick to the steering engine, and tells both engines of a suspension of
// the process before it.
func (d *Daemon) tickSteering(detector *stallDetector, delay clock.Millis) {
	if delay > 0 {
		d.reader.recordWait(clock.Now(), delay)
	}
	if delay >= lateLimit {
		d.log.infoLimited("tick late", "late_ms", int64(delay))
	}
	if stalled := detector.check(); stalled > 0 {
		d.log.info("woke", "slept_ms", stalled)
		d.handleFleet(fleet.ProcessSuspended{Duration: stalled})
		d.handle(steering.ProcessStalled{})
	}
	d.handle(steering.Ticked{Delay: delay, Unread: d.reader.wait(clock.Now())})
}

// recordAnswers adds the latencies of the answers since the last call to the metrics. It
// uses the memory of list and returns it for the next call.
func (d *Daemon) recordAnswers(list []steering.Answered) []steering.Answered {
	d.locked(func() { list = d.engine.TakeAnswers(list) })
	for _, a := range list {
		d.metrics.recordLatency(a)
	}
	return list
}

// sendTallies sends this instance's counts of answers per endpoint to other instances.
func (d *Daemon) sendTallies() {
	var tallies []steering.Tally
	d.locked(func() { tallies = d.engine.TakeTallies(clock.Now()) })
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
