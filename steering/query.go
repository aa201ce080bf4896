package steering

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Limits for detecting endpoints that leave some of their requests unanswered. Routers
// may have moved a flow to another instance, which then saw the consumer acknowledge the
// answer. So the other instances are queried before a request counts as unanswered.
const (
	// Instances of a data centre reply within a few ms, but the smallest ones stall for up
	// to 100 ms when their CPU quota is used up.
	queryTimeout  = 150 * clock.Millisecond
	queryInterval = 100 * clock.Millisecond // minimum time between two queries
	// MaxFlowsPerQuery is the maximum number of flows in one query. A query goes to all
	// instances of the data centre: 18 flows take 0.6 KB, which makes 0.4 MB/s for 66
	// receivers, a third of the smallest link.
	MaxFlowsPerQuery = 18
	// The other instances are queried for a request after suspectFactor times the expected
	// latency, and at least minSuspectTime. A few requests do take longer than that.
	suspectFactor  = 12
	minSuspectTime = 400 * clock.Millisecond
	// No instance may reply although a request was answered: the instance that saw the
	// answer may have ended, or belong to another data centre that received the consumer's
	// packets for a while. That requires that routers moved flows while the request was
	// pending, so it affects several requests of the same moment. Therefore requests sent
	// within minUnansweredGap of each other, or within unansweredGapFactor times the
	// expected latency, count as one. The requests pending at one moment were sent within
	// suspectFactor times the expected latency (older ones are suspect anyway), so they
	// count as three at most, and unansweredToEject is four. Routers don't move flows more
	// often within the time for which an unanswered request counts.
	minUnansweredGap    = 200 * clock.Millisecond
	unansweredGapFactor = 5
	unansweredToEject   = 4
)

// FlowProgress identifies a flow and says how far an instance has seen it progress.
type FlowProgress struct {
	_           struct{} `cbor:",toarray"`
	Consumer    AddrPort
	Destination AddrPort
	Ack         uint32 // next byte that the consumer expects
}

// FlowID returns the identification of the flow in logs.
func (p *FlowProgress) FlowID() string { return p.key().String() }

func (p *FlowProgress) key() key { return key{p.Consumer, p.Destination} }

// checkSuspectedLost handles a request that has waited so long that it may be lost. It
// adds the flow to the next query. When the time for replies is over and no instance
// reported progress, the request counts as unanswered by its endpoint.
func (e *Engine) checkSuspectedLost(now clock.Millis, k key, w *flow) {
	// After a stall, packets from the socket buffer are old, and their consumers may have
	// been answered or left since. Flows to another data centre mostly belong to its own
	// consumers, whose packets return to its instances, and those aren't queried.
	if w.requestAt < e.stalledUntil || w.endpoint.Centre != e.settings.Centre || w.endpoint.silence.unreachable() {
		return
	}
	if w.queriedAt == 0 {
		if len(e.flowsToQuery) < MaxFlowsPerQuery {
			w.queriedAt = now
			e.flowsToQuery = append(e.flowsToQuery, FlowProgress{Consumer: k.consumer, Destination: k.destination, Ack: w.requestAck})
		}
		return
	}
	if now-w.queriedAt < queryInterval+queryTimeout || e.wasIsolated {
		return
	}
	w.suspectedLost = true
	e.recordUnanswered(now, w.endpoint, w.requestAt)
}

// queryFlows appends the action that queries the other instances, if flows are waiting for
// it and queryInterval has passed.
func (e *Engine) queryFlows(now clock.Millis, actions []Action) []Action {
	if len(e.flowsToQuery) == 0 || now-e.queriedAt < queryInterval {
		return actions
	}
	e.queriedAt = now
	actions = append(actions, QueryFlows{Flows: e.flowsToQuery})
	e.flowsToQuery = nil
	return actions
}

// reportFlows answers a query with the flows that progressed at this instance.
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

// removeReported forgets flows that progressed at another instance, which now counts
// them in its load.
func (e *Engine) removeReported(flows []FlowProgress) {
	for _, s := range flows {
		if w := e.flows.byKey[s.key()]; w != nil && w.requestAt != 0 && sequenceAfter(s.Ack, w.requestAck) {
			e.flows.remove(s.key(), w)
		}
	}
}

// recordUnanswered counts a request that was sent at the given time and whose answer no
// instance saw.
func (e *Engine) recordUnanswered(now clock.Millis, s *endpointState, requestAt clock.Millis) {
	if s.silence.unreachable() {
		return
	}
	s.observed.unanswered.add(requestAt)
	if e.addUnanswered(now, s, requestAt) {
		s.failures.tallyPending = true
		s.failures.tally.UnansweredAges = append(s.failures.tally.UnansweredAges, requestAt)
		// Sent at once: each instance sees only a few of them, and the endpoint goes on losing
		// requests until the instances have added up their counts.
		e.sendTallies = true
	}
}

// addUnanswered counts an unanswered request, of this or another instance, and ejects the
// endpoint at unansweredToEject. A request sent at about the same time as a counted one is
// ignored, and so is one sent to an earlier incarnation. It reports whether the request was
// counted.
func (e *Engine) addUnanswered(now clock.Millis, s *endpointState, requestAt clock.Millis) bool {
	if requestAt < s.knownSince {
		return false
	}
	f := &s.failures
	f.unansweredAt = slices.DeleteFunc(f.unansweredAt, func(at clock.Millis) bool { return now-at > maxFailureAge })
	gap := max(minUnansweredGap, clock.Millis(unansweredGapFactor*e.expectedLatency(s)))
	if slices.ContainsFunc(f.unansweredAt, func(at clock.Millis) bool { return max(at-requestAt, requestAt-at) < gap }) {
		return false
	}
	f.unansweredAt = append(f.unansweredAt, requestAt)
	if (len(f.unansweredAt) >= unansweredToEject || f.onProbation(now)) && !e.overloaded(now, s) {
		e.eject(now, s, causeUnanswered)
	}
	return true
}
