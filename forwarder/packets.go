package forwarder

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// socketBufferSize is what the packet socket may hold, in bytes: about a tenth of a
// second of packets at the highest rate that the smallest instance can forward.
const socketBufferSize = 1 << 20

// Packets that come before the first records are held back for a moment: after all
// instances lost power, consumers repeat theirs only every 0.8 to 1.6 s.
const (
	maxQueuedPackets = 512              // 0.6 MB at most; some tenths of a second at the highest rate
	maxQueueTime     = 1 * clock.Second // consumers have repeated an older packet by then
)

// packetQueue are packets that wait for the first records.
type packetQueue struct {
	packets []queuedPacket
	closed  bool // the records are there
}

// queuedPacket is one of them, with the time when it came.
type queuedPacket struct {
	data       []byte
	receivedAt clock.Millis
}

// add keeps a packet if records may still come in time. It reports whether it did.
func (q *packetQueue) add(at clock.Millis, data []byte) bool {
	if q.closed || len(q.packets) >= maxQueuedPackets {
		return false
	}
	q.packets = append(q.packets, queuedPacket{append([]byte(nil), data...), at})
	return true
}

// takeRecent returns the packets that are still of use, once. Unless the records are
// complete, more may be held, and some of these again.
func (q *packetQueue) takeRecent(now clock.Millis, complete bool) (packets []queuedPacket) {
	for _, p := range q.packets {
		if now-p.receivedAt <= maxQueueTime {
			packets = append(packets, p)
		}
	}
	*q = packetQueue{closed: complete}
	return packets
}

// forwardQueued forwards the packets that waited for records.
func (d *Daemon) forwardQueued() {
	d.mu.Lock()
	if !d.engine.Ready() || d.queue.closed {
		d.mu.Unlock()
		return
	}
	packets := d.queue.takeRecent(clock.Now(), d.engine.Complete())
	d.mu.Unlock()
	var p steering.Packet
	var reset [platform.HeaderSize]byte
	for _, v := range packets {
		if platform.DecodePacket(v.data[platform.PrefixSize:], &p) == nil { // it was decoded before
			d.forward(&p, v.data, v.receivedAt, &reset)
		}
	}
	if len(packets) > 0 {
		d.log.info("held packets forwarded", "count", len(packets))
	}
}

// receive forwards packets until the socket is closed.
func (d *Daemon) receive() error {
	// The prefix goes in front of the packet without a copy.
	buffer := make([]byte, platform.PrefixSize+platform.MaxPacket+1)
	var p steering.Packet
	var reset [platform.HeaderSize]byte
	for {
		n, _, err := d.packetConn.ReadFromUDPAddrPort(buffer[platform.PrefixSize:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			d.metrics.readErrors.Inc(1)
			d.log.infoLimited("packet unread", "error", err.Error())
			continue
		}
		if err := platform.DecodePacket(buffer[platform.PrefixSize:platform.PrefixSize+n], &p); err != nil {
			d.metrics.malformed.Inc(1)
			d.log.infoLimited("packet malformed", "error", err.Error())
			continue
		}
		d.forward(&p, buffer[:platform.PrefixSize+n], clock.Now(), &reset)
	}
}

// forward decides on one packet, which came at a time, and sends what the decision asks
// for.
func (d *Daemon) forward(p *steering.Packet, data []byte, at clock.Millis, reset *[platform.HeaderSize]byte) {
	now := clock.Now()
	d.lastPacketAt.Store(int64(at))
	d.mu.Lock()
	v := d.engine.Steer(now, p)
	queued := v.Reason == steering.ReasonNoRecords && d.queue.add(at, data)
	actions := d.engine.TakeActions()
	d.mu.Unlock()
	if queued {
		return
	}
	d.metrics.countDecision(&v)
	var err error
	switch v.Verdict {
	case steering.Forward:
		platform.AddressPacket(data, &v.Endpoint)
		_, err = d.packetConn.WriteToUDPAddrPort(data, v.Endpoint.Address.Netip())
	case steering.Reset:
		err = d.sendReset(p, reset)
	case steering.Drop:
	}
	if err != nil {
		d.metrics.unsent.Inc(1)
		d.log.infoLimited("packet unsent", "flow", p.FlowID(), "error", err.Error())
	}
	if v.Verdict != steering.Forward || p.Opening() {
		d.log.decision(now, p, &v)
	}
	d.perform(actions)
}

// sendReset tells the consumer of a packet that its flow is over. Consumers
// listen on the same port as instances.
func (d *Daemon) sendReset(p *steering.Packet, buffer *[platform.HeaderSize]byte) error {
	platform.EncodeReset(buffer, p)
	to := netip.AddrPortFrom(p.Consumer.Netip().Addr(), d.settings.Load().Packets.Port())
	_, err := d.packetConn.WriteToUDPAddrPort(buffer[:], to)
	return err
}

// resetFlow tells a consumer that its flow is over, though it sent nothing.
func (d *Daemon) resetFlow(v steering.ResetFlow) {
	p := steering.Packet{Consumer: v.Consumer, Destination: v.Destination, Ack: v.Ack}
	var buffer [platform.HeaderSize]byte
	err := d.sendReset(&p, &buffer)
	d.metrics.flowsGivenUp.Inc(1)
	d.log.infoLimited("flow given up", "flow", p.FlowID(), "endpoint", v.Endpoint, "error", errorText(err))
}
