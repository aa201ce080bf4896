package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Offsets in a datagram to an endpoint: 8 bytes for the endpoint, and the packet's header.
const (
	prefixSize  = 8
	offsetFlags = prefixSize + 10
	flagSYN     = 16
)

// tap stands at the address in the entry of an endpoint, and passes on what arrives there. It
// records which machine sent each opening packet.
type tap struct {
	packets *net.UDPConn
	checks  net.Listener

	mu       sync.Mutex
	openings []opening
}

type opening struct {
	sender netip.Addr
	at     time.Time
}

func startTap(address, endpoint netip.AddrPort) (*tap, error) {
	t := &tap{}
	var err error
	if t.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, err
	}
	if t.checks, err = net.Listen("tcp4", address.String()); err != nil {
		t.packets.Close()
		return nil, err
	}
	go t.passPackets(endpoint)
	go func() {
		for {
			c, err := t.checks.Accept()
			if err != nil {
				return
			}
			c.Close() // forwarders open connections to see whether somebody listens
		}
	}()
	return t, nil
}

func (t *tap) passPackets(endpoint netip.AddrPort) {
	buffer := make([]byte, 2048)
	for {
		n, from, err := t.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n > offsetFlags && buffer[offsetFlags] == flagSYN {
			t.mu.Lock()
			t.openings = append(t.openings, opening{from.Addr(), time.Now()})
			t.mu.Unlock()
		}
		_, _ = t.packets.WriteToUDPAddrPort(buffer[:n], endpoint)
	}
}

func (t *tap) close() {
	t.packets.Close()
	t.checks.Close()
}

// storeLink is the way of one forwarder to the store. While it is cut, nothing passes.
type storeLink struct {
	listener net.Listener
	store    string
	cut      atomic.Bool
}

func startStoreLink(store string) (*storeLink, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeLink{listener: l, store: store}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.pass(c)
		}
	}()
	return s, nil
}

func (s *storeLink) pass(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp4", s.store)
	if err != nil {
		return
	}
	defer up.Close()
	var both sync.WaitGroup
	copyBytes := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for s.cut.Load() {
				time.Sleep(10 * time.Millisecond) // held up, as by a partition
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
	both.Go(func() { copyBytes(up, c) })
	both.Go(func() { copyBytes(c, up) })
	both.Wait()
}

// Close ends the link.
func (s *storeLink) Close() error { return s.listener.Close() }

// cutTime is for_s of core_cut in the site file.
const cutTime = 5500 * time.Millisecond

// leavingForwarders removes two of the three machines of a zone, with SIGTERM, while the third one
// is partitioned from the store. The routers go on using all three, as less than half of them are in
// rotation. Meanwhile an endpoint of the zone is drained.
func leavingForwarders(w *world, trouble bool) bool {
	startTraffic(w, 1)
	e := w.pick("riga-a", orderDesk)
	leaving, cut := w.forwarders[:2], w.forwarders[2]
	cutAt := time.Now()
	if trouble {
		w.record.line("%s is partitioned from the store for %v", cut.name, cutTime)
		cut.link.cut.Store(true)
		time.AfterFunc(cutTime, func() { cut.link.cut.Store(false) })
	}
	time.Sleep(100 * time.Millisecond)
	stoppedAt := time.Now()
	for _, f := range leaving {
		w.record.line("%s gets SIGTERM: its machine is removed", f.name)
		f.signal(syscall.SIGTERM, true)
		time.AfterFunc(gracePeriod.Duration(), func() { f.signal(syscall.SIGKILL, true) })
	}
	time.Sleep(400 * time.Millisecond)
	e.drain(w.store)
	acked := time.Now()
	w.record.line("the store acknowledges that %s is draining", e.ID())
	for _, f := range leaving {
		<-f.exited
		w.record.line("%s has ended", f.name)
	}
	time.Sleep(time.Until(cutAt.Add(cutTime + time.Second)))
	stopTraffic(w)
	late := 0
	for _, o := range e.tap.openings {
		for _, f := range leaving {
			inTouch := o.at.Sub(stoppedAt) > stableTime.Duration()
			if o.sender != f.address || o.at.Sub(acked) <= recordBound.Duration() || !inTouch {
				continue
			}
			late++
			w.record.line("opening packet reaches %s from %s %.3f s after the ack, %.3f s after SIGTERM", e.ID(), f.name, o.at.Sub(acked).Seconds(), o.at.Sub(stoppedAt).Seconds())
		}
	}
	w.record.line("requests that reached the draining endpoint later than drain_ms after the ack, from machines in touch: %s", fmt.Sprint(late))
	return late > 0
}
