package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/standin"
	"github.com/tanagerdock/tanagerdock/steering"
)

// waitTimeout is the time to wait for a condition that must come true.
const waitTimeout = clock.Minute

// deploymentCase is a case of testdata/deployment.yaml. Each step is a verb and its words.
type deploymentCase struct {
	Name   string   `yaml:"name"`
	Orders bool     `yaml:"orders"` // the settings have a bound of evacuations
	Steps  []string `yaml:"steps"`
}

// verbs are the functions of the steps, by the first word of a step. The comments show its
// other words.
var verbs = map[string]func(s *deployment, words []string){
	"route":            (*deployment).route,              // NAME SERVICE...: adds a route to the next configuration
	"routes":           (*deployment).idleRoutes,         // COUNT SERVICE: adds routes without traffic to the next configuration
	"unroute":          (*deployment).unroute,            // NAME: removes a route from the next configuration
	"publish":          (*deployment).publish,            // writes the next configuration to the store
	"endpoint":         (*deployment).endpoint,           // ID SERVICE CENTRE: starts an endpoint
	"start":            (*deployment).start,              // NAME CENTRE: starts an instance
	"stop":             (*deployment).stop,               // NAME: stops an instance gracefully
	"kill":             (*deployment).kill,               // NAME: ends an instance at once
	"rotation":         (*deployment).waitRotation,       // COUNT: waits until so many instances are in rotation
	"open":             (*deployment).open,               // FLOW ROUTE: opens a flow
	"refused":          (*deployment).expectRefused,      // ROUTE: a flow to it doesn't open
	"ask":              (*deployment).request,            // FLOW SERVICE [BYTES]: a request gets a complete answer of the service
	"ask_times":        (*deployment).requestTimes,       // COUNT FLOW SERVICE: the same of so many requests, one after the other
	"ask_late":         (*deployment).requestLate,        // FLOW SERVICE NAME MS: the same, while an instance reads nothing for so long after the request
	"kept":             (*deployment).expectKept,         // FLOW...: the flows are open
	"reset":            (*deployment).waitReset,          // FLOW: waits until the flow is over
	"send_opening":     (*deployment).sendOpening,        // ROUTE NAME: sends one opening packet directly to an instance
	"opening_received": (*deployment).waitOpening,        // ID: waits until an endpoint has received an opening packet
	"cut":              (*deployment).expectRequestReset, // FLOW: a request ends with a reset from an instance
	"drain":            (*deployment).drain,              // ID: an endpoint starts to drain
	"mute":             (*deployment).mute,               // ID: an endpoint stops sending packets
	"crash":            (*deployment).crash,              // ID: closes an endpoint's sockets; its entry stays in the store
	"remove":           (*deployment).remove,             // ID: removes an endpoint's entry from the store
	"store":            (*deployment).setStoreFault,      // fine, or REFUSAL [NAME...]: the store refuses calls of all or of some instances
	"pause":            (*deployment).pause,              // MS: lets time pass
	"compact":          (*deployment).compact,            // the store discards its history
	"odd":              (*deployment).writeOdd,           // KIND/NAME FAULT...: another program writes odd objects, with faults of standin.OddFaults
	"unreadable":       (*deployment).waitUnreadable,     // COUNT WORD...: waits until the logs of so many running instances have a line about an unreadable object with the words
	"version":          (*deployment).waitVersion,        // NUMBER: waits until this configuration is in force at all instances
	"watchers":         (*deployment).waitWatchers,       // COUNT: waits until so many instances watch the store
	"reported":         (*deployment).waitReport,         // CENTRE: waits until the store has the report of a data centre
	"listed":           (*deployment).waitUsable,         // ID: waits until all instances may place new flows at an endpoint
	"plain":            (*deployment).startPlain,         // NAME CENTRE: starts an instance whose settings have no bound of evacuations
	"kill_watcher":     (*deployment).killWatcher,        // ends the instance that watches the store at once
	"evacuate":         (*deployment).evacuate,           // CENTRE...: an operator orders evacuations
	"lift":             (*deployment).lift,               // CENTRE...: an operator lifts them
	"avoids":           (*deployment).waitAvoided,        // CENTRE...: waits until all instances avoid the data centres
	"uses":             (*deployment).waitUsed,           // CENTRE...: waits until no instance avoids the data centres
	"flows":            (*deployment).expectFlows,        // ID COUNT: an endpoint has got so many flows that are open
	"counted":          (*deployment).waitCounted,        // NAME: waits until an instance has counted it
	"logged":           (*deployment).waitLogged,         // COUNT WORD...: waits until the logs of so many running instances have a line with the words
	"uncalled":         (*deployment).expectUncalled,     // KIND: nobody has read the objects of a kind
	"avoided":          (*deployment).waitUnused,         // ID: waits until no instance may place new flows at an endpoint
}

func TestDeployments(t *testing.T) {
	var cases []deploymentCase
	script.Read(t, "testdata/deployment.yaml", &cases)
	require.NotEmpty(t, cases)
	for i, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := newDeployment(t, byte(i+1))
			s.orders = c.Orders
			for _, step := range c.Steps {
				words := strings.Fields(step)
				verb, known := verbs[words[0]]
				require.True(t, known, "step %q", step)
				s.step = step
				verb(s, words[1:])
			}
			s.check()
		})
	}
}

// deployment is a small deployment with real sockets, on a loopback subnet of its own.
type deployment struct {
	t        *testing.T
	step     string // the current step, for messages
	subnet   byte   // second byte of all its addresses
	store    *standin.Metastore
	storeURL string
	routers  *standin.FlowRouters
	caller   *standin.FlowConsumer

	orders           bool // the settings of instances have a bound of evacuations
	lastHost         byte // last byte of the address assigned last
	publishedVersion int64
	routes           map[string][]string
	addresses        map[string]netip.AddrPort
	daemons          map[string]*runningDaemon
	endpoints        map[string]*standin.FlowEndpoint
	flows            map[string]*standin.ConsumerFlow
	requestCount     int
}

// runningDaemon is a daemon that was started, and may have stopped.
type runningDaemon struct {
	daemon    *Daemon
	log       *logBuffer
	cancel    context.CancelFunc
	runResult chan error
	readPause *readPause
	stopped   bool
}

// logBuffer stores a log, so that a failed test can print it.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(data)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

var _ io.Writer = (*logBuffer)(nil)

// newDeployment returns a deployment in subnet 127.100+n. Package soak runs beside this one: its
// seeds 736 and 750 use 127.166 and 127.180, so 66 and 80 aren't free.
func newDeployment(t *testing.T, n byte) *deployment {
	s := &deployment{
		t: t, subnet: 100 + n, store: standin.NewMetastore(1), routers: standin.StartFlowRouters(),
		routes: map[string][]string{}, addresses: map[string]netip.AddrPort{}, daemons: map[string]*runningDaemon{},
		endpoints: map[string]*standin.FlowEndpoint{}, flows: map[string]*standin.ConsumerFlow{},
	}
	server := httptest.NewServer(s.store)
	s.storeURL = server.URL
	var err error
	s.caller, err = standin.StartFlowConsumer(s.newAddress(), s.routers)
	require.NoError(t, err)
	t.Cleanup(func() {
		for _, r := range s.daemons {
			r.cancel()
			if !r.stopped {
				<-r.runResult
			}
			if t.Failed() {
				t.Logf("log:\n%s", r.log)
			}
		}
		for _, e := range s.endpoints {
			e.Close()
		}
		s.caller.Close()
		s.routers.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return s
}

// newReadyDeployment returns a deployment of one instance and one endpoint of the service
// desk, once the instance is ready.
func newReadyDeployment(t *testing.T, n byte) (*deployment, *Daemon) {
	s := newDeployment(t, n)
	s.route([]string{"desk", "desk"})
	s.publish(nil)
	s.endpoint([]string{"a1", "desk", "here"})
	s.start([]string{"f1", "here"})
	s.waitRotation([]string{"1"})
	return s, s.daemons["f1"].daemon
}

// newAddress returns an unused address.
func (s *deployment) newAddress() netip.Addr {
	s.lastHost++
	return netip.AddrFrom4([4]byte{127, s.subnet, 0, s.lastHost})
}

func (s *deployment) route(words []string) {
	s.routes[words[0]] = words[1:]
	if !s.addresses[words[0]].IsValid() {
		s.addresses[words[0]] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(len(s.addresses)+1))
	}
}

func (s *deployment) idleRoutes(words []string) {
	for range s.number(words) {
		s.route([]string{fmt.Sprintf("idle-%d", len(s.routes)), words[1]})
	}
}

func (s *deployment) unroute(words []string) { delete(s.routes, words[0]) }

func (s *deployment) publish([]string) {
	s.publishedVersion += 2
	var routes []standin.Route
	for name, services := range s.routes {
		routes = append(routes, standin.Route{Name: name, Address: s.addresses[name], Services: services})
	}
	s.store.PutConfiguration(s.publishedVersion, routes)
}

func (s *deployment) endpoint(words []string) {
	number, err := strconv.ParseUint(words[0], 16, 64)
	require.NoError(s.t, err)
	e, err := standin.StartFlowEndpoint(standin.FlowEndpointSettings{
		Number: number, Service: words[1], Centre: words[2], Slots: 2, RunTime: 5,
		Address: netip.AddrPortFrom(s.newAddress(), 8080).String(),
	})
	require.NoError(s.t, err)
	s.endpoints[words[0]] = e
	s.store.RegisterEndpoint(e)
}

func (s *deployment) start(words []string) { s.startAt(words[0], words[1], s.newAddress()) }

// startAt starts an instance at an address.
func (s *deployment) startAt(name, centre string, at netip.Addr) {
	port := func(p uint16) netip.AddrPort { return netip.AddrPortFrom(at, p) }
	log := &logBuffer{}
	settings := platform.Settings{
		Instance: name, Centre: centre, PacketAddress: port(standin.PacketPort), ReadyAddress: port(standin.ReadyPort),
		InternalPorts: []uint16{7720, 7735}, StoreURL: s.storeURL, GracePeriod: 6000, DrainBound: 3000, ApplyBound: 3000,
	}
	if s.orders {
		settings.EvacuationBound, settings.Centres = 3000, []string{"here", "there", "north", "south"}
		for _, r := range s.daemons {
			settings.Seeds = append(settings.Seeds, r.daemon.settings.Load().PacketAddress)
		}
	}
	d, err := Open(Options{Log: log, Settings: settings})
	require.NoError(s.t, err)
	pause := &readPause{Counter: d.metrics.malformed, over: make(chan struct{}, 1)}
	d.metrics.malformed = pause
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningDaemon{daemon: d, log: log, cancel: cancel, runResult: make(chan error, 1), readPause: pause}
	go func() { r.runResult <- d.Run(ctx) }()
	s.daemons[name] = r
	s.routers.AddInstance(port(standin.PacketPort), port(standin.ReadyPort).String())
}

func (s *deployment) stop(words []string) {
	r := s.daemons[words[0]]
	r.daemon.Stop()
	require.NoError(s.t, <-r.runResult)
	r.stopped = true
	s.routers.RemoveInstance(r.daemon.settings.Load().PacketAddress)
}

func (s *deployment) kill(words []string) {
	r := s.daemons[words[0]]
	r.cancel()
	require.NoError(s.t, <-r.runResult)
	r.stopped = true
}

// eventually waits until a condition holds.
func (s *deployment) eventually(condition func() bool) {
	s.t.Helper()
	require.Eventually(s.t, condition, waitTimeout.Duration(), (5 * clock.Millisecond).Duration(), "step %q", s.step)
}

func (s *deployment) number(words []string) int {
	n, err := strconv.Atoi(words[0])
	require.NoError(s.t, err)
	return n
}

func (s *deployment) waitRotation(words []string) {
	want := s.number(words)
	s.eventually(func() bool { return s.routers.CountInRotation() == want })
}

func (s *deployment) open(words []string) {
	f, err := s.caller.OpenFlow(s.addresses[words[1]])
	require.NoError(s.t, err, "step %q", s.step)
	s.flows[words[0]] = f
}

func (s *deployment) expectRefused(words []string) {
	at := s.addresses[words[0]]
	if !at.IsValid() {
		at = netip.MustParseAddrPort("198.18.0.9:9")
	}
	_, err := s.caller.OpenFlow(at)
	require.ErrorIs(s.t, err, standin.ErrFlowNotOpened)
}

func (s *deployment) request(words []string) {
	size := 10
	if len(words) > 2 {
		size = s.number(words[2:])
	}
	s.requestCount++
	id := fmt.Sprintf("%s-%d", words[0], s.requestCount)
	err := s.flows[words[0]].Request(id, bytes.Repeat([]byte("x"), size), waitTimeout, words[1])
	require.NoError(s.t, err, "step %q", s.step)
}

func (s *deployment) requestTimes(words []string) {
	for range s.number(words) {
		s.request(words[1:])
	}
}

func (s *deployment) requestLate(words []string) {
	r := s.daemons[words[2]]
	r.readPause.length.Store(int64(s.number(words[3:])))
	c, err := net.Dial("udp4", r.daemon.settings.Load().PacketAddress.String())
	require.NoError(s.t, err)
	defer c.Close()
	time.AfterFunc((2 * clock.Millisecond).Duration(), func() { _, _ = c.Write([]byte("x")) }) // between the request and its answer
	s.request(words[:2])
	<-r.readPause.over
}

// readPause pauses the receive loop of an instance, and nothing else, at malformed packets.
type readPause struct {
	metrics.Counter
	length atomic.Int64 // clock.Millis
	over   chan struct{}
}

// Inc implements metrics.Counter.
func (p *readPause) Inc(n int64) {
	p.Counter.Inc(n)
	if pause := clock.Millis(p.length.Load()); pause > 0 {
		time.Sleep(pause.Duration())
		p.over <- struct{}{}
	}
}

func (s *deployment) expectKept(words []string) {
	for _, name := range words {
		require.False(s.t, s.flows[name].Ended(), "flow %s, step %q", name, s.step)
	}
}

func (s *deployment) waitReset(words []string) {
	f := s.flows[words[0]]
	s.eventually(f.Ended)
}

func (s *deployment) sendOpening(words []string) {
	require.NoError(s.t, s.caller.SendOpening(s.addresses[words[0]], s.daemons[words[1]].daemon.settings.Load().PacketAddress))
}

func (s *deployment) waitOpening(words []string) {
	e := s.endpoints[words[0]]
	s.eventually(func() bool { return e.FlowCount() > 0 })
}

func (s *deployment) expectRequestReset(words []string) {
	f := s.flows[words[0]]
	err := f.Request(words[0]+"-cut", nil, waitTimeout, "none")
	require.ErrorIs(s.t, err, standin.ErrFlowReset, "step %q", s.step)
	require.Equal(s.t, "instance", f.ResetBy)
}

func (s *deployment) drain(words []string) {
	e := s.endpoints[words[0]]
	e.Drain()
	s.store.RegisterEndpoint(e)
}

func (s *deployment) mute(words []string)  { s.endpoints[words[0]].SetSilent(true) }
func (s *deployment) crash(words []string) { s.endpoints[words[0]].Close() }

func (s *deployment) remove(words []string) { s.store.UnregisterEndpoint(s.endpoints[words[0]]) }

func (s *deployment) setStoreFault(words []string) {
	f := standin.MetastoreFaults{}
	if words[0] != "fine" {
		f = standin.MetastoreFaults{RefuseMode: words[0], RefusedCallers: words[1:]}
	}
	require.NoError(s.t, s.store.SetFaults(f))
}

func (s *deployment) pause(words []string) {
	time.Sleep((clock.Millis(s.number(words)) * clock.Millisecond).Duration())
}

func (s *deployment) compact([]string) { s.store.Compact() }

func (s *deployment) writeOdd(words []string) {
	kind, name, _ := strings.Cut(words[0], "/")
	for n, fault := range words[1:] {
		at := name
		if len(words) > 2 {
			at = fmt.Sprintf("%s%d", name, n)
		}
		s.store.PutOdd(kind, at, fault)
	}
}

func (s *deployment) waitUnreadable(words []string) { s.waitLogged(append(words, " unreadable")) }

func (s *deployment) waitLogged(words []string) {
	want := s.number(words)
	s.eventually(func() bool {
		n := 0
		for _, r := range s.daemons {
			found := slices.ContainsFunc(strings.Split(r.log.String(), "\n"), func(line string) bool {
				return !slices.ContainsFunc(words[1:], func(w string) bool { return !strings.Contains(line, w) })
			})
			if found && !r.stopped {
				n++
			}
		}
		return n >= want
	})
}

func (s *deployment) waitVersion(words []string) {
	want := int64(s.number(words))
	s.eventually(func() bool {
		for _, r := range s.daemons {
			if !r.stopped && r.daemon.configurationVersion() != want {
				return false
			}
		}
		return true
	})
}

func (d *Daemon) configurationVersion() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.engine.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

func (s *deployment) waitWatchers(words []string) {
	want := s.number(words)
	s.eventually(func() bool {
		n := 0
		for _, r := range s.daemons {
			r.daemon.mu.Lock()
			if !r.stopped && r.daemon.fleet.Watching() {
				n++
			}
			r.daemon.mu.Unlock()
		}
		return n == want
	})
}

func (s *deployment) waitReport(words []string) {
	s.eventually(func() bool { return slices.Contains(s.store.Names("reports"), words[0]) })
}

func (s *deployment) waitUnused(words []string) {
	s.eventually(func() bool { return s.countUsable(words[0]) == 0 })
}

func (s *deployment) waitUsable(words []string) {
	live := 0
	for _, r := range s.daemons {
		if !r.stopped {
			live++
		}
	}
	s.eventually(func() bool { return s.countUsable(words[0]) == live })
}

// countUsable returns the number of running instances that know an endpoint and may place
// new flows at it.
func (s *deployment) countUsable(name string) int {
	id, n := s.endpoints[name].ID(), 0
	for _, r := range s.daemons {
		r.daemon.mu.Lock()
		usable := slices.ContainsFunc(r.daemon.engine.Endpoints(), func(p steering.Endpoint) bool { return p.ID == id && !p.Draining })
		r.daemon.mu.Unlock()
		if usable && !r.stopped {
			n++
		}
	}
	return n
}

// check fails the test if the caller or an endpoint has recorded a fault, or if a request
// was executed twice.
func (s *deployment) check() {
	require.Empty(s.t, s.caller.ProtocolErrors())
	for _, e := range s.endpoints {
		require.Empty(s.t, e.ProtocolErrors())
		for id, n := range e.RunCounts() {
			require.Equal(s.t, 1, n, "request %s", id)
		}
	}
}

// Packets that arrive before the first records must be queued, up to a maximum number and
// time, and returned once.
func TestPacketQueue(t *testing.T) {
	var q packetQueue
	require.True(t, q.add(1000, []byte("old")))
	data := []byte("new")
	for range maxQueuedPackets - 1 {
		require.True(t, q.add(1000+maxQueueTime, data))
	}
	require.False(t, q.add(1000+maxQueueTime, data), "the queue is full")
	data[0] = 'x'
	packets := q.takeRecent(1001+maxQueueTime, false)
	require.Len(t, packets, maxQueuedPackets-1)
	require.Equal(t, "new", string(packets[0].data))
	require.True(t, q.add(packets[0].receivedAt, packets[0].data), "the records are not complete, so packets may be queued again")
	require.Empty(t, q.takeRecent(1001+2*maxQueueTime, true), "the time in the queue counts from the arrival")
	require.False(t, q.add(1001+maxQueueTime, data), "the records are complete")
	require.Empty(t, q.takeRecent(1001+maxQueueTime, true))
}

// Two goroutines may carry out their actions in another order than the engine decided them.
func TestWatchThatIsSetLateKeepsLatestDecision(t *testing.T) {
	_, d := newReadyDeployment(t, 86)
	watching := func() (on bool) {
		d.locked(func() { on = d.fleet.Watching() })
		return on
	}
	require.Eventually(t, watching, waitTimeout.Duration(), (5 * clock.Millisecond).Duration(), "the only member")
	d.performFleet([]fleet.Action{fleet.SetWatching{On: true}, fleet.SetWatching{On: false}})
	require.True(t, d.watchGate.IsOpen())
}

// An instance that missed changes must read only those changes from the store. It lists all
// records again only if the store has discarded its history.
func TestFetchReadsOnlyChanges(t *testing.T) {
	s, d := newReadyDeployment(t, 97)
	before := s.store.ListCalls()
	s.endpoint([]string{"a2", "desk", "here"})
	wanted := fleet.FetchRecords{Configuration: true, Endpoints: true}
	require.NoError(t, d.fetchFromStore(t.Context(), wanted))
	require.Equal(t, 1, s.countUsable("a2"))
	require.Equal(t, before, s.store.ListCalls(), "lists")
	s.endpoint([]string{"a3", "desk", "here"})
	s.store.Compact()
	require.NoError(t, d.fetchFromStore(t.Context(), wanted))
	require.Equal(t, 1, s.countUsable("a3"))
}

// An instance that is stopping must still read missed changes from the store, and not
// fetch all records from a member.
func TestStoppingInstanceFetchesFromStore(t *testing.T) {
	s, d := newReadyDeployment(t, 96)
	d.stopping.Store(true)
	d.fetchRequests <- fleet.FetchRecords{Endpoints: true}
	// The line about the member, which has no address, comes before.
	s.eventually(func() bool { return strings.Contains(s.daemons["f1"].log.String(), `"source":"store"`) })
}

// A log whose reader has stalled must not block the daemon. The lines that don't fit into
// the buffer are dropped and counted.
func TestBlockedLogWriterDropsLines(t *testing.T) {
	unblock := make(chan struct{})
	j := newEventLog(writerFunc(func(data []byte) (int, error) {
		<-unblock
		return len(data), nil
	}))
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { j.run(ctx) })
	for range 10 * maxLogBuffer / 100 {
		j.info("kind", "attribute", strings.Repeat("x", 100))
	}
	require.Positive(t, j.droppedTotal.Load())
	close(unblock)
	cancel()
	done.Wait()
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(data []byte) (int, error) { return f(data) }

// Lines of one kind are limited to a rate. Lines of other kinds, and lines without a rate
// limit, must still be written.
func TestLogRateLimitPerKind(t *testing.T) {
	var out logBuffer
	j := newEventLog(&out)
	j.secondStart = clock.Now() + clock.Hour // the current second does not end during the test
	for range 10 * maxLinesPerKind {
		j.infoLimited("often")
	}
	j.infoLimited("seldom")
	j.info("always")
	j.flush()
	require.Equal(t, maxLinesPerKind, strings.Count(out.String(), `"often"`))
	require.Contains(t, out.String(), `"seldom"`)
	require.Contains(t, out.String(), `"always"`)
	require.Contains(t, out.String(), `"lines dropped","count":`+strconv.Itoa(9*maxLinesPerKind))
}

// Steering a packet of an established flow must not allocate memory.
func TestSteeringAllocatesNothing(t *testing.T) {
	s, d := newReadyDeployment(t, 99)
	p := establishedPacket(s.addresses["desk"])
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	d.engine.Steer(now, &p)
	var sum atomic.Int64
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		v := d.engine.Steer(now, &p)
		sum.Add(int64(v.Verdict))
	}))
	require.Positive(t, sum.Load())
}

func establishedPacket(route netip.AddrPort) (p steering.Packet) {
	p = steering.Packet{Consumer: steering.AddrPort{Address: 1, Port: 1}, Flags: steering.Acknowledge, Token: 0xa1, Ack: 9}
	p.Destination, _ = steering.AddrPortFromNetip(route)
	return p
}

// A changed settings file is applied, except for addresses and ports, which change only with
// a restart. An invalid file is logged, and the current settings stay.
func TestReload(t *testing.T) {
	s := newDeployment(t, 98)
	file := filepath.Join(t.TempDir(), "node.toml")
	write := func(store string) {
		settings := standin.InstanceSettings{Name: "f1", Centre: "here", Address: s.newAddress(), StoreAddress: store, GracePeriod: 6000, DrainAndApplyBound: 3000}
		require.NoError(t, os.WriteFile(file, []byte(settings.TOML()), 0o600))
	}
	writeWithout := func(field string) {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		lines := slices.DeleteFunc(strings.Split(string(data), "\n"), func(l string) bool { return strings.HasPrefix(l, field) })
		require.NoError(t, os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600))
	}
	write("127.0.0.1:1")
	first, err := platform.ReadSettings(file)
	require.NoError(t, err)
	log := &logBuffer{}
	d, err := Open(Options{Settings: first, SettingsFile: file, Log: log})
	require.NoError(t, err)
	defer d.closeSockets()
	write("127.0.0.1:2")
	d.readSettings("test")
	require.Equal(t, "http://127.0.0.1:2", d.settings.Load().StoreURL)
	require.Equal(t, first.PacketAddress, d.settings.Load().PacketAddress, "addresses are kept")
	writeWithout("internal_ports")
	d.readSettings("test")
	require.Equal(t, first.InternalPorts, d.settings.Load().InternalPorts, "ports are kept")
	d.greetSeeds()
	write("nowhere")
	d.readSettings("test")
	require.Equal(t, "http://127.0.0.1:2", d.settings.Load().StoreURL)
	d.log.flush()
	require.Contains(t, log.String(), `"settings kept"`)
	require.Contains(t, log.String(), `platform.address`)
}

// An instance that missed changes of endpoints must read them from the member that told of
// them, and from the store only if that member doesn't answer or doesn't know them.
func TestMissedChangesAreFetchedFromMember(t *testing.T) {
	s, d := newReadyDeployment(t, 91)
	s.start([]string{"f2", "here"})
	s.waitRotation([]string{"2"})
	other := s.daemons["f2"].daemon
	for _, m := range []*Daemon{d, other} {
		m.mu.Lock()
		m.watchGate.Set(false) // changes reach nobody
		m.mu.Unlock()
	}
	require.NoError(t, d.fetchFromStore(t.Context(), fleet.FetchRecords{Endpoints: true})) // past the other one's list
	before := d.metrics.storeCalls.counts["endpoints.missed"]
	s.endpoint([]string{"a2", "desk", "here"})
	require.NoError(t, other.fetchFromStore(t.Context(), fleet.FetchRecords{Endpoints: true}))
	client := &http.Client{}
	wanted := fleet.FetchRecords{Peer: other.self, Endpoints: true, EndpointsRevision: other.recordState().EndpointsRevision}
	missed := func() int64 { return d.metrics.storeCalls.counts["endpoints.missed"] - before }
	d.fetch(t.Context(), client, wanted)
	require.Zero(t, missed(), "calls to the store")
	require.EqualValues(t, 1, other.metrics.servedFetches.Count())
	require.Equal(t, 2, s.countUsable("a2"))
	require.Equal(t, other.recordState().EndpointsRevision, d.recordState().EndpointsRevision)

	s.endpoint([]string{"a3", "desk", "here"})
	wanted.EndpointsRevision += 10 // more than the other one knows
	d.fetch(t.Context(), client, wanted)
	require.EqualValues(t, 1, missed())
	require.Equal(t, 1, s.countUsable("a3"))
	s.kill([]string{"f2"})
	s.endpoint([]string{"a4", "desk", "here"})
	d.fetch(t.Context(), client, wanted)
	require.EqualValues(t, 2, missed())
	require.Equal(t, 1, s.countUsable("a4"))
}

// While the store doesn't answer, only one kind of records probes it. The other one is read as
// soon as a probe was answered.
func TestOneCallProbesUnavailableStore(t *testing.T) {
	s, d := newReadyDeployment(t, 90)
	s.eventually(func() bool { return s.store.Counts()["WATCH config"] > 0 })
	s.setStoreFault([]string{"busy"})
	s.eventually(func() bool { return s.store.Counts()["WATCH servers"] > 1 })
	before := s.store.Counts()
	time.Sleep((1500 * clock.Millisecond).Duration())
	after := s.store.Counts()
	require.Greater(t, after["WATCH servers"], before["WATCH servers"])
	require.LessOrEqual(t, after["WATCH config"], before["WATCH config"]+2, "one was on its way, and one waited for a second")
	s.setStoreFault([]string{"fine"})
	s.publish(nil)
	s.waitVersion([]string{"4"})
	d.storeHealth.doubt()
	start := clock.Now()
	d.storeHealth.waitConfirmed(t.Context(), waitTimeout) // the next answer to a probe ends the doubt
	require.Less(t, clock.Now()-start, waitTimeout)
}

// An instance that takes over with stale records must read both kinds at once: the probe must
// not wait for a change, since the other kind of records waits for its answer.
func TestProbeInDoubtIsAnsweredAtOnce(t *testing.T) {
	s, d := newReadyDeployment(t, 88)
	s.eventually(func() bool { return s.store.Counts()["WATCH servers"] > 0 })
	d.watchGate.Set(false)
	// An instance that takes over isn't in the pause after an answer, and has no watch that the
	// change could answer. Records that were just read make the wait of a probe the longest.
	time.Sleep((watchPause + 100*clock.Millisecond).Duration())
	require.NoError(t, d.fetchFromStore(t.Context(), fleet.FetchRecords{Configuration: true, Endpoints: true}))
	s.publish(nil)
	before := s.store.Counts()
	d.storeHealth.doubt()
	start := clock.Now()
	d.watchGate.Set(true)
	s.eventually(func() bool { return s.store.Counts()["WATCH config"] > before["WATCH config"] })
	require.Less(t, clock.Now()-start, d.watchWait()/2)
	s.waitVersion([]string{"4"})
}

// When all instances of a data centre were killed, a part of them reads the store, and the others
// get their first records from these. An instance whose member doesn't answer reads the store.
func TestStartOfAllInstances(t *testing.T) {
	s := newDeployment(t, 89)
	s.route([]string{"desk", "desk"})
	s.publish(nil)
	s.endpoint([]string{"a1", "desk", "here"})
	const instances = 8
	for i := range instances {
		s.start([]string{fmt.Sprintf("f%d", i), "here"})
	}
	s.eventually(func() bool { return len(s.store.Names("instances")) == instances })
	lists := func() int64 { c := s.store.Counts(); return c["GET servers"] + c["GET config"] }
	addresses := map[string]netip.Addr{}
	for name, r := range s.daemons {
		addresses[name] = r.daemon.self.Address.Addr()
		s.kill([]string{name})
	}
	before := lists()
	dead := ""
	for name := range addresses {
		if dead == "" {
			dead = name
			continue
		}
		s.startAt(name, "here", addresses[name])
	}
	s.eventually(func() bool { return s.countUsable("a1") == instances-1 })
	require.LessOrEqual(t, lists()-before, int64(2*(2+3)), "two readers, and up to three whose member doesn't answer")
	s.open([]string{"c1", "desk"})
	s.request([]string{"c1", "desk"})
	s.check()
}

// Records are passed on with the revision that they reach. So the revision must never be ahead of
// the endpoints, at no moment at which another member may ask for them.
func TestRevisionIsNeverAheadOfEndpoints(t *testing.T) {
	s, d := newReadyDeployment(t, 87)
	s.kill([]string{"f1"}) // only this test hands events to the engines
	sender := fleet.Member{Name: "other", Centre: "here", Address: d.self.Address}
	state := d.recordState()
	first := state.EndpointsRevision
	d.handleFleet(fleet.MembersListed{Members: []fleet.Member{sender}})
	var done sync.WaitGroup
	var ended atomic.Bool
	done.Go(func() {
		for !ended.Load() {
			d.locked(func() {
				known := d.fleet.RecordState(clock.Now()).EndpointsRevision
				changes, complete := d.engine.ChangesSince(known - 1)
				if complete && known > first {
					assert.Len(t, changes, 1, "the change at revision %d", known)
				}
			})
		}
	})
	for range 2000 {
		m := fleet.EndpointChanges{Since: state.EndpointsRevision}
		state.EndpointsRevision++
		state.ChangeRevision = state.EndpointsRevision
		at := steering.AddrPort{Address: uint32(state.EndpointsRevision), Port: 80}
		p := steering.Endpoint{ID: fmt.Sprintf("i-%x", state.EndpointsRevision), Number: state.EndpointsRevision, Revision: state.EndpointsRevision, Service: "desk", Centre: "here", Slots: 2, Address: at}
		m.Changes, m.State = []steering.EndpointChange{{Endpoint: p}}, state
		d.handleFleet(fleet.MessageReceived{From: sender, Message: m})
	}
	ended.Store(true)
	done.Wait()
}

// An answer of the store shows its records at the time at which the store gave it, and may be on its way
// for as long as a call may take.
func TestAnswerThatIsLongOnItsWayConfirmsNothingLater(t *testing.T) {
	s, d := newReadyDeployment(t, 86)
	s.kill([]string{"f1"}) // only this test hands answers to the engines
	var answeredAt atomic.Int64
	var body atomic.Value
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		if !strings.Contains(body.Load().(string), "meta") {
			time.Sleep(clock.Millis(wait).Duration())
		}
		answeredAt.Store(int64(clock.Now()))
		time.Sleep((300 * clock.Millisecond).Duration())
		_, _ = io.WriteString(w, body.Load().(string))
	}))
	t.Cleanup(server.Close)
	d.store.Store(platform.NewStore(platform.NewClient(server.URL, storeTimeout)))
	endpoint := `{"meta":{"name":"i-a2","revision":1000},"spec":{"service":"desk","address":"127.86.0.99:80","zone":"here","capacity":2,"lifecycle":"ready"}}`
	configuration := `{"meta":{"name":"main","revision":1001},"spec":{"version":1000,"routes":[]}}`
	for _, c := range []struct {
		name, events string
		source       recordSource
		confirmedAt  func(steering.RecordsConfirmed) clock.Millis
	}{
		{"endpoints", `{"object":` + endpoint + `,"deleted":false}`, d.endpointSource(), func(v steering.RecordsConfirmed) clock.Millis { return v.EndpointsAt }},
		{"configuration", `{"object":` + configuration + `,"deleted":false}`, d.configurationSource(), func(v steering.RecordsConfirmed) clock.Millis { return v.ConfigurationAt }},
	} {
		for _, events := range []string{c.events, ""} {
			body.Store(fmt.Sprintf(`{"events":[%s],"current_rev":1001}`, events))
			require.NoError(t, c.source.watch(t.Context(), c.source.knownRevision(d.recordState()), 100))
			var confirmed clock.Millis
			d.locked(func() { confirmed = c.confirmedAt(d.fleet.Confirmation()) })
			require.LessOrEqual(t, confirmed, clock.Millis(answeredAt.Load()), "%s with events %q", c.name, events)
		}
	}
}
