package standin

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrPacketCorrupted reports a packet that was changed between its sender and its
// receiver.
var ErrPacketCorrupted = errors.New("packet was changed in transit")

// Bits of a packet's flags.
const (
	flagOpen   = 16
	flagAck    = 64
	flagFinish = 4
	flagAbort  = 2
)

// Sizes of packets, in bytes.
const (
	packetHeaderSize   = 32
	maxPayload         = 1200
	endpointPrefixSize = 8 // the endpoint's number, in front of packets for endpoints
)

// checksumKey is mixed into checksums. Only consumers and endpoints know it, so a
// packet that an instance changed or made has a wrong checksum.
var checksumKey = []byte("both ends of a flow")

// flowPacket is one packet of a flow.
type flowPacket struct {
	from, to netip.AddrPort
	flags    byte
	seq, ack uint32
	token    uint32 // set by instances; both sides send back the latest one they received
	data     []byte
	checksum uint32
}

func (p *flowPacket) hasFlags(flags byte) bool { return p.flags&flags == flags }

// encode returns the encoded packet. It computes the checksum.
func (p *flowPacket) encode() []byte {
	b := make([]byte, packetHeaderSize, packetHeaderSize+len(p.data))
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
	p.checksum = packetChecksum(b)
	binary.BigEndian.PutUint32(b[28:], p.checksum)
	binary.BigEndian.PutUint32(b[24:], p.token)
	return b
}

// packetChecksum covers everything except the token, which instances may change.
func packetChecksum(b []byte) uint32 {
	h := xxhash.New()
	_, _ = h.Write(checksumKey) // never fails
	_, _ = h.Write(b[:11])
	_, _ = h.Write(b[12:24])
	_, _ = h.Write(b[packetHeaderSize:])
	return uint32(h.Sum64())
}

// decodeFlowPacket decodes a packet. If the checksum is wrong it returns
// ErrPacketCorrupted along with the packet.
func decodeFlowPacket(b []byte) (flowPacket, error) {
	if len(b) < packetHeaderSize || int(binary.BigEndian.Uint16(b)) != len(b)-packetHeaderSize {
		return flowPacket{}, errors.Wrapf(ErrPacketCorrupted, "%d bytes", len(b))
	}
	addrPort := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[address:address+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p := flowPacket{
		from: addrPort(14, 12), to: addrPort(20, 18), flags: b[10],
		seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), token: binary.BigEndian.Uint32(b[24:]),
		checksum: binary.BigEndian.Uint32(b[28:]), data: append([]byte(nil), b[packetHeaderSize:]...),
	}
	if p.checksum != packetChecksum(b) {
		return p, errors.Wrapf(ErrPacketCorrupted, "%s to %s", p.from, p.to)
	}
	return p, nil
}
