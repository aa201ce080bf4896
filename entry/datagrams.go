package entry

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
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
		readers.Go(func() { d.read(d.packetSocket, d.receivePacket) })
	}
	for range peerReaders {
		readers.Go(func() { d.read(d.peerSocket, d.receiveEnvelope) })
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

// read hands each datagram to receive, which reports whether it keeps the
// buffer.
func (d *Daemon) read(c *net.UDPConn, receive func(from netip.AddrPort, b *buffer, size int) bool) {
	b := buffers.Get().(*buffer)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.counts.readErrors.Inc(1)
			continue
		}
		if receive(unmapped(from), b, n) {
			b = buffers.Get().(*buffer)
		}
	}
}

// receivePacket takes in a caller's datagram. The engine may pass it on as it is.
func (d *Daemon) receivePacket(from netip.AddrPort, b *buffer, size int) bool {
	d.counts.packets.bytesIn.Inc(int64(size))
	p, err := packet.Decode(b[:size])
	if err != nil {
		d.counts.packets.refuse(err)
		return false
	}
	d.counts.packets.in[p.Kind].Inc(1)
	received := instance.PacketReceived{From: from, Packet: p, Data: b[:size]}
	return d.queue(datagram{event: received, buffer: b}, &d.counts.packets)
}

// receiveEnvelope takes in another instance's datagram. Decoding copies it.
func (d *Daemon) receiveEnvelope(from netip.AddrPort, b *buffer, size int) bool {
	d.decodeEnvelope(from, b[:size])
	return false
}

func (d *Daemon) decodeEnvelope(from netip.AddrPort, data []byte) {
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
		d.queue(datagram{event: received}, &d.counts.peers)
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
	d.queue(datagram{event: received}, &d.counts.peers)
}

// queue hands a datagram to the engine, or drops it and reports false when the
// engine is behind.
func (d *Daemon) queue(g datagram, c *datagramCounts) bool {
	select {
	case d.packets <- g:
		return true
	default:
		c.dropped.Inc(1)
		return false
	}
}

func (d *Daemon) sendPacket(a instance.SendPacket) {
	data, err := packet.Encode(a.Packet)
	if err != nil {
		d.counts.packets.refuse(err)
		return
	}
	n, err := d.packetSocket.WriteToUDPAddrPort(data, a.To)
	if err != nil {
		d.counts.packets.unsent.Inc(1)
		return
	}
	d.counts.packets.out[a.Packet.Kind].Inc(1)
	d.counts.packets.bytesOut.Inc(int64(n))
}

func (d *Daemon) sendEnvelope(a instance.SendEnvelope) {
	data, err := packet.EncodeEnvelope(a.Envelope)
	if err != nil {
		d.counts.peers.refuse(err)
		return
	}
	n, err := d.peerSocket.WriteToUDPAddrPort(data, a.To)
	if err != nil {
		d.counts.peers.unsent.Inc(1)
		return
	}
	if len(a.Envelope.Data) == 0 {
		d.counts.beats.countOut(n)
		return
	}
	d.counts.passed.countOut(n)
}
