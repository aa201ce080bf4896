package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"io"
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

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/standin"
	"github.com/tanagerdock/tanagerdock/steering"
)

// patience bounds waits for what is bound to happen.
const patience = clock.Minute

// siteCase is one script of testdata/site.yaml. Each step is a line; see the verbs.
type siteCase struct {
	Name  string   `yaml:"name"`
	Steps []string `yaml:"steps"`
}

// verbs are the steps of scripts.
var verbs = map[string]func(s *site, words []string){
	"route":    (*site).route,    // NAME SERVICE...: in the next configuration
	"unroute":  (*site).unroute,  // NAME
	"publish":  (*site).publish,  // writes the configuration
	"endpoint": (*site).endpoint, // ID SERVICE CENTRE
	"start":    (*site).start,    // NAME CENTRE
	"stop":     (*site).stop,     // NAME: SIGTERM
	"kill":     (*site).kill,     // NAME
	"rotation": (*site).rotation, // COUNT: until so many are in rotation
	"open":     (*site).open,     // FLOW ROUTE
	"refused":  (*site).refused,  // ROUTE: a flow to it doesn't open
	"ask":      (*site).ask,      // FLOW SERVICE [BYTES]: a request gets its whole answer
	"reset":    (*site).reset,    // FLOW: until it was reset
	"knock":    (*site).knock,    // ROUTE NAME: one opening packet, straight to an instance
	"knocked":  (*site).knocked,  // ID: until an opening packet reached it
	"cut":      (*site).cut,      // FLOW: a request ends with an instance's reset
	"drain":    (*site).drain,    // ID
	"mute":     (*site).mute,     // ID
	"crash":    (*site).crash,    // ID
	"remove":   (*site).remove,   // ID: its entry leaves the store
	"store":    (*site).fault,    // fine, or REFUSAL [NAME...]: turns all or some away
	"compact":  (*site).compact,  // the store forgets its history
	"version":  (*site).version,  // NUMBER: until it is in force everywhere
	"watchers": (*site).watchers, // COUNT: until so many instances watch the store
	"reported": (*site).reported, // CENTRE: until its watcher has reported to operators
	"listed":   (*site).listed,   // ID: until all instances may give it new flows
	"avoided":  (*site).avoided,  // ID: until no instance gives it new flows
}

func TestSites(t *testing.T) {
	var cases []siteCase
	script.Read(t, "testdata/site.yaml", &cases)
	require.NotEmpty(t, cases)
	for i, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, byte(i+1))
			for _, line := range c.Steps {
				words := strings.Fields(line)
				verb, known := verbs[words[0]]
				require.True(t, known, "step %q", line)
				s.line = line
				verb(s, words[1:])
			}
			s.check()
		})
	}
}

// site is a small deployment on loopback addresses of its own.
type site struct {
	t       *testing.T
	line    string
	net     byte // second byte of its addresses
	store   *standin.Metastore
	url     string
	routers *standin.FlowRouters
	caller  *standin.FlowConsumer

	hosts     byte
	published int64
	routes    map[string][]string
	addresses map[string]netip.AddrPort
	daemons   map[string]*running
	endpoints map[string]*standin.FlowEndpoint
	flows     map[string]*standin.ConsumerFlow
	asked     int
}

// running is a daemon that runs.
type running struct {
	daemon *Daemon
	log    *logBuffer
	cancel context.CancelFunc
	ended  chan error
	over   bool
}

// logBuffer keeps a log for the end of a test.
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

func newSite(t *testing.T, n byte) *site {
	s := &site{
		t: t, net: 100 + n, store: standin.NewMetastore(1), routers: standin.StartFlowRouters(),
		routes: map[string][]string{}, addresses: map[string]netip.AddrPort{}, daemons: map[string]*running{},
		endpoints: map[string]*standin.FlowEndpoint{}, flows: map[string]*standin.ConsumerFlow{},
	}
	server := httptest.NewServer(s.store)
	s.url = server.URL
	var err error
	s.caller, err = standin.StartFlowConsumer(s.host(), s.routers)
	require.NoError(t, err)
	t.Cleanup(func() {
		for _, r := range s.daemons {
			r.cancel()
			if !r.over {
				<-r.ended
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

// newDesk returns a site of one instance before one endpoint, once they are ready.
func newDesk(t *testing.T, n byte) (*site, *Daemon) {
	s := newSite(t, n)
	s.route([]string{"desk", "desk"})
	s.publish(nil)
	s.endpoint([]string{"a1", "desk", "here"})
	s.start([]string{"f1", "here"})
	s.rotation([]string{"1"})
	return s, s.daemons["f1"].daemon
}

// host returns an address that nobody has yet.
func (s *site) host() netip.Addr {
	s.hosts++
	return netip.AddrFrom4([4]byte{127, s.net, 0, s.hosts})
}

func (s *site) route(words []string) {
	s.routes[words[0]] = words[1:]
	if !s.addresses[words[0]].IsValid() {
		s.addresses[words[0]] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(len(s.addresses)+1))
	}
}

func (s *site) unroute(words []string) { delete(s.routes, words[0]) }

func (s *site) publish([]string) {
	s.published += 2
	var routes []standin.Route
	for name, services := range s.routes {
		routes = append(routes, standin.Route{Name: name, Address: s.addresses[name], Services: services})
	}
	s.store.PutConfiguration(s.published, routes)
}

func (s *site) endpoint(words []string) {
	number, err := strconv.ParseUint(words[0], 16, 64)
	require.NoError(s.t, err)
	e, err := standin.StartFlowEndpoint(standin.FlowEndpointSettings{
		Number: number, Service: words[1], Centre: words[2], Slots: 2, RunTime: 5,
		Address: netip.AddrPortFrom(s.host(), 8080).String(),
	})
	require.NoError(s.t, err)
	s.endpoints[words[0]] = e
	s.store.RegisterEndpoint(e)
}

func (s *site) start(words []string) {
	at := s.host()
	port := func(p uint16) netip.AddrPort { return netip.AddrPortFrom(at, p) }
	log := &logBuffer{}
	d, err := Open(Options{Log: log, Settings: platform.Settings{
		Instance: words[0], Centre: words[1], PacketAddress: port(standin.PacketPort), ReadyAddress: port(standin.ReadyPort),
		InternalPorts: []uint16{7720, 7735}, StoreURL: s.url, GracePeriod: 6000, DrainBound: 3000, ApplyBound: 3000,
	}})
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{daemon: d, log: log, cancel: cancel, ended: make(chan error, 1)}
	go func() { r.ended <- d.Run(ctx) }()
	s.daemons[words[0]] = r
	s.routers.AddInstance(port(standin.PacketPort), port(standin.ReadyPort).String())
}

func (s *site) stop(words []string) {
	r := s.daemons[words[0]]
	r.daemon.Stop()
	require.NoError(s.t, <-r.ended)
	r.over = true
	s.routers.RemoveInstance(r.daemon.settings.Load().PacketAddress)
}

func (s *site) kill(words []string) {
	r := s.daemons[words[0]]
	r.cancel()
	require.NoError(s.t, <-r.ended)
	r.over = true
}

// eventually waits until a condition holds.
func (s *site) eventually(holds func() bool) {
	s.t.Helper()
	require.Eventually(s.t, holds, patience.Duration(), (5 * clock.Millisecond).Duration(), "step %q", s.line)
}

func (s *site) count(words []string) int {
	n, err := strconv.Atoi(words[0])
	require.NoError(s.t, err)
	return n
}

func (s *site) rotation(words []string) {
	want := s.count(words)
	s.eventually(func() bool { return s.routers.CountInRotation() == want })
}

func (s *site) open(words []string) {
	f, err := s.caller.OpenFlow(s.addresses[words[1]])
	require.NoError(s.t, err, "step %q", s.line)
	s.flows[words[0]] = f
}

func (s *site) refused(words []string) {
	at := s.addresses[words[0]]
	if !at.IsValid() {
		at = netip.MustParseAddrPort("198.18.0.9:9")
	}
	_, err := s.caller.OpenFlow(at)
	require.ErrorIs(s.t, err, standin.ErrFlowNotOpened)
}

func (s *site) ask(words []string) {
	size := 10
	if len(words) > 2 {
		size = s.count(words[2:])
	}
	s.asked++
	id := fmt.Sprintf("%s-%d", words[0], s.asked)
	err := s.flows[words[0]].Request(id, bytes.Repeat([]byte("x"), size), patience, words[1])
	require.NoError(s.t, err, "step %q", s.line)
}

func (s *site) reset(words []string) {
	f := s.flows[words[0]]
	s.eventually(f.Ended)
}

func (s *site) knock(words []string) {
	require.NoError(s.t, s.caller.SendOpening(s.addresses[words[0]], s.daemons[words[1]].daemon.settings.Load().PacketAddress))
}

func (s *site) knocked(words []string) {
	e := s.endpoints[words[0]]
	s.eventually(func() bool { return e.FlowCount() > 0 })
}

func (s *site) cut(words []string) {
	f := s.flows[words[0]]
	err := f.Request(words[0]+"-cut", nil, patience, "none")
	require.ErrorIs(s.t, err, standin.ErrFlowReset, "step %q", s.line)
	require.Equal(s.t, "instance", f.ResetBy)
}

func (s *site) drain(words []string) {
	e := s.endpoints[words[0]]
	e.Drain()
	s.store.RegisterEndpoint(e)
}

func (s *site) mute(words []string)  { s.endpoints[words[0]].SetSilent(true) }
func (s *site) crash(words []string) { s.endpoints[words[0]].Close() }

func (s *site) remove(words []string) { s.store.UnregisterEndpoint(s.endpoints[words[0]]) }

func (s *site) fault(words []string) {
	f := standin.MetastoreFaults{}
	if words[0] != "fine" {
		f = standin.MetastoreFaults{RefuseMode: words[0], RefusedCallers: words[1:]}
	}
	require.NoError(s.t, s.store.SetFaults(f))
}

func (s *site) compact([]string) { s.store.Compact() }

func (s *site) version(words []string) {
	want := int64(s.count(words))
	s.eventually(func() bool {
		for _, r := range s.daemons {
			if !r.over && r.daemon.configurationVersion() != want {
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

func (s *site) watchers(words []string) {
	want := s.count(words)
	s.eventually(func() bool {
		n := 0
		for _, r := range s.daemons {
			r.daemon.mu.Lock()
			if !r.over && r.daemon.fleet.Watching() {
				n++
			}
			r.daemon.mu.Unlock()
		}
		return n == want
	})
}

func (s *site) reported(words []string) {
	s.eventually(func() bool { return slices.Contains(s.store.Names("reports"), words[0]) })
}

func (s *site) avoided(words []string) {
	s.eventually(func() bool { return s.usableAt(words[0]) == 0 })
}

func (s *site) listed(words []string) {
	live := 0
	for _, r := range s.daemons {
		if !r.over {
			live++
		}
	}
	s.eventually(func() bool { return s.usableAt(words[0]) == live })
}

// usableAt counts the instances that may give an endpoint new flows.
func (s *site) usableAt(name string) int {
	id, n := s.endpoints[name].ID(), 0
	for _, r := range s.daemons {
		r.daemon.mu.Lock()
		usable := slices.ContainsFunc(r.daemon.engine.Endpoints(), func(p steering.Endpoint) bool { return p.ID == id && !p.Draining })
		r.daemon.mu.Unlock()
		if usable && !r.over {
			n++
		}
	}
	return n
}

// check reports what ends of flows got that they should not have.
func (s *site) check() {
	require.Empty(s.t, s.caller.ProtocolErrors())
	for _, e := range s.endpoints {
		require.Empty(s.t, e.ProtocolErrors())
		for id, n := range e.RunCounts() {
			require.Equal(s.t, 1, n, "request %s", id)
		}
	}
}

// Packets that come before the first records wait for them, up to a bound.
func TestHeldPackets(t *testing.T) {
	var h held
	require.True(t, h.hold(1000, []byte("old")))
	data := []byte("new")
	for range heldPackets - 1 {
		require.True(t, h.hold(1000+heldTime, data))
	}
	require.False(t, h.hold(1000+heldTime, data), "the bound")
	data[0] = 'x'
	packets := h.release(1001+heldTime, false)
	require.Len(t, packets, heldPackets-1)
	require.Equal(t, "new", string(packets[0].data))
	require.True(t, h.hold(packets[0].at, packets[0].data), "some records are there, but not the one for this")
	require.Empty(t, h.release(1001+2*heldTime, true), "it has waited since it came")
	require.False(t, h.hold(1001+heldTime, data), "all records are there")
	require.Empty(t, h.release(1001+heldTime, true))
}

// An instance that missed news asks the store for what changed since, not for
// everything, unless the store's history is gone.
func TestFetchReadsWhatChanged(t *testing.T) {
	s, d := newDesk(t, 97)
	before := s.store.ListCalls()
	s.endpoint([]string{"a2", "desk", "here"})
	wanted := fleet.FetchRecords{Configuration: true, Endpoints: true}
	require.NoError(t, d.fetchStore(t.Context(), wanted))
	require.Equal(t, 1, s.usableAt("a2"))
	require.Equal(t, before, s.store.ListCalls(), "lists")
	s.endpoint([]string{"a3", "desk", "here"})
	s.store.Compact()
	require.NoError(t, d.fetchStore(t.Context(), wanted))
	require.Equal(t, 1, s.usableAt("a3"))
}

// An instance that leaves still reads what it missed from the store, not all records
// from a member.
func TestLeavingInstanceFetchesFromStore(t *testing.T) {
	s, d := newDesk(t, 96)
	d.halting.Store(true)
	d.fetches <- fleet.FetchRecords{Endpoints: true}
	s.eventually(func() bool { return strings.Contains(s.daemons["f1"].log.String(), `"records fetched"`) })
	require.Contains(t, s.daemons["f1"].log.String(), `"source":"store"`)
}

// A log that nobody reads holds no packet up, and what it drops is counted.
func TestUnreadLogBlocksNobody(t *testing.T) {
	stuck := make(chan struct{})
	j := newJournal(writerFunc(func(data []byte) (int, error) {
		<-stuck
		return len(data), nil
	}))
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { j.run(ctx) })
	for range 10 * journalBuffer / 100 {
		j.say("kind", "attribute", strings.Repeat("x", 100))
	}
	require.Positive(t, j.lost.Load())
	close(stuck)
	cancel()
	done.Wait()
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(data []byte) (int, error) { return f(data) }

// Lines of one kind are bounded, lines of others and those that always matter
// aren't held up by them.
func TestLogIsBoundedByKind(t *testing.T) {
	var out logBuffer
	j := newJournal(&out)
	j.second = clock.Now() + clock.Hour // this second lasts
	for range 10 * journalRate {
		j.limited("often")
	}
	j.limited("seldom")
	j.say("always")
	j.flush()
	require.Equal(t, journalRate, strings.Count(out.String(), `"often"`))
	require.Contains(t, out.String(), `"seldom"`)
	require.Contains(t, out.String(), `"always"`)
	require.Contains(t, out.String(), `"lines dropped","count":`+strconv.Itoa(9*journalRate))
}

// Steering a packet of an open flow allocates nothing.
func TestSteeringAllocatesNothing(t *testing.T) {
	s, d := newDesk(t, 99)
	p := steeringPacket(s.addresses["desk"])
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

func steeringPacket(route netip.AddrPort) (p steering.Packet) {
	p = steering.Packet{Consumer: steering.AddrPort{Address: 1, Port: 1}, Flags: steering.Acknowledge, Token: 0xa1, Ack: 9}
	p.Destination, _ = steering.AddrPortFromNetip(route)
	return p
}

// A settings file that changes is put in force; one that can't be used is told and
// leaves the last good settings as they are.
func TestReload(t *testing.T) {
	s := newSite(t, 98)
	file := filepath.Join(t.TempDir(), "node.toml")
	write := func(store string) {
		settings := standin.InstanceSettings{Name: "f1", Centre: "here", Address: s.host(), StoreAddress: store, GracePeriod: 6000, DrainAndApplyBound: 3000}
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
	require.Equal(t, first.PacketAddress, d.settings.Load().PacketAddress, "addresses stay")
	writeWithout("internal_ports")
	d.readSettings("test")
	require.Equal(t, first.InternalPorts, d.settings.Load().InternalPorts, "ports stay")
	d.askSeeds()
	write("nowhere")
	d.readSettings("test")
	require.Equal(t, "http://127.0.0.1:2", d.settings.Load().StoreURL)
	d.journal.flush()
	require.Contains(t, log.String(), `"settings kept"`)
	require.Contains(t, log.String(), `platform.address`)
}
