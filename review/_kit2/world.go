package main

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Figures of the deployment pz-balance.
const (
	recordBound   = 3 * clock.Second  // drain_ms and config_apply_ms
	gracePeriod   = 6 * clock.Second  // grace_s
	stableTime    = 4 * clock.Second  // stable_ms
	recoveryTime  = 12 * clock.Second // recovery_s
	reportPeriod  = 1200 * clock.Millisecond
	endpointSlots = 2
)

// The services and routes of the deployment.
const (
	orderDesk    = "order-desk"
	charmGallery = "charm-gallery"

	approvalWatch = "approval-watch"
	scanSubmit    = "scan-submit"
	previewFetch  = "preview-fetch"
)

// requestKind is a kind of requests, which has a route of its own.
type requestKind struct {
	service  string
	port     uint16
	unsafe   bool
	perFlow  int // requests that a user sends on a flow
	deadline clock.Millis
}

var requestKinds = map[string]requestKind{
	approvalWatch: {service: orderDesk, port: 443, perFlow: 12, deadline: 1500},
	scanSubmit:    {service: orderDesk, port: 8443, unsafe: true, perFlow: 12, deadline: 2000},
	previewFetch:  {service: charmGallery, port: 80, perFlow: 1, deadline: 8000},
}

func (k *requestKind) route() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), k.port)
}

// zones lists the zones with their forwarders and endpoints.
var zones = []struct {
	name                                 string
	forwarders, orderDesks, charmGallery int
}{
	{"riga-a", 3, 5, 2},
	{"riga-b", 3, 5, 1},
	{"riga-c", 2, 4, 1},
}

// world is the deployment: store, forwarders, endpoints, routers and consumers.
type world struct {
	record     *record
	folder     string
	network    byte // second byte of all addresses
	store      *standin.Metastore
	server     *httptest.Server
	routers    map[string]*standin.FlowRouters
	consumers  map[string]*standin.FlowConsumer
	forwarders []*forwarder
	endpoints  []*endpoint
	done       chan struct{}
	users      sync.WaitGroup

	mu       sync.Mutex
	requests int
	answered int
	sent     map[string]int // requests by kind
	failures map[string]int
	flows    []*flowRecord
}

// endpoint is an endpoint that reports to the store.
type endpoint struct {
	*standin.FlowEndpoint
	zone, service string
	number        uint64
	tap           *tap // at the address in the entry

	mu         sync.Mutex
	reportedAt time.Time
	foreign    bool // another writer has replaced the entry since the last report
	reported   chan struct{}
}

// flowRecord is what a consumer saw of a flow.
type flowRecord struct {
	kind     string
	openedAt time.Time // when its first opening packet was sent
	endpoint uint64
	resetAt  time.Time // zero if no instance reset it
}

// forwarder is a process of the deploy file's role.
type forwarder struct {
	name, zone string
	address    netip.Addr
	settings   string
	log        string
	link       *storeLink

	mu        sync.Mutex
	command   *exec.Cmd
	expected  bool // its end was asked for
	exited    chan struct{}
	surprises []string
}

func newWorld(r *record) (w *world, err error) {
	w = &world{
		record: r, store: standin.NewMetastore(1), routers: map[string]*standin.FlowRouters{}, consumers: map[string]*standin.FlowConsumer{},
		network: byte(20 + rand.IntN(200)), done: make(chan struct{}), sent: map[string]int{}, failures: map[string]int{},
	}
	if w.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return w, errors.WithStack(err)
	}
	w.server = httptest.NewServer(w.store)
	w.publish(2)
	var seeds []netip.Addr
	for z, zone := range zones {
		w.routers[zone.name] = standin.StartFlowRouters()
		for n := range zone.forwarders {
			f := &forwarder{name: fmt.Sprintf("edge-%s-%d", zone.name, n+1), zone: zone.name, address: w.address(z, 0, n)}
			w.forwarders = append(w.forwarders, f)
			w.routers[zone.name].AddInstance(netip.AddrPortFrom(f.address, standin.PacketPort), netip.AddrPortFrom(f.address, standin.ReadyPort).String())
		}
		seeds = append(seeds, w.address(z, 0, 0))
		for n := range zone.orderDesks {
			if err := w.addEndpoint(z, n, orderDesk, 13); err != nil {
				return w, err
			}
		}
		for n := range zone.charmGallery {
			if err := w.addEndpoint(z, 50+n, charmGallery, 4); err != nil {
				return w, err
			}
		}
		if w.consumers[zone.name], err = standin.StartFlowConsumer(w.address(z, 2, 0), w.routers[zone.name]); err != nil {
			return w, err
		}
	}
	for _, f := range w.forwarders {
		if f.link, err = startStoreLink(strings.TrimPrefix(w.server.URL, "http://")); err != nil {
			return w, errors.WithStack(err)
		}
		settings := standin.InstanceSettings{
			Name: f.name, Centre: f.zone, Address: f.address, StoreAddress: f.link.listener.Addr().String(), Seeds: seeds,
			GracePeriod: gracePeriod, DrainAndApplyBound: recordBound, ReportPeriod: reportPeriod,
		}
		f.settings, f.log = filepath.Join(w.folder, f.name+".toml"), filepath.Join(w.folder, f.name+".log")
		if err := os.WriteFile(f.settings, []byte(settings.TOML()), 0o600); err != nil {
			return w, errors.WithStack(err)
		}
		if err := f.start(); err != nil {
			return w, err
		}
	}
	return w, nil
}

// address returns a loopback address: group 0 has the forwarders of a zone, 1 its endpoints
// as the store knows them, 2 its consumers, and 3 the endpoints themselves.
func (w *world) address(zone, group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, byte(zone*10 + group), byte(n + 1)})
}

// publish writes the manifest.
func (w *world) publish(version int64) {
	var routes []standin.Route
	for name, k := range requestKinds {
		routes = append(routes, standin.Route{Name: name, Address: k.route(), Services: []string{k.service}, Once: k.unsafe})
	}
	w.store.PutConfiguration(version, routes)
}

func (w *world) addEndpoint(zone, n int, service string, runTime clock.Millis) error {
	number := uint64(zone+1)<<28 | uint64(w.network)<<16 | uint64(n+1)
	address := netip.AddrPortFrom(w.address(zone, 1, n), 8080)
	behind := netip.AddrPortFrom(w.address(zone, 3, n), 8080)
	f, err := standin.StartFlowEndpoint(standin.FlowEndpointSettings{
		Number: number, Service: service, Centre: zones[zone].name, Slots: endpointSlots, RunTime: runTime, Address: behind.String(),
	})
	if err != nil {
		return err
	}
	t, err := startTap(address, behind)
	if err != nil {
		f.Close()
		return errors.WithStack(err)
	}
	e := &endpoint{FlowEndpoint: f, tap: t, zone: zones[zone].name, service: service, number: number, foreign: true, reported: make(chan struct{}, 1)}
	w.endpoints = append(w.endpoints, e)
	e.report(w.store)
	go func() {
		time.Sleep(rand.N(reportPeriod.Duration()))
		for {
			select {
			case <-w.done:
				return
			case <-time.After(reportPeriod.Duration()):
				e.report(w.store)
			}
		}
	}()
	return nil
}

// report writes the entry of the endpoint. A report that changes nothing but the count leaves
// the entry as it is, as the platform's pages say.
func (e *endpoint) report(store *standin.Metastore) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.foreign {
		store.Put("servers", e.ID(), e.entry())
		e.foreign = false
	}
	e.reportedAt = time.Now()
	select {
	case e.reported <- struct{}{}:
	default:
	}
}

// entry returns what the endpoint reports of itself.
func (e *endpoint) entry() map[string]any {
	m := e.Registration()
	m["address"] = e.tap.packets.LocalAddr().String()
	return m
}

// overwrite replaces the entry of the endpoint, as another writer does. The next report of the
// endpoint writes its own again.
func (e *endpoint) overwrite(store *standin.Metastore, entry map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	store.Put("servers", e.ID(), entry)
	e.foreign = true
}

// drain reports the endpoint as draining.
func (e *endpoint) drain(store *standin.Metastore) {
	e.Drain()
	e.mu.Lock()
	e.foreign = true
	e.mu.Unlock()
	e.report(store)
}

// start starts the process with the command of the deploy file.
func (f *forwarder) start() error {
	d, err := platform.ReadDeployment("deploy/system.toml")
	if err != nil {
		return err
	}
	words := strings.Fields(d.Roles["forwarder"].Command)
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	defer log.Close()
	c := exec.Command(words[0], words[1:]...)
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+f.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %s", f.name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.command, f.expected, f.exited = c, false, make(chan struct{})
	go func(exited chan struct{}) {
		err := c.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.expected {
			f.surprises = append(f.surprises, fmt.Sprintf("%s ended by itself: %v", f.name, err))
		}
		close(exited)
	}(f.exited)
	return nil
}

func (f *forwarder) signal(s syscall.Signal, ends bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.command == nil {
		return
	}
	f.expected = f.expected || ends
	_ = f.command.Process.Signal(s)
}

// waitReady waits until all forwarders are in rotation.
func (w *world) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, r := range w.routers {
			n += r.CountInRotation()
		}
		if n == len(w.forwarders) {
			return true
		}
	}
	return false
}

// startUsers starts users of a kind in a zone. Each sends requests one after the other.
func (w *world) startUsers(zone, kind string, count int, pause time.Duration) {
	for n := range count {
		w.users.Go(func() {
			for flow := 0; !w.stopped(); flow++ {
				w.useFlow(zone, kind, fmt.Sprintf("%s-%s-%d-%d", kind, zone, n, flow), pause)
			}
		})
	}
}

func (w *world) stopped() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// useFlow opens a flow and sends requests on it. Their ids begin with the given one.
func (w *world) useFlow(zone, kind, id string, pause time.Duration) {
	k := requestKinds[kind]
	r := &flowRecord{kind: kind, openedAt: time.Now()}
	f, err := w.consumers[zone].OpenFlow(k.route())
	if err != nil {
		w.count(kind, err)
		time.Sleep(pause)
		return
	}
	r.endpoint = f.EndpointNumber()
	w.mu.Lock()
	w.flows = append(w.flows, r)
	w.mu.Unlock()
	for n := range k.perFlow {
		requestID := fmt.Sprintf("%s-%d", id, n)
		err := f.Request(requestID, []byte(strings.Repeat("x", 200)), k.deadline, k.service)
		w.count(kind, err)
		if err != nil {
			w.record.line("request %s, endpoint %x: %v", requestID, r.endpoint, err)
		}
		if f.ResetBy == "instance" {
			w.mu.Lock()
			r.resetAt = time.Now()
			w.mu.Unlock()
		}
		if err != nil || f.Ended() || w.stopped() {
			break
		}
		time.Sleep(pause)
	}
	if !f.Ended() {
		f.Finish()
	}
}

func (w *world) count(kind string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	w.sent[kind]++
	if err == nil {
		w.answered++
		return
	}
	w.failures[errors.Cause(err).Error()]++
}

// kindOf returns the kind of the request with an id.
func kindOf(id string) string {
	for kind := range requestKinds {
		if strings.HasPrefix(id, kind) {
			return kind
		}
	}
	return ""
}

// endpointByNumber returns the endpoint with a number, or nil.
func (w *world) endpointByNumber(number uint64) *endpoint {
	for _, e := range w.endpoints {
		if e.number == number {
			return e
		}
	}
	return nil
}

// pick returns the first endpoint of a service in a zone.
func (w *world) pick(zone, service string) *endpoint {
	for _, e := range w.endpoints {
		if e.zone == zone && e.service == service {
			return e
		}
	}
	return nil
}

// close ends the users and every process that was started.
func (w *world) close() {
	select {
	case <-w.done:
	default:
		close(w.done)
	}
	w.users.Wait()
	w.killForwarders()
	for _, e := range w.endpoints {
		e.Close()
		e.tap.close()
	}
	for _, c := range w.consumers {
		if c != nil {
			c.Close()
		}
	}
	for _, r := range w.routers {
		r.Close()
	}
	for _, f := range w.forwarders {
		if f.link != nil {
			_ = f.link.Close()
		}
	}
	if w.server != nil {
		w.server.CloseClientConnections()
		w.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// killForwarders ends all processes that were started.
func (w *world) killForwarders() {
	for _, f := range w.forwarders {
		f.signal(syscall.SIGCONT, false)
		f.signal(syscall.SIGKILL, true)
		f.mu.Lock()
		exited := f.exited
		f.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
}

// summary writes what was sent, answered and run.
func (w *world) summary() {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := map[string]int{}
	for _, e := range w.endpoints {
		own := map[string]int{}
		for id, n := range e.RunCounts() {
			runs[id] += n
			own[kindOf(id)] += n
		}
		w.record.line("runs at %s of %s in %s: %v", e.ID(), e.service, e.zone, own)
	}
	total, twice := 0, 0
	for _, n := range runs {
		total += n
		if n > 1 {
			twice++
		}
	}
	w.record.line("requests sent %d %v, answered %d, runs %d, requests run twice %d, failures %v", w.requests, w.sent, w.answered, total, twice, w.failures)
	for _, f := range w.forwarders {
		f.mu.Lock()
		for _, s := range f.surprises {
			w.record.line("%s", s)
		}
		f.mu.Unlock()
	}
}
