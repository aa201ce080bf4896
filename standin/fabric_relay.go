package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerdock/tanagerdock/clock"
)

// relayToEntries forwards datagrams of callers to entry instances until the
// fabric is closed.
func (f *Fabric) relayToEntries() {
	random := f.newRandom(0)
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, ok := readDatagram(f.callerConn, buffer)
		if !ok {
			return
		}
		f.counts.in.Inc(1)
		s := f.state.Load()
		c := f.callerFor(from)
		if c == nil {
			f.counts.full.Inc(1)
			continue
		}
		if len(s.reachable) == 0 {
			f.counts.undeliverable.Inc(1)
			continue
		}
		to := s.reachable[random.IntN(len(s.reachable))]
		f.deliver(random, &s.faults, datagram{c.conn, to, buffer[:n]})
	}
}

// relayToCaller forwards the datagrams that arrive on a caller's socket to the
// caller until the socket is closed.
func (f *Fabric) relayToCaller(c *fabricCaller) {
	random := f.newRandom(xxhash.Sum64String(c.address.String()))
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, ok := readDatagram(c.conn, buffer)
		if !ok {
			return
		}
		f.counts.out.Inc(1)
		c.lastUsed.Store(int64(clock.Now()))
		f.deliver(random, &f.state.Load().faults, datagram{f.callerConn, c.address, buffer[:n]})
	}
}

// readDatagram waits for a datagram and returns its size and sender. It returns
// false when the socket is closed.
func readDatagram(conn *net.UDPConn, buffer []byte) (int, netip.AddrPort, bool) {
	n, from, err := conn.ReadFromUDPAddrPort(buffer)
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), err == nil
}

// callerFor returns the caller with an address. It adds the caller if it is new,
// and returns nil if that fails, as when there are too many callers.
func (f *Fabric) callerFor(address netip.AddrPort) *fabricCaller {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.callers[address]
	if c == nil {
		c = f.addCaller(address)
	}
	if c != nil {
		c.lastUsed.Store(int64(clock.Now()))
	}
	return c
}

func (f *Fabric) addCaller(address netip.AddrPort) *fabricCaller {
	select {
	case <-f.closed:
		return nil
	default:
	}
	if len(f.callers) >= f.settings.MaxCallers {
		return nil
	}
	local := f.callerConn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	conn, err := listenUDP(netip.AddrPortFrom(local, 0))
	if err != nil {
		return nil
	}
	c := &fabricCaller{address: address, conn: conn}
	f.callers[address] = c
	go f.relayToCaller(c)
	return c
}

// closeIdleCallers removes idle callers regularly until the fabric is closed.
func (f *Fabric) closeIdleCallers() {
	ticker := time.NewTicker((f.settings.IdleTimeout/4 + 1).Duration())
	defer ticker.Stop()
	for {
		select {
		case <-f.closed:
			return
		case <-ticker.C:
			f.closeCallersIdleSince(clock.Now() - f.settings.IdleTimeout)
		}
	}
}

// closeCallersIdleSince removes the callers without datagrams since a time, and closes
// their sockets.
func (f *Fabric) closeCallersIdleSince(before clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, c := range f.callers {
		if clock.Millis(c.lastUsed.Load()) < before {
			c.conn.Close()
			delete(f.callers, address)
		}
	}
}

// datagram is a datagram to send.
type datagram struct {
	conn *net.UDPConn
	to   netip.AddrPort
	data []byte
}

func (d datagram) send() {
	_, _ = d.conn.WriteToUDPAddrPort(d.data, d.to) // a failed send counts as loss in the network
}

// deliver sends a datagram under faults. It does not retain d.data.
func (f *Fabric) deliver(random *rand.Rand, faults *FabricFaults, d datagram) {
	if random.Float64() < faults.Loss {
		f.counts.lost.Inc(1)
		return
	}
	copies := 1
	if random.Float64() < faults.Duplicate {
		f.counts.duplicated.Inc(1)
		copies = 2
	}
	for range copies {
		delay := faults.Delay
		if faults.Jitter > 0 {
			delay += clock.Millis(random.Int64N(int64(faults.Jitter) + 1))
		}
		if random.Float64() < faults.Reorder {
			delay += reorderDelay
		}
		f.sendAfter(delay, d)
	}
}

// sendAfter sends a datagram after a delay. It drops the datagram if maxDelayed
// others are waiting.
func (f *Fabric) sendAfter(delay clock.Millis, d datagram) {
	if delay == 0 {
		d.send()
		return
	}
	if f.delayedNow.Add(1) > maxDelayed {
		f.delayedNow.Add(-1)
		f.counts.overflow.Inc(1)
		return
	}
	f.counts.delayed.Inc(1)
	d.data = append([]byte(nil), d.data...)
	time.AfterFunc(delay.Duration(), func() {
		d.send()
		f.delayedNow.Add(-1)
	})
}
