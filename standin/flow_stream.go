package standin

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Flow control and retransmission.
const (
	windowPackets      = 16 // full packets that may be unacknowledged
	minRetransmitDelay = 200 * clock.Millisecond
	maxRetransmitDelay = 1600 * clock.Millisecond
	maxRetransmits     = 8                      // in a row
	ackDelay           = 40 * clock.Millisecond // until a single packet is acknowledged; two are at once
)

// flowStream is one side of the reliable byte stream of a flow: it sends, retransmits,
// acknowledges and reassembles. It uses neither sockets nor the clock.
type flowStream struct {
	self, peer netip.AddrPort
	send       func(flowPacket)

	token           uint32       // of the latest packet received; sent back in each packet
	writeSeq        uint32       // sequence number of the next byte to be written
	ackedSeq        uint32       // all bytes before were acknowledged
	unacked         []byte       // bytes from ackedSeq to writeSeq
	sentSeq         uint32       // all bytes before were sent at least once
	retransmitAt    clock.Millis // 0 while all bytes are acknowledged
	retransmitDelay clock.Millis
	retransmits     int // since the latest acknowledgement of new bytes

	receiveSeq   uint32            // sequence number of the next byte expected from the peer
	outOfOrder   map[uint32][]byte // data received ahead of receiveSeq, by sequence number
	packetsToAck int               // packets received but not acknowledged
	ackAt        clock.Millis      // when packetsToAck must be acknowledged
	peerFinished bool
}

func newFlowStream(self, peer netip.AddrPort, sequence uint32, send func(flowPacket)) *flowStream {
	return &flowStream{
		self: self, peer: peer, send: send, outOfOrder: map[uint32][]byte{},
		writeSeq: sequence, ackedSeq: sequence, sentSeq: sequence,
	}
}

// packet returns a packet with the current acknowledgement and token.
func (s *flowStream) packet(flags byte, seq uint32, data []byte) flowPacket {
	return flowPacket{from: s.self, to: s.peer, flags: flags, seq: seq, ack: s.receiveSeq, token: s.token, data: data}
}

// write queues data and sends what the window allows.
func (s *flowStream) write(now clock.Millis, data []byte) {
	s.unacked = append(s.unacked, data...)
	s.writeSeq += uint32(len(data))
	s.sendWindow(now)
}

// sendWindow sends queued bytes as far as the window allows.
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

// receive handles a packet of the peer. It returns the bytes that are in order now.
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

// reassemble stores the data of a packet, sends or schedules its acknowledgement,
// and returns the bytes that are in order now.
func (s *flowStream) reassemble(now clock.Millis, p flowPacket) []byte {
	if int32(p.seq-s.receiveSeq) < 0 {
		s.sendAck() // a duplicate: the earlier acknowledgement may be lost
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

// tick sends due acknowledgements and retransmissions. It returns false after
// maxRetransmits: the peer is considered lost.
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
