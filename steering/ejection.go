package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Limits of an ejection and of the probation after it.
const (
	minEjectionTime = 3 * clock.Second // first ejection; each further one takes twice as long
	maxEjectionTime = 12 * clock.Second
	// On probation an endpoint gets one flow per probationInterval from each instance, the
	// first ones spread over probationSpread. Probation ends after probationAnswers normal
	// answers, which show that it fails less than a third of its requests. One bad answer
	// ejects it again.
	probationSpread   = 2 * clock.Second
	probationInterval = 500 * clock.Millisecond
	probationAnswers  = 6
	// Consecutive small answers of a flow before it is reset. Fewer may be short normal
	// answers.
	minErrorsPerReset = 3
)

// ejected reports whether the endpoint is ejected now.
func (f *failures) ejected(now clock.Millis) bool { return f.ejectedUntil != 0 && now < f.ejectedUntil }

// onProbation reports whether the ejection is over and normal answers are still needed.
func (f *failures) onProbation(now clock.Millis) bool {
	return f.answersNeeded > 0 && now >= f.ejectedUntil
}

// excluded reports whether the endpoint gets no new flow now, because it is ejected or its
// next probation flow isn't due.
func (f *failures) excluded(now clock.Millis) bool {
	return f.ejected(now) || f.onProbation(now) && now < f.nextProbationAt
}

// eject excludes an endpoint from new flows for a while, and resets the flows that
// resetFailing selects. An endpoint on probation is ejected after one bad answer, which is
// too little evidence to reset flows.
func (e *Engine) eject(now clock.Millis, s *endpointState, cause string) {
	f := &s.failures
	if f.ejected(now) {
		return
	}
	onProbation := f.onProbation(now)
	evidence := e.evidence(now, s, cause)
	reset := 0
	if onProbation {
		f.endStreak()
	} else {
		reset = e.resetFailing(now, s, cause)
	}
	f.ejectionTime = min(max(2*f.ejectionTime, minEjectionTime), maxEjectionTime)
	f.ejectedUntil = now + f.ejectionTime
	f.ejectedOnProbation = onProbation
	f.nextProbationAt = f.ejectedUntil + clock.Millis(e.random.Int64N(int64(probationSpread)))
	f.answersNeeded = probationAnswers
	f.overdueAt, f.unansweredAt = nil, nil
	s.startResets(now, cause, reset)
	if cause != causeReported && (cause == causeSmall || onProbation) {
		e.pendingActions = append(e.pendingActions, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation, Failing: true, Probation: onProbation}})
	}
	e.pendingActions = append(e.pendingActions, EndpointEjected{Endpoint: s.ID, Service: s.Service, Cause: cause, EjectionTime: f.ejectionTime, ResetFlows: reset, Evidence: evidence})
}

// resetFailing resets flows of an endpoint that was found to fail, and returns their
// number. All instances share the evidence for that, but any of them may have caused it by
// a fault of its own. So idle flows are reset only if this instance counted a failure too,
// or if the endpoint is proven to answer with errors; others only if they show the failure
// themselves. Pending requests that aren't suspected lost are kept, because some are
// answered.
func (e *Engine) resetFailing(now clock.Millis, s *endpointState, cause string) (reset int) {
	f := &s.failures
	errors := e.provesErrors(now, s)
	idle := errors || f.ownFailureAt != 0 && now-f.ownFailureAt <= maxFailureAge
	for k, w := range e.flows.byKey {
		if w.endpoint == s && w.established && !w.consumerDone && (idle && w.requestAt == 0 || e.showsFailure(now, k, w)) {
			e.resetFlow(k, w, cause)
			reset++
		}
	}
	if errors {
		f.endStreak()
	}
	return reset
}

// resetMore resets flows of an endpoint that is ejected already, for new evidence.
func (e *Engine) resetMore(now clock.Millis, s *endpointState, cause string) {
	for range e.resetFailing(now, s, cause) {
		s.addReset(now, cause)
	}
}

// recordOwnFailure handles an overdue or unanswered request that this instance saw, sent at
// the given time. If the endpoint is ejected already, its idle flows are reset.
func (e *Engine) recordOwnFailure(now clock.Millis, s *endpointState, requestAt clock.Millis, cause string) {
	f := &s.failures
	f.ownFailureAt = max(f.ownFailureAt, requestAt)
	if f.ejected(now) && !f.ejectedOnProbation {
		e.resetMore(now, s, cause)
	}
}

// showsFailure reports whether a flow shows itself that its endpoint fails: its idempotent
// request is suspected lost, or its last answers were errors.
func (e *Engine) showsFailure(now clock.Millis, k key, w *flow) bool {
	if w.requestAt != 0 {
		return w.suspectedLost && e.idempotent(k.destination)
	}
	return w.showsErrors(now)
}

// showsErrors reports whether the last answers on a flow were errors by their size.
func (w *flow) showsErrors(now clock.Millis) bool {
	f := &w.endpoint.failures
	return w.smallAnswers >= minErrorsPerReset && w.streakNumber == f.streakNumber && now-f.streakGrewAt <= maxStreakGap
}

// resetIfFailing resets an idle flow of an ejected endpoint if it shows errors.
func (e *Engine) resetIfFailing(now clock.Millis, k key, w *flow) {
	if e.flows.byKey[k] == w && !w.consumerDone && w.endpoint.failures.ejected(now) && w.requestAt == 0 && w.showsErrors(now) {
		e.resetFlow(k, w, causeSmall)
		w.endpoint.addReset(now, causeSmall)
	}
}

// resetFlow forgets a flow and asks the daemon to send its consumer a reset.
func (e *Engine) resetFlow(k key, w *flow, cause string) {
	e.pendingActions = append(e.pendingActions, ResetFlow{Consumer: k.consumer, Destination: k.destination, Ack: w.ack, Endpoint: w.endpoint.ID, Cause: cause})
	e.flows.remove(k, w)
}
