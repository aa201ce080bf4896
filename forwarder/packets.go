package forwarder

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// socketBuffer is what the packet socket may hold, in bytes: about a tenth of a
// second of packets at the highest rate that the smallest instance can forward.
const socketBuffer = 1 << 20

// Packets that come before the first records are held back for a moment: after all
// instances lost power, consumers repeat theirs only every 0.8 to 1.6 s.
const (
	heldPackets = 512              // 0.6 MB at most; some tenths of a second at the highest rate
	heldTime    = 1 * clock.Second // consumers have repeated an older packet by then
)

// held are packets that wait for the first records.
type held struct {
	packets []heldPacket
	over    bool // the records are there
}

// heldPacket is one of them, with the time when it came.
type heldPacket struct {
	data []byte
	at   clock.Millis
}

// hold keeps a packet if records may still come in time. It reports whether it did.
func (h *held) hold(at clock.Millis, data []byte) bool {
	if h.over || len(h.packets) >= heldPackets {
		return false
	}
	h.packets = append(h.packets, heldPacket{append([]byte(nil), data...), at})
	return true
}

// release returns the packets that are still of use, once. Unless the records are
// complete, more may be held, and some of these again.
func (h *held) release(now clock.Millis, complete bool) (packets []heldPacket) {
	for _, p := range h.packets {
		if now-p.at <= heldTime {
			packets = append(packets, p)
		}
	}
	*h = held{over: complete}
	return packets
}

// releaseHeld forwards the packets that waited for records.
func (d *Daemon) releaseHeld() {
	d.mu.Lock()
	if !d.engine.Ready() || d.held.over {
		d.mu.Unlock()
		return
	}
	packets := d.held.release(clock.Now(), d.engine.Complete())
	d.mu.Unlock()
	var p steering.Packet
	var reset [platform.HeaderSize]byte
	for _, v := range packets {
		if platform.DecodePacket(v.data[platform.EndpointPrefixSize:], &p) == nil { // it was decoded before
			d.forward(&p, v.data, v.at, &reset)
		}
	}
	if len(packets) > 0 {
		d.journal.say("held packets forwarded", "count", len(packets))
	}
}

// receive forwards packets until the socket is closed.
func (d *Daemon) receive() error {
	// The prefix goes in front of the packet without a copy.
	buffer := make([]byte, platform.EndpointPrefixSize+platform.MaxPacketSize+1)
	var p steering.Packet
	var reset [platform.HeaderSize]byte
	for {
		n, _, err := d.packets.ReadFromUDPAddrPort(buffer[platform.EndpointPrefixSize:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			d.counts.readErrors.Inc(1)
			d.journal.limited("packet unread", "error", err.Error())
			continue
		}
		if err := platform.DecodePacket(buffer[platform.EndpointPrefixSize:platform.EndpointPrefixSize+n], &p); err != nil {
			d.counts.malformed.Inc(1)
			d.journal.limited("packet malformed", "error", err.Error())
			continue
		}
		d.forward(&p, buffer[:platform.EndpointPrefixSize+n], clock.Now(), &reset)
	}
}

// forward decides on one packet, which came at a time, and sends what the decision asks
// for.
func (d *Daemon) forward(p *steering.Packet, data []byte, at clock.Millis, reset *[platform.HeaderSize]byte) {
	now := clock.Now()
	d.arrived.Store(int64(at))
	d.mu.Lock()
	v := d.engine.Steer(now, p)
	kept := v.Reason == steering.ReasonNoRecords && d.held.hold(at, data)
	notes := d.engine.TakeActions()
	d.mu.Unlock()
	if kept {
		return
	}
	d.counts.decided(&v)
	var err error
	switch v.Verdict {
	case steering.Forward:
		platform.SetPacketTarget(data, &v.Endpoint)
		_, err = d.packets.WriteToUDPAddrPort(data, v.Endpoint.Address.Netip())
	case steering.Reset:
		err = d.sendReset(p, reset)
	case steering.Drop:
	}
	if err != nil {
		d.counts.unsent.Inc(1)
		d.journal.limited("packet unsent", "flow", p.FlowID(), "error", err.Error())
	}
	if v.Verdict != steering.Forward || p.Opening() {
		d.journal.decision(now, p, &v)
	}
	d.perform(notes)
}

// sendReset tells the consumer of a packet that its flow is over. Consumers
// listen on the same port as instances.
func (d *Daemon) sendReset(p *steering.Packet, buffer *[platform.HeaderSize]byte) error {
	platform.EncodeReset(buffer, p)
	to := netip.AddrPortFrom(p.Consumer.Netip().Addr(), d.settings.Load().PacketAddress.Port())
	_, err := d.packets.WriteToUDPAddrPort(buffer[:], to)
	return err
}

// resetFlow tells a consumer that its flow is over, though it sent nothing.
func (d *Daemon) resetFlow(v steering.ResetFlow) {
	p := steering.Packet{Consumer: v.Consumer, Destination: v.Destination, Ack: v.Ack}
	var buffer [platform.HeaderSize]byte
	err := d.sendReset(&p, &buffer)
	d.counts.given.Inc(1)
	d.journal.limited("flow given up", "flow", p.FlowID(), "endpoint", v.Endpoint, "error", text(err))
}
