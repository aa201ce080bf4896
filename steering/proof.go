package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// An open flow ends only on proof that the process of its endpoint has ended. Whatever a
// running endpoint may cause, or this instance may miss, is no proof: silence, slow or short
// answers, probes without an answer, and reports of other instances. They move new flows.
//
// There are two proofs, and both must be younger than the flow, as another process may have
// got the endpoint's name or address before:
//   - The address refused a probe that was opened after the flow was first seen. Later than
//     that, the store confirmed that the endpoint isn't draining, or that its entry is still
//     missing. A draining endpoint closes its listener before it has answered its last requests.
//   - The entry is gone, a process that started later has the address, and the store confirmed
//     both after the flow was first seen.

// refusal is a probe that was refused. The zero value is none.
type refusal struct {
	probedAt  clock.Millis // when the probe was requested
	refusedAt clock.Millis // when its result arrived
}

// valid reports whether the refusal is recent. An earlier one may be about a process that
// was replaced since.
func (r *refusal) valid(now clock.Millis) bool {
	return r.refusedAt != 0 && now-r.refusedAt <= refusalValidity
}

// removal is what this instance found out about the process of an endpoint whose entry is gone.
// An entry may also leave because the endpoint lost its connection to the store.
type removal struct {
	running  bool // the last probe was answered
	replaced bool // a process that started later has its address
}

// answeredSinceRemoval reports whether this instance saw an answer of the endpoint after
// its entry was removed.
func (s *endpointState) answeredSinceRemoval() bool { return s.silence.answeredAt >= s.entryChangedAt }

// endProven reports whether the endpoint's process has ended since a flow to it was first seen.
func (e *Engine) endProven(now clock.Millis, s *endpointState, firstSeenAt clock.Millis) bool {
	if s.entryState == gone {
		if s.answeredSinceRemoval() {
			return false
		}
		if s.removal.replaced {
			return e.directory.confirmedAt > firstSeenAt
		}
	}
	r := &s.silence.confirmedRefusal
	return r.valid(now) && r.probedAt > firstSeenAt
}

// recordRefusal records a refused probe.
func (s *silence) recordRefusal(now clock.Millis) {
	s.lost, s.refused = false, true
	s.refusal = refusal{probedAt: s.probedAt, refusedAt: now}
}

// confirmRefusal takes the refusal of an endpoint as proof once the store has confirmed its
// entry, and resets the flows that it proves to have ended. Confirmations that were read during
// the recovery from a stall may have waited unread, and seem later than they are.
func (e *Engine) confirmRefusal(now clock.Millis, s *endpointState) {
	r := &s.silence.refusal
	if !s.silence.refused || s.silence.confirmedRefusal == *r || !r.valid(now) || e.directory.confirmedAt < e.stalledUntil || e.directory.confirmedAt <= r.refusedAt {
		return
	}
	cause := causeRefused
	switch {
	case s.entryState == gone && !s.answeredSinceRemoval():
		cause = causeGone
	case s.entryState != listed || s.Draining || s.saidDraining:
		return
	}
	known := s.silence.confirmedRefusal.valid(now)
	s.silence.confirmedRefusal = *r
	e.resetFlows(now, s, cause, known)
}

// checkGone finds out whether the process of a gone endpoint has ended, unless that was tried
// just before. It requests a probe if the records don't show it.
func (e *Engine) checkGone(now clock.Millis, s *endpointState) {
	if s.removal.replaced || s.answeredSinceRemoval() {
		return
	}
	interval := probeInterval
	switch {
	case s.silence.refusal.valid(now):
		interval = reprobeInterval
	case s.removal.running:
		interval = probeValidity
	}
	if !s.silence.probeDue(now, interval) {
		return
	}
	if e.directory.addressTaken(s) {
		s.removal.replaced = true
		e.resetFlows(now, s, causeGone, false)
		return
	}
	e.addProbe(now, s)
}

// addressTaken reports whether a process that started later has the endpoint's address.
func (d *directory) addressTaken(s *endpointState) bool {
	for _, o := range d.byID {
		if o != s && o.entryState == listed && o.Address == s.Address && s.Incarnation != 0 && o.Incarnation > s.Incarnation {
			return true
		}
	}
	return false
}

// handleRemovalProbe handles the result of a probe of a gone endpoint.
func (e *Engine) handleRemovalProbe(now clock.Millis, s *endpointState, result ProbeResult) {
	if s.removal.replaced || s.answeredSinceRemoval() {
		return
	}
	switch result {
	case ProbeRefused:
		s.removal.running = false
		s.silence.recordRefusal(now)
	case ProbeAnswered:
		s.removal.running = true
		s.silence.withdrawRefusal()
		s.silence.lost = false
	case ProbeTimedOut, ProbeInconclusive:
	}
}

// resetFlows resets the flows of an endpoint whose end is proven, so that the next requests of
// their consumers don't wait until a deadline. Flows with a pending request that isn't
// idempotent are kept: the request may have been executed, and its consumer must decide.
// known is whether the end is known already, so that only flows are worth a log line.
func (e *Engine) resetFlows(now clock.Millis, s *endpointState, cause string, known bool) {
	reset := 0
	for k, w := range e.flows.byKey {
		if w.endpoint != s || !w.established || w.consumerDone || w.requestAt != 0 && !e.idempotent(k.destination) {
			continue
		}
		if e.endProven(now, s, w.openedAt) {
			e.resetFlow(k, w, cause)
			reset++
		}
	}
	s.startResets(now, cause, reset)
	if reset > 0 || !known {
		e.addLost(now, s, cause, reset)
	}
}

// resetFlow forgets a flow and asks the daemon to send its consumer a reset.
func (e *Engine) resetFlow(k key, w *flow, cause string) {
	e.pendingActions = append(e.pendingActions, ResetFlow{
		Consumer: k.consumer, Destination: k.destination, Ack: w.ack, Endpoint: w.endpoint.ID, Cause: cause, FirstSeenAt: w.openedAt, RequestAt: w.requestAt,
	})
	e.flows.remove(k, w)
}

func (e *Engine) addLost(now clock.Millis, s *endpointState, cause string, reset int) {
	e.pendingActions = append(e.pendingActions, EndpointLost{Endpoint: s.ID, Service: s.Service, Cause: cause, ResetFlows: reset, Evidence: e.evidence(now, s, cause)})
}

// idempotent reports whether the requests on the route to a destination are idempotent.
func (e *Engine) idempotent(destination AddrPort) bool {
	if e.configuration == nil {
		return false
	}
	r, found := e.configuration.Routes[destination]
	return found && r.Idempotent
}
