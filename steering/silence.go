package steering

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Limits for detecting endpoints that stop responding, because they crashed or because
// their packets are lost. The store removes the entry of such an endpoint only seconds
// later.
const (
	// Unanswered flows before an endpoint counts as silent. Up to 1 % of the packets may
	// be lost, so a single unanswered flow is no proof.
	minSilentFlows = 2
	// Consumers retransmit after 200 ms. An endpoint that has requests to answer and has
	// sent nothing for longer than that is not just slow to acknowledge.
	minSilentTime = 300 * clock.Millisecond
	// A handshake takes 8 ms on the platform. An opening that waits five times as
	// long may have been reset by an endpoint that is starting or has ended.
	openingProbeDelay = 40 * clock.Millisecond
	// Consumers retransmit a request after 200 ms, unless their flow was reset. A request
	// without a retransmission by now may belong to a flow that the endpoint reset.
	requestProbeDelay = 260 * clock.Millisecond
	minBackoff        = 1 * clock.Second // first pause without new flows, doubled each time
	maxBackoff        = 8 * clock.Second
	probeInterval     = 500 * clock.Millisecond // minimum time between two probes of an endpoint
	// The same after another instance reported that the endpoint refuses connections.
	refusedProbeInterval = 50 * clock.Millisecond
	probeValidity        = 3 * clock.Second // how long a probe result is used
	// Time without any answer after which an endpoint may count as lost. A host accepts
	// connections at once even under load, and on a healthy path some answer arrives
	// within this time when two flows wait.
	minLostTime  = 500 * clock.Millisecond
	minLostVotes = 2 // instances whose probes timed out
	// Endpoints that were found to have ended are probed again at this interval, because a
	// network partition looks the same and is temporary. The finding is valid a little
	// longer than the interval, so that the next probe can renew it.
	reprobeInterval = 1500 * clock.Millisecond
	endedValidity   = 2 * clock.Second
	// A tick that is late by this much counts as a stall: packets may be waiting unread in
	// the socket, so missing answers are no evidence until stallRecovery has passed. Timers
	// of the smallest instances are late by about 10 ms under load.
	minStall      = 60 * clock.Millisecond
	stallRecovery = 1 * clock.Second
)

// silence is the evidence that an endpoint sends no packets.
type silence struct {
	answeredAt      clock.Millis // last answer from the endpoint
	unansweredFlows int          // flows of this instance without an answer since then
	suspected       bool         // an opening got no answer, or another instance reported refused connections; a probe decides
	backoff         clock.Millis // current pause without new flows; 0 when not silent
	backoffUntil    clock.Millis // end of that pause
	probedAt        clock.Millis // last request for a probe
	probeTimedOutAt clock.Millis // last probe without an answer; 0 after an answer
	votes           []vote       // instances that reported a probe timeout
	refused         bool         // the address refuses connections, so the process has ended
	lost            bool         // it answers neither flows nor probes
	endedAt         clock.Millis // when refused or lost was set, or last confirmed by a probe
}

// vote is the report of another instance that its probe of an endpoint timed out.
type vote struct {
	instance string
	at       clock.Millis
}

// ended reports whether the endpoint was found refused or lost and has not answered
// since. Until it does, it gets no new flows.
func (s *silence) ended() bool { return s.refused || s.lost }

// endedRecently reports whether the finding that the endpoint has ended is still valid.
// Only then are its flows reset: the cause may be a partition that is over by now.
func (s *silence) endedRecently(now clock.Millis) bool {
	return s.ended() && now-s.endedAt <= endedValidity
}

// avoided reports whether new flows should go to other endpoints.
func (s *silence) avoided(now clock.Millis) bool {
	return s.ended() || s.suspected || s.backoff != 0 && now < s.backoffUntil || s.countVotes(now) > 0
}

// recordAnswer handles an answer from the endpoint. It clears all evidence of silence.
func (s *silence) recordAnswer(now clock.Millis) {
	if s.unansweredFlows == 0 && !s.ended() && s.probeTimedOutAt == 0 && s.votes == nil {
		s.answeredAt = now
		return
	}
	*s = silence{answeredAt: now, probedAt: s.probedAt}
}

// recordMiss counts a flow that got no answer, and reports whether the endpoint now
// counts as silent and starts a backoff.
func (s *silence) recordMiss(now clock.Millis) bool {
	s.unansweredFlows++
	if s.unansweredFlows < minSilentFlows || now-s.answeredAt < minSilentTime || now < s.backoffUntil {
		return false
	}
	s.backoff = min(max(s.backoff*2, minBackoff), maxBackoff)
	s.backoffUntil = now + s.backoff
	return true
}

// probeDue reports whether the endpoint may be probed again, and if so sets probedAt.
func (s *silence) probeDue(now, interval clock.Millis) bool {
	if s.probedAt != 0 && now-s.probedAt < interval {
		return false
	}
	s.probedAt = now
	return true
}

// addVote stores a probe timeout that another instance reported, one per instance.
func (s *silence) addVote(now clock.Millis, instance string) {
	s.votes = slices.DeleteFunc(s.votes, func(v vote) bool { return v.instance == instance || now-v.at > probeValidity })
	s.votes = append(s.votes, vote{instance, now})
}

// countVotes returns the number of valid votes.
func (s *silence) countVotes(now clock.Millis) int {
	n := 0
	for _, v := range s.votes {
		if now-v.at <= probeValidity {
			n++
		}
	}
	return n
}

// isLost reports whether the endpoint should be declared lost: this instance has silent
// flows and its own probe timed out, or the probes of enough instances did.
func (s *silence) isLost(now clock.Millis) bool {
	if s.lost || now-s.answeredAt < minLostTime {
		return false
	}
	timedOut := s.probeTimedOutAt != 0 && now-s.probeTimedOutAt <= probeValidity
	votes := s.countVotes(now)
	if timedOut {
		votes++
	}
	return timedOut && s.unansweredFlows >= minSilentFlows || votes >= minLostVotes
}

// handleMiss handles a flow that an endpoint hasn't answered since the given time. It is
// called when the consumer retransmits, which shows that no acknowledgement arrived.
func (e *Engine) handleMiss(now clock.Millis, s *endpointState, since clock.Millis) {
	if since < s.silence.answeredAt || s.silence.ended() {
		return
	}
	if s.silence.recordMiss(now) {
		e.pendingActions = append(e.pendingActions, EndpointSilent{Endpoint: s.ID, Service: s.Service, UnansweredFlows: s.silence.unansweredFlows, Backoff: s.silence.backoff})
	}
	e.checkLost(now, s)
	e.requestProbe(now, s)
}

// checkWaiting handles a flow whose opening or request has waited long for the endpoint.
// It requests a probe, because no packet shows that the endpoint reset the flow or that
// the consumer left.
func (e *Engine) checkWaiting(now clock.Millis, k key, w *flow) {
	s := w.endpoint
	if w.established && e.exceedsLatency(now, s, now-w.requestAt, suspectFactor, minSuspectTime) {
		e.checkSuspectedLost(now, k, w)
	}
	if e.flows.byKey[k] != w || w.waitHandled || w.established && w.retransmits > 0 {
		return
	}
	w.waitHandled = true
	since := w.lastPacketAt
	if w.established {
		since = w.requestAt
	}
	if since < s.silence.answeredAt || s.silence.ended() || now < e.stalledUntil {
		return
	}
	if w.established {
		e.requestProbe(now, s)
	} else {
		e.probeSuspect(now, s, probeInterval)
	}
}

// checkReopening handles a consumer that opens a second flow to a route while its first
// one, opened just before, isn't established. The first was probably reset by an endpoint
// that has ended, so that endpoint is probed.
func (e *Engine) checkReopening(now clock.Millis, p *Packet) {
	for i := range e.recent {
		o := &e.recent[i]
		if now-o.at > openingProbeDelay || o.key.consumer.Address != p.Consumer.Address || o.key.destination != p.Destination {
			continue
		}
		w := e.flows.byKey[o.key]
		if w != nil && !w.established && w.openedAt >= w.endpoint.silence.answeredAt && !w.endpoint.silence.ended() && now >= e.stalledUntil {
			e.probeSuspect(now, w.endpoint, probeInterval)
		}
	}
}

// probeSuspect requests a probe of an endpoint that may have ended, unless one was
// requested within the interval. New flows avoid the endpoint until the result arrives.
func (e *Engine) probeSuspect(now clock.Millis, s *endpointState, interval clock.Millis) {
	if s.silence.probeDue(now, interval) {
		s.silence.suspected = true
		e.addProbe(s)
	}
}

// requestProbe requests a probe of an endpoint, unless one was requested within
// probeInterval.
func (e *Engine) requestProbe(now clock.Millis, s *endpointState) {
	if s.silence.probeDue(now, probeInterval) {
		e.addProbe(s)
	}
}

func (e *Engine) addProbe(s *endpointState) {
	e.pendingActions = append(e.pendingActions, Probe{Endpoint: s.ID, Incarnation: s.Incarnation, Address: s.Address, Control: e.controlAddress(s)})
}

// controlAddress returns the address of the local endpoint other than s that answered
// most recently. The daemon probes it together with s, to tell a fault of s from one of
// its own network.
func (e *Engine) controlAddress(s *endpointState) AddrPort {
	var best *endpointState
	for _, o := range e.directory.byID {
		if o == s || o.entryState != listed || o.Centre != e.settings.Centre || o.silence.unansweredFlows > 0 {
			continue
		}
		if best == nil || o.silence.answeredAt > best.silence.answeredAt {
			best = o
		}
	}
	if best == nil {
		return AddrPort{}
	}
	return best.Address
}

// handleFault handles a fault that another instance reported.
func (e *Engine) handleFault(now clock.Millis, v FaultReported) []Action {
	s := e.directory.byID[v.Endpoint]
	if s == nil || s.Incarnation != v.Incarnation || s.silence.ended() {
		return nil
	}
	// A recent answer to this instance outweighs a report of a failing or lost endpoint.
	// Refused connections are verified by a probe instead.
	if v.Failing || v.Refused {
		s.observed.reporter, s.observed.reportedAt = v.Sender, now
	}
	if v.Failing {
		known := !v.Probation || s.failures.onProbation(now)
		if known && now-s.failures.normalAt >= trustReportsAfter {
			e.eject(now, s, causeReported)
		}
		return e.TakeActions()
	}
	if v.Refused {
		// A probe from this instance takes a few ms; until then other endpoints are safer.
		e.probeSuspect(now, s, refusedProbeInterval)
		return e.TakeActions()
	}
	if now-s.silence.answeredAt < minSilentTime {
		return nil
	}
	s.silence.addVote(now, v.Sender)
	e.checkLost(now, s)
	return e.TakeActions()
}

// handleProbeEnded handles the result of a probe.
func (e *Engine) handleProbeEnded(now clock.Millis, v ProbeEnded) []Action {
	s := e.directory.byID[v.Endpoint]
	if s == nil || s.Incarnation != v.Incarnation {
		return nil
	}
	s.observed.probe, s.observed.probedAt = v.Result, now
	if v.Result == ProbeAnswered {
		e.compareProbe(now, s)
	}
	if s.silence.ended() {
		e.handleReprobe(now, s, v.Result)
		return e.TakeActions()
	}
	if s.silence.probedAt <= s.silence.answeredAt {
		s.silence.suspected = false
		return nil // the endpoint has answered since
	}
	switch v.Result {
	case ProbeAnswered:
		s.silence.probeTimedOutAt, s.silence.votes, s.silence.suspected = 0, nil, false
	case ProbeRefused:
		if s.Draining {
			break // accepts no connections, but may still answer its last requests
		}
		s.silence.refused, s.silence.endedAt = true, now
		e.pendingActions = append(e.pendingActions, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation, Refused: true}})
		e.resetFlows(now, s, causeRefused)
	case ProbeTimedOut:
		if now < e.stalledUntil {
			break
		}
		s.silence.probeTimedOutAt = now
		e.pendingActions = append(e.pendingActions, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation}})
		e.checkLost(now, s)
	}
	return e.TakeActions()
}

// checkLost declares an endpoint lost and resets its flows when the evidence suffices.
func (e *Engine) checkLost(now clock.Millis, s *endpointState) {
	if !s.silence.isLost(now) || now < e.stalledUntil || e.isolated(now) {
		return
	}
	s.silence.lost, s.silence.endedAt = true, now
	e.resetFlows(now, s, causeSilent)
}

// reprobeEnded requests probes of the endpoints that were found to have ended.
func (e *Engine) reprobeEnded(now clock.Millis) {
	if now-e.reprobedAt < reprobeInterval/2 {
		return
	}
	e.reprobedAt = now
	for _, s := range e.directory.byID {
		if s.silence.ended() && s.entryState != gone && s.silence.probeDue(now, reprobeInterval) {
			e.addProbe(s)
		}
	}
}

// handleReprobe handles the result of a probe by reprobeEnded. An endpoint that answers
// was only unreachable, and gets new flows again.
func (e *Engine) handleReprobe(now clock.Millis, s *endpointState, result ProbeResult) {
	switch result {
	case ProbeAnswered:
		s.silence = silence{probedAt: s.silence.probedAt}
		e.pendingActions = append(e.pendingActions, s.stateChanged())
	case ProbeRefused, ProbeTimedOut:
		s.silence.endedAt = now
	case ProbeInconclusive:
	}
}

// isolated reports whether most local endpoints with flows are silent. Then the fault
// is more likely in the network of this instance.
func (e *Engine) isolated(now clock.Millis) bool {
	silent, answering := 0, 0
	for _, s := range e.directory.byID {
		if s.Centre != e.settings.Centre || s.entryState != listed || s.load.flows == 0 {
			continue
		}
		switch {
		case s.silence.unansweredFlows > 0:
			silent++
		case now-s.silence.answeredAt <= probeValidity:
			answering++
		}
	}
	return silent > answering
}

// resetFlows resets the flows of an endpoint, so that the next requests of their consumers
// don't wait until a deadline. Flows with a pending request that isn't idempotent are
// kept: the request may have been executed, and its consumer must decide.
func (e *Engine) resetFlows(now clock.Millis, s *endpointState, cause string) {
	reset := 0
	for k, w := range e.flows.byKey {
		if w.endpoint != s || !w.established || w.consumerDone || w.requestAt != 0 && !e.idempotent(k.destination) {
			continue
		}
		e.resetFlow(k, w, cause)
		reset++
	}
	s.startResets(now, cause, reset)
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
