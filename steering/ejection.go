package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// How long an endpoint that was found to fail gets no new flows, and how it comes back.
const (
	minEjectionTime = 3 * clock.Second  // without new flows, doubled each time
	maxEjectionTime = 12 * clock.Second // at most
	// After a ban an endpoint gets a flow from each instance once in a while, the first
	// ones spread over trialSpread, until it has given as many usual answers in a row as
	// say that it fails less than a third of its requests. One bad answer bans it again.
	probationSpread   = 2 * clock.Second
	probationInterval = 500 * clock.Millisecond
	probationAnswers  = 6
)

// ejected reports whether an endpoint is found to fail now.
func (j *failures) ejected(now clock.Millis) bool { return j.ejectedUntil != 0 && now < j.ejectedUntil }

// onTrial reports whether an endpoint's ban is over and it isn't yet taken for well.
func (j *failures) onProbation(now clock.Millis) bool {
	return j.answersNeeded > 0 && now >= j.ejectedUntil
}

// refuses reports whether an endpoint gets no new flow for what was found of it.
func (j *failures) excluded(now clock.Millis) bool {
	return j.ejected(now) || j.onProbation(now) && now < j.nextProbationAt
}

// convict gives an endpoint no new flows for a while and ends those that wait for
// nothing. Requests under way are left to it, for some are answered. On trial one bad
// answer is enough for that, which says too little to end flows.
func (e *Engine) eject(now clock.Millis, s *endpointState, cause string) {
	j := &s.failures
	if j.ejected(now) {
		return
	}
	onProbation := j.onProbation(now)
	j.ejectionTime = min(max(2*j.ejectionTime, minEjectionTime), maxEjectionTime)
	j.ejectedUntil = now + j.ejectionTime
	j.nextProbationAt = j.ejectedUntil + clock.Millis(e.random.Int64N(int64(probationSpread)))
	j.answersNeeded = probationAnswers
	j.streak, j.overdueAt, j.unansweredAt = 0, nil, nil
	j.streakNumber++
	reset := 0
	for k, w := range e.flows.byKey {
		if w.server == s && w.established && !w.closing && !onProbation && (w.requestAt == 0 || w.suspectedLost && e.idempotent(k.destination)) {
			e.resetFlow(k, w)
			reset++
		}
	}
	if cause != causeReported && (cause == causeSmall || onProbation) {
		e.pendingActions = append(e.pendingActions, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation, Failing: true, Probation: onProbation}})
	}
	e.pendingActions = append(e.pendingActions, EndpointEjected{Endpoint: s.ID, Service: s.Service, Cause: cause, EjectionTime: j.ejectionTime, ResetFlows: reset})
}

// resetFlow tells the consumer of a flow that it is over.
func (e *Engine) resetFlow(k key, w *flow) {
	e.pendingActions = append(e.pendingActions, ResetFlow{Consumer: k.consumer, Destination: k.destination, Ack: w.ack, Endpoint: w.server.ID})
	e.flows.remove(k, w)
}
