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

// Sending of datagrams.
const (
	batchSize    = 16                    // datagrams per system call
	maxInFlight  = 512                   // datagrams sent but not yet arrived
	lossTimeout  = 50 * time.Millisecond // after this, datagrams in flight count as lost
	pollInterval = 50 * time.Microsecond
)

// driver sends datagrams to one address as fast as they arrive on the other side, with at
// most maxInFlight in between, and counts those that arrive.
type driver struct {
	target        netip.AddrPort
	arrived       *atomic.Int64
	arrivedBefore int64 // that had arrived when the drive began
	sockets       []*net.UDPConn
	datagram      func(n int64) []byte // returns the n-th datagram; the driver keeps it while it is sent
}

// driveResult counts the datagrams of one drive.
type driveResult struct {
	sent, arrived, lost int64
	elapsed             time.Duration
}

// rate returns the arrived datagrams per second.
func (o driveResult) rate() float64 { return float64(o.arrived) / o.elapsed.Seconds() }

// drive sends from all of the driver's sockets for the given time.
func (d *driver) drive(ctx context.Context, duration time.Duration) driveResult {
	var sent, lost atomic.Int64
	start, before := time.Now(), d.arrived.Load()
	d.arrivedBefore = before
	var senders sync.WaitGroup
	for i, c := range d.sockets {
		senders.Go(func() { d.send(ctx, c, int64(i), start.Add(duration), &sent, &lost) })
	}
	senders.Wait()
	o := driveResult{sent: sent.Load(), arrived: d.arrived.Load() - before, elapsed: time.Since(start)}
	time.Sleep(lossTimeout) // datagrams that arrive during this wait count neither as arrived nor as lost
	o.lost = max(0, o.sent-(d.arrived.Load()-before))
	return o
}

func (d *driver) send(ctx context.Context, c *net.UDPConn, first int64, until time.Time, sent, lost *atomic.Int64) {
	batches := ipv4.NewPacketConn(c)
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = make([][]byte, 1)
		messages[i].Addr = net.UDPAddrFromAddrPort(d.target)
	}
	n := first
	for ctx.Err() == nil && time.Now().Before(until) {
		waitStart := time.Now()
		for sent.Load()-lost.Load()-(d.arrived.Load()-d.arrivedBefore) > maxInFlight {
			time.Sleep(pollInterval)
			if time.Since(waitStart) > lossTimeout {
				lost.Store(sent.Load() - (d.arrived.Load() - d.arrivedBefore))
			}
		}
		for i := range messages {
			messages[i].Buffers[0] = d.datagram(n)
			n += int64(len(d.sockets))
		}
		written, err := batches.WriteBatch(messages, 0)
		if err != nil {
			return
		}
		sent.Add(int64(written))
	}
}

// receive calls handle with each datagram of a socket until the socket is closed.
func receive(c *net.UDPConn, handle func(from net.Addr, data []byte)) {
	batches := ipv4.NewPacketConn(c)
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, 2048)}
	}
	for {
		n, err := batches.ReadBatch(messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		for _, m := range messages[:max(0, n)] {
			handle(m.Addr, m.Buffers[0][:m.N])
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
