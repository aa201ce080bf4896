package entry

import (
	"math/bits"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/ipv4"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Sizes of the datagram sockets.
const (
	socketBuffer  = 4 << 20 // bytes, each way
	packetReaders = 2       // goroutines that read and decode callers' packets
	peerReaders   = 2       // goroutines that read and decode other instances' envelopes
)

func listenUDP(field, address string) (*net.UDPConn, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "open field %q: value %q", field, address)
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrapf(err, "open field %q: value %q", field, address)
	}
	// The kernel caps both sizes; a smaller buffer still works.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	return c, nil
}

// startReaders starts the readers of both sockets. They end when the sockets
// are closed.
func (d *Daemon) startReaders() *sync.WaitGroup {
	var readers sync.WaitGroup
	for range packetReaders {
		p := &passer{
			d: d, out: newBatch(d.peerSocket, d.counts.peers.unsent),
			queue: queue{to: d.packets, dropped: d.counts.packets.dropped},
		}
		readers.Go(func() { d.read(d.packetSocket, p.receivePacket, p.flush) })
	}
	for range peerReaders {
		q := &queue{to: d.packets, dropped: d.counts.peers.dropped}
		readers.Go(func() {
			d.read(d.peerSocket, func(from netip.AddrPort, b *buffer, size int) bool {
				d.receiveEnvelope(q, from, b[:size])
				return false // decoding copies it
			}, q.flush)
		})
	}
	return &readers
}

// datagram is a decoded datagram on its way to the engine. Its buffer goes back
// to the pool when the engine's actions are carried out.
type datagram struct {
	event  instance.Event
	buffer *buffer
}

// buffer holds one datagram as it was received, and one byte more than any may
// have, so that larger ones are noticed.
type buffer [max(packet.MaxDatagram, packet.MaxEnvelope) + 1]byte

var buffers = sync.Pool{New: func() any { return new(buffer) }}

// readBatch is the number of datagrams that one system call receives at most.
const readBatch = 16

// read hands each datagram to receive, which reports whether it keeps the
// buffer, and calls flush before it waits for more.
func (d *Daemon) read(c *net.UDPConn, receive func(from netip.AddrPort, b *buffer, size int) bool, flush func()) {
	conn := ipv4.NewPacketConn(c) // fit for IPv6 too: messages carry their addresses
	messages := make([]ipv4.Message, readBatch)
	var rooms [readBatch]*buffer
	for i := range messages {
		rooms[i] = buffers.Get().(*buffer)
		messages[i].Buffers = [][]byte{rooms[i][:]}
	}
	for {
		n, err := conn.ReadBatch(messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.counts.readErrors.Inc(1)
			continue
		}
		for i := range messages[:n] {
			from, known := messages[i].Addr.(*net.UDPAddr)
			if known && receive(unmapped(from.AddrPort()), rooms[i], messages[i].N) {
				rooms[i] = buffers.Get().(*buffer)
				messages[i].Buffers[0] = rooms[i][:]
			}
		}
		flush()
	}
}

// samplePeriod is the time after which a reader leaves one packet for an owner
// and service to the engine, which attaches queue state to it and asks an owner
// that has been quiet for a heartbeat.
const samplePeriod = 20 * clock.Millisecond

// sampleSlots bounds what a reader remembers of the packets left to the engine.
// Keys that share a slot leave more packets to the engine.
const sampleSlots = 1024

// sampler tells which packets are left to the engine.
type sampler [sampleSlots]struct {
	key  uint64
	next clock.Millis
}

// due reports whether it is the engine's turn for an owner and service.
func (s *sampler) due(t token.Token, now clock.Millis) bool {
	key := t.Owner ^ bits.RotateLeft64(t.Service, 1)
	slot := &s[key%sampleSlots]
	if slot.key == key && now < slot.next {
		return false
	}
	slot.key, slot.next = key, now+samplePeriod
	return true
}

// passer passes packets on for one reader.
type passer struct {
	d        *Daemon
	out      *batch // on the socket for other instances
	header   packet.Header
	envelope packet.Envelope
	sampler  sampler
	queue    queue // to the engine
}

// pass passes on a datagram that needs no decision, and reports whether it did.
func (p *passer) pass(from netip.AddrPort, data []byte) bool {
	r := p.d.router.Load()
	if r == nil || packet.DecodeHeader(data, &p.header) != nil || p.header.Kind == packet.KindOpen {
		return false
	}
	t, err := token.Peek(p.header.Token)
	if err != nil {
		return false
	}
	hop, found := r.NextHop(t)
	if !found || p.sampler.due(t, clock.Now()) {
		return false
	}
	r.FillEnvelope(&p.envelope, from, data)
	if packet.EncodeEnvelopeTo(p.out.next(), &p.envelope) != nil {
		return false
	}
	p.d.counts.packets.in[p.header.Kind].Inc(1)
	p.out.add(hop.PeerAddress, p.d.counts.passed.out, p.d.counts.passed.bytesOut)
	return true
}

// receivePacket takes in a caller's datagram, and reports whether the buffer is
// kept. The engine may pass it on as it is.
func (p *passer) receivePacket(from netip.AddrPort, b *buffer, size int) bool {
	c := &p.d.counts.packets
	c.bytesIn.Inc(int64(size))
	if p.pass(from, b[:size]) {
		return false
	}
	decoded, err := packet.Decode(b[:size])
	if err != nil {
		c.refuse(err)
		return false
	}
	c.in[decoded.Kind].Inc(1)
	p.queue.add(datagram{event: instance.PacketReceived{From: from, Packet: decoded, Data: b[:size]}, buffer: b})
	return true
}

// flush lets go of what was received together.
func (p *passer) flush() {
	p.out.flush()
	p.queue.flush()
}

// receiveEnvelope takes in another instance's datagram. Decoding copies it.
func (d *Daemon) receiveEnvelope(q *queue, from netip.AddrPort, data []byte) {
	if len(data) > packet.MaxEnvelope {
		d.counts.peers.tooLarge.Inc(1)
		return
	}
	e, err := packet.DecodeEnvelope(data)
	if err != nil {
		d.counts.peers.refuse(err)
		return
	}
	received := instance.EnvelopeReceived{From: from, Envelope: e}
	if len(e.Data) == 0 {
		d.counts.beats.countIn(len(data))
		q.add(datagram{event: received})
		return
	}
	d.counts.passed.countIn(len(data))
	p, err := packet.Decode(e.Data)
	if err != nil {
		d.counts.peers.refuse(err)
		return
	}
	d.counts.peers.in[p.Kind].Inc(1)
	received.Packet = &p
	q.add(datagram{event: received})
}

// group holds datagrams that were received together, so that handing them to the
// engine costs little.
type group struct {
	datagrams [readBatch]datagram
	filled    int
}

var groups = sync.Pool{New: func() any { return new(group) }}

// release gives the buffers and the group back.
func (g *group) release() {
	for i := range g.datagrams[:g.filled] {
		if b := g.datagrams[i].buffer; b != nil {
			buffers.Put(b)
		}
		g.datagrams[i] = datagram{}
	}
	g.filled = 0
	groups.Put(g)
}

// queue collects the datagrams of one reader for the engine.
type queue struct {
	to      chan<- *group
	dropped metrics.Counter
	group   *group
}

func (q *queue) add(g datagram) {
	if q.group == nil {
		q.group = groups.Get().(*group)
	}
	q.group.datagrams[q.group.filled] = g
	q.group.filled++
}

// flush hands the datagrams to the engine, or drops them when it is behind.
func (q *queue) flush() {
	if q.group == nil {
		return
	}
	select {
	case q.to <- q.group:
	default:
		q.dropped.Inc(int64(q.group.filled))
		q.group.release()
	}
	q.group = nil
}

// sendPacket sends a packet to a caller with the engine's next batch.
func (d *Daemon) sendPacket(a instance.SendPacket) {
	c := &d.counts.packets
	if err := packet.EncodeTo(d.toCallers.next(), &a.Packet); err != nil {
		c.refuse(err)
		return
	}
	d.toCallers.add(a.To, c.out[a.Packet.Kind], c.bytesOut)
}

// sendEnvelope sends an envelope to another instance with the engine's next batch.
func (d *Daemon) sendEnvelope(a instance.SendEnvelope) {
	if err := packet.EncodeEnvelopeTo(d.toPeers.next(), &a.Envelope); err != nil {
		d.counts.peers.refuse(err)
		return
	}
	traffic := &d.counts.beats
	if len(a.Envelope.Data) > 0 {
		traffic = &d.counts.passed
	}
	d.toPeers.add(a.To, traffic.out, traffic.bytesOut)
}

// flush sends the datagrams that the engine's actions left in the batches.
func (d *Daemon) flush() {
	d.toCallers.flush()
	d.toPeers.flush()
}
