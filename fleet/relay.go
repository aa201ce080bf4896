package fleet

import (
	"net/netip"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// In a large data centre, some members relay the watcher's heartbeats. With a record bound
// of 3 s, heartbeats sent directly to 66 other members would take 10 KB/s; the budget of a
// member is 4 KB/s.
const (
	// Up to this many members all get heartbeats directly from the watcher, at 3.9 KB/s.
	maxDirect = 26
	// In a larger data centre, this many members do, and relay them to the others.
	relayCount = 16
	// How long the watcher sends heartbeats directly to a member that reported missing
	// them. Its relay has ended, or considers another member the watcher.
	directPeriod = 30 * clock.Second
	// A watcher that was silent for this many heartbeat periods has ended or stopped
	// watching, so members don't ask it for heartbeats any more.
	maxMissedPeriods = 8
)

// sendHeartbeat sends a heartbeat to all members, in a large data centre through relays. As a new
// watcher it sends the first ones directly, since a member whose relay has ended misses only the
// heartbeats of a watcher that it knows.
func (e *Engine) sendHeartbeat(now clock.Millis) []Action {
	heartbeat := Heartbeat{State: e.RecordState(now)}
	if len(e.peers.list) <= maxDirect || now-e.watchingSince < e.heartbeatPeriod() {
		return e.broadcast(heartbeat)
	}
	order := e.peers.orderAfter(e.settings.Self.Name)
	var direct []netip.AddrPort
	for _, p := range order[relayCount:] {
		// A member that watches as well may have started after its relay had ended.
		if now < p.directUntil || e.isActiveWatcher(now, p) {
			direct = append(direct, p.Address)
		}
	}
	actions := []Action{Send{To: addresses(order[:relayCount]), Message: Heartbeat{State: heartbeat.State, Relay: true}}}
	if len(direct) > 0 {
		actions = append(actions, Send{To: direct, Message: heartbeat})
	}
	return actions
}

// relayHeartbeat relays a watcher's heartbeat to the members that this one serves. If
// members know different lists of members, a heartbeat may reach a member twice or not at
// all; a member that misses heartbeats asks the watcher to send them directly.
func (e *Engine) relayHeartbeat(now clock.Millis, watcher *peer, s RecordState) []Action {
	order := e.peers.orderAfter(watcher.Name)
	// The list lacks this member itself. Find its position in the watcher's list.
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
	delay := now - e.sentAt(now)
	s.ConfigurationAge, s.EndpointsAge = min(s.ConfigurationAge+delay, maxRecordAge), min(s.EndpointsAge+delay, maxRecordAge)
	if s.RecoveredAge != 0 {
		s.RecoveredAge = min(s.RecoveredAge+delay, maxRecordAge)
	}
	return []Action{Send{To: to, Message: RelayedHeartbeat{Watcher: watcher.Member, State: s}}}
}

// reportMissedHeartbeats asks watchers whose heartbeats don't arrive to send them
// directly. Small data centres have no relays, so nothing is sent there.
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

// orderAfter returns the list in order of rank, rotated to start behind the named member.
// That member comes last if the list contains it.
func (s *peerList) orderAfter(name string) []*peer {
	at := s.countBefore(name)
	if at < len(s.list) && s.list[at].Name == name {
		at++
	}
	return append(slices.Clone(s.list[at:]), s.list[:at]...)
}

// precedes reports whether p comes before o in the order that starts behind the watcher.
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
