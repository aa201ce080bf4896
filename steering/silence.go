package steering

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// When an endpoint counts as silent, when its flows are given up, and when it is
// tried again. They answer endpoints that crash, or whose packets go nowhere,
// seconds before their entry leaves the store.
const (
	// One packet in a hundred may be lost, so one flow's silence says little.
	minSilentFlows = 2
	// A consumer repeats data after 200 ms, so an endpoint that has answered
	// nothing for longer, and owes answers, is not merely slow to acknowledge.
	minSilentTime = 300 * clock.Millisecond
	// A handshake takes 8 ms on the platform. An opening that waits five times as
	// long may have been reset by an endpoint that has just started or ended.
	maxOpeningWait = 40 * clock.Millisecond
	// Consumers repeat a request after 200 ms, unless their flow was reset.
	maxRequestWait = 260 * clock.Millisecond
	minBackoff     = 1 * clock.Second // before one flow is tried again
	maxBackoff     = 8 * clock.Second
	probeInterval  = 500 * clock.Millisecond // between two probes of an endpoint
	// The same when another instance has just found that it refuses connections.
	refusedProbeInterval = 50 * clock.Millisecond
	probeValidity        = 3 * clock.Second // for which the end of a probe says something
	// A host that takes connections does so at once, however busy it is, and no
	// endpoint on a healthy path is without any answer for this long while two
	// flows wait.
	minLostTime  = 500 * clock.Millisecond
	minLostVotes = 2 // instances whose probes hang
	// An endpoint that was found to have ended is probed again at this pace, and what was
	// found holds a little longer: a cut looks the same, and ends.
	reprobeInterval = 1500 * clock.Millisecond
	endedValidity   = 2 * clock.Second
	// A process that is late by this much may have left answers unread, and is not
	// to judge others for some time, in ms. Timers of the smallest instances are
	// late by some 10 ms under load.
	minStall      = 60 * clock.Millisecond
	stallRecovery = 1 * clock.Second
)

// silence is what tells whether an endpoint has fallen silent.
type silence struct {
	answeredAt      clock.Millis // when an answer last came
	unansweredFlows int          // flows of this instance that got no answer since
	suspected       bool         // one of them is an opening, or another instance found that it refuses connections
	backoff         clock.Millis // how long it gets no new flows; 0 when it isn't silent
	backoffUntil    clock.Millis // end of the rest
	probedAt        clock.Millis // when a probe was last asked for
	probeTimedOutAt clock.Millis // when a probe last got no answer; 0 when it got one since
	votes           []vote       // other instances whose probes hang
	refused         bool         // its address refuses connections, so its process has ended
	lost            bool         // nothing comes back from it, on flows or on new connections
	endedAt         clock.Millis // when a probe last said so
}

// vote is another instance's word that an endpoint answers no probe.
type vote struct {
	instance string
	at       clock.Millis
}

// ended reports whether the endpoint was found to have ended, at some time. New flows
// go elsewhere until it answers.
func (s *silence) ended() bool { return s.refused || s.lost }

// hasEndedNow reports whether flows of the endpoint have no hope, as a probe has just said. A
// cut looks the same while it lasts.
func (s *silence) hasEndedNow(now clock.Millis) bool {
	return s.ended() && now-s.endedAt <= endedValidity
}

// avoided reports whether new flows should go elsewhere.
func (s *silence) avoided(now clock.Millis) bool {
	return s.ended() || s.suspected || s.backoff != 0 && now < s.backoffUntil || s.countVotes(now) > 0
}

// recordAnswer notes that an endpoint answered.
func (s *silence) recordAnswer(now clock.Millis) {
	if s.unansweredFlows == 0 && !s.ended() && s.probeTimedOutAt == 0 && s.votes == nil {
		s.answeredAt = now
		return
	}
	*s = silence{answeredAt: now, probedAt: s.probedAt}
}

// recordMiss notes that a flow got no answer, and reports whether the endpoint is now
// found silent.
func (s *silence) recordMiss(now clock.Millis) bool {
	s.unansweredFlows++
	if s.unansweredFlows < minSilentFlows || now-s.answeredAt < minSilentTime || now < s.backoffUntil {
		return false
	}
	s.backoff = min(max(s.backoff*2, minBackoff), maxBackoff)
	s.backoffUntil = now + s.backoff
	return true
}

// probeDue reports whether an endpoint should be asked on a connection of its
// own, and notes that it is.
func (s *silence) probeDue(now, pause clock.Millis) bool {
	if s.probedAt != 0 && now-s.probedAt < pause {
		return false
	}
	s.probedAt = now
	return true
}

// addVote takes the word of another instance in.
func (s *silence) addVote(now clock.Millis, instance string) {
	s.votes = slices.DeleteFunc(s.votes, func(v vote) bool { return v.instance == instance || now-v.at > probeValidity })
	s.votes = append(s.votes, vote{instance, now})
}

// countVotes counts the other instances whose probes hang.
func (s *silence) countVotes(now clock.Millis) int {
	n := 0
	for _, v := range s.votes {
		if now-v.at <= probeValidity {
			n++
		}
	}
	return n
}

// loses reports whether all that is known says that nothing comes back from the
// endpoint any more.
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

// handleMiss notes that an endpoint left a flow without an answer since a time. A
// consumer repeats what isn't acknowledged, so this is seen from a packet.
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

// checkWaiting looks at a flow that checkWaiting for its endpoint longer than usual. When the
// endpoint reset it, or the consumer left, no packet ever tells.
func (e *Engine) checkWaiting(now clock.Millis, k key, w *flow) {
	s := w.server
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

// checkReopening looks at a consumer that opens a flow soon after another one to the same
// route, which isn't open yet. It was probably reset, by an endpoint that has ended.
func (e *Engine) checkReopening(now clock.Millis, p *Packet) {
	for i := range e.recent {
		o := &e.recent[i]
		if now-o.at > maxOpeningWait || o.key.consumer.Address != p.Consumer.Address || o.key.destination != p.Destination {
			continue
		}
		w := e.flows.byKey[o.key]
		if w != nil && !w.established && w.openedAt >= w.server.silence.answeredAt && !w.server.silence.ended() && now >= e.stalledUntil {
			e.probeSuspect(now, w.server, probeInterval)
		}
	}
}

// probeSuspect asks for a probe of an endpoint that has perhaps ended, unless one was asked
// for lately. Until it ends, new flows go elsewhere.
func (e *Engine) probeSuspect(now clock.Millis, s *endpointState, pause clock.Millis) {
	if s.silence.probeDue(now, pause) {
		s.silence.suspected = true
		e.addProbe(s)
	}
}

// requestProbe asks for a probe of an endpoint, unless one was asked for lately.
func (e *Engine) requestProbe(now clock.Millis, s *endpointState) {
	if s.silence.probeDue(now, probeInterval) {
		e.addProbe(s)
	}
}

func (e *Engine) addProbe(s *endpointState) {
	e.pendingActions = append(e.pendingActions, Probe{Endpoint: s.ID, Incarnation: s.Incarnation, Address: s.Address, Control: e.controlAddress(s)})
}

// controlAddress returns the address of the endpoint that answered last, but for s.
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

// handleFault takes the word of another instance in.
func (e *Engine) handleFault(now clock.Millis, v FaultReported) []Action {
	s := e.directory.byID[v.Endpoint]
	if s == nil || s.Incarnation != v.Incarnation || s.silence.ended() {
		return nil
	}
	// What was answered here lately tells more than what was found elsewhere.
	if v.Failing {
		known := !v.Probation || s.failures.onProbation(now)
		if known && now-s.failures.normalAt >= trustReportsAfter {
			e.eject(now, s, causeReported)
		}
		return e.TakeActions()
	}
	if v.Refused {
		// An own probe tells within a few ms; until then others are the better choice.
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

// handleProbeEnded takes the end of a probe in.
func (e *Engine) handleProbeEnded(now clock.Millis, v ProbeEnded) []Action {
	s := e.directory.byID[v.Endpoint]
	if s == nil || s.Incarnation != v.Incarnation {
		return nil
	}
	if s.silence.ended() {
		e.handleReprobe(now, s, v.Result)
		return e.TakeActions()
	}
	if s.silence.probedAt <= s.silence.answeredAt {
		s.silence.suspected = false
		return nil // it has answered since
	}
	switch v.Result {
	case ProbeAnswered:
		s.silence.probeTimedOutAt, s.silence.votes, s.silence.suspected = 0, nil, false
	case ProbeRefused:
		if s.Draining {
			break // it takes no connections, and may still answer its last requests
		}
		s.silence.refused, s.silence.endedAt = true, now
		e.pendingActions = append(e.pendingActions, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation, Refused: true}})
		e.resetFlows(s, "refused")
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

// settle gives an endpoint's flows up when nothing comes back from it.
func (e *Engine) checkLost(now clock.Millis, s *endpointState) {
	if !s.silence.isLost(now) || now < e.stalledUntil || e.isolated(now) {
		return
	}
	s.silence.lost, s.silence.endedAt = true, now
	e.resetFlows(s, "silent")
}

// probeAgain asks for probes of the endpoints that were found to have ended.
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

// probedAgain takes the end of such a probe in. An endpoint that answers was cut off.
func (e *Engine) handleReprobe(now clock.Millis, s *endpointState, end ProbeResult) {
	switch end {
	case ProbeAnswered:
		s.silence = silence{probedAt: s.silence.probedAt}
		e.pendingActions = append(e.pendingActions, s.stateChanged())
	case ProbeRefused, ProbeTimedOut:
		s.silence.endedAt = now
	case ProbeInconclusive:
	}
}

// isolated reports whether most endpoints of the own data centre are silent. Then
// it is more likely this instance that nothing comes through to.
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

// giveUp tells the consumers of an endpoint's flows that they are over, so that
// their next requests don't wait for a deadline. A request under way that must not
// be repeated is left to its consumer: it may have run.
func (e *Engine) resetFlows(s *endpointState, cause string) {
	reset := 0
	for k, w := range e.flows.byKey {
		if w.server != s || !w.established || w.closing || w.requestAt != 0 && !e.idempotent(k.destination) {
			continue
		}
		e.resetFlow(k, w)
		reset++
	}
	e.pendingActions = append(e.pendingActions, EndpointLost{Endpoint: s.ID, Service: s.Service, Cause: cause, ResetFlows: reset})
}

// idempotent reports whether requests on a route are idempotent.
func (e *Engine) idempotent(at AddrPort) bool {
	if e.configuration == nil {
		return false
	}
	r, found := e.configuration.Routes[at]
	return found && r.Idempotent
}
