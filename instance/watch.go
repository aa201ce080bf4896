package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Watching of the platform. A few instances of each data centre watch it, and the
// others get changes from them, so a change costs the platform as many answers as
// there are data centres, not instances.
const (
	watcherCount   = 3                          // instances of a data centre that watch
	watcherTimeout = 4 * clock.Second           // after this long without word of a watcher an instance watches itself
	watchKey       = uint64(0x9e3779b97f4a7c15) // any fixed key: what rendezvous draws the watchers with
)

// watchState is what this instance knows about who watches the platform.
type watchState struct {
	selected        bool         // this instance is one of the watchers
	watching        bool         // it watches now
	platformAnswers bool         // its latest call to the platform was answered
	watcherHeardAt  clock.Millis // when a watcher that reaches the platform was last heard
	fetchedAt       clock.Millis // when records were last asked of another instance
	fetchedRevision uint64       // the revision they were asked for
}

// watchController decides whether this instance watches the platform.
type watchController struct{ state *EngineState }

// choose draws the watchers of the data centre from its live instances. Each
// instance with the same view draws the same; when one is gone the next follows.
func (c watchController) choose() {
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

// tick tells the daemon when watching starts or ends. An instance watches itself
// while it has no records or has not heard of a watcher for a while.
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

// spread tells every instance of the data centre at once that there is news.
func (c watchController) announceChange() {
	if c.state.Members.watch.selected {
		memberController(c).sendHeartbeats()
	}
}

// compareRevision asks another instance for its records when it has newer ones:
// at once when this instance does not watch the platform itself, else when the
// platform has not brought them for a while.
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
	m.NewerSince = c.state.Now + minFetchInterval - platformGrace
	c.state.emit(FetchObjects{Peer: m.Instance.Name, ControlAddress: m.Instance.ControlAddress, SinceRevision: c.since()})
}

// since returns the revision from which records are asked for, 0 for all.
func (c watchController) since() uint64 {
	if !c.state.Records.Loaded {
		return 0
	}
	return c.state.Records.Revision
}
