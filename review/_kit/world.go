package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Bounds and intervals of the small deployment pz-balance.
const (
	drainBound      = 3 * clock.Second
	applyBound      = 3 * clock.Second
	stableTime      = 4 * clock.Second
	gracePeriod     = 6 * clock.Second
	heartbeatPeriod = 1200 * clock.Millisecond
)

const (
	zone           = "riga-a"
	deskService    = "order-desk"
	galleryService = "charm-gallery"
)

// world is a deployment of one zone on loopback, and the record of what happened in it.
type world struct {
	program string
	folder  string // for settings and logs
	start   clock.Millis
	subnet  byte // second byte of all addresses
	// Held while the subnet is in use.
	reservation net.Listener

	store   *standin.Metastore
	server  *http.Server
	address string // of the store
	routers *standin.FlowRouters

	mu          sync.Mutex
	record      *os.File
	addresses   int
	lastCalls   map[string]clock.Millis // latest watch of endpoints, by caller
	instances   []*instance
	endpoints   []*standin.FlowEndpoint
	consumers   []*standin.FlowConsumer
	lastAddress netip.Addr // of the consumer that was added last
	version     int64
}

func newWorld(recordFile, program string) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		program: program, folder: folder, start: clock.Now(), record: record, lastCalls: map[string]clock.Millis{},
		store: standin.NewMetastore(1), routers: standin.StartFlowRouters(),
	}
	if err := w.reserveSubnet(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serveStore), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }() // ends with Close
	return w, nil
}

// reserveSubnet chooses addresses that no other case uses at the same time.
func (w *world) reserveSubnet() (err error) {
	for n := range 128 {
		w.subnet = byte(64 + (os.Getpid()+n)%128)
		if w.reservation, err = net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:8367", w.subnet)); err == nil {
			return nil
		}
	}
	return err
}

// serveStore passes a call to the store, and remembers who watches endpoints.
func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	isWatch := r.URL.Query().Has("watch") && strings.HasSuffix(r.URL.Path, "/servers")
	caller := r.Header.Get(platform.CallerHeader)
	w.store.ServeHTTP(rw, r)
	if !isWatch {
		return
	}
	w.mu.Lock()
	w.lastCalls[caller] = clock.Now()
	w.mu.Unlock()
}

// watcher returns the name of the instance that watched the endpoints last.
func (w *world) watcher() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	name, at := "", clock.Millis(0)
	for n, t := range w.lastCalls {
		if t > at {
			name, at = n, t
		}
	}
	return name
}

// note writes a line of the record with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := float64(clock.Now()-w.start) / float64(clock.Second)
	fmt.Fprintf(w.record, "%8.3f %s\n", at, fmt.Sprintf(format, args...))
}

func (w *world) nextAddress() netip.Addr {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses++
	return netip.AddrFrom4([4]byte{127, w.subnet, 1, byte(w.addresses)})
}

// routeAddress is the address of a route, to which consumers open flows.
func (w *world) routeAddress() netip.AddrPort { return w.routePort(443) }

func (w *world) routePort(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.subnet, 200, 1}), port)
}

// putConfiguration writes a manifest whose only route leads to a service.
func (w *world) putConfiguration(service string) {
	w.version += 3
	w.store.PutConfiguration(w.version, []standin.Route{{Name: "approval-watch", Address: w.routeAddress(), Services: []string{service}}})
	w.note("manifest %d acknowledged: the route leads to %s", w.version, service)
}

// addEndpoint starts an endpoint and registers it.
func (w *world) addEndpoint(number uint64, service string) (*standin.FlowEndpoint, error) {
	return w.addEndpointIn(zone, number, service)
}

func (w *world) addEndpointIn(zone string, number uint64, service string) (*standin.FlowEndpoint, error) {
	e, err := standin.StartFlowEndpoint(standin.FlowEndpointSettings{
		Number: number, Service: service, Centre: zone, Slots: 2, RunTime: 13, Address: netip.AddrPortFrom(w.nextAddress(), 8367).String(),
	})
	if err != nil {
		return nil, err
	}
	w.endpoints = append(w.endpoints, e)
	w.store.RegisterEndpoint(e)
	return e, nil
}

// addInstances starts forwarders with the command of the deploy file.
func (w *world) addInstances(names ...string) error {
	var addresses []netip.Addr
	for range names {
		addresses = append(addresses, w.nextAddress())
	}
	for i, name := range names {
		s := standin.InstanceSettings{
			Name: name, Centre: zone, Address: addresses[i], StoreAddress: w.address, Seeds: addresses[:min(len(addresses), 3)],
			GracePeriod: gracePeriod, DrainAndApplyBound: min(drainBound, applyBound),
		}
		x := &instance{world: w, name: name, address: addresses[i], file: filepath.Join(w.folder, name+".toml"), log: filepath.Join(w.folder, name+".log")}
		if err := os.WriteFile(x.file, []byte(s.TOML()), 0o600); err != nil {
			return err
		}
		if err := x.run(); err != nil {
			return err
		}
		w.instances = append(w.instances, x)
		w.routers.AddInstance(netip.AddrPortFrom(x.address, standin.PacketPort), netip.AddrPortFrom(x.address, standin.ReadyPort).String())
	}
	return nil
}

// instance is a forwarder on a machine of its own.
type instance struct {
	world   *world
	name    string
	address netip.Addr
	file    string
	log     string
	process *exec.Cmd
	exited  chan struct{}
}

// run starts the process.
func (x *instance) run() error {
	log, err := os.OpenFile(x.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(x.world.program, "-metrics", "9300")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+x.file)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	x.process, x.exited = c, make(chan struct{})
	exited := x.exited
	go func() {
		_ = c.Wait() // the exit status doesn't matter
		close(exited)
	}()
	x.world.note("%s started", x.name)
	return nil
}

func (x *instance) signal(s syscall.Signal) {
	x.world.note("%s gets %s", x.name, s)
	_ = x.process.Process.Signal(s) // it may have exited
}

// restart does what the platform does to restart a process: SIGTERM, SIGKILL after the grace
// period, and a start shortly after the exit.
func (x *instance) restart() error {
	x.signal(syscall.SIGTERM)
	select {
	case <-x.exited:
	case <-time.After(gracePeriod.Duration()):
		x.signal(syscall.SIGKILL)
		<-x.exited
	}
	x.world.note("%s exited", x.name)
	time.Sleep(300 * time.Millisecond)
	return x.run()
}

// lines returns the log lines that contain all words.
func (x *instance) lines(words ...string) (found []string) {
	data, _ := os.ReadFile(x.log) // a missing log has no lines
	for line := range strings.Lines(string(data)) {
		matches := true
		for _, word := range words {
			matches = matches && strings.Contains(line, word)
		}
		if matches {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

func (w *world) instance(name string) *instance {
	for _, x := range w.instances {
		if x.name == name {
			return x
		}
	}
	return nil
}

// waitReady waits until all instances are in rotation.
func (w *world) waitReady() error {
	for range 100 {
		if w.routers.CountInRotation() == len(w.instances) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%d of %d instances are in rotation", w.routers.CountInRotation(), len(w.instances))
}

// request is one request of a consumer on a flow of its own.
type request struct {
	id       string
	flow     string       // as the forwarders' logs name it
	openedAt clock.Millis // when the opening packet was sent
	endpoint uint64       // number of the endpoint that took the flow, 0 if none did
	err      error
}

// traffic starts consumers that open a flow for each request of size bytes, until stop is
// closed. Each sends the next request after pause. The result is complete when the function returned by
// traffic has returned.
func (w *world) traffic(consumers, size int, pause clock.Millis, stop <-chan struct{}, services ...string) (wait func() []request, err error) {
	var mu sync.Mutex
	var all []request
	var running sync.WaitGroup
	for n := range consumers {
		c, err := w.addConsumer()
		if err != nil {
			return nil, err
		}
		address := w.lastAddress
		running.Go(func() {
			for i := 1; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(pause.Duration()):
				}
				r := request{id: fmt.Sprintf("c%d-%d", n, i), flow: fmt.Sprintf("%s:%d", address, 1024+i), openedAt: clock.Now()}
				f, err := c.OpenFlow(w.routeAddress())
				r.err = err
				if err == nil {
					r.endpoint = f.EndpointNumber()
					r.err = f.Request(r.id, make([]byte, size), 1500, services...)
					if r.err == nil {
						f.Finish()
					}
				}
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
			}
		})
	}
	return func() []request { running.Wait(); return all }, nil
}

// addConsumer starts a consumer at lastAddress.
func (w *world) addConsumer() (*standin.FlowConsumer, error) {
	w.lastAddress = w.nextAddress()
	c, err := standin.StartFlowConsumer(w.lastAddress, w.routers)
	if err != nil {
		return nil, err
	}
	w.consumers = append(w.consumers, c)
	return c, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, x := range w.instances {
		_ = x.process.Process.Kill() // it may have exited
		<-x.exited
	}
	for _, c := range w.consumers {
		c.Close()
	}
	for _, e := range w.endpoints {
		e.Close()
	}
	w.routers.Close()
	_ = w.reservation.Close()
	_ = w.server.Close()
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}
