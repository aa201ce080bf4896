package steering

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// When an endpoint counts as silent, when its flows are given up, and when it is
// tried again. They answer endpoints that crash, or whose packets go nowhere,
// seconds before their entry leaves the store.
const (
	// One packet in a hundred may be lost, so one flow's silence says little.
	silentFlows = 2
	// A consumer repeats data after 200 ms, so an endpoint that has answered
	// nothing for longer, and owes answers, is not merely slow to acknowledge.
	silentAfter = 300 * clock.Millisecond
	// A handshake takes 8 ms on the platform. An opening that waits five times as
	// long may have been reset by an endpoint that has just started or ended.
	openingWait = 40 * clock.Millisecond
	// Consumers repeat a request after 200 ms, unless their flow was reset.
	requestWait = 260 * clock.Millisecond
	firstRest   = 1 * clock.Second // before one flow is tried again
	lastRest    = 8 * clock.Second
	probePause  = 500 * clock.Millisecond // between two probes of an endpoint
	// The same when another instance has just found that it refuses connections.
	refusedPause = 50 * clock.Millisecond
	probeHold    = 3 * clock.Second // for which the end of a probe says something
	// A host that takes connections does so at once, however busy it is, and no
	// endpoint on a healthy path is without any answer for this long while two
	// flows wait.
	lostAfter = 500 * clock.Millisecond
	lostVotes = 2 // instances whose probes hang
	// An endpoint that was found to have ended is probed again at this pace, and what was
	// found holds a little longer: a cut looks the same, and ends.
	againPause = 1500 * clock.Millisecond
	overHold   = 2 * clock.Second
	// A process that is late by this much may have left answers unread, and is not
	// to judge others for some time, in ms. Timers of the smallest instances are
	// late by some 10 ms under load.
	stalledAfter = 60 * clock.Millisecond
	stalledHold  = 1 * clock.Second
)

// silence is what tells whether an endpoint has fallen silent.
type silence struct {
	progress clock.Millis // when an answer last came
	missed   int          // flows of this instance that got no answer since
	limbo    bool         // one of them is an opening, or another instance found that it refuses connections
	rest     clock.Millis // how long it gets no new flows; 0 when it isn't silent
	until    clock.Millis // end of the rest
	probed   clock.Millis // when a probe was last asked for
	hung     clock.Millis // when a probe last got no answer; 0 when it got one since
	votes    []vote       // other instances whose probes hang
	refused  bool         // its address refuses connections, so its process has ended
	lost     bool         // nothing comes back from it, on flows or on new connections
	foundAt  clock.Millis // when a probe last said so
}

// vote is another instance's word that an endpoint answers no probe.
type vote struct {
	by string
	at clock.Millis
}

// ended reports whether the endpoint was found to have ended, at some time. New flows
// go elsewhere until it answers.
func (s *silence) ended() bool { return s.refused || s.lost }

// over reports whether flows of the endpoint have no hope, as a probe has just said. A
// cut looks the same while it lasts.
func (s *silence) over(now clock.Millis) bool { return s.ended() && now-s.foundAt <= overHold }

// avoided reports whether new flows should go elsewhere.
func (s *silence) avoided(now clock.Millis) bool {
	return s.ended() || s.limbo || s.rest != 0 && now < s.until || s.others(now) > 0
}

// heard notes that an endpoint answered.
func (s *silence) heard(now clock.Millis) {
	if s.missed == 0 && !s.ended() && s.hung == 0 && s.votes == nil {
		s.progress = now
		return
	}
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
func (s *silence) probeDue(now, pause clock.Millis) bool {
	if s.probed != 0 && now-s.probed < pause {
		return false
	}
	s.probed = now
	return true
}

// vote takes the word of another instance in.
func (s *silence) vote(now clock.Millis, by string) {
	s.votes = slices.DeleteFunc(s.votes, func(v vote) bool { return v.by == by || now-v.at > probeHold })
	s.votes = append(s.votes, vote{by, now})
}

// others counts the other instances whose probes hang.
func (s *silence) others(now clock.Millis) int {
	n := 0
	for _, v := range s.votes {
		if now-v.at <= probeHold {
			n++
		}
	}
	return n
}

// loses reports whether all that is known says that nothing comes back from the
// endpoint any more.
func (s *silence) loses(now clock.Millis) bool {
	if s.lost || now-s.progress < lostAfter {
		return false
	}
	own := s.hung != 0 && now-s.hung <= probeHold
	votes := s.others(now)
	if own {
		votes++
	}
	return own && s.missed >= silentFlows || votes >= lostVotes
}

// missed notes that an endpoint left a flow without an answer since a time. A
// consumer repeats what isn't acknowledged, so this is seen from a packet.
func (e *Engine) missed(now clock.Millis, s *server, since clock.Millis) {
	if since < s.silence.progress || s.silence.ended() {
		return
	}
	if s.silence.miss(now) {
		e.notes = append(e.notes, EndpointSilent{Endpoint: s.ID, Service: s.Service, UnansweredFlows: s.silence.missed, Backoff: s.silence.rest})
	}
	e.settle(now, s)
	e.ask(now, s)
}

// waits looks at a flow that waits for its endpoint longer than usual. When the
// endpoint reset it, or the consumer left, no packet ever tells.
func (e *Engine) waits(now clock.Millis, k key, w *flow) {
	s := w.server
	if w.established && e.waitsLong(now, s, now-w.asked, doubtTimes, doubtLeast) {
		e.doubt(now, k, w)
	}
	if e.flows.byKey[k] != w || w.waited || w.established && w.repeats > 0 {
		return
	}
	w.waited = true
	since := w.last
	if w.established {
		since = w.asked
	}
	if since < s.silence.progress || s.silence.ended() || now < e.stalled {
		return
	}
	if w.established {
		e.ask(now, s)
	} else {
		e.suspect(now, s, probePause)
	}
}

// returned looks at a consumer that opens a flow soon after another one to the same
// route, which isn't open yet. It was probably reset, by an endpoint that has ended.
func (e *Engine) returned(now clock.Millis, p *Packet) {
	for i := range e.recent {
		o := &e.recent[i]
		if now-o.at > openingWait || o.key.consumer.Address != p.Consumer.Address || o.key.route != p.Destination {
			continue
		}
		w := e.flows.byKey[o.key]
		if w != nil && !w.established && w.opened >= w.server.silence.progress && !w.server.silence.ended() && now >= e.stalled {
			e.suspect(now, w.server, probePause)
		}
	}
}

// suspect asks for a probe of an endpoint that has perhaps ended, unless one was asked
// for lately. Until it ends, new flows go elsewhere.
func (e *Engine) suspect(now clock.Millis, s *server, pause clock.Millis) {
	if s.silence.probeDue(now, pause) {
		s.silence.limbo = true
		e.probe(s)
	}
}

// ask asks for a probe of an endpoint, unless one was asked for lately.
func (e *Engine) ask(now clock.Millis, s *server) {
	if s.silence.probeDue(now, probePause) {
		e.probe(s)
	}
}

func (e *Engine) probe(s *server) {
	e.notes = append(e.notes, Probe{Endpoint: s.ID, Incarnation: s.Incarnation, Address: s.Address, Control: e.control(s)})
}

// control returns the address of the endpoint that answered last, but for s.
func (e *Engine) control(s *server) AddrPort {
	var best *server
	for _, o := range e.directory.byID {
		if o == s || o.standing != listed || o.Centre != e.settings.Centre || o.silence.missed > 0 {
			continue
		}
		if best == nil || o.silence.progress > best.silence.progress {
			best = o
		}
	}
	if best == nil {
		return AddrPort{}
	}
	return best.Address
}

// reported takes the word of another instance in.
func (e *Engine) reported(now clock.Millis, v FaultReported) []Action {
	s := e.directory.byID[v.Endpoint]
	if s == nil || s.Incarnation != v.Incarnation || s.silence.ended() {
		return nil
	}
	// What was answered here lately tells more than what was found elsewhere.
	if v.Failing {
		known := !v.Probation || s.judgement.onTrial(now)
		if known && now-s.judgement.usual >= toldAfter {
			e.convict(now, s, whyTold)
		}
		return e.TakeActions()
	}
	if v.Refused {
		// An own probe tells within a few ms; until then others are the better choice.
		e.suspect(now, s, refusedPause)
		return e.TakeActions()
	}
	if now-s.silence.progress < silentAfter {
		return nil
	}
	s.silence.vote(now, v.Sender)
	e.settle(now, s)
	return e.TakeActions()
}

// probed takes the end of a probe in.
func (e *Engine) probed(now clock.Millis, v ProbeEnded) []Action {
	s := e.directory.byID[v.Endpoint]
	if s == nil || s.Incarnation != v.Incarnation {
		return nil
	}
	if s.silence.ended() {
		e.probedAgain(now, s, v.Result)
		return e.TakeActions()
	}
	if s.silence.probed <= s.silence.progress {
		s.silence.limbo = false
		return nil // it has answered since
	}
	switch v.Result {
	case ProbeAnswered:
		s.silence.hung, s.silence.votes, s.silence.limbo = 0, nil, false
	case ProbeRefused:
		if s.Draining {
			break // it takes no connections, and may still answer its last requests
		}
		s.silence.refused, s.silence.foundAt = true, now
		e.notes = append(e.notes, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation, Refused: true}})
		e.giveUp(s, "refused")
	case ProbeTimedOut:
		if now < e.stalled {
			break
		}
		s.silence.hung = now
		e.notes = append(e.notes, ReportFault{EndpointFault{Endpoint: s.ID, Incarnation: s.Incarnation}})
		e.settle(now, s)
	}
	return e.TakeActions()
}

// settle gives an endpoint's flows up when nothing comes back from it.
func (e *Engine) settle(now clock.Millis, s *server) {
	if !s.silence.loses(now) || now < e.stalled || e.isolated(now) {
		return
	}
	s.silence.lost, s.silence.foundAt = true, now
	e.giveUp(s, "silent")
}

// probeAgain asks for probes of the endpoints that were found to have ended.
func (e *Engine) probeAgain(now clock.Millis) {
	if now-e.againAt < againPause/2 {
		return
	}
	e.againAt = now
	for _, s := range e.directory.byID {
		if s.silence.ended() && s.standing != gone && s.silence.probeDue(now, againPause) {
			e.probe(s)
		}
	}
}

// probedAgain takes the end of such a probe in. An endpoint that answers was cut off.
func (e *Engine) probedAgain(now clock.Millis, s *server, end ProbeResult) {
	switch end {
	case ProbeAnswered:
		s.silence = silence{probed: s.silence.probed}
		e.notes = append(e.notes, s.changed())
	case ProbeRefused, ProbeTimedOut:
		s.silence.foundAt = now
	case ProbeInconclusive:
	}
}

// isolated reports whether most endpoints of the own data centre are silent. Then
// it is more likely this instance that nothing comes through to.
func (e *Engine) isolated(now clock.Millis) bool {
	silent, answering := 0, 0
	for _, s := range e.directory.byID {
		if s.Centre != e.settings.Centre || s.standing != listed || s.load.flows == 0 {
			continue
		}
		switch {
		case s.silence.missed > 0:
			silent++
		case now-s.silence.progress <= probeHold:
			answering++
		}
	}
	return silent > answering
}

// giveUp tells the consumers of an endpoint's flows that they are over, so that
// their next requests don't wait for a deadline. A request under way that must not
// be repeated is left to its consumer: it may have run.
func (e *Engine) giveUp(s *server, why string) {
	reset := 0
	for k, w := range e.flows.byKey {
		if w.server != s || !w.established || w.closing || w.asked != 0 && !e.repeatable(k.route) {
			continue
		}
		e.end(k, w)
		reset++
	}
	e.notes = append(e.notes, EndpointLost{Endpoint: s.ID, Service: s.Service, Cause: why, ResetFlows: reset})
}

// repeatable reports whether requests on a route are idempotent.
func (e *Engine) repeatable(at AddrPort) bool {
	if e.configuration == nil {
		return false
	}
	r, found := e.configuration.Routes[at]
	return found && r.Idempotent
}
