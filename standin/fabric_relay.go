package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerdock/tanagerdock/clock"
)

// relayIn passes datagrams of callers on until the fabric is closed.
func (f *Fabric) relayIn() {
	random := f.newRandom(0)
	buffer := make([]byte, maxDatagram)
	for {
		n, from, ok := read(f.public, buffer)
		if !ok {
			return
		}
		f.counts.in.Inc(1)
		s := f.state.Load()
		c := f.caller(from)
		if c == nil {
			f.counts.full.Inc(1)
			continue
		}
		if len(s.live) == 0 {
			f.counts.undeliverable.Inc(1)
			continue
		}
		to := s.live[random.IntN(len(s.live))]
		f.deliver(random, &s.faults, hop{c.conn, to, buffer[:n]})
	}
}

// relayBack passes what arrives on a caller's socket back to the caller.
func (f *Fabric) relayBack(c *fabricCaller) {
	random := f.newRandom(xxhash.Sum64String(c.address.String()))
	buffer := make([]byte, maxDatagram)
	for {
		n, _, ok := read(c.conn, buffer)
		if !ok {
			return
		}
		f.counts.out.Inc(1)
		c.used.Store(int64(clock.Now()))
		f.deliver(random, &f.state.Load().faults, hop{f.public, c.address, buffer[:n]})
	}
}

// read waits for a datagram. It returns false when the socket is closed.
func read(conn *net.UDPConn, buffer []byte) (int, netip.AddrPort, bool) {
	n, from, err := conn.ReadFromUDPAddrPort(buffer)
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), err == nil
}

// caller returns the caller with an address, a new one when there is room.
func (f *Fabric) caller(address netip.AddrPort) *fabricCaller {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.callers[address]
	if c == nil {
		c = f.addCaller(address)
	}
	if c != nil {
		c.used.Store(int64(clock.Now()))
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
	local := f.public.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	conn, err := listenUDP(netip.AddrPortFrom(local, 0))
	if err != nil {
		return nil
	}
	c := &fabricCaller{address: address, conn: conn}
	f.callers[address] = c
	go f.relayBack(c)
	return c
}

// forgetIdle closes the sockets of callers that were silent for long.
func (f *Fabric) forgetIdle() {
	ticker := time.NewTicker((f.settings.IdleTimeout/4 + 1).Duration())
	defer ticker.Stop()
	for {
		select {
		case <-f.closed:
			return
		case <-ticker.C:
			f.forget(clock.Now() - f.settings.IdleTimeout)
		}
	}
}

// forget closes the sockets of callers not heard of since a time.
func (f *Fabric) forget(before clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, c := range f.callers {
		if clock.Millis(c.used.Load()) < before {
			c.conn.Close()
			delete(f.callers, address)
		}
	}
}

// hop is a datagram on its way out of a socket.
type hop struct {
	conn *net.UDPConn
	to   netip.AddrPort
	data []byte
}

func (h hop) send() {
	_, _ = h.conn.WriteToUDPAddrPort(h.data, h.to) // as lossy as any network
}

// deliver sends a datagram under the faults. It does not keep h.data.
func (f *Fabric) deliver(random *rand.Rand, faults *FabricFaults, h hop) {
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
		f.sendAfter(delay, h)
	}
}

// sendAfter sends a datagram after a delay. Datagrams beyond maxHeld are lost.
func (f *Fabric) sendAfter(delay clock.Millis, h hop) {
	if delay == 0 {
		h.send()
		return
	}
	if f.held.Add(1) > maxHeld {
		f.held.Add(-1)
		f.counts.overflow.Inc(1)
		return
	}
	f.counts.delayed.Inc(1)
	h.data = append([]byte(nil), h.data...)
	time.AfterFunc(delay.Duration(), func() {
		h.send()
		f.held.Add(-1)
	})
}
