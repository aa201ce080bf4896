package fleet

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

const (
	// Time between two heartbeats of a watcher, as a fraction of the record bound.
	heartbeatFraction = 0.1
	// A watcher counts as lost after this many heartbeat periods and the slack. One
	// heartbeat may be lost or late, but three in a row rarely are.
	maxMissedHeartbeats = 3
	heartbeatSlack      = 100 * clock.Millisecond
)

// heartbeatPeriod returns the time between two heartbeats of a watcher.
func (e *Engine) heartbeatPeriod() clock.Millis {
	return fractionOf(e.settings.RecordBound, heartbeatFraction)
}

// heartbeatTimeout returns how long a member counts as a watcher after a heartbeat.
func (e *Engine) heartbeatTimeout() clock.Millis {
	return maxMissedHeartbeats*e.heartbeatPeriod() + heartbeatSlack
}

// Fractions of the record bound. After the longest of these delays, a member still has
// time within the bound to read the store itself.
const (
	// How long a watch call to the store waits for changes. With the pauses between
	// calls, a watcher's records stay younger than staleFraction while the store answers.
	watchWaitFraction = 0.25
	// Age of records at which the member of the highest rank reads the store itself.
	staleFraction = 0.55
	// Age of records at which the member of the highest rank does so if no member watches. A
	// member that starts knows no other yet, and has just read the records.
	firstFraction = 0.3
	// Additional age at which the member of the lowest rank does so. The heartbeats of
	// the first member that reads the store save the others the call.
	staggerFraction = 0.2
	// Number of ranks with a delay of their own. Lower ranks all have the longest delay,
	// since so many members are seldom lost at once.
	staggerRanks = 6
)

// WatchWait returns how long a watch call to the store waits for changes.
func WatchWait(recordBound clock.Millis) clock.Millis {
	return fractionOf(recordBound, watchWaitFraction)
}

// StaleAge returns the age of records at which the store counts as unreachable.
func StaleAge(recordBound clock.Millis) clock.Millis { return fractionOf(recordBound, staleFraction) }

func fractionOf(recordBound clock.Millis, fraction float64) clock.Millis {
	return clock.Millis(fraction * float64(recordBound))
}

// recordAge returns the age of this member's configuration, endpoints or evacuation orders,
// whichever is oldest. Before they were confirmed, it is the time since the start, so that a new member
// leaves the store to the watcher at first.
func (e *Engine) recordAge(now clock.Millis) clock.Millis {
	confirmedAt := min(e.configurationConfirmedAt, e.endpointsConfirmedAt)
	if e.settings.Evacuations {
		confirmedAt = min(confirmedAt, e.evacuations.confirmedAt)
	}
	return now - max(confirmedAt, e.startedAt)
}

// storeUnreachable reports whether the store hasn't answered this member for the stale
// age. It is meaningful only for a watcher, as other members seldom read the store.
func (e *Engine) storeUnreachable(now clock.Millis) bool {
	return now-e.readAt > fractionOf(e.settings.RecordBound, staleFraction)
}

// recordsStale reports whether this member's records are so old that it would watch the store
// if it had the highest rank.
func (e *Engine) recordsStale(now clock.Millis) bool {
	return e.recordAge(now) > fractionOf(e.settings.RecordBound, staleFraction)
}

// takeoverAge returns the age of records at which this member becomes a watcher
// although another member should be. It grows with the member's place in the ranking.
func (e *Engine) takeoverAge() clock.Millis {
	ahead := e.peers.countBefore(e.settings.Self.Name)
	stagger := staggerFraction * float64(min(ahead, staggerRanks)) / staggerRanks
	return fractionOf(e.settings.RecordBound, staleFraction+stagger)
}

// isActiveWatcher reports whether the latest heartbeat of a peer shows that it watches
// the store and gets answers.
func (e *Engine) isActiveWatcher(now clock.Millis, p *peer) bool {
	if p.heartbeatAt == 0 || p.leaving || now-p.heartbeatAt > e.heartbeatTimeout() {
		return false
	}
	age := max(p.state.ConfigurationAge, p.state.EndpointsAge) + now - p.heartbeatAt
	if e.settings.Evacuations {
		age = max(age, now-p.evacuationsConfirmedAt)
	}
	return age <= fractionOf(e.settings.RecordBound, staleFraction)
}

// shouldWatch reports whether this member has to watch the store.
func (e *Engine) shouldWatch(now clock.Millis) bool {
	if e.leaving {
		return false
	}
	ahead := e.peers.countBefore(e.settings.Self.Name)
	otherWatcher := false
	for i, p := range e.peers.list {
		if !e.isActiveWatcher(now, p) {
			continue
		}
		if i < ahead {
			// A member of higher rank watches, and sends records as fresh as the store's.
			return false
		}
		otherWatcher = true
	}
	if e.watching {
		// If the store doesn't answer this member but another one, further calls are useless.
		return !otherWatcher || !e.storeUnreachable(now)
	}
	if ahead == 0 && !otherWatcher {
		return e.recordAge(now) > fractionOf(e.settings.RecordBound, firstFraction)
	}
	return e.recordAge(now) > e.takeoverAge()
}
