package entry

import (
	"fmt"
	"math/bits"
	"net"
	"net/netip"
	"runtime/debug"
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
	socketBufferBytes = 4 << 20 // of the receive buffer and of the send buffer
	packetReaders     = 2       // goroutines that read and decode callers' packets
	peerReaders       = 2       // goroutines that read and decode other instances' envelopes
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
	// The kernel caps both sizes. The daemon works with smaller buffers too, so
	// errors are ignored.
	_ = c.SetReadBuffer(socketBufferBytes)
	_ = c.SetWriteBuffer(socketBufferBytes)
	return c, nil
}

// startReaders starts the goroutines that read both UDP sockets. They end when the
// sockets are closed.
func (d *Daemon) startReaders() *sync.WaitGroup {
	var readers sync.WaitGroup
	for range packetReaders {
		r := &packetReader{
			daemon: d, peerBatch: newSendBatch(d.peerSocket, d.metrics.peers.unsent),
			queue: datagramQueue{out: d.datagrams, dropped: d.metrics.packets.dropped},
		}
		readers.Go(func() { d.readDatagrams(d.packetSocket, r.receive, r.flush) })
	}
	for range peerReaders {
		q := &datagramQueue{out: d.datagrams, dropped: d.metrics.peers.dropped}
		readers.Go(func() {
			d.readDatagrams(d.peerSocket, func(from netip.AddrPort, b *buffer, size int) bool {
				d.receiveEnvelope(q, from, b[:size])
				return false // decoding copies the data
			}, q.flush)
		})
	}
	return &readers
}

// datagram is a decoded datagram for the engine. Its buffer, if any, returns to the
// pool after the engine's actions are carried out.
type datagram struct {
	event  instance.Event
	buffer *buffer
}

// buffer holds one datagram as received. It is one byte longer than the longest
// valid datagram, so that longer ones are detected.
type buffer [max(packet.MaxDatagram, packet.MaxEnvelope) + 1]byte

var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

// receiveBatchSize is the maximum number of datagrams received with one system
// call.
const receiveBatchSize = 16

// readDatagrams calls receive for each datagram and flush after each batch, until
// the socket is closed. receive returns true when it keeps the buffer.
func (d *Daemon) readDatagrams(c *net.UDPConn, receive func(from netip.AddrPort, b *buffer, size int) bool, flush func()) {
	conn := ipv4.NewPacketConn(c) // also receives from IPv6, since each message carries its address
	messages := make([]ipv4.Message, receiveBatchSize)
	var buffers [receiveBatchSize]*buffer
	for i := range messages {
		buffers[i] = bufferPool.Get().(*buffer)
		messages[i].Buffers = [][]byte{buffers[i][:]}
	}
	for {
		n, err := conn.ReadBatch(messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.metrics.readErrors.Inc(1)
			continue
		}
		for i := range messages[:n] {
			from, ok := messages[i].Addr.(*net.UDPAddr)
			if ok && d.receiveGuarded(receive, unmapAddr(from.AddrPort()), buffers[i], messages[i].N) {
				buffers[i] = bufferPool.Get().(*buffer)
				messages[i].Buffers[0] = buffers[i][:]
			}
		}
		flush()
	}
}

// receiveGuarded calls receive, and drops a datagram that makes it panic: readers keep no state
// that half a datagram could damage. A panic of the engine still ends the process. Half an event
// could make it run a request twice, and other instances serve on.
func (d *Daemon) receiveGuarded(receive func(netip.AddrPort, *buffer, int) bool, from netip.AddrPort, b *buffer, size int) (kept bool) {
	defer func() {
		if v := recover(); v != nil {
			d.metrics.readPanics.Inc(1)
			d.logger.Info("panic", "reason", "datagram", "subject", from.String(), "detail", fmt.Sprintf("%v: %.4096s", v, debug.Stack()))
			kept = true // what received it may hold the buffer
		}
	}()
	return receive(from, b, size)
}

// samplePeriod is how often a reader leaves a packet of each owner and service to
// the engine. The engine attaches queue state to the packet, and requests a
// heartbeat from an owner it has not heard from.
const samplePeriod = 20 * clock.Millisecond

// sampleSlots is the number of owners and services that a reader remembers. Those
// that share a slot leave more packets to the engine.
const sampleSlots = 1024

// sampler selects the packets that a reader leaves to the engine, in a hash table
// without collision handling.
type sampler [sampleSlots]struct {
	key    uint64
	nextAt clock.Millis
}

// due reports whether the packet with token t is to be left to the engine.
func (s *sampler) due(t token.Token, now clock.Millis) bool {
	key := t.Owner ^ bits.RotateLeft64(t.Service, 1)
	slot := &s[key%sampleSlots]
	if slot.key == key && now < slot.nextAt {
		return false
	}
	slot.key, slot.nextAt = key, now+samplePeriod
	return true
}

// packetReader is the state of one goroutine that reads callers' packets. It
// forwards packets to other instances or queues them for the engine.
type packetReader struct {
	daemon    *Daemon
	peerBatch *sendBatch // envelopes to other instances
	header    packet.Header
	envelope  packet.Envelope
	sampler   sampler
	queue     datagramQueue // packets for the engine
}

// forward forwards a datagram to the flow's owner if the router knows the owner
// and the packet is not due for the engine. It reports whether it did.
func (r *packetReader) forward(from netip.AddrPort, data []byte) bool {
	router := r.daemon.router.Load()
	if router == nil || packet.DecodeHeader(data, &r.header) != nil || r.header.Kind == packet.KindOpen {
		return false
	}
	t, err := token.Peek(r.header.Token)
	if err != nil {
		return false
	}
	hop, found := router.NextHop(t)
	if !found || r.sampler.due(t, clock.Now()) {
		return false
	}
	router.FillEnvelope(&r.envelope, from, data)
	if packet.EncodeEnvelopeTo(r.peerBatch.nextBuffer(), &r.envelope) != nil {
		return false
	}
	r.daemon.metrics.packets.received[r.header.Kind].Inc(1)
	r.peerBatch.add(hop.PeerAddress, r.daemon.metrics.forwarded.sent, r.daemon.metrics.forwarded.bytesSent)
	return true
}

// receive forwards a caller's datagram or queues it for the engine. It returns true
// when the queue keeps the buffer, since the engine may forward the datagram
// unchanged.
func (r *packetReader) receive(from netip.AddrPort, b *buffer, size int) bool {
	c := &r.daemon.metrics.packets
	c.bytesReceived.Inc(int64(size))
	if r.forward(from, b[:size]) {
		return false
	}
	decoded, err := packet.Decode(b[:size])
	if err != nil {
		c.countError(err)
		return false
	}
	c.received[decoded.Kind].Inc(1)
	r.queue.add(datagram{event: instance.PacketReceived{From: from, Packet: decoded, Data: b[:size]}, buffer: b})
	return true
}

// flush sends the forwarded packets and gives the queued ones to the engine.
func (r *packetReader) flush() {
	r.peerBatch.flush()
	r.queue.flush()
}

// receiveEnvelope decodes a datagram of another instance and queues it for the
// engine. Decoding copies the data.
func (d *Daemon) receiveEnvelope(q *datagramQueue, from netip.AddrPort, data []byte) {
	if len(data) > packet.MaxEnvelope {
		d.metrics.peers.tooLarge.Inc(1)
		return
	}
	e, err := packet.DecodeEnvelope(data)
	if err != nil {
		d.metrics.peers.countError(err)
		return
	}
	received := instance.EnvelopeReceived{From: from, Envelope: e}
	if len(e.Data) == 0 {
		d.metrics.heartbeats.countReceived(len(data))
		q.add(datagram{event: received})
		return
	}
	d.metrics.forwarded.countReceived(len(data))
	p, err := packet.Decode(e.Data)
	if err != nil {
		d.metrics.peers.countError(err)
		return
	}
	d.metrics.peers.received[p.Kind].Inc(1)
	received.Packet = &p
	q.add(datagram{event: received})
}

// receiveBatch holds datagrams that one system call received. They share one send
// on the engine's channel.
type receiveBatch struct {
	datagrams [receiveBatchSize]datagram
	count     int
}

var receiveBatchPool = sync.Pool{New: func() any { return new(receiveBatch) }}

// release returns the buffers and the batch to their pools.
func (b *receiveBatch) release() {
	for i := range b.datagrams[:b.count] {
		if buf := b.datagrams[i].buffer; buf != nil {
			bufferPool.Put(buf)
		}
		b.datagrams[i] = datagram{}
	}
	b.count = 0
	receiveBatchPool.Put(b)
}

// datagramQueue collects the datagrams of one reader for the engine.
type datagramQueue struct {
	out     chan<- *receiveBatch
	dropped metrics.Counter
	batch   *receiveBatch
}

func (q *datagramQueue) add(dg datagram) {
	if q.batch == nil {
		q.batch = receiveBatchPool.Get().(*receiveBatch)
	}
	q.batch.datagrams[q.batch.count] = dg
	q.batch.count++
}

// flush queues the batch for the engine, or drops and counts it when the engine's
// queue is full.
func (q *datagramQueue) flush() {
	if q.batch == nil {
		return
	}
	select {
	case q.out <- q.batch:
	default:
		q.dropped.Inc(int64(q.batch.count))
		q.batch.release()
	}
	q.batch = nil
}

// sendPacket adds a packet to the batch for callers.
func (d *Daemon) sendPacket(a instance.SendPacket) {
	c := &d.metrics.packets
	if err := packet.EncodeTo(d.callerBatch.nextBuffer(), &a.Packet); err != nil {
		c.countError(err)
		return
	}
	d.callerBatch.add(a.To, c.sent[a.Packet.Kind], c.bytesSent)
}

// sendEnvelope adds an envelope to the batch for other instances.
func (d *Daemon) sendEnvelope(a instance.SendEnvelope) {
	if err := packet.EncodeEnvelopeTo(d.peerBatch.nextBuffer(), &a.Envelope); err != nil {
		d.metrics.peers.countError(err)
		return
	}
	counters := &d.metrics.heartbeats
	if len(a.Envelope.Data) > 0 {
		counters = &d.metrics.forwarded
	}
	d.peerBatch.add(a.To, counters.sent, counters.bytesSent)
}

// flushBatches sends the datagrams that the engine's actions added to the batches.
func (d *Daemon) flushBatches() {
	d.callerBatch.flush()
	d.peerBatch.flush()
}
