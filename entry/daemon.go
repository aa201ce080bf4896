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

// ErrInterrupted reports a daemon that ended without a graceful shutdown.
var ErrInterrupted = errors.New("daemon was interrupted")

// Engine decides. It is implemented by instance.Engine.
type Engine interface {
	Handle(now clock.Millis, e instance.Event) []instance.Action
}

// Options are what a Daemon is made of.
type Options struct {
	Settings Settings
	Keys     *token.Keys
	Platform platform.Platform
	Logger   *slog.Logger
	// NewEngine makes the engine; nil makes an instance.NewEngine.
	NewEngine func(s instance.Settings, now clock.Millis) Engine
}

// Sizes of the engine's queues.
const (
	packetQueue = 8192 / readBatch // groups of datagrams
	inputQueue  = 1024             // other events
	batchSize   = 32               // events of one queue handled before the other is looked at
)

// closeTimeout is how long a stopping daemon waits for each of: answers to
// other instances, its last writes to the platform, the release of its lease.
const closeTimeout = 1 * clock.Second

// input is an event and, for a PeerCalled, where its answer goes.
type input struct {
	event instance.Event
	reply chan<- instance.Result
}

// Daemon is one running entry instance.
type Daemon struct {
	self     record.Instance
	engine   Engine
	platform platform.Platform
	log      *slog.Logger

	packetSocket  *net.UDPConn
	peerSocket    *net.UDPConn
	controlSocket net.Listener
	statusSocket  net.Listener

	packets chan *group   // dropped when full
	inputs  chan input    // everything else
	done    chan struct{} // closed when the engine takes no more events
	ticked  atomic.Int64  // when the engine last took an event
	halting atomic.Bool   // a graceful shutdown is under way

	router atomic.Pointer[instance.Router] // for packets that need no decision

	runner        *runner
	peers         *peerCaller
	objects       *objectStore
	watching      *daemon.Gate // open while the engine wants the platform's records watched
	counts        *counts
	notes         *notes
	statuses      *mailbox[record.Status]
	announcements *mailbox[record.Instance]

	// Used by the engine's goroutine only.
	cancels map[uint64]context.CancelFunc     // by run
	replies map[uint64]chan<- instance.Result // by call
	stopped bool
	// Datagrams that wait for the end of a batch of events.
	toCallers, toPeers *batch

	calls atomic.Uint64  // numbers given to PeerCalled
	work  sync.WaitGroup // goroutines that end with the daemon
}

// Open opens the daemon's sockets and makes its engine. Nothing runs until Run.
func Open(o Options) (*Daemon, error) {
	d := &Daemon{
		platform: o.Platform,
		log:      o.Logger,
		packets:  make(chan *group, packetQueue),
		inputs:   make(chan input, inputQueue),
		done:     make(chan struct{}),
		runner:   newRunner(),
		objects:  newObjectStore(),
		watching: daemon.NewGate(true),
		counts:   newCounts(),
		cancels:  map[uint64]context.CancelFunc{},
		replies:  map[uint64]chan<- instance.Result{},
	}
	metrics.NewRegisteredFunctionalGauge("records.revision", d.counts.registry, d.objects.newest)
	d.notes = newNotes(o.Logger, d.counts)
	d.statuses = newMailbox[record.Status]()
	d.announcements = newMailbox[record.Instance]()
	if err := d.openSockets(o.Settings); err != nil {
		d.closeSockets()
		return nil, err
	}
	d.toCallers = newBatch(d.packetSocket, d.counts.packets.unsent)
	d.toPeers = newBatch(d.peerSocket, d.counts.peers.unsent)
	d.self = d.describe(o.Settings)
	d.peers = newPeerCaller(d.self.Name, d.counts)
	makeEngine := o.NewEngine
	if makeEngine == nil {
		makeEngine = func(s instance.Settings, now clock.Millis) Engine { return instance.New(s, now) }
	}
	d.engine = makeEngine(instance.Settings{
		Self: d.self, Keys: o.Keys, MemoryLimit: o.Settings.MemoryLimit, MaxFlows: o.Settings.MaxFlows, RandomSeed: rand.Uint64(),
		Policy: policies[o.Settings.Policy], Neighbours: o.Settings.neighbours(),
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

// describe returns the record under which the instance announces itself.
func (d *Daemon) describe(s Settings) record.Instance {
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

// Self returns the instance as it announces itself.
func (d *Daemon) Self() record.Instance { return d.self }

// StatusAddress returns the address of metrics and health.
func (d *Daemon) StatusAddress() string { return d.statusSocket.Addr().String() }

// ReadyLine returns the line that tells where the daemon listens.
func (d *Daemon) ReadyLine() string {
	return fmt.Sprintf("ready packets=%s peers=%s control=%s status=%s",
		d.self.PacketAddress, d.self.PeerAddress, d.self.ControlAddress, d.StatusAddress())
}

// Stop starts the graceful shutdown. It may be called at any time after Open.
func (d *Daemon) Stop() {
	d.halting.Store(true)
	go d.send(input{event: instance.StopRequested{}})
}

// Run serves until the graceful shutdown is complete, and then returns nil, or
// until ctx ends, and then returns ErrInterrupted.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ticked.Store(int64(clock.Now())) // healthy until the first tick is late
	d.notes.start()
	readers := d.startReaders()
	control := d.serveControl()
	page := d.servePage()
	d.startFeeds(ctx)
	writers := d.startWriters(ctx)

	err := d.loop(ctx)
	d.flush()

	close(d.done)
	d.endCalls()
	d.work.Go(func() { d.refuseCalls(ctx) })
	d.statuses.close()
	d.announcements.close()
	if err == nil {
		finishControl(control)
		d.finishWriters(ctx, writers)
	}
	cancel()
	writers.Wait()
	_ = control.Close()
	_ = page.Close()
	d.closeSockets()
	readers.Wait()
	d.work.Wait()
	d.notes.stop()
	return err
}

// endCalls answers the calls that the engine took and did not answer.
func (d *Daemon) endCalls() {
	for call, reply := range d.replies {
		delete(d.replies, call)
		reply <- unknownResult("instance ended")
	}
}

// refuseCalls answers the calls that the engine did not take, until ctx ends.
func (d *Daemon) refuseCalls(ctx context.Context) {
	for {
		select {
		case i := <-d.inputs:
			if i.reply != nil {
				i.reply <- notRun(packet.ReasonStopping, "instance has stopped")
			}
		case <-ctx.Done():
			return
		}
	}
}

// finishControl lets answers to other instances leave.
func finishControl(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout.Duration())
	defer cancel()
	_ = s.Shutdown(ctx)
}

// send hands an event to the engine and waits while its queue is full. It
// reports false when the daemon has ended.
func (d *Daemon) send(i input) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.inputs <- i:
		return true
	case <-d.done:
		return false
	}
}

// loop owns the engine: it hands events to it, one at a time, until the engine
// has stopped.
func (d *Daemon) loop(ctx context.Context) error {
	ticker := time.NewTicker(instance.TickPeriod.Duration())
	defer ticker.Stop()
	for !d.stopped {
		select {
		case <-ctx.Done():
			return errors.WithStack(ErrInterrupted)
		case <-ticker.C:
			d.handle(ctx, clock.Now(), instance.Tick{})
		case g := <-d.packets:
			d.handlePackets(ctx, g)
		case i := <-d.inputs:
			d.handleInputs(ctx, i)
		}
		d.flush()
	}
	return nil
}

// handlePackets handles a group of datagrams and those that wait behind it.
func (d *Daemon) handlePackets(ctx context.Context, g *group) {
	now := clock.Now()
	d.handleGroup(ctx, now, g)
	for range batchSize / readBatch {
		select {
		case g = <-d.packets:
			d.handleGroup(ctx, now, g)
		default:
			return
		}
	}
}

func (d *Daemon) handleGroup(ctx context.Context, now clock.Millis, g *group) {
	defer g.release()
	for i := range g.datagrams[:g.filled] {
		if d.stopped {
			return
		}
		d.handle(ctx, now, g.datagrams[i].event)
	}
}

// handleInputs handles an input and those that wait behind it.
func (d *Daemon) handleInputs(ctx context.Context, i input) {
	now := clock.Now()
	d.handleInput(ctx, now, i)
	for range batchSize {
		if d.stopped {
			return
		}
		select {
		case i = <-d.inputs:
			d.handleInput(ctx, now, i)
		default:
			return
		}
	}
}

// handleInput keeps the books on runs and calls and hands the event on.
func (d *Daemon) handleInput(ctx context.Context, now clock.Millis, i input) {
	switch e := i.event.(type) {
	case instance.RunEnded:
		d.endRun(e.RunID)
	case instance.HandOverEnded:
		d.endRun(e.RunID)
	case instance.HandOverReceived:
		d.replies[e.CallID] = i.reply
	case instance.HandOverCancelled:
		delete(d.replies, e.CallID)
	}
	d.handle(ctx, now, i.event)
}

func (d *Daemon) endRun(run uint64) {
	if cancel := d.cancels[run]; cancel != nil {
		cancel()
		delete(d.cancels, run)
	}
}

func (d *Daemon) handle(ctx context.Context, now clock.Millis, e instance.Event) {
	d.ticked.Store(int64(now))
	for _, a := range d.engine.Handle(now, e) {
		d.perform(ctx, a)
	}
}

// unmapped returns a without the IPv4-in-IPv6 form that dual-stack sockets use.
func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
