package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// When an endpoint counts as silent, and when it is tried again. They answer
// endpoints that crash, or whose packets go nowhere, seconds before their entry
// leaves the store.
const (
	// One packet in a hundred may be lost, so one flow's silence says little.
	silentFlows = 2
	// A consumer repeats data after 200 ms, so an endpoint that has answered
	// nothing for longer, and owes answers, is not merely slow to acknowledge.
	silentAfter = 300 * clock.Millisecond
	firstRest   = 1 * clock.Second // before one flow is tried again
	lastRest    = 8 * clock.Second
	probePause  = 1 * clock.Second // between two probes of an endpoint
)

// silence is what tells whether an endpoint has fallen silent.
type silence struct {
	progress clock.Millis // when an answer last came
	missed   int          // flows that got no answer since
	rest     clock.Millis // how long it gets no new flows; 0 when it isn't silent
	until    clock.Millis // end of the rest
	probed   clock.Millis
	refused  bool // its address refuses connections, so it has ended
}

// avoided reports whether new flows should go elsewhere.
func (s *silence) avoided(now clock.Millis) bool {
	return s.refused || s.rest != 0 && now < s.until
}

// heard notes that an endpoint answered.
func (s *silence) heard(now clock.Millis) {
	*s = silence{progress: now, probed: s.probed}
}

// miss notes that a flow got no answer, and reports whether the endpoint is now
// found silent.
func (s *silence) miss(now clock.Millis) bool {
	s.missed++
	if s.missed < silentFlows || now-s.progress < silentAfter || now < s.until {
		return false
	}
	s.rest = min(max(s.rest*2, firstRest), lastRest)
	s.until = now + s.rest
	return true
}

// probeDue reports whether an endpoint should be asked on a connection of its
// own, and notes that it is.
func (s *silence) probeDue(now clock.Millis) bool {
	if s.probed != 0 && now-s.probed < probePause {
		return false
	}
	s.probed = now
	return true
}
