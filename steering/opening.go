package steering

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tanagerdock/tanagerdock/clock"
)

// confirmHold is how long a configuration counts as in force after the store
// confirmed it. A change has to be in force 3 s after it was accepted.
const confirmHold = 3 * clock.Second

// open decides on an opening packet.
func (e *Engine) open(now clock.Millis, p *Packet) Decision {
	if !e.Ready() {
		return Decision{Verdict: Drop, Reason: ReasonNoRecords}
	}
	route, found := e.configuration.Routes[p.Destination]
	if !found {
		if now-e.confirmed > confirmHold {
			return Decision{Verdict: Drop, Reason: ReasonStaleRoute}
		}
		return Decision{Verdict: Reset, Reason: ReasonNoRoute}
	}
	k := p.key()
	w := e.flows.byKey[k]
	if w != nil && w.established {
		// The consumer's port is in use again.
		e.flows.remove(k, w)
		w = nil
	}
	if w != nil {
		return e.reopen(now, p, w, &route)
	}
	return e.openNew(now, p, k, &route)
}

// openNew places a flow that this daemon hasn't seen.
func (e *Engine) openNew(now clock.Millis, p *Packet, k key, route *Route) Decision {
	e.returned(now, p)
	service := route.choose(k.hash())
	s := e.place(now, service, nil)
	if s == nil {
		service, s = e.placeElsewhere(now, route, service)
	}
	if s == nil && !e.Complete() {
		return Decision{Verdict: Drop, Reason: ReasonNoRecords, Service: service}
	}
	if s == nil {
		return Decision{Verdict: Reset, Reason: ReasonNoEndpoint, Service: service}
	}
	if w := e.flows.add(k); w != nil {
		w.service = service
		w.opened, w.last = now, now
		w.copies = p.Ack
		w.join(s)
		e.recent[e.recentAt] = opening{k, now}
		e.recentAt = (e.recentAt + 1) % recentOpenings
	}
	return e.placed(ReasonPlaced, s, service)
}

// placeElsewhere tries the other services of a route, which the operators allow
// as well.
func (e *Engine) placeElsewhere(now clock.Millis, route *Route, service string) (string, *server) {
	for _, share := range route.Shares {
		if share.Service == service || share.Weight <= 0 {
			continue
		}
		if s := e.place(now, share.Service, nil); s != nil {
			return share.Service, s
		}
	}
	return service, nil
}

// reopen decides on a copy of an opening packet. The consumer sends one when it
// heard nothing for 200 ms, many times as long as an answer takes, so another
// endpoint gets it. The flow opens at the one that the consumer hears first.
func (e *Engine) reopen(now clock.Millis, p *Packet, w *flow, route *Route) Decision {
	w.last = now
	if p.Ack <= w.copies && w.server.standing == listed && route.allows(w.server.Service) {
		return Decision{Verdict: Forward, Reason: ReasonRepeated, Endpoint: w.server.target(), Service: w.service}
	}
	w.copies, w.waited = p.Ack, false
	e.missed(now, w.server, w.opened)
	service := w.service
	if !route.allows(service) {
		service = route.choose(p.key().hash())
	}
	s := e.place(now, service, w.server)
	if s == nil {
		return Decision{Verdict: Reset, Reason: ReasonNoEndpoint, Service: service}
	}
	reason := ReasonMoved
	if s == w.server {
		reason = ReasonRepeated
	}
	w.service = service
	w.join(s)
	return e.placed(reason, s, service)
}

// placed is the decision to forward an opening packet to an endpoint.
func (e *Engine) placed(reason Reason, s *server, service string) Decision {
	return Decision{Verdict: Forward, Reason: reason, Endpoint: s.target(), Service: service, OtherCentre: s.Centre != e.settings.Centre}
}

// hash is the same for all packets of a flow, and at all daemons.
func (k key) hash() uint64 {
	var b [12]byte
	put := func(at int, e AddrPort) {
		b[at], b[at+1], b[at+2], b[at+3] = byte(e.Address>>24), byte(e.Address>>16), byte(e.Address>>8), byte(e.Address)
		b[at+4], b[at+5] = byte(e.Port>>8), byte(e.Port)
	}
	put(0, k.consumer)
	put(6, k.route)
	return xxhash.Sum64(b[:])
}
