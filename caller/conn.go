package caller

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// socketBufferBytes is the requested size of the socket's send and receive buffers.
const socketBufferBytes = 4 << 20

// Conn carries the flows of a program over one UDP socket. It is safe for
// concurrent use.
type Conn struct {
	socket     *net.UDPConn
	fabric     netip.AddrPort // destination of all packets
	done       chan struct{}  // closed by Close
	goroutines sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	flows        map[*Flow]bool
	flowsByID    map[uint64]*Flow // by flow id, of all opened flows
	flowsByNonce map[uint64]*Flow // by nonce of the latest Open
	lastCallID   uint64
	budget       *RetryBudget
	counters     Counters
	nextIdleTick clock.Millis    // when idle flows get their next Tick
	outgoing     []packet.Packet // to be sent by unlockAndSend
}

// Dial returns a connection to the network fabric at a UDP address. The fabric delivers
// each packet to one of the instances. Dial sends nothing.
func Dial(address string) (*Conn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve fabric address %q", address)
	}
	fabric := resolved.AddrPort()
	fabric = netip.AddrPortFrom(fabric.Addr().Unmap(), fabric.Port())
	network := "udp6"
	if fabric.Addr().Is4() {
		network = "udp4"
	}
	socket, err := net.ListenUDP(network, nil)
	if err != nil {
		return nil, errors.Wrap(err, "open UDP socket")
	}
	// The system may grant smaller buffers. Parts lost because of it are sent again.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	c := &Conn{
		socket: socket, fabric: fabric, done: make(chan struct{}), flows: make(map[*Flow]bool),
		flowsByID: make(map[uint64]*Flow), flowsByNonce: make(map[uint64]*Flow), budget: NewRetryBudget(),
	}
	c.goroutines.Add(2)
	go c.read()
	go c.tick()
	return c, nil
}

// Open opens a flow to a service. The error matches ErrRefused, ErrClosed or is
// that of ctx.
func (c *Conn) Open(ctx context.Context, service string) (*Flow, error) {
	if service == "" || len(service) > packet.MaxServiceName {
		return nil, errors.Wrapf(ErrRefused, "service name %q has %d bytes, 1 to %d are allowed", service, len(service), packet.MaxServiceName)
	}
	f, err := c.newFlow(service)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-f.opened:
		if err != nil {
			f.Close()
			return nil, err
		}
		return f, nil
	case <-ctx.Done():
		f.Close()
		return nil, errors.Wrapf(ctx.Err(), "open flow to service %q", service)
	}
}

func (c *Conn) newFlow(service string) (*Flow, error) {
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "read random seed")
	}
	f := &Flow{conn: c, opened: make(chan error, 1), waiting: make(map[uint64]chan RequestEnded)}
	f.engine = New(Settings{
		Service: service, Seed: binary.BigEndian.Uint64(seed[:]), Budget: c.budget, Counters: &c.counters,
	})
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.WithStack(ErrClosed)
	}
	c.flows[f] = true
	c.handle(f, OpenRequested{})
	c.unlockAndSend()
	return f, nil
}

// Counters returns what was counted since Dial.
func (c *Conn) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters
}

// Close closes all flows. Requests in flight end with an error.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	for f := range c.flows {
		c.handle(f, CloseRequested{})
	}
	c.unlockAndSend()
	close(c.done)
	err := c.socket.Close()
	c.goroutines.Wait()
	return errors.Wrap(err, "close UDP socket")
}

// read passes received packets to the engines until the socket is closed.
func (c *Conn) read() {
	defer c.goroutines.Done()
	buffer := make([]byte, packet.MaxDatagram+1)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as an ICMP error for an earlier datagram
		}
		p, err := packet.Decode(buffer[:n])
		c.mu.Lock()
		if f := c.route(p); f != nil && err == nil {
			c.handle(f, PacketReceived{Packet: p})
		} else {
			c.counters.Foreign++
		}
		c.unlockAndSend()
	}
}

// route returns the flow that a packet belongs to, or nil. A packet without a readable
// token can only be assigned if the connection has a single flow.
func (c *Conn) route(p packet.Packet) *Flow {
	if p.Nonce != 0 && p.Request == 0 {
		return c.flowsByNonce[p.Nonce]
	}
	t, err := token.Peek(p.Token)
	if err == nil {
		return c.flowsByID[t.Flow]
	}
	if len(c.flows) != 1 {
		return nil
	}
	for f := range c.flows {
		return f
	}
	return nil
}

// tick sends Ticks to the engines until the connection is closed.
func (c *Conn) tick() {
	defer c.goroutines.Done()
	t := time.NewTicker(TickPeriod.Duration())
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-t.C:
		}
		c.mu.Lock()
		now := clock.Now()
		idle := now >= c.nextIdleTick
		if idle {
			c.nextIdleTick = now + IdleTickPeriod
		}
		for f := range c.flows {
			if idle || f.engine.Busy() {
				c.handle(f, Tick{})
			}
		}
		c.unlockAndSend()
	}
}

// handle passes one event to a flow's engine and carries out the actions, except that
// packets are queued. The calling function holds mu and then calls unlockAndSend, which
// sends them.
func (c *Conn) handle(f *Flow, event Event) {
	for _, action := range f.engine.Handle(clock.Now(), event) {
		switch a := action.(type) {
		case SendPacket:
			c.outgoing = append(c.outgoing, a.Packet)
			if a.Packet.Kind == packet.KindOpen {
				c.setNonce(f, a.Packet.Nonce)
			}
		case FlowOpened:
			c.flowsByID[a.FlowID] = f
			f.reportOpened(nil)
		case FlowForgotten:
			delete(c.flowsByID, a.FlowID)
		case OpenFailed:
			f.reportOpened(a.Err)
		case RequestEnded:
			f.waiting[a.CallID] <- a
			delete(f.waiting, a.CallID)
		}
	}
}

func (c *Conn) setNonce(f *Flow, nonce uint64) {
	if f.nonce != nonce {
		delete(c.flowsByNonce, f.nonce)
	}
	f.nonce = nonce
	c.flowsByNonce[nonce] = f
}

// unlockAndSend releases mu and sends the packets that handle queued.
func (c *Conn) unlockAndSend() {
	outgoing := c.outgoing
	c.outgoing = nil
	c.mu.Unlock()
	for _, p := range outgoing {
		data, err := packet.Encode(p)
		if err != nil {
			continue // the engine builds no packet that is too large
		}
		// A datagram that can't be sent counts as lost.
		_, _ = c.socket.WriteToUDPAddrPort(data, c.fabric)
	}
}
