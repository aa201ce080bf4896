package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Settings are what a run is told.
type Settings struct {
	Program   string // tanagerdock-forwarder
	Seed      uint64
	Centres   int
	Instances int // in each data centre
	Endpoints int // in each data centre, of each service
	Users     int // in each data centre
	Span      clock.Millis
	Folder    string // for settings and logs
	Timed     bool   // also check bounds of time, which a busy machine breaks
}

// extraRoute comes and goes.
const extraRoute = "extra"

// services are those of every run; the route of each is named after it.
var services = []string{"desk", "gallery"}

// mostSeeds is how many seeds the platform's settings name.
const mostSeeds = 3

// world is one deployment on loopback.
type world struct {
	settings Settings
	random   *rand.Rand
	store    *standin.Metastore
	server   *httptest.Server
	routers  []*standin.FlowRouters // by data centre
	callers  []*standin.FlowConsumer
	all      []*instance
	ledger   *ledger

	mu        sync.Mutex
	endpoints []*endpoint
	number    uint64
	version   int64
	extra     bool // the route that comes and goes is there
	hosts     int
}

// endpoint is an endpoint and what was done to it.
type endpoint struct {
	*standin.FlowEndpoint
	centre, service string
	number          uint64
	draining, ended bool
	until           clock.Millis // end of what was last done to it
	drained         clock.Millis // when its draining was written
}

// route returns the address of a route.
func route(name string) netip.AddrPort {
	port := map[string]uint16{"desk": 443, "gallery": 80, extraRoute: 8443}[name]
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), port)
}

func newWorld(s Settings) (*world, error) {
	w := &world{
		settings: s, random: rand.New(rand.NewPCG(s.Seed, 1)), store: standin.NewMetastore(s.Seed),
		ledger: newLedger(s.Timed),
	}
	w.server = httptest.NewServer(w.store)
	w.publish()
	for c := range s.Centres {
		if err := w.build(c); err != nil {
			w.close()
			return nil, err
		}
	}
	var seeds []netip.Addr
	for _, i := range w.all[:min(len(w.all), mostSeeds)] {
		seeds = append(seeds, i.address)
	}
	for _, i := range w.all {
		if err := i.writeSettings(seeds); err != nil {
			w.close()
			return nil, err
		}
		if err := i.start(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

// build makes one data centre.
func (w *world) build(c int) error {
	centre := fmt.Sprintf("centre-%c", 'a'+c)
	r := standin.StartFlowRouters()
	w.routers = append(w.routers, r)
	for n := range w.settings.Instances {
		p, err := startProxy(strings.TrimPrefix(w.server.URL, "http://"))
		if err != nil {
			return err
		}
		i := &instance{
			name: fmt.Sprintf("%s-%d", centre, n+1), centre: centre, address: w.host(), proxy: p,
			folder: w.settings.Folder, program: w.settings.Program,
		}
		w.all = append(w.all, i)
		r.AddInstance(i.at(standin.PacketPort), i.at(standin.ReadyPort).String())
	}
	for _, service := range services {
		for range w.settings.Endpoints {
			if _, err := w.addEndpoint(centre, service); err != nil {
				return err
			}
		}
	}
	caller, err := standin.StartFlowConsumer(w.host(), r)
	if err != nil {
		return err
	}
	w.callers = append(w.callers, caller)
	return nil
}

// host returns a loopback address that nobody has yet. Addresses of other seeds'
// runs differ, so that late packets of theirs reach nobody.
func (w *world) host() netip.Addr {
	w.hosts++
	return netip.AddrFrom4([4]byte{127, byte(30 + w.settings.Seed%200), byte(w.hosts / 250), byte(w.hosts%250 + 1)})
}

func (w *world) addEndpoint(centre, service string) (*endpoint, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	n := w.settings.Seed<<16&0xffff0000 | w.number
	f, err := standin.StartFlowEndpoint(standin.FlowEndpointSettings{
		Number: n, Service: service, Centre: centre, Slots: 2, RunTime: 5, Address: netip.AddrPortFrom(w.host(), 8080).String(),
	})
	if err != nil {
		return nil, err
	}
	e := &endpoint{FlowEndpoint: f, centre: centre, service: service, number: n}
	w.endpoints = append(w.endpoints, e)
	w.store.RegisterEndpoint(f)
	return e, nil
}

// publish writes the configuration. It needs the lock once the world is built.
func (w *world) publish() {
	w.version += 1 + int64(w.random.IntN(3))
	var routes []standin.Route
	for _, service := range services {
		routes = append(routes, standin.Route{Name: service, Address: route(service), Services: []string{service}})
	}
	if w.extra {
		routes = append(routes, standin.Route{Name: extraRoute, Address: route(extraRoute), Services: services[:1], Once: true})
	}
	w.store.PutConfiguration(w.version, routes)
	w.ledger.published(w.extra)
}

// endpointOf returns the endpoint of a number.
func (w *world) endpointOf(number uint64) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		if e.number == number {
			return e
		}
	}
	return nil
}

// pick returns an endpoint that nothing was done to, and that its service can
// spare: at least two others of the data centre are well. It may return nil.
func (w *world) pick() *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	start := w.random.IntN(len(w.endpoints))
	for n := range w.endpoints {
		e := w.endpoints[(start+n)%len(w.endpoints)]
		well := 0
		for _, o := range w.endpoints {
			if o != e && o.service == e.service && o.centre == e.centre && !o.harmedNow() {
				well++
			}
		}
		if !e.harmedNow() && well >= 2 {
			return e
		}
	}
	return nil
}

// harmedNow reports whether something is being done to an endpoint.
func (e *endpoint) harmedNow() bool {
	return e.draining || e.ended || clock.Now() < e.until
}

// close ends everything that the world started.
func (w *world) close() {
	for _, i := range w.all {
		i.kill()
		i.proxy.close()
	}
	for _, c := range w.callers {
		c.Close()
	}
	for _, e := range w.endpoints {
		e.Close()
	}
	for _, r := range w.routers {
		r.Close()
	}
	w.server.CloseClientConnections()
	w.server.Close()
}

// Folder makes a folder for one run below another, or a temporary one.
func Folder(base string, seed uint64) (string, error) {
	if base == "" {
		folder, err := os.MkdirTemp("", "soak-")
		return folder, errors.WithStack(err)
	}
	folder := fmt.Sprintf("%s/seed-%d", base, seed)
	return folder, errors.WithStack(os.MkdirAll(folder, 0o700))
}
