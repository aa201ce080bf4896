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
func (e *flowStream) packet(flags byte, seq uint32, data []byte) flowPacket {
	return flowPacket{from: e.self, to: e.peer, flags: flags, seq: seq, ack: e.receiveSeq, token: e.token, data: data}
}

// write queues bytes.
func (e *flowStream) write(now clock.Millis, data []byte) {
	e.unacked = append(e.unacked, data...)
	e.writeSeq += uint32(len(data))
	e.sendWindow(now)
}

// pump sends what the window allows.
func (e *flowStream) sendWindow(now clock.Millis) {
	for e.sentSeq != e.writeSeq && e.sentSeq-e.ackedSeq < windowPackets*maxPayload {
		from := e.sentSeq - e.ackedSeq
		n := min(maxPayload, e.writeSeq-e.sentSeq)
		if e.retransmitAt == 0 {
			e.retransmitDelay = minRetransmitDelay
			e.retransmitAt = now + e.retransmitDelay
		}
		e.send(e.packet(flagAck, e.sentSeq, e.unacked[from:from+n]))
		e.sentSeq += n
		e.packetsToAck = 0
	}
}

// receive takes a packet of the other end, and returns the bytes that came in order.
func (e *flowStream) receive(now clock.Millis, p flowPacket) []byte {
	e.token = p.token
	if p.hasFlags(flagAck) && int32(p.ack-e.ackedSeq) > 0 && int32(p.ack-e.writeSeq) <= 0 {
		e.unacked = e.unacked[p.ack-e.ackedSeq:]
		e.ackedSeq = p.ack
		if int32(e.sentSeq-e.ackedSeq) < 0 {
			e.sentSeq = e.ackedSeq
		}
		e.retransmits, e.retransmitDelay, e.retransmitAt = 0, minRetransmitDelay, 0
		if e.ackedSeq != e.writeSeq {
			e.retransmitAt = now + e.retransmitDelay
		}
		e.sendWindow(now)
	}
	var whole []byte
	if len(p.data) > 0 {
		whole = e.reassemble(now, p)
	}
	if p.hasFlags(flagFinish) {
		e.peerFinished = true
	}
	return whole
}

// order puts data in order and decides on its acknowledgement.
func (e *flowStream) reassemble(now clock.Millis, p flowPacket) []byte {
	if int32(p.seq-e.receiveSeq) < 0 {
		e.sendAck() // it came before
		return nil
	}
	e.outOfOrder[p.seq] = p.data
	var whole []byte
	for {
		data, found := e.outOfOrder[e.receiveSeq]
		if !found {
			break
		}
		delete(e.outOfOrder, e.receiveSeq)
		whole = append(whole, data...)
		e.receiveSeq += uint32(len(data))
	}
	e.packetsToAck++
	e.ackAt = now + ackDelay
	if e.packetsToAck >= 2 {
		e.sendAck()
	}
	return whole
}

func (e *flowStream) sendAck() {
	e.packetsToAck = 0
	e.send(e.packet(flagAck, e.sentSeq, nil))
}

// tick sends what is due, and reports false when the other end is given up.
func (e *flowStream) tick(now clock.Millis) bool {
	if e.packetsToAck > 0 && now >= e.ackAt {
		e.sendAck()
	}
	if e.retransmitAt == 0 || now < e.retransmitAt {
		return true
	}
	if e.retransmits++; e.retransmits > maxRetransmits {
		return false
	}
	e.retransmitDelay = min(2*e.retransmitDelay, maxRetransmitDelay)
	e.retransmitAt = now + e.retransmitDelay
	n := min(maxPayload, e.sentSeq-e.ackedSeq)
	e.send(e.packet(flagAck, e.ackedSeq, e.unacked[:n]))
	return true
}
