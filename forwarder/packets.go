package forwarder

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// socketBufferSize is the size of the packet socket's receive buffer, in bytes. It takes
// about 0.1 s of packets at the highest rate that the smallest instance can forward.
const socketBufferSize = 1 << 20

// Limits of the queue for packets that arrive before the first records. Dropping them
// would cost time: when all instances start after a power loss, consumers retransmit only
// every 0.8 to 1.6 s.
const (
	maxQueuedPackets = 512              // up to 0.6 MB; some tenths of a second at the highest rate
	maxQueueTime     = 1 * clock.Second // consumers have retransmitted older packets by then
)

// packetQueue holds packets until the first records are known.
type packetQueue struct {
	packets []queuedPacket
	closed  bool // the records are complete; nothing is queued any more
}

// queuedPacket is a datagram in a packetQueue.
type queuedPacket struct {
	data       []byte
	receivedAt clock.Millis // when it was read from the socket
}

// add appends a copy of a packet unless the queue is closed or full, and reports whether it
// did.
func (q *packetQueue) add(receivedAt clock.Millis, data []byte) bool {
	if q.closed || len(q.packets) >= maxQueuedPackets {
		return false
	}
	q.packets = append(q.packets, queuedPacket{append([]byte(nil), data...), receivedAt})
	return true
}

// takeRecent empties the queue, and returns the packets that have not waited for more than
// maxQueueTime. It closes the queue if the records are complete. If not, packets whose
// endpoint is still unknown are queued again with their time of arrival.
func (q *packetQueue) takeRecent(now clock.Millis, complete bool) (packets []queuedPacket) {
	for _, p := range q.packets {
		if now-p.receivedAt <= maxQueueTime {
			packets = append(packets, p)
		}
	}
	*q = packetQueue{closed: complete}
	return packets
}

// forwardQueued forwards the queued packets once the configuration and some endpoints are
// known.
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
		if platform.DecodePacket(v.data[platform.EndpointPrefixSize:], &p) == nil { // receive has decoded it before
			p.Waited = clock.Now() - v.receivedAt
			d.guard("packet", func() { d.forward(&p, v.data, v.receivedAt, &reset) })
		}
	}
	if len(packets) > 0 {
		d.log.info("queued packets forwarded", "count", len(packets))
	}
}

// receive forwards packets until the socket is closed.
func (d *Daemon) receive() error {
	// Room for the prefix is kept in front of the packet, so that forwarding needs no copy.
	buffer := make([]byte, platform.EndpointPrefixSize+platform.MaxPacketSize+1)
	var p steering.Packet
	var reset [platform.HeaderSize]byte
	for {
		n, waited, err := d.reader.read(buffer[platform.EndpointPrefixSize:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			d.metrics.readErrors.Inc(1)
			d.log.infoLimited("packet read failed", "error", err.Error())
			continue
		}
		d.metrics.countWait(waited)
		if err := platform.DecodePacket(buffer[platform.EndpointPrefixSize:platform.EndpointPrefixSize+n], &p); err != nil {
			d.metrics.malformed.Inc(1)
			d.log.infoLimited("packet malformed", "error", err.Error())
			continue
		}
		p.Waited = waited
		d.guard("packet", func() { d.forward(&p, buffer[:platform.EndpointPrefixSize+n], clock.Now(), &reset) })
	}
}

// forward decides on one packet, and forwards it, resets its flow, drops it, or queues it
// until the first records are known. data is the packet with EndpointPrefixSize free bytes
// in front.
func (d *Daemon) forward(p *steering.Packet, data []byte, receivedAt clock.Millis, reset *[platform.HeaderSize]byte) {
	now := clock.Now()
	d.lastPacketAt.Store(int64(receivedAt))
	v, queued, actions := d.steer(now, p, data, receivedAt)
	if queued {
		return
	}
	d.metrics.countDecision(&v)
	var err error
	switch v.Verdict {
	case steering.Forward:
		platform.SetPacketTarget(data, &v.Endpoint)
		_, err = d.packetConn.WriteToUDPAddrPort(data, v.Endpoint.Address.Netip())
	case steering.Reset:
		err = d.sendReset(p, reset)
	case steering.Drop:
	}
	if err != nil {
		d.metrics.unsent.Inc(1)
		d.log.infoLimited("packet send failed", "flow", p.FlowID(), "error", err.Error())
	}
	if v.Verdict != steering.Forward || p.Opening() {
		d.log.decision(now, p, &v, d.reader.recentWait(now))
	}
	d.perform(actions)
}

// steer returns the decision on a packet and the actions that result from it, or queues the
// packet.
func (d *Daemon) steer(now clock.Millis, p *steering.Packet, data []byte, receivedAt clock.Millis) (v steering.Decision, queued bool, actions []steering.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v = d.engine.Steer(now, p)
	queued = v.Reason == steering.ReasonNoRecords && d.queue.add(receivedAt, data)
	return v, queued, d.engine.TakeActions()
}

// sendReset sends the consumer of a packet a reset of its flow. Consumers listen on the
// same port as instances. buffer is overwritten.
func (d *Daemon) sendReset(p *steering.Packet, buffer *[platform.HeaderSize]byte) error {
	platform.EncodeReset(buffer, p)
	to := netip.AddrPortFrom(p.Consumer.Netip().Addr(), d.settings.Load().PacketAddress.Port())
	_, err := d.packetConn.WriteToUDPAddrPort(buffer[:], to)
	return err
}

// resetFlow resets a flow without a packet of its consumer, because the engine found that
// its endpoint has ended or fails.
func (d *Daemon) resetFlow(v steering.ResetFlow) {
	p := steering.Packet{Consumer: v.Consumer, Destination: v.Destination, Ack: v.Ack}
	var buffer [platform.HeaderSize]byte
	err := d.sendReset(&p, &buffer)
	d.metrics.flowsGivenUp.Inc(1)
	d.metrics.flowsGivenUpBy[v.Cause].Inc(1)
	now := clock.Now()
	d.log.infoLimited("flow given up", "flow", p.FlowID(), "endpoint", v.Endpoint, "why", v.Cause,
		"flow_age_ms", int64(age(now, v.FirstSeenAt)), "request_age_ms", int64(age(now, v.RequestAt)), d.waitAttribute(), "error", errorText(err))
}

// age returns the time since an event, or -1 if there was none.
func age(now, at clock.Millis) clock.Millis {
	if at == 0 {
		return -1
	}
	return now - at
}
