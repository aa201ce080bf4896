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
	doubtHold  = 150 * clock.Millisecond
	doubtPause = 100 * clock.Millisecond // between two questions
	// MaxFlowsPerQuery is how many flows one question asks for. It goes to every member of the
	// data centre: 18 flows are 0.6 KB, which is 0.4 MB a second for 66 others, a third
	// of the smallest link.
	MaxFlowsPerQuery = 18
	// A request is in doubt after so many times the mean of its service and of its
	// endpoint, and after doubtLeast at least. Work ends later than that now and then.
	doubtTimes = 12
	doubtLeast = 400 * clock.Millisecond
	// The instance that saw the answer may have ended, or be one of another data centre
	// that took the consumer's packets for a while. Either takes flows dealt anew while
	// the request waits, so such requests come together, a few to an endpoint: of those
	// asked within unseenGap, and within unseenTimes the usual time, one counts. What is
	// under way at one moment was asked within doubtTimes the usual time, or is in doubt
	// anyway, which makes three. Flows aren't dealt anew so often within the time for which
	// one counts.
	unseenGap     = 200 * clock.Millisecond
	unseenTimes   = 5
	failingUnseen = 4
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

// doubt looks at a request that has waited much too long: it asks the other instances
// for its flow, and when none has seen it go on, counts it against its endpoint.
func (e *Engine) doubt(now clock.Millis, k key, w *flow) {
	// After standing still a process reads old packets, whose consumers may have got
	// their answers or left long ago. Flows to another data centre are mostly its
	// consumers', who go back to its instances, and those aren't asked.
	if w.asked < e.stalled || w.server.Centre != e.settings.Centre {
		return
	}
	if w.doubted == 0 {
		if len(e.doubts) < MaxFlowsPerQuery {
			w.doubted = now
			e.doubts = append(e.doubts, FlowProgress{Consumer: k.consumer, Destination: k.route, Ack: w.from})
		}
		return
	}
	if now-w.doubted < doubtPause+doubtHold {
		return
	}
	w.late = true
	s := w.server
	e.unseen(now, s, w.asked)
	if e.flows.byKey[k] == w && s.judgement.failing(now) && e.repeatable(k.route) {
		e.end(k, w)
	}
}

// askOthers adds the question for the flows in doubt.
func (e *Engine) askOthers(now clock.Millis, actions []Action) []Action {
	if len(e.doubts) == 0 || now-e.doubtAt < doubtPause {
		return actions
	}
	e.doubtAt = now
	actions = append(actions, QueryFlows{Flows: e.doubts})
	e.doubts = nil
	return actions
}

// asked tells another instance which of its flows went on here.
func (e *Engine) asked(v FlowsQueried) []Action {
	var seen []FlowProgress
	for _, s := range v.Flows {
		w := e.flows.byKey[s.key()]
		if w != nil && w.established && after(w.ack, s.Ack) {
			s.Ack = w.ack
			seen = append(seen, s)
		}
	}
	if len(seen) == 0 {
		return nil
	}
	return []Action{ReportFlows{Receiver: v.Sender, Flows: seen}}
}

// seenElsewhere forgets flows that went on at another instance: their load isn't this
// one's any more.
func (e *Engine) seenElsewhere(sights []FlowProgress) {
	for _, s := range sights {
		if w := e.flows.byKey[s.key()]; w != nil && w.asked != 0 && after(s.Ack, w.from) {
			e.flows.remove(s.key(), w)
		}
	}
}

// unseen notes that nobody saw the answer to a request that was asked at a time.
func (e *Engine) unseen(now clock.Millis, s *server, asked clock.Millis) {
	if s.silence.ended() {
		return
	}
	if e.unseenDue(now, s, asked) {
		s.judgement.tell = true
		s.judgement.tally.UnansweredAges = append(s.judgement.tally.UnansweredAges, asked)
		// Each of the others has seen a few of them only, and requests are lost meanwhile.
		e.sharing = true
	}
}

// unseenDue counts such a request, of this instance or another one, unless one of its
// moment has been counted. It reports whether it did.
func (e *Engine) unseenDue(now clock.Millis, s *server, asked clock.Millis) bool {
	j := &s.judgement
	j.unseen = slices.DeleteFunc(j.unseen, func(at clock.Millis) bool { return now-at > overdueHold+overdueLeast })
	gap := max(unseenGap, clock.Millis(unseenTimes*e.usualTime(s)))
	if slices.ContainsFunc(j.unseen, func(at clock.Millis) bool { return max(at-asked, asked-at) < gap }) {
		return false
	}
	j.unseen = append(j.unseen, asked)
	if (len(j.unseen) >= failingUnseen || j.onTrial(now)) && !e.overloaded(now, s) {
		e.convict(now, s, whyUnseen)
	}
	return true
}
