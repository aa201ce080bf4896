package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// ErrInterrupted is returned by Run when the daemon ended without a graceful
// shutdown.
var ErrInterrupted = errors.New("daemon was interrupted")

// Engine makes the instance's decisions: it handles one event and returns the
// actions that the daemon carries out. instance.Engine implements it.
type Engine interface {
	Handle(now clock.Millis, e instance.Event) []instance.Action
}

// Options configure Open.
type Options struct {
	Settings Settings
	Keys     *token.Keys
	Platform platform.Platform
	Logger   *slog.Logger
	// NewEngine creates the engine; nil means instance.New.
	NewEngine func(s instance.Settings, now clock.Millis) Engine
}

// Sizes of the engine's queues.
const (
	datagramQueueSize = 8192 / receiveBatchSize // batches of received datagrams
	inputQueueSize    = 1024                    // other events
	maxEventsPerTurn  = 32                      // events handled from one queue before the other queue is served
)

// shutdownStepTimeout limits each step of a graceful shutdown: answering open
// control calls, the last writes to the platform, and releasing the lease.
const shutdownStepTimeout = 1 * clock.Second

// input is an event for the engine. For a HandOverReceived, reply receives the
// result.
type input struct {
	event instance.Event
	reply chan<- instance.Result
}

// Daemon runs one entry instance.
type Daemon struct {
	self     record.Instance
	engine   Engine
	platform platform.Platform
	logger   *slog.Logger

	packetSocket  *net.UDPConn
	peerSocket    *net.UDPConn
	controlSocket net.Listener
	statusSocket  net.Listener

	datagrams   chan *receiveBatch // readers drop datagrams when it is full
	inputs      chan input         // other events; senders wait when it is full
	done        chan struct{}      // closed when the engine accepts no more events
	lastEventAt atomic.Int64       // when the engine was last given an event
	stopping    atomic.Bool        // a graceful shutdown was requested

	router atomic.Pointer[instance.Router] // lets readers forward packets without the engine; nil until the engine provides one

	backendClient *backendClient
	peerClient    *peerClient
	objects       *objectStore
	watchGate     *daemon.Gate // open while the engine wants the platform watched
	metrics       *daemonMetrics
	decisionLog   *decisionLog
	statusWrites  *latestValue[record.Status]
	leaseRenewals *latestValue[record.Instance]

	// Used by the engine's goroutine only.
	runCancels      map[uint64]context.CancelFunc     // by run ID, hand-overs included
	handOverReplies map[uint64]chan<- instance.Result // by call ID
	engineStopped   bool
	// Datagrams to send after the current batch of events.
	callerBatch, peerBatch *sendBatch

	lastCallID atomic.Uint64  // latest CallID given to a HandOverReceived
	tasks      sync.WaitGroup // goroutines that Run waits for
}

// Open opens the daemon's sockets and creates its engine. It starts no
// goroutines; Run does.
func Open(o Options) (*Daemon, error) {
	d := &Daemon{
		platform:        o.Platform,
		logger:          o.Logger,
		datagrams:       make(chan *receiveBatch, datagramQueueSize),
		inputs:          make(chan input, inputQueueSize),
		done:            make(chan struct{}),
		backendClient:   newBackendClient(),
		objects:         newObjectStore(),
		watchGate:       daemon.NewGate(true),
		metrics:         newDaemonMetrics(),
		runCancels:      map[uint64]context.CancelFunc{},
		handOverReplies: map[uint64]chan<- instance.Result{},
	}
	metrics.NewRegisteredFunctionalGauge("records.revision", d.metrics.registry, d.objects.newestRevision)
	d.decisionLog = newDecisionLog(o.Logger, d.metrics)
	d.statusWrites = newLatestValue[record.Status]()
	d.leaseRenewals = newLatestValue[record.Instance]()
	if err := d.openSockets(o.Settings); err != nil {
		d.closeSockets()
		return nil, err
	}
	d.callerBatch = newSendBatch(d.packetSocket, d.metrics.packets.unsent)
	d.peerBatch = newSendBatch(d.peerSocket, d.metrics.peers.unsent)
	d.self = d.instanceRecord(o.Settings)
	d.peerClient = newPeerClient(d.self.Name, d.metrics)
	newEngine := o.NewEngine
	if newEngine == nil {
		newEngine = func(s instance.Settings, now clock.Millis) Engine { return instance.New(s, now) }
	}
	d.engine = newEngine(instance.Settings{
		Self: d.self, Keys: o.Keys, MemoryLimit: o.Settings.MemoryLimit, MaxFlows: o.Settings.MaxFlows, RandomSeed: rand.Uint64(),
		Policy: policies[o.Settings.Policy], Neighbours: o.Settings.neighbourAddresses(),
	}, clock.Now())
	return d, nil
}

func (d *Daemon) openSockets(s Settings) error {
	var err error
	if d.packetSocket, err = listenUDP("packets", s.PacketAddress); err != nil {
		return err
	}
	if d.peerSocket, err = listenUDP("peers", s.PeerAddress); err != nil {
		return err
	}
	if d.controlSocket, err = listenTCP("control", s.ControlAddress); err != nil {
		return err
	}
	d.statusSocket, err = listenTCP("status", s.StatusAddress)
	return err
}

func listenTCP(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "open field %q: value %q", field, address)
}

func (d *Daemon) closeSockets() {
	for _, c := range []*net.UDPConn{d.packetSocket, d.peerSocket} {
		if c != nil {
			_ = c.Close()
		}
	}
	for _, l := range []net.Listener{d.controlSocket, d.statusSocket} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// instanceRecord returns the record that the instance publishes with its lease.
func (d *Daemon) instanceRecord(s Settings) record.Instance {
	return record.Instance{
		Name:           s.Name,
		Centre:         s.Centre,
		PacketAddress:  d.packetSocket.LocalAddr().String(),
		PeerAddress:    d.peerSocket.LocalAddr().String(),
		ControlAddress: d.controlSocket.Addr().String(),
		Size:           s.Size,
		Incarnation:    clock.Now(),
		State:          record.StateActive,
		Schema:         record.Schema2,
	}
}

// Self returns the record that the instance publishes with its lease.
func (d *Daemon) Self() record.Instance { return d.self }

// StatusAddress returns the address that serves /metrics and /health.
func (d *Daemon) StatusAddress() string { return d.statusSocket.Addr().String() }

// ReadyLine returns the line "ready ..." with the addresses that the daemon
// listens on.
func (d *Daemon) ReadyLine() string {
	return fmt.Sprintf("ready packets=%s peers=%s control=%s status=%s",
		d.self.PacketAddress, d.self.PeerAddress, d.self.ControlAddress, d.StatusAddress())
}

// Stop starts the graceful shutdown. It may be called at any time after Open.
func (d *Daemon) Stop() {
	d.stopping.Store(true)
	go d.enqueue(input{event: instance.StopRequested{}})
}

// Run serves until a graceful shutdown is complete or ctx ends. It returns nil
// in the first case and ErrInterrupted in the second.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.lastEventAt.Store(int64(clock.Now())) // reports healthy until the first tick is due
	d.decisionLog.start()
	readers := d.startReaders()
	controlServer := d.serveControl()
	statusServer := d.serveStatus()
	d.startPlatformReaders(ctx)
	writers := d.startWriters(ctx)

	err := d.runEngine(ctx)
	d.flushBatches()

	close(d.done)
	d.failOpenHandOvers()
	d.tasks.Go(func() { d.rejectHandOvers(ctx) })
	d.statusWrites.close()
	d.leaseRenewals.close()
	if err == nil {
		shutDownControl(controlServer)
		d.finishWriters(ctx, writers)
	}
	cancel()
	writers.Wait()
	_ = controlServer.Close()
	_ = statusServer.Close()
	d.closeSockets()
	readers.Wait()
	d.tasks.Wait()
	d.decisionLog.stop()
	return err
}

// failOpenHandOvers reports an unknown outcome for the hand-overs that the engine
// accepted and has not answered, since their work may have run.
func (d *Daemon) failOpenHandOvers() {
	for callID, reply := range d.handOverReplies {
		delete(d.handOverReplies, callID)
		reply <- unknownResult("instance stopped before the work ended")
	}
}

// rejectHandOvers answers the hand-overs left in the input queue as not run,
// until ctx ends.
func (d *Daemon) rejectHandOvers(ctx context.Context) {
	for {
		select {
		case in := <-d.inputs:
			if in.reply != nil {
				in.reply <- notRunResult(packet.ReasonStopping, "instance has stopped")
			}
		case <-ctx.Done():
			return
		}
	}
}

// shutDownControl closes the control server when its open calls are answered, or
// after shutdownStepTimeout.
func shutDownControl(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownStepTimeout.Duration())
	defer cancel()
	_ = s.Shutdown(ctx)
}

// enqueue queues an event for the engine and blocks while the queue is full. It
// returns false when the engine accepts no more events.
func (d *Daemon) enqueue(in input) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.inputs <- in:
		return true
	case <-d.done:
		return false
	}
}

// runEngine gives events to the engine, one at a time, until the engine has
// stopped or ctx ends. Only its goroutine uses the engine.
func (d *Daemon) runEngine(ctx context.Context) error {
	ticker := time.NewTicker(instance.TickPeriod.Duration())
	defer ticker.Stop()
	for !d.engineStopped {
		select {
		case <-ctx.Done():
			return errors.WithStack(ErrInterrupted)
		case <-ticker.C:
			d.handle(ctx, clock.Now(), instance.Tick{})
		case b := <-d.datagrams:
			d.handleDatagrams(ctx, b)
		case in := <-d.inputs:
			d.handleInputs(ctx, in)
		}
		d.flushBatches()
	}
	return nil
}

// handleDatagrams handles a batch of datagrams and a limited number of queued
// batches.
func (d *Daemon) handleDatagrams(ctx context.Context, b *receiveBatch) {
	now := clock.Now()
	d.handleBatch(ctx, now, b)
	for range maxEventsPerTurn / receiveBatchSize {
		select {
		case b = <-d.datagrams:
			d.handleBatch(ctx, now, b)
		default:
			return
		}
	}
}

func (d *Daemon) handleBatch(ctx context.Context, now clock.Millis, b *receiveBatch) {
	defer b.release()
	for i := range b.datagrams[:b.count] {
		if d.engineStopped {
			return
		}
		d.handle(ctx, now, b.datagrams[i].event)
	}
}

// handleInputs handles an input and a limited number of queued inputs.
func (d *Daemon) handleInputs(ctx context.Context, in input) {
	now := clock.Now()
	d.handleInput(ctx, now, in)
	for range maxEventsPerTurn {
		if d.engineStopped {
			return
		}
		select {
		case in = <-d.inputs:
			d.handleInput(ctx, now, in)
		default:
			return
		}
	}
}

// handleInput updates runCancels and handOverReplies and gives the event to the
// engine.
func (d *Daemon) handleInput(ctx context.Context, now clock.Millis, in input) {
	switch e := in.event.(type) {
	case instance.RunEnded:
		d.releaseRun(e.RunID)
	case instance.HandOverEnded:
		d.releaseRun(e.RunID)
	case instance.HandOverReceived:
		d.handOverReplies[e.CallID] = in.reply
	case instance.HandOverCancelled:
		delete(d.handOverReplies, e.CallID)
	}
	d.handle(ctx, now, in.event)
}

func (d *Daemon) releaseRun(runID uint64) {
	if cancel := d.runCancels[runID]; cancel != nil {
		cancel()
		delete(d.runCancels, runID)
	}
}

func (d *Daemon) handle(ctx context.Context, now clock.Millis, e instance.Event) {
	d.lastEventAt.Store(int64(now))
	for _, a := range d.engine.Handle(now, e) {
		d.performAction(ctx, a)
	}
}

// unmapAddr converts an IPv4-mapped IPv6 address, as dual-stack sockets report
// it, to IPv4.
func unmapAddr(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
