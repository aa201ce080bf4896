package standin

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrPacketCorrupted reports a packet that its sender did not write so.
var ErrPacketCorrupted = errors.New("packet was changed on its way")

// Bits of a packet's flags.
const (
	flowOpen   = 16
	flowAck    = 64
	flowFinish = 4
	flowAbort  = 2
)

// Sizes of packets, in bytes.
const (
	flowHead   = 32
	flowData   = 1200
	flowPrefix = 8 // in front of packets for endpoints
)

// flowKey is known to consumers and endpoints only.
var flowKey = []byte("both ends of a flow")

// flowPacket is one packet of a flow.
type flowPacket struct {
	from, to netip.AddrPort
	flags    byte
	seq, ack uint32
	echo     uint32
	data     []byte
	sum      uint32
}

func (p *flowPacket) has(flags byte) bool { return p.flags&flags == flags }

// encode returns the packet as bytes, with its sum.
func (p *flowPacket) encode() []byte {
	b := make([]byte, flowHead, flowHead+len(p.data))
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[2:], p.seq)
	binary.BigEndian.PutUint32(b[6:], p.ack)
	b[10] = p.flags
	binary.BigEndian.PutUint16(b[12:], p.from.Port())
	from, to := p.from.Addr().As4(), p.to.Addr().As4()
	copy(b[14:], from[:])
	binary.BigEndian.PutUint16(b[18:], p.to.Port())
	copy(b[20:], to[:])
	b = append(b, p.data...)
	p.sum = flowSum(b)
	binary.BigEndian.PutUint32(b[28:], p.sum)
	binary.BigEndian.PutUint32(b[24:], p.echo)
	return b
}

// flowSum covers everything but the token, which instances may change.
func flowSum(b []byte) uint32 {
	h := xxhash.New()
	_, _ = h.Write(flowKey) // a hash takes everything
	_, _ = h.Write(b[:11])
	_, _ = h.Write(b[12:24])
	_, _ = h.Write(b[flowHead:])
	return uint32(h.Sum64())
}

// decodeFlowPacket reads a packet. One that was changed gives ErrPacketChanged,
// along with what it says.
func decodeFlowPacket(b []byte) (flowPacket, error) {
	if len(b) < flowHead || int(binary.BigEndian.Uint16(b)) != len(b)-flowHead {
		return flowPacket{}, errors.Wrapf(ErrPacketCorrupted, "%d bytes", len(b))
	}
	end := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[address:address+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p := flowPacket{
		from: end(14, 12), to: end(20, 18), flags: b[10],
		seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), echo: binary.BigEndian.Uint32(b[24:]),
		sum: binary.BigEndian.Uint32(b[28:]), data: append([]byte(nil), b[flowHead:]...),
	}
	if p.sum != flowSum(b) {
		return p, errors.Wrapf(ErrPacketCorrupted, "%s to %s", p.from, p.to)
	}
	return p, nil
}
