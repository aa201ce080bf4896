package fleet

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Beats.
const (
	// Of the bound within which records have to be in force, the time between two.
	beatShare = 0.1
	// A beat may be lost or late; three in a row are not, in ms.
	beatsMissed = 3
	beatSlack   = 100 * clock.Millisecond
)

// beatPeriod is the time between two beats of a watcher.
func (e *Engine) beatPeriod() clock.Millis { return share(e.settings.RecordBound, beatShare) }

// beatHold is how long a watcher counts as one after a beat.
func (e *Engine) beatHold() clock.Millis { return beatsMissed*e.beatPeriod() + beatSlack }

// Parts of the bound within which records have to be in force at every member.
// Between them lies what a member needs to read the store by itself.
const (
	// Of the bound, how long a watch waits. With the pauses around it, a watcher's
	// records are not older than staleShare while all is well.
	watchShare = 0.25
	// Of the bound, how old records may get before a member reads the store itself.
	staleShare = 0.55
	// Of the bound, by how much the last in rank is slower to do so than the first.
	// The first one's beats spare the others the call.
	staggerShare = 0.2
	// Ranks that are told apart by that. Those behind share the last place, since
	// so many are seldom lost at once.
	staggerRanks = 6
)

// WatchWait is how long a watch of the store may wait.
func WatchWait(bound clock.Millis) clock.Millis { return share(bound, watchShare) }

// StaleAge is the age of records at which the store is taken to be away.
func StaleAge(bound clock.Millis) clock.Millis { return share(bound, staleShare) }

func share(bound clock.Millis, part float64) clock.Millis {
	return clock.Millis(part * float64(bound))
}

// age is how old the older of the own records are.
func (e *Engine) age(now clock.Millis) clock.Millis {
	return now - min(e.configurationAt, e.endpointsAt)
}

// turnedAway reports whether the store doesn't answer this member, though it has
// the duty.
func (e *Engine) turnedAway(now clock.Millis) bool {
	return now-e.readAt > share(e.settings.RecordBound, staleShare)
}

// limit is the age at which this member reads the store itself.
func (e *Engine) limit() clock.Millis {
	ahead := e.members.before(e.settings.Self.Name)
	stagger := staggerShare * float64(min(ahead, staggerRanks)) / staggerRanks
	return share(e.settings.RecordBound, staleShare+stagger)
}

// watches reports whether a peer watches with success, as far as is known.
func (e *Engine) watches(now clock.Millis, p *peer) bool {
	if p.beat == 0 || p.leaving || now-p.beat > e.beatHold() {
		return false
	}
	old := max(p.state.ConfigurationAge, p.state.EndpointsAge) + now - p.beat
	return old <= share(e.settings.RecordBound, staleShare)
}

// duty decides whether this member watches the store.
func (e *Engine) duty(now clock.Millis) bool {
	if e.leaving {
		return false
	}
	ahead := e.members.before(e.settings.Self.Name)
	watcher := false
	for i, p := range e.members.list {
		if !e.watches(now, p) {
			continue
		}
		if i < ahead {
			// One of higher rank does; what it says is as fresh as reading it.
			return false
		}
		watcher = true
	}
	if e.watching {
		// Another one that reads the store spares this one calls in vain.
		return !watcher || !e.turnedAway(now)
	}
	if ahead == 0 && !watcher {
		return true
	}
	return e.age(now) > e.limit()
}
