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
	maxDirect = 26
	// In a larger data centre so many do, and pass them on to the others.
	relayCount = 16
	// A member that misses beats, since its relay has ended or takes another one for the
	// watcher, gets them from the watcher itself for a while.
	directPeriod = 30 * clock.Second
	// After a watcher has been silent for so many periods it has ended, or given the duty
	// up, and there is no use in asking it for beats.
	maxMissedPeriods = 8
)

// sendHeartbeat sends a beat to the data centre.
func (e *Engine) sendHeartbeat(now clock.Millis) []Action {
	heartbeat := Heartbeat{State: e.RecordState(now)}
	if len(e.peers.list) <= maxDirect {
		return e.broadcast(heartbeat)
	}
	order := e.peers.orderAfter(e.settings.Self.Name)
	var direct []netip.AddrPort
	for _, p := range order[relayCount:] {
		if now < p.directUntil {
			direct = append(direct, p.Address)
		}
	}
	actions := []Action{Send{To: addresses(order[:relayCount]), Message: Heartbeat{State: heartbeat.State, Relay: true}}}
	if len(direct) > 0 {
		actions = append(actions, Send{To: direct, Message: heartbeat})
	}
	return actions
}

// relayHeartbeat passes a watcher's beat on to the members that get it from this one. Members
// whose lists differ may pass a beat on twice or not at all; who gets none asks for its own.
func (e *Engine) relayHeartbeat(watcher *peer, s RecordState) []Action {
	order := e.peers.orderAfter(watcher.Name)
	// This member isn't in its own list; this is where the watcher has it.
	self := &peer{Member: e.settings.Self, rank: rank(e.settings.Self.Name)}
	position := 0
	for position < len(order) && precedes(watcher, order[position], self) {
		position++
	}
	if position >= relayCount {
		return nil
	}
	order = slices.DeleteFunc(slices.Insert(order, position, self), func(p *peer) bool { return p.Name == watcher.Name })
	var to []netip.AddrPort
	for i := relayCount + position; i < len(order); i += relayCount {
		to = append(to, order[i].Address)
	}
	if len(to) == 0 {
		return nil
	}
	return []Action{Send{To: to, Message: RelayedHeartbeat{Watcher: watcher.Member, State: s}}}
}

// reportMissedHeartbeats asks watchers whose beats are missing for beats of their own.
func (e *Engine) reportMissedHeartbeats(now clock.Millis) (actions []Action) {
	if len(e.peers.list) <= maxDirect {
		return nil
	}
	period := e.heartbeatPeriod()
	for _, p := range e.peers.list {
		elapsed := now - p.heartbeatAt
		if p.heartbeatAt == 0 || p.leaving || elapsed <= period+heartbeatSlack || elapsed > maxMissedPeriods*period || now-p.missedSentAt < 2*period {
			continue
		}
		p.missedSentAt = now
		actions = append(actions, Send{To: []netip.AddrPort{p.Address}, Message: HeartbeatMissed{}})
	}
	return actions
}

// orderAfter returns the other members in the order of their ranks, from the one behind a
// member on, and itself last if it is among them.
func (s *peerList) orderAfter(name string) []*peer {
	at := s.countBefore(name)
	if at < len(s.list) && s.list[at].Name == name {
		at++
	}
	return append(slices.Clone(s.list[at:]), s.list[:at]...)
}

// precedes reports whether p comes precedes o in the order behind a watcher.
func precedes(watcher, p, o *peer) bool {
	isAfter := func(m *peer) bool { return compareRank(m, watcher) > 0 }
	if isAfter(p) != isAfter(o) {
		return isAfter(p)
	}
	return compareRank(p, o) < 0
}

func addresses(list []*peer) []netip.AddrPort {
	to := make([]netip.AddrPort, len(list))
	for i, p := range list {
		to[i] = p.Address
	}
	return to
}
