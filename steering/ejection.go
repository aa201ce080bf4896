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

// eject excludes an endpoint from new flows for a while. It keeps its flows: a sound endpoint
// may give slow, short or few answers.
func (e *Engine) eject(now clock.Millis, s *endpointState, cause string) {
	f := &s.failures
	if f.ejected(now) {
		return
	}
	onProbation := f.onProbation(now)
	evidence := e.evidence(now, s, cause)
	if onProbation {
		f.endStreak()
	}
	f.ejectionTime = min(max(2*f.ejectionTime, minEjectionTime), maxEjectionTime)
	f.ejectedUntil = now + f.ejectionTime
	f.nextProbationAt = f.ejectedUntil + clock.Millis(e.random.Int64N(int64(probationSpread)))
	f.answersNeeded = probationAnswers
	f.overdueAt, f.unansweredAt = nil, nil
	if cause != causeReported && (cause == causeSmall || onProbation) {
		e.pendingActions = append(e.pendingActions, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation, Failing: true, Probation: onProbation}})
	}
	e.pendingActions = append(e.pendingActions, EndpointEjected{Endpoint: s.ID, Service: s.Service, Cause: cause, EjectionTime: f.ejectionTime, Evidence: evidence})
}
