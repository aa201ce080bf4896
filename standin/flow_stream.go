package standin

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
)

// How the ends of flows behave, in ms and packets.
const (
	windowPackets      = 16
	minRetransmitDelay = 200 * clock.Millisecond
	maxRetransmitDelay = 1600 * clock.Millisecond
	maxRetransmits     = 8
	ackDelay           = 40 * clock.Millisecond // an odd packet is acknowledged after this
)

// flowEnd carries bytes reliably to the other end of a flow, and takes those that
// come. It neither reads sockets nor the clock.
type flowStream struct {
	self, peer netip.AddrPort
	send       func(flowPacket)

	token           uint32 // the latest one received
	writeSeq        uint32 // sequence number of the next new byte
	ackedSeq        uint32 // everything before was acknowledged
	unacked         []byte // bytes from acked on
	sentSeq         uint32 // everything before was sent at least once
	retransmitAt    clock.Millis
	retransmitDelay clock.Millis
	retransmits     int

	receiveSeq   uint32            // next byte expected from the other end
	outOfOrder   map[uint32][]byte // data that came out of order
	packetsToAck int               // packets not acknowledged
	ackAt        clock.Millis
	peerFinished bool
}

func newFlowStream(self, peer netip.AddrPort, sequence uint32, send func(flowPacket)) *flowStream {
	return &flowStream{
		self: self, peer: peer, send: send, outOfOrder: map[uint32][]byte{},
		writeSeq: sequence, ackedSeq: sequence, sentSeq: sequence,
	}
}

// packet returns a packet of the flow as it stands.
func (s *flowStream) packet(flags byte, seq uint32, data []byte) flowPacket {
	return flowPacket{from: s.self, to: s.peer, flags: flags, seq: seq, ack: s.receiveSeq, token: s.token, data: data}
}

// write queues bytes.
func (s *flowStream) write(now clock.Millis, data []byte) {
	s.unacked = append(s.unacked, data...)
	s.writeSeq += uint32(len(data))
	s.sendWindow(now)
}

// pump sends what the window allows.
func (s *flowStream) sendWindow(now clock.Millis) {
	for s.sentSeq != s.writeSeq && s.sentSeq-s.ackedSeq < windowPackets*maxPayload {
		from := s.sentSeq - s.ackedSeq
		n := min(maxPayload, s.writeSeq-s.sentSeq)
		if s.retransmitAt == 0 {
			s.retransmitDelay = minRetransmitDelay
			s.retransmitAt = now + s.retransmitDelay
		}
		s.send(s.packet(flagAck, s.sentSeq, s.unacked[from:from+n]))
		s.sentSeq += n
		s.packetsToAck = 0
	}
}

// receive takes a packet of the other end, and returns the bytes that came in order.
func (s *flowStream) receive(now clock.Millis, p flowPacket) []byte {
	s.token = p.token
	if p.hasFlags(flagAck) && int32(p.ack-s.ackedSeq) > 0 && int32(p.ack-s.writeSeq) <= 0 {
		s.unacked = s.unacked[p.ack-s.ackedSeq:]
		s.ackedSeq = p.ack
		if int32(s.sentSeq-s.ackedSeq) < 0 {
			s.sentSeq = s.ackedSeq
		}
		s.retransmits, s.retransmitDelay, s.retransmitAt = 0, minRetransmitDelay, 0
		if s.ackedSeq != s.writeSeq {
			s.retransmitAt = now + s.retransmitDelay
		}
		s.sendWindow(now)
	}
	var inOrder []byte
	if len(p.data) > 0 {
		inOrder = s.reassemble(now, p)
	}
	if p.hasFlags(flagFinish) {
		s.peerFinished = true
	}
	return inOrder
}

// order puts data in order and decides on its acknowledgement.
func (s *flowStream) reassemble(now clock.Millis, p flowPacket) []byte {
	if int32(p.seq-s.receiveSeq) < 0 {
		s.sendAck() // it came before
		return nil
	}
	s.outOfOrder[p.seq] = p.data
	var inOrder []byte
	for {
		data, found := s.outOfOrder[s.receiveSeq]
		if !found {
			break
		}
		delete(s.outOfOrder, s.receiveSeq)
		inOrder = append(inOrder, data...)
		s.receiveSeq += uint32(len(data))
	}
	s.packetsToAck++
	s.ackAt = now + ackDelay
	if s.packetsToAck >= 2 {
		s.sendAck()
	}
	return inOrder
}

func (s *flowStream) sendAck() {
	s.packetsToAck = 0
	s.send(s.packet(flagAck, s.sentSeq, nil))
}

// tick sends what is due, and reports false when the other end is given up.
func (s *flowStream) tick(now clock.Millis) bool {
	if s.packetsToAck > 0 && now >= s.ackAt {
		s.sendAck()
	}
	if s.retransmitAt == 0 || now < s.retransmitAt {
		return true
	}
	if s.retransmits++; s.retransmits > maxRetransmits {
		return false
	}
	s.retransmitDelay = min(2*s.retransmitDelay, maxRetransmitDelay)
	s.retransmitAt = now + s.retransmitDelay
	n := min(maxPayload, s.sentSeq-s.ackedSeq)
	s.send(s.packet(flagAck, s.ackedSeq, s.unacked[:n]))
	return true
}
