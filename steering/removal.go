package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Probes without an answer, in a row, after which the process of an endpoint without an
// entry counts as ended. The first may have been lost on the way.
const removalTimeouts = 2

// removal is what this instance found out about the process of an endpoint whose entry was
// removed. An entry may also leave because the endpoint lost its connection to the store,
// and other instances may see its answers, so only a probe of this instance shows its end.
type removal struct {
	timeouts int  // probes without an answer since the last one with another result
	ended    bool // the process has ended
}

// unconfirmedEnd reports whether an endpoint is gone, but it isn't known whether its
// process has ended.
func (s *endpointState) unconfirmedEnd() bool {
	return s.entryState == gone && !s.removal.ended && !s.answeredSinceRemoval()
}

// answeredSinceRemoval reports whether this instance saw an answer of the endpoint after
// its entry was removed.
func (s *endpointState) answeredSinceRemoval() bool { return s.silence.answeredAt >= s.entryChangedAt }

// checkEnded finds out whether the process of a gone endpoint has ended, unless that was
// tried within the interval. It requests a probe if the records don't show it.
func (e *Engine) checkEnded(now clock.Millis, s *endpointState, interval clock.Millis) {
	if !s.unconfirmedEnd() || !s.silence.probeDue(now, interval) {
		return
	}
	if e.directory.addressTaken(s) {
		e.endRemoved(now, s)
		return
	}
	e.addProbe(s)
}

// addressTaken reports whether a process that started later has the endpoint's address.
func (d *directory) addressTaken(s *endpointState) bool {
	for _, o := range d.byID {
		if o != s && o.entryState == listed && o.Address == s.Address && o.Incarnation > s.Incarnation {
			return true
		}
	}
	return false
}

// handleRemovalProbe handles the result of a probe of a gone endpoint.
func (e *Engine) handleRemovalProbe(now clock.Millis, s *endpointState, result ProbeResult) {
	if !s.unconfirmedEnd() {
		return
	}
	switch result {
	case ProbeRefused:
		e.endRemoved(now, s)
	case ProbeTimedOut:
		if now < e.stalledUntil || e.isolated(now) {
			return
		}
		if s.removal.timeouts++; s.removal.timeouts < removalTimeouts {
			s.silence.probedAt = now
			e.addProbe(s)
			return
		}
		e.endRemoved(now, s)
	case ProbeAnswered:
		s.removal.timeouts, s.silence.refused, s.silence.lost = 0, false, false
	case ProbeInconclusive:
	}
}

// endRemoved resets the flows of a gone endpoint whose process has ended.
func (e *Engine) endRemoved(now clock.Millis, s *endpointState) {
	s.removal.ended = true
	e.resetFlows(now, s, causeGone)
}
