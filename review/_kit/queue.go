package main

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

const (
	endpointPrefix = 8  // bytes in front of packets for endpoints
	flagsOffset    = 10 // of the flags in a packet
	flagSYN        = 16
)

// front is the address of an endpoint. It passes datagrams on to the endpoint and answers
// status checks itself. The queue of its listener holds two connections.
type front struct {
	address  netip.AddrPort
	packets  *net.UDPConn
	endpoint netip.AddrPort
	checks   int // file descriptor of the listener
	busy     atomic.Bool
	loseSYN  atomic.Bool // lose the next opening packet
	spared   netip.Addr  // the instance whose opening packets aren't lost; invalid for none
	closed   atomic.Bool
	lost     atomic.Int32
}

func startFront(address, endpoint netip.AddrPort) (*front, error) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 1); err != nil {
		return nil, err
	}
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	f := &front{address: address, packets: packets, endpoint: endpoint, checks: fd}
	go f.forward()
	go f.accept()
	return f, nil
}

func (f *front) forward() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := f.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed
		}
		if n > endpointPrefix+flagsOffset && buffer[endpointPrefix+flagsOffset] == flagSYN && from.Addr().Unmap() != f.spared && f.loseSYN.CompareAndSwap(true, false) {
			f.lost.Add(1)
			continue
		}
		_, _ = f.packets.WriteToUDPAddrPort(buffer[:n], f.endpoint) // a failed send counts as loss
	}
}

// accept accepts connections while the endpoint isn't busy, and closes them at once.
func (f *front) accept() {
	for !f.closed.Load() {
		if f.busy.Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		connection, _, err := syscall.Accept(f.checks)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		_ = syscall.Close(connection)
	}
	_ = syscall.Close(f.checks)
}

// fillQueue lets status checks wait in the queue of the listener for a time.
func (f *front) fillQueue(duration clock.Millis) {
	f.busy.Store(true)
	time.Sleep((5 * clock.Millisecond).Duration())
	var waiting []net.Conn
	for range 4 {
		if c, err := net.DialTimeout("tcp4", f.address.String(), (100 * clock.Millisecond).Duration()); err == nil {
			waiting = append(waiting, c)
		}
	}
	time.Sleep(duration.Duration())
	for _, c := range waiting {
		_ = c.Close()
	}
	f.busy.Store(false)
}

func (f *front) close() {
	f.closed.Store(true)
	_ = f.packets.Close()
}

// addFrontedEndpoint starts an endpoint behind a front, and registers it at the front's address.
func (w *world) addFrontedEndpoint(number uint64, runTime clock.Millis) (*standin.FlowEndpoint, *front, error) {
	behind := netip.AddrPortFrom(w.nextAddress(), 8367)
	e, err := standin.StartFlowEndpoint(standin.FlowEndpointSettings{Number: number, Service: deskService, Centre: zone, Slots: 2, RunTime: runTime, Address: behind.String()})
	if err != nil {
		return nil, nil, err
	}
	w.endpoints = append(w.endpoints, e)
	f, err := startFront(netip.AddrPortFrom(w.nextAddress(), 8367), behind)
	if err != nil {
		return nil, nil, err
	}
	entry := e.Registration()
	entry["address"] = f.address.String()
	w.store.Put("servers", e.ID(), entry)
	return e, f, nil
}

// Times of the traffic and of the full queue.
const (
	queueFull     = 1500 * clock.Millisecond
	queueEpisodes = 7
	longFlows     = 24
	longPause     = 5 * clock.Second // between two requests on a long flow
)

// flowFullQueue lets status checks fill the queue of new connections of one endpoint for
// queueFull, three times, and loses one opening packet to it each time. The endpoint serves
// its flows all the while. No open flow may be reset.
func flowFullQueue(w *world, trouble bool) (bool, error) {
	w.putConfiguration(deskService)
	for n := uint64(1); n <= 4; n++ {
		if _, err := w.addEndpoint(0xc1+n, deskService); err != nil {
			return false, err
		}
	}
	e, f, err := w.addFrontedEndpoint(0xc1, 13)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := w.addInstances("edge-riga-a-1", "edge-riga-a-2", "edge-riga-a-3"); err != nil {
		return false, err
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var running sync.WaitGroup
	resets := make(chan string, 1000)
	for n := range longFlows {
		c, err := w.addConsumer()
		if err != nil {
			return false, err
		}
		poll := make(chan struct{}, 1)
		go func() {
			sleep(stop, longPause*clock.Millis(n)/longFlows)
			for !isClosed(stop) {
				ask([]chan struct{}{poll})
				sleep(stop, longPause)
			}
		}()
		running.Go(func() {
			for !isClosed(stop) {
				w.keepFlow(c, w.routeAddress(), n, poll, stop, resets)
			}
		})
	}
	// Other consumers open a flow for each request.
	wait, err := w.traffic(2, fullAnswer, 150, stop, deskService)
	if err != nil {
		return false, err
	}
	sleep(stop, 8*clock.Second)
	for range queueEpisodes {
		f.loseSYN.Store(true)
		if trouble {
			w.note("status checks fill the queue of new connections of %s for %d ms", e.ID(), queueFull)
			f.fillQueue(queueFull)
		} else {
			sleep(stop, queueFull)
		}
		f.loseSYN.Store(false)
		w.note("the queue is empty; %d opening packets were lost so far", f.lost.Load())
		sleep(stop, 9*clock.Second)
	}
	close(stop)
	running.Wait()
	wait()
	close(resets)
	count := 0
	for text := range resets {
		count++
		w.note("%s", text)
	}
	w.note("%d open flows were reset by a forwarder, with all endpoints sound", count)
	for _, x := range w.instances {
		for _, line := range append(x.lines(`"msg":"endpoint lost"`), append(x.lines(`"msg":"endpoint failing"`), append(x.lines(`"msg":"endpoint probed"`, `"hung"`), x.lines(`"msg":"resets contradicted"`)...)...)...) {
			w.note("log of %s: %s", x.name, line)
		}
	}
	return count == 0, nil
}
