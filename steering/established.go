package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// established decides on a packet of a flow that is open, or is about to be.
func (e *Engine) established(now clock.Millis, p *Packet) Decision {
	if p.Flags.Has(Open) {
		return Decision{Verdict: Drop, Reason: ReasonForged}
	}
	if p.Token == 0 {
		return Decision{Verdict: Drop, Reason: ReasonNoToken}
	}
	if !e.Ready() {
		return Decision{Verdict: Drop, Reason: ReasonNoRecords}
	}
	s, reason := e.named(p)
	if s == nil && !e.Complete() {
		return Decision{Verdict: Drop, Reason: ReasonNoRecords}
	}
	if s == nil {
		return Decision{Verdict: Drop, Reason: reason}
	}
	d := Decision{Verdict: Forward, Reason: ReasonToken, Endpoint: s.target(), Service: s.Service}
	if over, reason := e.over(now, p, s); over {
		if w := e.flows.byKey[p.key()]; w != nil {
			e.flows.remove(p.key(), w)
		}
		if p.Flags.Has(Abort) {
			return Decision{Verdict: Drop, Reason: reason, Service: s.Service}
		}
		return Decision{Verdict: Reset, Reason: reason, Endpoint: s.target(), Service: s.Service}
	}
	d.NewlyEstablished = e.follow(now, p, s)
	return d
}

// named returns the endpoint that a packet's token names, or nil and why not.
func (e *Engine) named(p *Packet) (*server, Reason) {
	list := e.directory.byToken[p.Token]
	switch len(list) {
	case 0:
		return nil, ReasonUnknownToken
	case 1:
		return list[0], ReasonToken
	}
	if w := e.flows.byKey[p.key()]; w != nil && w.server.token == p.Token {
		return w.server, ReasonToken
	}
	return nil, ReasonAmbiguous
}

// over reports whether a flow can't go on, and why.
func (e *Engine) over(now clock.Millis, p *Packet, s *server) (bool, Reason) {
	if e.removedRoutes[p.Destination] {
		return true, ReasonRouteRemoved
	}
	// An endpoint that is cut off from the store alone still answers its flows.
	if s.standing == gone && s.silence.progress < s.since {
		return true, ReasonEndpointGone
	}
	// A request that must not be repeated goes on in the hope that it arrives.
	if s.silence.over(now) && p.Length > 0 && e.repeatable(p.Destination) {
		return true, ReasonEndpointSilent
	}
	return false, ReasonToken
}

// follow takes what a packet tells of its flow, and reports whether it is the
// first to show that the flow is open.
func (e *Engine) follow(now clock.Millis, p *Packet, s *server) bool {
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
		w.opened = now
		w.ack, w.end = p.Ack, p.Sequence
		w.join(s)
	} else if !w.established || w.server != s {
		opened = !w.established
		w.established = true
		w.ack, w.end = p.Ack, p.Sequence
		if w.server != s {
			w.join(s)
		}
		s.silence.heard(now)
	}
	w.last = now
	if !p.Flags.Has(Abort) {
		e.followData(now, p, w, s)
	}
	if p.Flags.Has(Abort) || p.Flags.Has(Finish) {
		e.left(now, w, s)
	}
	return opened
}

// left notes that a consumer is done with a flow. One that leaves while its request
// has waited very long has given it up.
func (e *Engine) left(now clock.Millis, w *flow, s *server) {
	if waited := now - w.asked; w.asked != 0 && waited <= overdueMostAge && e.waitsLong(now, s, waited, overdueTimes, overdueLeast) {
		e.overdue(now, s)
	}
	// It is remembered for a while, since others may ask whether it got its answer.
	if !w.closing {
		w.closing = true
		w.leave()
	}
}

// followData takes the sequence numbers of a packet in.
func (e *Engine) followData(now clock.Millis, p *Packet, w *flow, s *server) {
	if p.Flags.Has(Acknowledge) && after(p.Ack, w.ack) {
		w.ack = p.Ack
		s.silence.heard(now)
		if w.asked != 0 && w.counted {
			took := w.answer(now)
			e.answers = append(e.answers, Answered{Service: s.Service, Route: e.configuration.Routes[p.Destination].Name, Latency: took})
			// Errors come fast, and would make their endpoint look like the best one.
			if e.judge(now, p.Destination, w, s, int(p.Ack-w.from)) {
				e.answered(s, took)
			}
		}
	}
	if p.Length == 0 {
		return
	}
	end := p.Sequence + uint32(p.Length)
	if after(end, w.end) {
		w.end = end
		if w.counted {
			w.ask(now)
		}
		return
	}
	w.repeats++
	if w.asked != 0 {
		e.missed(now, s, w.asked)
	}
}
