package fleet

import (
	"net/netip"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// doubtHold is how long the others' answers are waited for. They come within a few
// ms; the smallest instances stand still for up to a tenth of a second when their share
// of a core is used up.
const doubtHold = 150 * clock.Millisecond

// round is one question to all members for flows whose answers they may have seen.
type round struct {
	number  uint32
	at      clock.Millis
	doubts  []steering.Doubt
	answers map[string]clock.Millis // since when each member that answered has been up
	seen    []steering.Sight
}

// ask starts a round. Only one is under way at a time; flows that come meanwhile stay
// in doubt.
func (e *Engine) ask(now clock.Millis, doubts []steering.Doubt) []Action {
	if e.round.doubts != nil {
		return nil
	}
	e.round = round{number: e.round.number + 1, at: now, doubts: doubts, answers: map[string]clock.Millis{}}
	if len(e.members.list) == 0 {
		return e.conclude(now)
	}
	sights := make([]steering.Sight, len(doubts))
	for i := range doubts {
		sights[i] = doubts[i].Sight
	}
	return e.tell(Doubted{Round: e.round.number, Sights: sights})
}

// answer sends another member the flows of its question that went on here.
func (e *Engine) answer(now clock.Millis, v FlowsFound) []Action {
	p := e.members.find(v.Of)
	if p == nil {
		return nil
	}
	m := Found{Round: v.Round, Up: now - e.startedAt, Sights: v.Sights}
	return []Action{Send{To: []netip.AddrPort{p.Address}, Message: m}}
}

// answered takes a member's answer in.
func (e *Engine) answered(now clock.Millis, p *peer, m Found) []Action {
	if p == nil || e.round.doubts == nil || m.Round != e.round.number {
		return nil
	}
	e.round.answers[p.Name] = now - m.Up
	e.round.seen = append(e.round.seen, m.Sights...)
	if len(e.round.answers) < len(e.members.list) {
		return nil // also one that was absent may be back
	}
	return e.conclude(now)
}

// expire ends a round whose answers don't come.
func (e *Engine) expire(now clock.Millis) []Action {
	if e.round.doubts == nil || now-e.round.at < doubtHold {
		return nil
	}
	return e.conclude(now)
}

// conclude ends the round. That nobody saw a flow is certain only if every member
// would have: it has been up for as long as the request waits, or was absent before.
func (e *Engine) conclude(now clock.Millis) []Action {
	unseen := map[bool][]steering.Sight{}
	for _, d := range e.round.doubts {
		found := slices.ContainsFunc(e.round.seen, func(s steering.Sight) bool {
			return s.Consumer == d.Consumer && s.Route == d.Route
		})
		if !found {
			certain := e.allSaw(d.Since)
			unseen[certain] = append(unseen[certain], d.Sight)
		}
	}
	for _, p := range e.members.list {
		if _, known := e.round.answers[p.Name]; !known && p.absent == 0 {
			p.absent = now
		}
	}
	var actions []Action
	if len(e.round.seen) > 0 {
		actions = append(actions, Apply{Event: steering.FlowsSeen{Sights: e.round.seen}})
	}
	for _, certain := range []bool{true, false} {
		if len(unseen[certain]) > 0 {
			actions = append(actions, Apply{Event: steering.FlowsUnseen{Sights: unseen[certain], Certain: certain}})
		}
	}
	e.round = round{number: e.round.number}
	return actions
}

// allSaw reports whether every member that could get packets since a time has answered.
func (e *Engine) allSaw(since clock.Millis) bool {
	for _, p := range e.members.list {
		up, known := e.round.answers[p.Name]
		if known && up > since || !known && (p.absent == 0 || p.absent > since) {
			return false
		}
	}
	return true
}
