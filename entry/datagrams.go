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
		readers.Go(func() { d.read(d.packetSocket, packet.MaxDatagram, d.receivePacket) })
	}
	for range peerReaders {
		readers.Go(func() { d.read(d.peerSocket, packet.MaxEnvelope, d.receiveEnvelope) })
	}
	return &readers
}

// read hands each datagram to receive, which must not keep the data. A datagram
// larger than limit arrives with limit+1 bytes.
func (d *Daemon) read(c *net.UDPConn, limit int, receive func(from netip.AddrPort, data []byte)) {
	buffer := make([]byte, limit+1)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.counts.readErrors.Inc(1)
			continue
		}
		receive(unmapped(from), buffer[:n])
	}
}

func (d *Daemon) receivePacket(from netip.AddrPort, data []byte) {
	d.counts.packets.bytesIn.Inc(int64(len(data)))
	p, err := packet.Decode(data)
	if err != nil {
		d.counts.packets.refuse(err)
		return
	}
	d.counts.packets.in[p.Kind].Inc(1)
	d.queue(instance.PacketReceived{From: from, Packet: p}, &d.counts.packets)
}

func (d *Daemon) receiveEnvelope(from netip.AddrPort, data []byte) {
	e, err := packet.DecodeEnvelope(data)
	if err != nil {
		d.counts.peers.refuse(err)
		return
	}
	received := instance.EnvelopeReceived{From: from, Envelope: e}
	if len(e.Data) == 0 {
		d.counts.beats.countIn(len(data))
		d.queue(received, &d.counts.peers)
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
	d.queue(received, &d.counts.peers)
}

// queue hands a datagram to the engine, or drops it when the engine is behind.
func (d *Daemon) queue(e instance.Event, c *datagramCounts) {
	select {
	case d.packets <- e:
	default:
		c.dropped.Inc(1)
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
