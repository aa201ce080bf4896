package fleet

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Beats.
const (
	// Of the bound within which records have to be in force, the time between two.
	heartbeatFraction = 0.1
	// A beat may be lost or late; three in a row are not, in ms.
	maxMissedHeartbeats = 3
	heartbeatSlack      = 100 * clock.Millisecond
)

// heartbeatPeriod is the time between two beats of a watcher.
func (e *Engine) heartbeatPeriod() clock.Millis {
	return fractionOf(e.settings.RecordBound, heartbeatFraction)
}

// heartbeatTimeout is how long a watcher counts as one after a beat.
func (e *Engine) heartbeatTimeout() clock.Millis {
	return maxMissedHeartbeats*e.heartbeatPeriod() + heartbeatSlack
}

// Parts of the bound within which records have to be in force at every member.
// Between them lies what a member needs to read the store by itself.
const (
	// Of the bound, how long a watch waits. With the pauses around it, a watcher's
	// records are not older than staleShare while all is well.
	watchWaitFraction = 0.25
	// Of the bound, how old records may get before a member reads the store itself.
	staleFraction = 0.55
	// Of the bound, by how much the last in rank is slower to do so than the first.
	// The first one's beats spare the others the call.
	staggerFraction = 0.2
	// Ranks that are told apart by that. Those behind share the last place, since
	// so many are seldom lost at once.
	staggerRanks = 6
)

// WatchWait is how long a watch of the store may wait.
func WatchWait(recordBound clock.Millis) clock.Millis {
	return fractionOf(recordBound, watchWaitFraction)
}

// StaleAge is the age of records at which the store is taken to be away.
func StaleAge(recordBound clock.Millis) clock.Millis { return fractionOf(recordBound, staleFraction) }

func fractionOf(recordBound clock.Millis, fraction float64) clock.Millis {
	return clock.Millis(fraction * float64(recordBound))
}

// recordAge is how old the older of the own records are.
func (e *Engine) recordAge(now clock.Millis) clock.Millis {
	return now - min(e.configurationConfirmedAt, e.endpointsConfirmedAt)
}

// storeUnreachable reports whether the store doesn't answer this member, though it has
// the duty.
func (e *Engine) storeUnreachable(now clock.Millis) bool {
	return now-e.readAt > fractionOf(e.settings.RecordBound, staleFraction)
}

// takeoverAge is the age at which this member reads the store itself.
func (e *Engine) takeoverAge() clock.Millis {
	ahead := e.peers.countBefore(e.settings.Self.Name)
	stagger := staggerFraction * float64(min(ahead, staggerRanks)) / staggerRanks
	return fractionOf(e.settings.RecordBound, staleFraction+stagger)
}

// isActiveWatcher reports whether a peer isActiveWatcher with success, as far as is known.
func (e *Engine) isActiveWatcher(now clock.Millis, p *peer) bool {
	if p.heartbeatAt == 0 || p.leaving || now-p.heartbeatAt > e.heartbeatTimeout() {
		return false
	}
	age := max(p.state.ConfigurationAge, p.state.EndpointsAge) + now - p.heartbeatAt
	return age <= fractionOf(e.settings.RecordBound, staleFraction)
}

// shouldWatch decides whether this member watches the store.
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
			// One of higher rank does; what it says is as fresh as reading it.
			return false
		}
		otherWatcher = true
	}
	if e.watching {
		// Another one that reads the store spares this one calls in vain.
		return !otherWatcher || !e.storeUnreachable(now)
	}
	if ahead == 0 && !otherWatcher {
		return true
	}
	return e.recordAge(now) > e.takeoverAge()
}
