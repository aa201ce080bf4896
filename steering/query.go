package steering

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// When a request that got no answer here counts as unanswered. The routers may have
// dealt its flow to another instance, where the consumer acknowledged the answer, so
// the others are asked first. It answers endpoints that swallow some of their requests.
const (
	// Members of a data centre answer within a few ms; the smallest instances stand
	// still for up to a tenth of a second when their share of a core is used up.
	queryTimeout  = 150 * clock.Millisecond
	queryInterval = 100 * clock.Millisecond // between two questions
	// MaxFlowsPerQuery is how many flows one question asks for. It goes to every member of the
	// data centre: 18 flows are 0.6 KB, which is 0.4 MB a second for 66 others, a third
	// of the smallest link.
	MaxFlowsPerQuery = 18
	// A request is in doubt after so many times the mean of its service and of its
	// endpoint, and after doubtLeast at least. Work ends later than that now and then.
	suspectFactor  = 12
	minSuspectTime = 400 * clock.Millisecond
	// The instance that saw the answer may have ended, or be one of another data centre
	// that took the consumer's packets for a while. Either takes flows dealt anew while
	// the request waits, so such requests come together, a few to an endpoint: of those
	// asked within unseenGap, and within unseenTimes the usual time, one counts. What is
	// under way at one moment was asked within doubtTimes the usual time, or is in doubt
	// anyway, which makes three. Flows aren't dealt anew so often within the time for which
	// one counts.
	minUnansweredGap    = 200 * clock.Millisecond
	unansweredGapFactor = 5
	unansweredToEject   = 4
)

// FlowProgress is how far an instance has seen a flow.
type FlowProgress struct {
	_           struct{} `cbor:",toarray"`
	Consumer    AddrPort
	Destination AddrPort
	Ack         uint32 // next byte that the consumer expects
}

// FlowID names the flow in logs.
func (s *FlowProgress) FlowID() string { return s.key().String() }

func (s *FlowProgress) key() key { return key{s.Consumer, s.Destination} }

// checkSuspectedLost looks at a request that has waited much too long: it asks the other instances
// for its flow, and when none has seen it go on, counts it against its endpoint.
func (e *Engine) checkSuspectedLost(now clock.Millis, k key, w *flow) {
	// After standing still a process reads old packets, whose consumers may have got
	// their answers or left long ago. Flows to another data centre are mostly its
	// consumers', who go back to its instances, and those aren't asked.
	if w.requestAt < e.stalledUntil || w.server.Centre != e.settings.Centre {
		return
	}
	if w.queriedAt == 0 {
		if len(e.flowsToQuery) < MaxFlowsPerQuery {
			w.queriedAt = now
			e.flowsToQuery = append(e.flowsToQuery, FlowProgress{Consumer: k.consumer, Destination: k.destination, Ack: w.requestAck})
		}
		return
	}
	if now-w.queriedAt < queryInterval+queryTimeout {
		return
	}
	w.suspectedLost = true
	s := w.server
	e.recordUnanswered(now, s, w.requestAt)
	if e.flows.byKey[k] == w && s.failures.ejected(now) && e.idempotent(k.destination) {
		e.resetFlow(k, w)
	}
}

// askOthers adds the question for the flows in doubt.
func (e *Engine) queryFlows(now clock.Millis, actions []Action) []Action {
	if len(e.flowsToQuery) == 0 || now-e.queriedAt < queryInterval {
		return actions
	}
	e.queriedAt = now
	actions = append(actions, QueryFlows{Flows: e.flowsToQuery})
	e.flowsToQuery = nil
	return actions
}

// reportFlows tells another instance which of its flows went on here.
func (e *Engine) reportFlows(v FlowsQueried) []Action {
	var progressed []FlowProgress
	for _, s := range v.Flows {
		w := e.flows.byKey[s.key()]
		if w != nil && w.established && sequenceAfter(w.ack, s.Ack) {
			s.Ack = w.ack
			progressed = append(progressed, s)
		}
	}
	if len(progressed) == 0 {
		return nil
	}
	return []Action{ReportFlows{Receiver: v.Sender, Flows: progressed}}
}

// seenElsewhere forgets flows that went on at another instance: their load isn't this
// one's any more.
func (e *Engine) removeReported(flows []FlowProgress) {
	for _, s := range flows {
		if w := e.flows.byKey[s.key()]; w != nil && w.requestAt != 0 && sequenceAfter(s.Ack, w.requestAck) {
			e.flows.remove(s.key(), w)
		}
	}
}

// recordUnanswered notes that nobody saw the answer to a request that was asked at a time.
func (e *Engine) recordUnanswered(now clock.Millis, s *endpointState, requestAt clock.Millis) {
	if s.silence.ended() {
		return
	}
	if e.addUnanswered(now, s, requestAt) {
		s.failures.tallyPending = true
		s.failures.tally.UnansweredAges = append(s.failures.tally.UnansweredAges, requestAt)
		// Each of the others has seen a few of them only, and requests are lost meanwhile.
		e.sendTallies = true
	}
}

// unseenDue counts such a request, of this instance or another one, unless one of its
// moment has been counted. It reports whether it did.
func (e *Engine) addUnanswered(now clock.Millis, s *endpointState, requestAt clock.Millis) bool {
	j := &s.failures
	j.unansweredAt = slices.DeleteFunc(j.unansweredAt, func(at clock.Millis) bool { return now-at > overdueWindow+minOverdueTime })
	gap := max(minUnansweredGap, clock.Millis(unansweredGapFactor*e.expectedLatency(s)))
	if slices.ContainsFunc(j.unansweredAt, func(at clock.Millis) bool { return max(at-requestAt, requestAt-at) < gap }) {
		return false
	}
	j.unansweredAt = append(j.unansweredAt, requestAt)
	if (len(j.unansweredAt) >= unansweredToEject || j.onProbation(now)) && !e.overloaded(now, s) {
		e.eject(now, s, causeUnanswered)
	}
	return true
}
