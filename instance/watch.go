package instance

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Watching of the platform. A few instances of each data centre watch it, and the others
// fetch changes from them. So the load of a change on the platform grows with the number of
// data centres, not of instances.
const (
	watcherCount   = 3                          // watching instances per data centre
	watcherTimeout = 4 * clock.Second           // an instance that hears of no watcher for this long watches the platform itself
	watchKey       = uint64(0x9e3779b97f4a7c15) // arbitrary key with which rendezvous selects the watchers
)

// Delays of fetching newer records from other instances.
const (
	platformGrace    = 1500 * clock.Millisecond // time in which an instance that watches the platform should get newer records from there
	minFetchInterval = 2 * clock.Second         // until records of the same revision are requested again
)

// watchState is this instance's state of the watch of the platform.
type watchState struct {
	selected        bool         // this instance is one of the selected watchers
	watching        bool         // this instance watches the platform
	platformAnswers bool         // the platform answered the latest call
	watcherHeardAt  clock.Millis // when a selected watcher that reaches the platform last sent an envelope
	fetchedAt       clock.Millis // when records were last requested from another instance
	fetchedRevision uint64       // the revision that the other instance had reported then
}

// watchController decides whether this instance watches the platform.
type watchController struct{ state *EngineState }

// selectWatchers selects the watchers of the data centre from its available instances by
// rendezvous hashing. Instances that know the same members select the same watchers; when
// one of these dies, the next in order replaces it. If there are fewer instances than
// watchers wanted, this one is selected too, even while it isn't available itself.
func (c watchController) selectWatchers() {
	w := &c.state.Members.watch
	w.selected = false
	candidates := append([]*Member(nil), c.state.Members.Available[c.state.Self.Instance.Centre]...)
	for range watcherCount {
		m := rendezvous(watchKey, candidates)
		if m == nil || m == c.state.Self {
			w.selected = true
			return
		}
		remaining := candidates[:0]
		for _, other := range candidates {
			if other != m {
				remaining = append(remaining, other)
			}
		}
		candidates = remaining
	}
}

// tick emits WatchPlatform when watching must start or stop. An instance that isn't a
// selected watcher also watches while it has no records or hears of no watcher.
func (c watchController) tick() {
	w := &c.state.Members.watch
	noWatcherHeard := c.state.Now-w.watcherHeardAt > watcherTimeout
	mustWatch := w.selected || noWatcherHeard || !c.state.Records.Loaded
	if mustWatch == w.watching {
		return
	}
	w.watching = mustWatch
	c.state.emit(WatchPlatform{Enabled: mustWatch})
	reason := "watchers heard"
	if mustWatch {
		reason = "chosen"
	}
	if mustWatch && !w.selected {
		reason = "no watcher heard"
	}
	c.state.logDecision("watch", reason, "", "instance/"+c.state.Self.Instance.Name, "")
}

// announceChange sends heartbeats with the new revision to every instance of the data
// centre, which then fetch the records. Only selected watchers do so.
func (c watchController) announceChange() {
	if c.state.Members.watch.selected {
		memberController(c).sendHeartbeats()
	}
}

// fetchIfNewer fetches another instance's records when it has newer ones: at once if this
// instance doesn't watch the platform itself or has no records yet, else if the platform
// hasn't delivered them within platformGrace. An instance that has records repeats a fetch
// that brought no newer ones after minFetchInterval.
func (c watchController) fetchIfNewer(m *Member, revision uint64) {
	if revision <= c.state.Records.Revision {
		m.NewerSince = 0
		return
	}
	if m.NewerSince == 0 {
		m.NewerSince = c.state.Now
	}
	w := &c.state.Members.watch
	starting := c.state.Records.Revision == 0
	if w.watching && !starting && c.state.Now-m.NewerSince < platformGrace {
		return
	}
	if !w.watching && w.fetchedAt != 0 && c.state.Now-w.fetchedAt < minFetchInterval && revision <= w.fetchedRevision {
		return
	}
	w.fetchedAt, w.fetchedRevision = c.state.Now, revision
	m.NewerSince = c.state.Now + minFetchInterval - platformGrace // platformGrace then ends minFetchInterval from now
	c.state.emit(FetchObjects{Peer: m.Instance.Name, ControlAddress: m.Instance.ControlAddress, SinceRevision: c.since()})
}

// outdated reports whether another instance has newer records, which may have a service that
// is unknown here.
func (st *EngineState) outdated() bool {
	return slices.ContainsFunc(st.Members.All, func(m *Member) bool { return m.Alive && m.NewerSince != 0 })
}

// since returns the revision after which records are requested, or 0 for all.
func (c watchController) since() uint64 {
	if !c.state.Records.Loaded {
		return 0
	}
	return c.state.Records.Revision
}
