package steering

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tanagerdock/tanagerdock/clock"
)

// confirmationValidity is how long a configuration counts as current after the store
// confirmed it. A change must be in force 3 s after the store accepted it.
const confirmationValidity = 3 * clock.Second

// openingCopyDelay is the time without an answer after which a consumer sends a copy of its
// opening packet.
const openingCopyDelay = 200 * clock.Millisecond

// steerOpening decides on an opening packet.
func (e *Engine) steerOpening(now clock.Millis, p *Packet) Decision {
	if !e.Ready() {
		return Decision{Verdict: Drop, Reason: ReasonNoRecords}
	}
	k := p.key()
	w := e.flows.byKey[k]
	if w != nil && w.established && p.mayBeCopied() && now-w.openedAt < openingTimeout {
		return Decision{Verdict: Drop, Reason: ReasonLateCopy, Service: w.service}
	}
	route, found := e.configuration.Routes[p.Destination]
	if !found {
		if now-e.configurationConfirmedAt > confirmationValidity {
			return Decision{Verdict: Drop, Reason: ReasonStaleRoute}
		}
		return p.reject(ReasonNoRoute, "")
	}
	if w != nil && w.established {
		// The consumer reuses the port for a new flow.
		e.flows.remove(k, w)
		w = nil
	}
	if w != nil {
		return e.steerOpeningCopy(now, p, w, &route)
	}
	return e.openFlow(now, p, k, &route)
}

// reject returns the decision on an opening packet that can't be served. The first one is reset,
// so that its consumer needn't wait. A copy is dropped: the flow may be open by now through the
// instance that got another one.
func (p *Packet) reject(reason Reason, service string) Decision {
	if p.mayBeCopied() {
		return Decision{Verdict: Drop, Reason: reason, Service: service}
	}
	return Decision{Verdict: Reset, Reason: reason, Service: service}
}

// mayBeCopied reports whether the flow of an opening packet may be open by another copy of it.
func (p *Packet) mayBeCopied() bool { return p.Ack > 0 || p.Waited >= openingCopyDelay }

// openFlow places a flow that isn't in the table.
func (e *Engine) openFlow(now clock.Millis, p *Packet, k key, route *Route) Decision {
	e.checkReopening(now, p)
	service := route.choose(k.hash())
	s := e.place(now, service, nil)
	if s == nil {
		service, s = e.placeElsewhere(now, route, service)
	}
	if s == nil && !e.Complete() {
		return Decision{Verdict: Drop, Reason: ReasonNoRecords, Service: service}
	}
	if s == nil {
		return p.reject(ReasonNoEndpoint, service)
	}
	if !e.admit(now, p, route, s) {
		return p.reject(ReasonRefused, service)
	}
	if w := e.flows.add(k); w != nil {
		w.service = service
		w.openedAt, w.lastPacketAt = now, now
		w.openingCopies = p.Ack
		w.placedShort = e.isShort(s.Service)
		w.attach(s)
		e.recordPlaced(service)
		e.recent[e.recentIndex] = recentOpening{k, now}
		e.recentIndex = (e.recentIndex + 1) % recentOpenings
	}
	return e.forwardTo(ReasonPlaced, s, service)
}

// placeElsewhere places a flow at another service of its route, when the chosen service
// has no endpoint.
func (e *Engine) placeElsewhere(now clock.Millis, route *Route, service string) (string, *endpointState) {
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

// steerOpeningCopy decides on a copy of an opening packet. Consumers send a copy after 200 ms
// without an answer, which is many times as long as a handshake takes, so it goes to another
// endpoint. The flow is established with the endpoint whose answer the consumer gets first.
func (e *Engine) steerOpeningCopy(now clock.Millis, p *Packet, w *flow, route *Route) Decision {
	w.lastPacketAt = now
	if p.Ack <= w.openingCopies && w.endpoint.entryState == listed && route.allows(w.endpoint.Service) {
		return Decision{Verdict: Forward, Reason: ReasonRepeated, Endpoint: w.endpoint.target(), Service: w.service}
	}
	w.openingCopies, w.waitHandled = p.Ack, false
	e.handleMiss(now, w.endpoint, w.openedAt)
	service := w.service
	if !route.allows(service) {
		service = route.choose(p.key().hash())
	}
	s := e.place(now, service, w.endpoint)
	if s == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoEndpoint, Service: service} // w.endpoint may still answer
	}
	reason := ReasonMoved
	if s == w.endpoint {
		reason = ReasonRepeated
	}
	w.service = service
	w.attach(s)
	e.recordPlaced(service)
	return e.forwardTo(reason, s, service)
}

// forwardTo returns the decision to forward an opening packet to an endpoint.
func (e *Engine) forwardTo(reason Reason, s *endpointState, service string) Decision {
	return Decision{Verdict: Forward, Reason: reason, Endpoint: s.target(), Service: service, OtherCentre: s.Centre != e.settings.Centre}
}

// hash is the same at all instances, so that they choose the same service for copies of an
// opening packet.
func (k key) hash() uint64 {
	var b [12]byte
	put := func(at int, e AddrPort) {
		b[at], b[at+1], b[at+2], b[at+3] = byte(e.Address>>24), byte(e.Address>>16), byte(e.Address>>8), byte(e.Address)
		b[at+4], b[at+5] = byte(e.Port>>8), byte(e.Port)
	}
	put(0, k.consumer)
	put(6, k.destination)
	return xxhash.Sum64(b[:])
}
