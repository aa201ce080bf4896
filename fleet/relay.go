package fleet

import (
	"net/netip"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// How beats reach a large data centre. A watcher that told each member itself would send
// 10 KB a second to 66 others, with a bound of 3 s; 4 are its share.
const (
	// So many members still get their beats from the watcher itself: 3.9 KB a second.
	directMost = 26
	// In a larger data centre so many do, and pass them on to the others.
	relayCount = 16
	// A member that misses beats, since its relay has ended or takes another one for the
	// watcher, gets them from the watcher itself for a while.
	directHold = 30 * clock.Second
	// After a watcher has been silent for so many periods it has ended, or given the duty
	// up, and there is no use in asking it for beats.
	askPeriods = 8
)

// sendBeat sends a beat to the data centre.
func (e *Engine) sendBeat(now clock.Millis) []Action {
	beat := Heartbeat{State: e.RecordState(now)}
	if len(e.members.list) <= directMost {
		return e.tell(beat)
	}
	order := e.members.after(e.settings.Self.Name)
	var direct []netip.AddrPort
	for _, p := range order[relayCount:] {
		if now < p.direct {
			direct = append(direct, p.Address)
		}
	}
	actions := []Action{Send{To: addresses(order[:relayCount]), Message: Heartbeat{State: beat.State, Relay: true}}}
	if len(direct) > 0 {
		actions = append(actions, Send{To: direct, Message: beat})
	}
	return actions
}

// relay passes a watcher's beat on to the members that get it from this one. Members
// whose lists differ may pass a beat on twice or not at all; who gets none asks for its own.
func (e *Engine) relay(watcher *peer, s RecordState) []Action {
	order := e.members.after(watcher.Name)
	// This member isn't in its own list; this is where the watcher has it.
	self := &peer{Member: e.settings.Self, rank: rank(e.settings.Self.Name)}
	own := 0
	for own < len(order) && before(watcher, order[own], self) {
		own++
	}
	if own >= relayCount {
		return nil
	}
	order = slices.DeleteFunc(slices.Insert(order, own, self), func(p *peer) bool { return p.Name == watcher.Name })
	var to []netip.AddrPort
	for i := relayCount + own; i < len(order); i += relayCount {
		to = append(to, order[i].Address)
	}
	if len(to) == 0 {
		return nil
	}
	return []Action{Send{To: to, Message: RelayedHeartbeat{Watcher: watcher.Member, State: s}}}
}

// askBeats asks watchers whose beats are missing for beats of their own.
func (e *Engine) askBeats(now clock.Millis) (actions []Action) {
	if len(e.members.list) <= directMost {
		return nil
	}
	period := e.beatPeriod()
	for _, p := range e.members.list {
		silent := now - p.beat
		if p.beat == 0 || p.leaving || silent <= period+beatSlack || silent > askPeriods*period || now-p.askedBeat < 2*period {
			continue
		}
		p.askedBeat = now
		actions = append(actions, Send{To: []netip.AddrPort{p.Address}, Message: HeartbeatMissed{}})
	}
	return actions
}

// after returns the other members in the order of their ranks, from the one behind a
// member on, and itself last if it is among them.
func (s *members) after(name string) []*peer {
	at := s.before(name)
	if at < len(s.list) && s.list[at].Name == name {
		at++
	}
	return append(slices.Clone(s.list[at:]), s.list[:at]...)
}

// before reports whether p comes before o in the order behind a watcher.
func before(watcher, p, o *peer) bool {
	behind := func(m *peer) bool { return byRank(m, watcher) > 0 }
	if behind(p) != behind(o) {
		return behind(p)
	}
	return byRank(p, o) < 0
}

func addresses(list []*peer) []netip.AddrPort {
	to := make([]netip.AddrPort, len(list))
	for i, p := range list {
		to[i] = p.Address
	}
	return to
}
