package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// How long an endpoint that was found to fail gets no new flows, and how it comes back.
const (
	firstBan = 3 * clock.Second  // without new flows, doubled each time
	lastBan  = 12 * clock.Second // at most
	// After a ban an endpoint gets a flow from each instance once in a while, the first
	// ones spread over trialSpread, until it has given as many usual answers in a row as
	// say that it fails less than a third of its requests. One bad answer bans it again.
	trialSpread  = 2 * clock.Second
	trialPause   = 500 * clock.Millisecond
	trialAnswers = 6
)

// failing reports whether an endpoint is found to fail now.
func (j *judgement) failing(now clock.Millis) bool { return j.until != 0 && now < j.until }

// onTrial reports whether an endpoint's ban is over and it isn't yet taken for well.
func (j *judgement) onTrial(now clock.Millis) bool { return j.owed > 0 && now >= j.until }

// refuses reports whether an endpoint gets no new flow for what was found of it.
func (j *judgement) refuses(now clock.Millis) bool {
	return j.failing(now) || j.onTrial(now) && now < j.trial
}

// convict gives an endpoint no new flows for a while and ends those that wait for
// nothing. Requests under way are left to it, for some are answered. On trial one bad
// answer is enough for that, which says too little to end flows.
func (e *Engine) convict(now clock.Millis, s *server, why string) {
	j := &s.judgement
	if j.failing(now) {
		return
	}
	onTrial := j.onTrial(now)
	j.ban = min(max(2*j.ban, firstBan), lastBan)
	j.until = now + j.ban
	j.trial = j.until + clock.Millis(e.random.Int64N(int64(trialSpread)))
	j.owed = trialAnswers
	j.run, j.due, j.unseen = 0, nil, nil
	j.epoch++
	reset := 0
	for k, w := range e.flows.byKey {
		if w.server == s && w.established && !w.closing && !onTrial && (w.asked == 0 || w.late && e.repeatable(k.route)) {
			e.end(k, w)
			reset++
		}
	}
	if why != whyTold && (why == whySmall || onTrial) {
		e.notes = append(e.notes, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation, Failing: true, Probation: onTrial}})
	}
	e.notes = append(e.notes, EndpointEjected{Endpoint: s.ID, Service: s.Service, Cause: why, EjectionTime: j.ban, ResetFlows: reset})
}

// end tells the consumer of a flow that it is over.
func (e *Engine) end(k key, w *flow) {
	e.notes = append(e.notes, ResetFlow{Consumer: k.consumer, Destination: k.route, Ack: w.ack, Endpoint: w.server.ID})
	e.flows.remove(k, w)
}
