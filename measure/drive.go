package measure

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
)

// Driving of datagrams.
const (
	driveBatch = 16  // datagrams a system call
	window     = 512 // datagrams under way at most
	stalled    = 50 * time.Millisecond
	poll       = 50 * time.Microsecond
)

// driver sends datagrams to one address as fast as they come back on the other
// side, and counts those that arrive.
type driver struct {
	to      netip.AddrPort
	arrived *atomic.Int64
	before  int64 // that had arrived when the drive began
	sockets []*net.UDPConn
	next    func(n int64) []byte // the n-th datagram; it may be kept
}

// outcome is what a drive brought.
type outcome struct {
	sent, arrived, lost int64
	took                time.Duration
}

// rate returns the datagrams that arrived a second.
func (o outcome) rate() float64 { return float64(o.arrived) / o.took.Seconds() }

// drive sends for a span from each of the driver's sockets.
func (d *driver) drive(ctx context.Context, span time.Duration) outcome {
	var sent, lost atomic.Int64
	start, before := time.Now(), d.arrived.Load()
	d.before = before
	var senders sync.WaitGroup
	for i, c := range d.sockets {
		senders.Go(func() { d.sendAll(ctx, c, int64(i), start.Add(span), &sent, &lost) })
	}
	senders.Wait()
	o := outcome{sent: sent.Load(), arrived: d.arrived.Load() - before, took: time.Since(start)}
	time.Sleep(stalled) // what is still under way does not count
	o.lost = max(0, o.sent-(d.arrived.Load()-before))
	return o
}

func (d *driver) sendAll(ctx context.Context, c *net.UDPConn, first int64, until time.Time, sent, lost *atomic.Int64) {
	batches := ipv4.NewPacketConn(c)
	messages := make([]ipv4.Message, driveBatch)
	for i := range messages {
		messages[i].Buffers = make([][]byte, 1)
		messages[i].Addr = net.UDPAddrFromAddrPort(d.to)
	}
	n := first
	for ctx.Err() == nil && time.Now().Before(until) {
		waiting := time.Now()
		for sent.Load()-lost.Load()-(d.arrived.Load()-d.before) > window {
			time.Sleep(poll)
			if time.Since(waiting) > stalled {
				lost.Store(sent.Load() - (d.arrived.Load() - d.before))
			}
		}
		for i := range messages {
			messages[i].Buffers[0] = d.next(n)
			n += int64(len(d.sockets))
		}
		done, err := batches.WriteBatch(messages, 0)
		if err != nil {
			return
		}
		sent.Add(int64(done))
	}
}

// receive hands each datagram of a socket to take until the socket is closed.
func receive(c *net.UDPConn, take func(from net.Addr, data []byte)) {
	batches := ipv4.NewPacketConn(c)
	messages := make([]ipv4.Message, driveBatch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, 2048)}
	}
	for {
		n, err := batches.ReadBatch(messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		for _, m := range messages[:max(0, n)] {
			take(m.Addr, m.Buffers[0][:m.N])
		}
	}
}

// openSockets opens n sockets on loopback.
func openSockets(n int) ([]*net.UDPConn, error) {
	var sockets []*net.UDPConn
	for range n {
		c, err := listenLoopback()
		if err != nil {
			return nil, err
		}
		sockets = append(sockets, c)
	}
	return sockets, nil
}
