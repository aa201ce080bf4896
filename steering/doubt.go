package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// When a request that got no answer here counts as unanswered. The routers may have
// dealt its flow to another instance, where the consumer acknowledged the answer, so
// the others are asked first. It answers endpoints that swallow some of their requests.
const (
	// Each question goes to every member of the data centre: 36 flows are 1.2 KB, which
	// is 0.4 MB a second for 66 others, a third of the smallest link.
	doubtPause = 200 * clock.Millisecond
	doubtsMost = 36
)

// Sight is how far an instance has seen a flow.
type Sight struct {
	_        struct{} `cbor:",toarray"`
	Consumer End
	Route    End
	Ack      uint32 // next byte that the consumer expects
}

// ID names the flow in logs.
func (s *Sight) ID() string { return s.key().String() }

func (s *Sight) key() key { return key{s.Consumer, s.Route} }

// Doubt is a flow whose request has waited for its answer much too long.
type Doubt struct {
	Sight
	Since clock.Millis
}

// doubt asks the other instances for a request that has waited much too long.
func (e *Engine) doubt(now clock.Millis, k key, w *flow) {
	// After standing still, its answer may be among the packets that are still unread.
	if w.doubted || now < e.stalled || len(e.doubts) >= doubtsMost {
		return
	}
	w.doubted = true
	e.doubts = append(e.doubts, Doubt{Sight: Sight{Consumer: k.consumer, Route: k.route, Ack: w.from}, Since: w.asked})
}

// askOthers adds the question for the flows in doubt.
func (e *Engine) askOthers(now clock.Millis, actions []Action) []Action {
	if len(e.doubts) == 0 || now-e.doubtAt < doubtPause {
		return actions
	}
	e.doubtAt = now
	actions = append(actions, AskFlows{Doubts: e.doubts})
	e.doubts = nil
	return actions
}

// asked tells another instance which of its flows got their answers here.
func (e *Engine) asked(v FlowsAsked) []Action {
	answer := TellFlows{To: v.By, Round: v.Round}
	for _, s := range v.Sights {
		w := e.flows.byKey[s.key()]
		if w != nil && w.established && after(w.ack, s.Ack) {
			s.Ack = w.ack
			answer.Sights = append(answer.Sights, s)
		}
	}
	return []Action{answer}
}

// seenElsewhere forgets flows that got their answers at another instance: their load
// isn't this one's any more.
func (e *Engine) seenElsewhere(sights []Sight) {
	for _, s := range sights {
		if w := e.waiting(s.key()); w != nil && after(s.Ack, w.from) {
			e.flows.remove(s.key(), w)
		}
	}
}

// unseen counts requests that nobody saw answered against their endpoints.
func (e *Engine) unseen(now clock.Millis, v FlowsUnseen) []Action {
	for _, s := range v.Sights {
		w := e.waiting(s.key())
		if w == nil || w.from != s.Ack {
			continue // it was answered meanwhile
		}
		w.late = true
		if v.Certain {
			e.overdue(now, w.server)
		} else {
			e.perhapsOverdue(now, w.server, w.asked)
		}
		if e.flows.byKey[s.key()] == w && w.server.judgement.failing(now) && e.repeatable(s.Route) {
			e.end(s.key(), w)
		}
	}
	return e.TakeNotes()
}

// waiting returns a flow whose request waits for its answer, or nil.
func (e *Engine) waiting(k key) *flow {
	if w := e.flows.byKey[k]; w != nil && w.asked != 0 {
		return w
	}
	return nil
}
