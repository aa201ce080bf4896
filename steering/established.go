package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// steerEstablished decides on a packet of a flow that is open, or is about to be.
func (e *Engine) steerEstablished(now clock.Millis, p *Packet) Decision {
	if p.Flags.Has(Open) {
		return Decision{Verdict: Drop, Reason: ReasonForged}
	}
	if p.Token == 0 {
		return Decision{Verdict: Drop, Reason: ReasonNoToken}
	}
	if !e.Ready() {
		return Decision{Verdict: Drop, Reason: ReasonNoRecords}
	}
	s, reason := e.endpointByToken(p)
	if s == nil && !e.Complete() {
		return Decision{Verdict: Drop, Reason: ReasonNoRecords}
	}
	if s == nil {
		return Decision{Verdict: Drop, Reason: reason}
	}
	d := Decision{Verdict: Forward, Reason: ReasonToken, Endpoint: s.target(), Service: s.Service}
	if over, reason := e.mustEnd(now, p, s); over {
		if w := e.flows.byKey[p.key()]; w != nil {
			e.flows.remove(p.key(), w)
		}
		if p.Flags.Has(Abort) {
			return Decision{Verdict: Drop, Reason: reason, Service: s.Service}
		}
		return Decision{Verdict: Reset, Reason: reason, Endpoint: s.target(), Service: s.Service}
	}
	d.NewlyEstablished = e.trackPacket(now, p, s)
	return d
}

// endpointByToken returns the endpoint that a packet's token names, or nil and why not.
func (e *Engine) endpointByToken(p *Packet) (*endpointState, Reason) {
	list := e.directory.byToken[p.Token]
	switch len(list) {
	case 0:
		return nil, ReasonUnknownToken
	case 1:
		return list[0], ReasonToken
	}
	if w := e.flows.byKey[p.key()]; w != nil && w.endpoint.token == p.Token {
		return w.endpoint, ReasonToken
	}
	return nil, ReasonAmbiguous
}

// mustEnd reports whether a flow can't go on, and why.
func (e *Engine) mustEnd(now clock.Millis, p *Packet, s *endpointState) (bool, Reason) {
	if e.removedRoutes[p.Destination] {
		return true, ReasonRouteRemoved
	}
	// An endpoint that is cut off from the store alone still answers its flows.
	if s.entryState == gone && s.silence.answeredAt < s.entryChangedAt {
		return true, ReasonEndpointGone
	}
	// A request that must not be repeated goes on in the hope that it arrives.
	if s.silence.endedRecently(now) && p.Length > 0 && e.idempotent(p.Destination) {
		return true, ReasonEndpointSilent
	}
	return false, ReasonToken
}

// trackPacket takes what a packet tells of its flow, and reports whether it is the
// first to show that the flow is open.
func (e *Engine) trackPacket(now clock.Millis, p *Packet, s *endpointState) bool {
	k := p.key()
	w := e.flows.byKey[k]
	opened := false
	if w == nil {
		if p.Flags.Has(Abort) && !p.Flags.Has(Acknowledge) {
			return false // it doesn't tell how far the flow went
		}
		// Another daemon placed it, or this one before it was restarted.
		if w = e.flows.add(k); w == nil {
			return false
		}
		w.service = s.Service
		w.established = true
		w.openedAt = now
		w.ack, w.endSequence = p.Ack, p.Sequence
		w.attach(s)
	} else if !w.established || w.endpoint != s {
		opened = !w.established
		w.established = true
		w.ack, w.endSequence = p.Ack, p.Sequence
		if w.endpoint != s {
			w.attach(s)
		}
		s.silence.recordAnswer(now)
	}
	w.lastPacketAt = now
	if !p.Flags.Has(Abort) {
		e.trackData(now, p, w, s)
	}
	if p.Flags.Has(Abort) || p.Flags.Has(Finish) {
		e.handleConsumerLeft(now, w, s)
	}
	return opened
}

// handleConsumerLeft notes that a consumer is done with a flow. One that leaves while its request
// has waited very long has given it up.
func (e *Engine) handleConsumerLeft(now clock.Millis, w *flow, s *endpointState) {
	if waited := now - w.requestAt; w.requestAt != 0 && waited <= maxOverdueAge && e.exceedsLatency(now, s, waited, overdueFactor, minOverdueTime) {
		e.recordOverdue(now, s)
	}
	// It is remembered for a while, since others may ask whether it got its answer.
	if !w.closing {
		w.closing = true
		w.detach()
	}
}

// trackData takes the sequence numbers of a packet in.
func (e *Engine) trackData(now clock.Millis, p *Packet, w *flow, s *endpointState) {
	if p.Flags.Has(Acknowledge) && sequenceAfter(p.Ack, w.ack) {
		w.ack = p.Ack
		s.silence.recordAnswer(now)
		if w.requestAt != 0 && w.counted {
			took := w.endRequest(now)
			e.answers = append(e.answers, Answered{Service: s.Service, Route: e.configuration.Routes[p.Destination].Name, Latency: took})
			// Errors come fast, and would make their endpoint look like the best one.
			if e.classifyAnswer(now, p.Destination, w, s, int(p.Ack-w.requestAck)) {
				e.recordLatency(s, took)
			}
		}
	}
	if p.Length == 0 {
		return
	}
	end := p.Sequence + uint32(p.Length)
	if sequenceAfter(end, w.endSequence) {
		w.endSequence = end
		if w.counted {
			w.startRequest(now)
		}
		return
	}
	w.retransmits++
	if w.requestAt != 0 {
		e.handleMiss(now, s, w.requestAt)
	}
}
