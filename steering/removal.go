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
	timeouts int          // probes without an answer since the last one with another result
	endedAt  clock.Millis // when a probe last showed that the process has ended; 0 if none did
	running  bool         // the last probe was answered
	replaced bool         // a process that started later has its address
}

// endedRecently reports whether the process has ended. A result of probes is valid for
// endedValidity, since a network partition looks the same and may be over by now.
func (r *removal) endedRecently(now clock.Millis) bool {
	return r.replaced || r.endedAt != 0 && now-r.endedAt <= endedValidity
}

// answeredSinceRemoval reports whether this instance saw an answer of the endpoint after
// its entry was removed.
func (s *endpointState) answeredSinceRemoval() bool { return s.silence.answeredAt >= s.entryChangedAt }

// checkEnded finds out whether the process of a gone endpoint has ended, or still counts as
// ended, unless that was tried just before. It requests a probe if the records don't show it.
func (e *Engine) checkEnded(now clock.Millis, s *endpointState) {
	if s.removal.replaced || s.answeredSinceRemoval() {
		return
	}
	interval := probeInterval
	switch {
	case s.removal.endedRecently(now):
		interval = reprobeInterval
	case s.removal.running:
		interval = probeValidity
	}
	if !s.silence.probeDue(now, interval) {
		return
	}
	if e.directory.addressTaken(s) {
		s.removal.replaced = true
		e.resetFlows(now, s, causeGone)
		return
	}
	e.addProbe(now, s)
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
	if s.removal.replaced || s.answeredSinceRemoval() {
		return
	}
	switch result {
	case ProbeRefused:
		e.recordEnd(now, s)
	case ProbeTimedOut:
		if now < e.stalledUntil || e.isolated(now) {
			return
		}
		if s.removal.timeouts++; s.removal.timeouts < removalTimeouts {
			s.silence.probedAt = now
			e.addProbe(now, s)
			return
		}
		e.recordEnd(now, s)
	case ProbeAnswered:
		s.removal = removal{running: true}
		s.silence.refused, s.silence.lost = false, false
	case ProbeInconclusive:
	}
}

// recordEnd handles a probe that shows that the process of a gone endpoint has ended. It
// resets the endpoint's flows, unless an earlier result is still valid.
func (e *Engine) recordEnd(now clock.Millis, s *endpointState) {
	known := s.removal.endedRecently(now)
	s.removal.endedAt, s.removal.running = now, false
	if !known {
		e.resetFlows(now, s, causeGone)
	}
}
