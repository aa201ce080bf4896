package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Settings are the parameters of a run.
type Settings struct {
	Program      string       // executable file of tanagerdock-forwarder
	Seed         uint64       // selects the series of faults and requests
	Centres      int          // data centres
	Instances    int          // in each data centre
	Endpoints    int          // in each data centre, of each service
	Users        int          // in each data centre
	Duration     clock.Millis // time during which faults are injected
	Disturbed    clock.Millis // time after that, during which endpoints and instances are disturbed
	Folder       string       // for settings and logs
	CheckTimings bool         // also check time bounds, which a busy machine may exceed
	FaultKinds   int          // number of kinds of faults to choose from, the first ones of faults; 0 for all
}

// extraRoute is the name of a route that a fault adds and removes. It leads to the first
// service.
const extraRoute = "extra"

// services are the services of every run. Each has a route of the same name.
var services = []string{"desk", "gallery"}

// runTime is the run time of requests at an endpoint, in ms.
const runTime = 5 * clock.Millisecond

// A cold endpoint gets at most coldLimit new flows in any second: its rate times the excess, plus
// the slack, rounded down.
const (
	warmupTime   = 4 * clock.Second
	warmupRate   = 1.0
	warmupExcess = 1.5
	warmupSlack  = 1.0
	coldLimit    = 2
)

// reportPeriod is the time between two reports of an endpoint that instances are told, in ms.
const reportPeriod = 1 * clock.Second

// maxSeedInstances is the number of instances that each settings file lists as seeds, which
// an instance contacts to join. They have nothing to do with the seed of a run.
const maxSeedInstances = 3

// deployment is a deployment on loopback: data centres with routers, instances, endpoints
// and a consumer each, and a store for all of them.
type deployment struct {
	settings  Settings
	random    *rand.Rand
	store     *standin.Metastore
	server    *httptest.Server
	routers   []*standin.FlowRouters  // by data centre
	consumers []*standin.FlowConsumer // by data centre
	instances []*instance
	checker   *checker

	mu                   sync.Mutex
	endpoints            []*endpoint
	lastEndpointNumber   uint64 // the last one given to an endpoint
	configurationVersion int64
	hasExtraRoute        bool // whether the published configuration contains extraRoute
	addressCount         int  // loopback addresses handed out by nextAddress
	burstCount           int  // bursts of users so far
}

// endpoint is an endpoint and the faults that affect it.
type endpoint struct {
	*standin.FlowEndpoint
	centre, service  string
	number           uint64
	draining, closed bool
	disruptedUntil   clock.Millis // end of the last temporary fault and the recovery from it
	drainPublishedAt clock.Millis // when its entry in the store first said so; 0 if it isn't draining
	answersShort     atomic.Bool
	coldUntil        clock.Millis // 0 if it was warm from its start on
	coldOpenings     []opening    // new flows until then; guarded by the checker's lock
}

// routeAddress returns the address and port to which consumers open flows of a route.
func routeAddress(name string) netip.AddrPort {
	port := map[string]uint16{"desk": 443, "gallery": 80, extraRoute: 8443}[name]
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), port)
}

func newDeployment(s Settings) (*deployment, error) {
	d := &deployment{
		settings: s, random: rand.New(rand.NewPCG(s.Seed, 1)), store: standin.NewMetastore(s.Seed),
		checker: newChecker(s.CheckTimings),
	}
	d.server = httptest.NewServer(d.store)
	d.publishConfiguration()
	for c := range s.Centres {
		if err := d.buildCentre(c); err != nil {
			d.close()
			return nil, err
		}
	}
	var seedAddresses []netip.Addr
	for _, i := range d.instances[:min(len(d.instances), maxSeedInstances)] {
		seedAddresses = append(seedAddresses, i.address)
	}
	for _, i := range d.instances {
		if err := i.writeSettings(seedAddresses); err != nil {
			d.close()
			return nil, err
		}
		if err := i.start(); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func centreName(c int) string { return fmt.Sprintf("centre-%c", 'a'+c) }

// buildCentre adds a data centre. Its instances aren't started yet.
func (d *deployment) buildCentre(c int) error {
	centre := centreName(c)
	r := standin.StartFlowRouters()
	d.routers = append(d.routers, r)
	for n := range d.settings.Instances {
		p, err := startProxy(strings.TrimPrefix(d.server.URL, "http://"))
		if err != nil {
			return err
		}
		i := &instance{
			name: fmt.Sprintf("%s-%d", centre, n+1), centre: centre, address: d.nextAddress(), proxy: p,
			folder: d.settings.Folder, program: d.settings.Program,
		}
		d.instances = append(d.instances, i)
		r.AddInstance(i.addrPort(standin.PacketPort), i.addrPort(standin.ReadyPort).String())
	}
	for _, service := range services {
		for range d.settings.Endpoints {
			if _, err := d.addEndpoint(centre, service, 0); err != nil {
				return err
			}
		}
	}
	consumer, err := standin.StartFlowConsumer(d.nextAddress(), r)
	if err != nil {
		return err
	}
	d.consumers = append(d.consumers, consumer)
	return nil
}

// nextAddress returns an unused loopback address. It depends on the seed, so that late
// packets of the previous seed's run don't reach this one.
func (d *deployment) nextAddress() netip.Addr {
	d.addressCount++
	return netip.AddrFrom4([4]byte{127, byte(30 + d.settings.Seed%200), byte(d.addressCount / 250), byte(d.addressCount%250 + 1)})
}

// addEndpoint starts an endpoint that is cold for the time warmup.
func (d *deployment) addEndpoint(centre, service string, warmup clock.Millis) (*endpoint, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastEndpointNumber++
	n := d.settings.Seed<<16&0xffff0000 | d.lastEndpointNumber
	f, err := standin.StartFlowEndpoint(standin.FlowEndpointSettings{
		Number: n, Service: service, Centre: centre, Slots: 2, RunTime: runTime, Warmup: warmup, Address: netip.AddrPortFrom(d.nextAddress(), 8080).String(),
	})
	if err != nil {
		return nil, err
	}
	e := &endpoint{FlowEndpoint: f, centre: centre, service: service, number: n}
	if warmup > 0 {
		e.coldUntil = clock.Now() + warmup
	}
	d.endpoints = append(d.endpoints, e)
	d.store.RegisterEndpoint(f)
	return e, nil
}

// publishConfiguration writes a new version of the configuration to the store. The caller
// holds d.mu, except while the deployment is built.
func (d *deployment) publishConfiguration() {
	d.configurationVersion += 1 + int64(d.random.IntN(3))
	var routes []standin.Route
	var list []standin.Service
	for _, service := range services {
		list = append(list, standin.Service{Name: service, WarmupTime: warmupTime, WarmupRate: warmupRate})
		routes = append(routes, standin.Route{Name: service, Address: routeAddress(service), Services: []string{service}})
	}
	if d.hasExtraRoute {
		routes = append(routes, standin.Route{Name: extraRoute, Address: routeAddress(extraRoute), Services: services[:1], Once: true})
	}
	d.store.PutConfiguration(d.configurationVersion, routes, list...)
	d.checker.recordConfiguration(d.hasExtraRoute)
}

// endpointByNumber returns the endpoint with the given number, or nil.
func (d *deployment) endpointByNumber(number uint64) *endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		if e.number == number {
			return e
		}
	}
	return nil
}

// pickSpareEndpoint returns an endpoint that no fault affects and without which its service
// still has at least two such endpoints in the data centre. It returns nil if there is none.
func (d *deployment) pickSpareEndpoint() *endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	start := d.random.IntN(len(d.endpoints))
	for n := range d.endpoints {
		e := d.endpoints[(start+n)%len(d.endpoints)]
		undisrupted := 0
		for _, o := range d.endpoints {
			if o != e && o.service == e.service && o.centre == e.centre && !o.disrupted() {
				undisrupted++
			}
		}
		if !e.disrupted() && undisrupted >= 2 {
			return e
		}
	}
	return nil
}

// randomEndpoint returns a random endpoint, or nil if a fault affects it.
func (d *deployment) randomEndpoint(random *rand.Rand) *endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[random.IntN(len(d.endpoints))]; !e.disrupted() {
		return e
	}
	return nil
}

// disrupted reports whether the endpoint is drained, closed or affected by a fault.
func (e *endpoint) disrupted() bool {
	return e.draining || e.closed || clock.Now() < e.disruptedUntil
}

// close ends all processes, consumers, endpoints and servers of the deployment.
func (d *deployment) close() {
	for _, i := range d.instances {
		i.kill()
		i.proxy.close()
	}
	for _, c := range d.consumers {
		c.Close()
	}
	for _, e := range d.endpoints {
		e.Close()
	}
	for _, r := range d.routers {
		r.Close()
	}
	d.server.CloseClientConnections()
	d.server.Close()
}

// CreateFolder creates the folder of one run below base, or a temporary one if base is
// empty.
func CreateFolder(base string, seed uint64) (string, error) {
	if base == "" {
		folder, err := os.MkdirTemp("", "soak-")
		return folder, errors.WithStack(err)
	}
	folder := fmt.Sprintf("%s/seed-%d", base, seed)
	return folder, errors.WithStack(os.MkdirAll(folder, 0o700))
}
