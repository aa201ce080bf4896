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
	// A retransmission that is read sooner after its request has waited in the socket
	// together with it, because this instance was stalled.
	minRetransmitTime = 150 * clock.Millisecond
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
	votedProbeInterval   = minSilentTime    // the same after another instance's probe timed out
	probeValidity        = 3 * clock.Second // how long a probe result is used
	// Time without any answer after which an endpoint may count as lost. A host accepts
	// connections at once even under load, and on a healthy path some answer arrives
	// within this time when two flows wait.
	minLostTime = 500 * clock.Millisecond
	// Endpoints that refuse connections or were lost, or whose last probe timed out, are
	// probed again at this interval, because a network partition looks the same and is
	// temporary. A refusal is valid a little longer, so that the next probe can renew it.
	reprobeInterval = 1500 * clock.Millisecond
	refusalValidity = 2 * clock.Second
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
	suspected       bool         // an opening got no answer, or another instance reported a fault; a probe is under way
	backoff         clock.Millis // current pause without new flows; 0 when not silent
	backoffUntil    clock.Millis // end of that pause
	probedAt        clock.Millis // last request for a probe
	probeNumber     uint64       // number of that probe
	probePending    bool         // that probe is under way
	probeTimedOutAt clock.Millis // last probe without an answer; 0 after an answer
	probeAnsweredAt clock.Millis // last probe with an answer
	votes           []vote       // instances that reported a probe timeout
	lost            bool         // it answers neither flows nor probes
	refused         bool         // the address refuses connections
	refusal         refusal      // the latest refused probe
	// The latest refused probe after which the store confirmed the entry. It proves that the
	// process has ended.
	confirmedRefusal refusal
}

// vote is the report of another instance that its probe of an endpoint timed out.
type vote struct {
	instance string
	at       clock.Millis
}

// unreachable reports whether the endpoint was found refused or lost and has not answered
// since. Until it does, it gets no new flows.
func (s *silence) unreachable() bool { return s.refused || s.lost }

// withdrawRefusal withdraws the finding that the address refuses connections, when the
// endpoint turns out to be draining, or running without an entry.
func (s *silence) withdrawRefusal() {
	s.refused, s.refusal, s.confirmedRefusal = false, refusal{}, refusal{}
}

// avoided reports whether new flows should go to other endpoints.
func (s *silence) avoided(now clock.Millis) bool {
	return s.unreachable() || s.suspected || s.probeTimedOut(now) || s.backoff != 0 && now < s.backoffUntil || s.countVotes(now) > 0
}

// suspicious reports whether this instance has any sign that the endpoint is silent.
func (s *silence) suspicious(now clock.Millis) bool {
	return s.unansweredFlows > 0 || s.avoided(now)
}

// recordAnswer handles an answer from the endpoint. It clears all evidence of silence.
func (s *silence) recordAnswer(now clock.Millis) {
	if s.unansweredFlows == 0 && !s.unreachable() && s.probeTimedOutAt == 0 && s.votes == nil {
		s.answeredAt = now
		return
	}
	*s = silence{answeredAt: now, probedAt: s.probedAt}
}

// expire ends the validity of all evidence. The endpoint still gets no new flows if it was
// found unreachable.
func (s *silence) expire() {
	s.unansweredFlows, s.probeTimedOutAt, s.votes = 0, 0, nil
	s.refusal, s.confirmedRefusal = refusal{}, refusal{}
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

// probeTimedOut reports whether the last probe timed out and its result is still valid.
func (s *silence) probeTimedOut(now clock.Millis) bool {
	return s.probeTimedOutAt != 0 && now-s.probeTimedOutAt <= probeValidity
}

// isLost reports whether the endpoint should be declared lost: the probe of this instance
// timed out, and either its flows are silent too or the probe of another instance timed
// out. Probes of other instances alone prove nothing, since their paths or stalls may be
// the cause.
func (s *silence) isLost(now clock.Millis) bool {
	if s.lost || now-s.answeredAt < minLostTime {
		return false
	}
	return s.probeTimedOut(now) && (s.unansweredFlows >= minSilentFlows || s.countVotes(now) > 0)
}

// handleMiss handles a flow that an endpoint hasn't answered since the given time. It is
// called when the consumer retransmits, which shows that no acknowledgement arrived.
func (e *Engine) handleMiss(now clock.Millis, s *endpointState, since clock.Millis) {
	if since < s.silence.answeredAt || s.silence.unreachable() || now-since < minRetransmitTime {
		return
	}
	if now >= e.stalledUntil && s.silence.recordMiss(now) {
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
	if w.waitHandled || w.established && w.retransmits > 0 {
		return
	}
	w.waitHandled = true
	since := w.lastPacketAt
	if w.established {
		since = w.requestAt
	}
	if since < s.silence.answeredAt || s.silence.unreachable() || now < e.stalledUntil {
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
		if w != nil && !w.established && w.openedAt >= w.endpoint.silence.answeredAt && !w.endpoint.silence.unreachable() && now >= e.stalledUntil {
			e.probeSuspect(now, w.endpoint, probeInterval)
		}
	}
}

// probeSuspect requests a probe of an endpoint that may have ended, unless one was
// requested within the interval. New flows avoid the endpoint until the result arrives.
func (e *Engine) probeSuspect(now clock.Millis, s *endpointState, interval clock.Millis) {
	if s.silence.probeDue(now, interval) {
		s.silence.suspected = true
		e.addProbe(now, s)
	}
}

// requestProbe requests a probe of an endpoint, unless one was requested within
// probeInterval.
func (e *Engine) requestProbe(now clock.Millis, s *endpointState) {
	if s.silence.probeDue(now, probeInterval) {
		e.addProbe(now, s)
	}
}

func (e *Engine) addProbe(now clock.Millis, s *endpointState) {
	e.lastProbe++
	s.silence.probeNumber, s.silence.probePending = e.lastProbe, true
	e.pendingActions = append(e.pendingActions, Probe{Endpoint: s.ID, Number: e.lastProbe, Incarnation: s.Incarnation, Address: s.Address, Control: e.controlAddress(now, s)})
}

// controlAddress returns the address of another endpoint, which the daemon probes together
// with s to tell a fault of s from one of its own network. Endpoints without a sign of
// silence come first, then local ones, then those that answered most recently.
func (e *Engine) controlAddress(now clock.Millis, s *endpointState) AddrPort {
	var best *endpointState
	for _, o := range e.directory.byID {
		if o != s && o.entryState == listed && !o.silence.unreachable() && (best == nil || e.betterControl(now, o, best)) {
			best = o
		}
	}
	if best == nil {
		return AddrPort{}
	}
	return best.Address
}

func (e *Engine) betterControl(now clock.Millis, a, b *endpointState) bool {
	if x, y := a.silence.suspicious(now), b.silence.suspicious(now); x != y {
		return y
	}
	if x, y := a.Centre == e.settings.Centre, b.Centre == e.settings.Centre; x != y {
		return x
	}
	return a.silence.answeredAt > b.silence.answeredAt
}

// handleFault handles a fault that another instance reported.
func (e *Engine) handleFault(now clock.Millis, v FaultReported) []Action {
	s := e.directory.byID[v.Endpoint]
	if s == nil || s.Incarnation != v.Incarnation || s.silence.unreachable() {
		return nil
	}
	if v.Failing || v.Refused {
		s.observed.reporter, s.observed.reportedAt = v.Sender, now
	}
	// A recent answer to this instance outweighs a report of a failing endpoint. Refused and
	// timed-out connections are verified by a probe.
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
	if now-max(s.silence.answeredAt, s.silence.probeAnsweredAt) < minSilentTime {
		return nil
	}
	s.silence.addVote(now, v.Sender)
	e.checkLost(now, s)
	if !s.silence.unreachable() && !s.silence.probePending {
		e.probeSuspect(now, s, votedProbeInterval)
	}
	return e.TakeActions()
}

// handleProbeEnded handles the result of a probe.
func (e *Engine) handleProbeEnded(now clock.Millis, v ProbeEnded) []Action {
	if v.Delay >= minStall {
		// The next tick shows the stall too, but may come only after this result.
		e.stalledUntil = now + stallRecovery
	}
	s := e.directory.byID[v.Endpoint]
	if s == nil || s.Incarnation != v.Incarnation || s.silence.probeNumber != v.Number {
		return nil
	}
	s.silence.probePending = false
	s.observed.probe, s.observed.probedAt = v.Result, now
	if v.Result == ProbeAnswered {
		e.compareProbe(now, s)
	}
	if s.entryState == gone {
		e.handleRemovalProbe(now, s, v.Result)
		return e.TakeActions()
	}
	if s.silence.unreachable() {
		e.handleReprobe(now, s, v.Result)
		return e.TakeActions()
	}
	s.silence.suspected = false
	if s.silence.probedAt <= s.silence.answeredAt {
		return nil // the endpoint has answered since
	}
	switch v.Result {
	case ProbeAnswered:
		s.silence.probeAnsweredAt = now
		s.silence.probeTimedOutAt, s.silence.votes = 0, nil
	case ProbeRefused:
		if s.Draining {
			break // accepts no connections, but may still answer its last requests
		}
		s.silence.recordRefusal(now)
		e.pendingActions = append(e.pendingActions, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation, Refused: true}})
	case ProbeTimedOut:
		if now < e.stalledUntil {
			break
		}
		if !s.silence.probeTimedOut(now) { // each report makes all other instances probe the endpoint
			e.pendingActions = append(e.pendingActions, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation}})
		}
		s.silence.probeTimedOutAt = now
		e.checkLost(now, s)
	}
	return e.TakeActions()
}

// checkLost declares an endpoint lost when the evidence suffices. It keeps its flows: an
// endpoint whose queue of new connections is full looks the same.
func (e *Engine) checkLost(now clock.Millis, s *endpointState) {
	if !s.silence.isLost(now) || now < e.stalledUntil || e.isolated(now) {
		return
	}
	if s.Draining && s.entryState == listed && s.silence.unansweredFlows < minSilentFlows {
		return // it may accept no connections, and still answer its last requests
	}
	s.silence.lost = true
	e.addLost(now, s, causeSilent, 0)
}

// reprobe requests probes of the endpoints that were found unreachable, of those whose last
// probe timed out, and of gone ones with flows.
func (e *Engine) reprobe(now clock.Millis) {
	if now-e.reprobedAt < reprobeInterval/2 {
		return
	}
	e.reprobedAt = now
	for _, s := range e.directory.byID {
		switch {
		case s.entryState == gone && s.load.flows > 0:
			e.checkGone(now, s)
		case s.entryState != gone && (s.silence.unreachable() || s.silence.probeTimedOut(now)) && s.silence.probeDue(now, reprobeInterval):
			e.addProbe(now, s)
		}
	}
}

// handleReprobe handles the result of a probe of an endpoint that was found unreachable.
// One that answers gets new flows again.
func (e *Engine) handleReprobe(now clock.Millis, s *endpointState, result ProbeResult) {
	switch result {
	case ProbeAnswered:
		if s.silence.refused {
			e.assumeCold(now, s, s.Revision) // another process answers, whose entry may be on its way
		}
		s.silence = silence{probedAt: s.silence.probedAt, probeAnsweredAt: now}
		e.pendingActions = append(e.pendingActions, s.stateChanged())
	case ProbeRefused:
		if !s.Draining {
			s.silence.recordRefusal(now)
		}
	case ProbeTimedOut, ProbeInconclusive:
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
