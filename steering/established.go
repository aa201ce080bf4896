package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// steerEstablished decides on any packet that is not an opening packet.
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
	if mustEnd, reason := e.mustEnd(now, p, s); mustEnd {
		e.closeFlow(now, p.key(), s, reason)
		if p.Flags.Has(Abort) {
			return Decision{Verdict: Drop, Reason: reason, Service: s.Service}
		}
		s.recordPacketReset(now, reason)
		return Decision{Verdict: Reset, Reason: reason, Endpoint: s.target(), Service: s.Service}
	}
	d.NewlyEstablished = e.trackPacket(now, p, s)
	return d
}

// endpointByToken returns the endpoint that the token of a packet identifies, or nil and
// the reason.
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

// mustEnd reports whether a flow must be reset, and the reason.
func (e *Engine) mustEnd(now clock.Millis, p *Packet, s *endpointState) (bool, Reason) {
	if e.removedRoutes[p.Destination] && e.openedBeforeRemoval(now, p.key(), s) {
		return true, ReasonRouteRemoved
	}
	switch {
	case s.entryState == gone:
		e.checkGone(now, s)
		return e.flowEndProven(now, p.key(), s), ReasonEndpointGone
	case s.silence.refused && p.Length > 0 && e.idempotent(p.Destination):
		if e.flowEndProven(now, p.key(), s) {
			return true, ReasonEndpointRefused
		}
		e.requestProbe(now, s) // a refusal that is younger than the flow proves its end
	}
	return false, ReasonToken
}

// flowEndProven reports whether the endpoint's process has ended since this instance first
// saw a flow. The packet that establishes a flow is an answer of a process that runs, which may
// have started after the opening packet was seen.
func (e *Engine) flowEndProven(now clock.Millis, k key, s *endpointState) bool {
	w := e.flows.byKey[k]
	return w != nil && w.established && w.endpoint == s && e.endProven(now, s, w.openedAt)
}

// openedBeforeRemoval reports whether a flow was opened before its route was removed, as
// far as this instance knows. Another instance may have opened it by a newer configuration
// that has the route again, unless the store confirmed this one since the flow was first
// seen here. After a stall, messages that confirm it may be old. An established flow with
// another endpoint is an earlier one of the same port.
func (e *Engine) openedBeforeRemoval(now clock.Millis, k key, s *endpointState) bool {
	w := e.flows.byKey[k]
	return w != nil && (w.endpoint == s || !w.established) && e.configurationConfirmedAt > w.openedAt && now >= e.stalledUntil
}

// closeFlow handles a flow that is reset in reply to a packet. It forgets the flow, except
// when the route was removed: the flow's later packets still have to be recognized.
func (e *Engine) closeFlow(now clock.Millis, k key, s *endpointState, reason Reason) {
	w := e.flows.byKey[k]
	switch {
	case w == nil:
	case reason == ReasonRouteRemoved:
		w.established, w.consumerDone, w.lastPacketAt = true, true, now
		w.detach()
		w.endpoint = s
	default:
		e.flows.remove(k, w)
	}
}

// trackPacket updates the state of a flow from a packet, and reports whether the packet
// is the first one after the flow's opening packets.
func (e *Engine) trackPacket(now clock.Millis, p *Packet, s *endpointState) bool {
	k := p.key()
	w := e.flows.byKey[k]
	newlyEstablished := false
	if w == nil {
		if p.Flags.Has(Abort) && !p.Flags.Has(Acknowledge) {
			return false // without a valid ack it doesn't show the progress of the flow
		}
		// The flow was placed by another instance, or by this one before a restart.
		if w = e.flows.add(k); w == nil {
			return false
		}
		w.service = s.Service
		w.established = true
		w.openedAt = now
		w.ack, w.endSequence = p.Ack, p.Sequence
		w.attach(s)
	} else if !w.established || w.endpoint != s {
		newlyEstablished = !w.established
		if newlyEstablished {
			e.compareAnswer(now, s, w.openedAt)
		} else {
			w.openedAt, w.consumerDone = now, false // another flow of the same port
		}
		w.established = true
		w.ack, w.endSequence = p.Ack, p.Sequence
		if w.endpoint != s || !w.counted {
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
	return newlyEstablished
}

// handleConsumerLeft handles a flow that its consumer finished or aborted. If a request
// has been pending for long, the consumer gave it up, and it counts as overdue.
func (e *Engine) handleConsumerLeft(now clock.Millis, w *flow, s *endpointState) {
	if waited := now - w.requestAt; w.requestAt != 0 && waited <= maxOverdueAge && e.exceedsLatency(now, s, waited, overdueFactor, minOverdueTime) {
		e.recordOverdue(now, s)
	}
	// The flow is kept for closingTimeout, because other instances may query it.
	if !w.consumerDone {
		w.consumerDone = true
		w.detach()
	}
}

// trackData updates the state of a flow from the sequence numbers of a packet.
func (e *Engine) trackData(now clock.Millis, p *Packet, w *flow, s *endpointState) {
	answered, requestAt, size := false, clock.Millis(0), int(p.Ack-w.requestAck)
	if p.Flags.Has(Acknowledge) && sequenceAfter(p.Ack, w.ack) {
		w.ack = p.Ack
		if !w.counted && !w.consumerDone {
			w.attach(s)
		}
		s.silence.recordAnswer(now)
		if w.requestAt != 0 && w.counted {
			answered, requestAt = true, w.requestAt
			w.endRequest()
		}
	}
	end := p.Sequence + uint32(p.Length)
	isNew := p.Length > 0 && sequenceAfter(end, w.endSequence)
	if isNew {
		w.endSequence = end
		if w.counted {
			w.startRequest(now)
		}
	}
	if answered {
		e.recordAnswer(now, p.Destination, w, s, requestAt, size)
	}
	switch {
	case p.Length == 0, isNew:
	default:
		w.retransmits++
		if w.requestAt != 0 {
			e.handleMiss(now, s, w.requestAt)
		}
	}
}

// recordAnswer records the answer to a request in the metrics and the evidence about its
// endpoint.
func (e *Engine) recordAnswer(now clock.Millis, destination AddrPort, w *flow, s *endpointState, requestAt clock.Millis, size int) {
	latency := now - requestAt
	e.answers = append(e.answers, Answered{Service: s.Service, Route: e.configuration.Routes[destination].Name, Latency: latency})
	e.recordAdmission(now, destination, w, size, latency)
	// Small answers are excluded from the latency: errors are fast, and would make the
	// failing endpoint the preferred one.
	if e.classifyAnswer(now, destination, w, s, size) {
		e.recordLatency(s, latency)
	}
	e.compareAnswer(now, s, requestAt)
}
