package steering

import (
	"strings"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Causes of EndpointLost, as they appear in the log. Those of ejections are in outlier.go.
const (
	causeRefused = "refused"
	causeSilent  = "silent" // resets no flow
	causeGone    = "gone"
)

// ResetCauses lists the causes of ResetFlow.
func ResetCauses() []string { return []string{causeRefused, causeGone} }

// SeriesCauses lists the causes of ResetsContradicted: those of ResetFlow, and the reasons
// of resets in reply to a packet.
func SeriesCauses() []string {
	return append(ResetCauses(), ReasonEndpointGone.String(), ReasonEndpointRefused.String())
}

// What contradicts resets, as it appears in the log.
const (
	contradictedByAnswer   = "answer"   // to a request or opening that was sent after the first reset
	contradictedByProbe    = "probe"    // requested after the first reset, and answered
	contradictedByEntry    = "entry"    // of an endpoint that was gone, back in the store
	contradictedByDraining = "draining" // the entry of an endpoint that refused a connection
)

// Limits of a series of resets.
const (
	// How long after the first reset the endpoint is compared.
	contradictionWindow = 5 * clock.Second
	// Requests seen earlier after the first reset may be retransmissions whose answer was on
	// its way then.
	minRequestDelay = 200 * clock.Millisecond
	// A process that replaces one with the same ID writes its entry within this time. A
	// contradiction is reported when the store confirmed the entry afterwards.
	entryDelay = 2 * clock.Second
	// The entry of a process that has ended is removed within this time. Until then another
	// process may have got its address, whose entry isn't known yet, and answered a probe.
	entryLifetime = 5 * clock.Second
)

// resetSeries is the latest series of resets at an endpoint, and what contradicts it.
type resetSeries struct {
	cause          string       // of the first reset
	flows          int          // number of flows that were reset; 0 if there is no series
	startedAt      clock.Millis // first reset
	until          clock.Millis // when a contradiction no longer counts
	contradictedAt clock.Millis // 0 if it wasn't
	contradictedBy string
	reported       bool
}

// open reports whether a contradiction still counts.
func (r *resetSeries) open(now clock.Millis) bool {
	return r.flows > 0 && r.contradictedAt == 0 && now <= r.until
}

// startResets starts a series, unless no flow was reset.
func (s *endpointState) startResets(now clock.Millis, cause string, flows int) {
	r := &s.resets
	switch {
	case flows == 0:
		return
	case r.contradictedAt != 0 && !r.reported:
		r.flows += flows
		return
	}
	*r = resetSeries{cause: cause, flows: flows, startedAt: now, until: now + contradictionWindow}
	if cause == causeGone || cause == ReasonEndpointGone.String() {
		r.until = s.entryChangedAt + goneTimeout
	}
}

// addReset counts a flow that was reset after the first ones of a series, or starts one.
func (s *endpointState) addReset(now clock.Millis, cause string) {
	if r := &s.resets; r.flows > 0 && now <= r.until {
		r.flows++
		return
	}
	s.startResets(now, cause, 1)
}

// recordPacketReset counts a flow that was reset in reply to its packet.
func (s *endpointState) recordPacketReset(now clock.Millis, reason Reason) {
	if reason == ReasonEndpointGone || reason == ReasonEndpointRefused {
		s.addReset(now, reason.String())
	}
}

// compareAnswer compares an answer with the resets of its endpoint. sentAt is when the
// request or opening was seen.
func (e *Engine) compareAnswer(now clock.Millis, s *endpointState, sentAt clock.Millis) {
	r := &s.resets
	// Packets that waited during a stall may be older than the resets.
	if r.open(now) && sentAt >= r.startedAt+minRequestDelay && now >= e.stalledUntil {
		e.contradict(now, s, contradictedByAnswer)
	}
}

// compareProbe compares a probe that was answered with the resets of its endpoint.
func (e *Engine) compareProbe(now clock.Millis, s *endpointState) {
	r := &s.resets
	if !r.open(now) || s.silence.probedAt <= r.startedAt {
		return
	}
	e.contradict(now, s, contradictedByProbe)
}

// addressReused reports whether another endpoint has the address of s.
func (e *Engine) addressReused(s *endpointState) bool {
	for _, o := range e.directory.byID {
		if o != s && o.Address == s.Address && o.entryState == listed {
			return true
		}
	}
	return false
}

// compareEntry compares a new entry of the same incarnation with the resets of its endpoint.
func (e *Engine) compareEntry(now clock.Millis, s *endpointState) {
	r := &s.resets
	if !r.open(now) {
		return
	}
	switch r.cause {
	case causeGone, ReasonEndpointGone.String():
		e.contradict(now, s, contradictedByEntry)
	case causeRefused, ReasonEndpointRefused.String():
		if s.Draining {
			e.contradict(now, s, contradictedByDraining)
		}
	}
}

// reportDelay returns how long after a contradiction, or the recovery of the store if that is
// later, the store must confirm the entry.
func (r *resetSeries) reportDelay() clock.Millis {
	if r.contradictedBy == contradictedByProbe {
		return entryLifetime
	}
	return entryDelay
}

func (e *Engine) contradict(now clock.Millis, s *endpointState, by string) {
	s.resets.contradictedAt, s.resets.contradictedBy = now, by
	e.contradicted = append(e.contradicted, s)
}

// reportContradictions appends an action for each contradiction, once the store has
// confirmed that the endpoint is still the same process. A series whose endpoint was
// replaced has been cleared by then.
func (e *Engine) reportContradictions(actions []Action) []Action {
	kept := e.contradicted[:0]
	for _, s := range e.contradicted {
		r := &s.resets
		switch {
		case r.contradictedAt == 0 || r.reported:
		case r.contradictedBy == contradictedByProbe && (s.entryState != listed || e.addressReused(s)):
			*r = resetSeries{}
		case e.directory.confirmedAt < max(r.contradictedAt, e.directory.storeRecoveredAt)+r.reportDelay():
			kept = append(kept, s)
		default:
			r.reported = true
			actions = append(actions, ResetsContradicted{
				Endpoint: s.ID, Service: s.Service, Cause: r.cause, ResetFlows: r.flows,
				Delay: r.contradictedAt - r.startedAt, By: r.contradictedBy, State: s.stateName(),
			})
		}
	}
	clear(e.contradicted[len(kept):])
	e.contradicted = kept
	return actions
}

// ResetsContradicted makes the daemon log and count that flows of an endpoint were reset
// which then turned out to work, in the same incarnation.
type ResetsContradicted struct {
	Endpoint   string
	Service    string
	Cause      string       // of the first reset; one of SeriesCauses
	ResetFlows int          // number of flows that were reset
	Delay      clock.Millis // from the first reset to the contradiction
	By         string       // answer, probe, entry or draining
	State      string       // of the entry now: ready, draining, lapsed or gone
}

func (ResetsContradicted) action() {}

// CounterName returns a cause as it appears in names of counters.
func CounterName(cause string) string { return strings.ReplaceAll(cause, " ", "_") }
