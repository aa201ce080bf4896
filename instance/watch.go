package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Watching of the platform. A few instances of each data centre watch it, and the
// others get changes from them, so a change costs the platform as many answers as
// there are data centres, not instances.
const (
	watchersWanted = 3                          // instances of a data centre that watch
	watchTrust     = 4 * clock.Second           // after this long without word of a watcher an instance watches itself
	watchKey       = uint64(0x9e3779b97f4a7c15) // any fixed key: what rendezvous draws the watchers with
)

// watchState is what this instance knows about who watches the platform.
type watchState struct {
	chosen   bool         // this instance is one of the watchers
	watches  bool         // it watches now
	answered bool         // its latest call to the platform was answered
	heard    clock.Millis // when a watcher that reaches the platform was last heard
	fetched  clock.Millis // when records were last asked of another instance
	wanted   uint64       // the revision they were asked for
}

// watchController decides whether this instance watches the platform.
type watchController struct{ b *EngineState }

// choose draws the watchers of the data centre from its live instances. Each
// instance with the same view draws the same; when one is gone the next follows.
func (c watchController) choose() {
	w := &c.b.Members.watch
	w.chosen = false
	rest := append([]*Member(nil), c.b.Members.Available[c.b.Self.Instance.Centre]...)
	for range watchersWanted {
		m := rendezvous(watchKey, rest)
		if m == nil || m == c.b.Self {
			w.chosen = true
			return
		}
		kept := rest[:0]
		for _, other := range rest {
			if other != m {
				kept = append(kept, other)
			}
		}
		rest = kept
	}
}

// tick tells the daemon when watching starts or ends. An instance watches itself
// while it has no records or has not heard of a watcher for a while.
func (c watchController) tick() {
	w := &c.b.Members.watch
	alone := c.b.Now-w.heard > watchTrust
	wanted := w.chosen || alone || !c.b.Records.Loaded
	if wanted == w.watches {
		return
	}
	w.watches = wanted
	c.b.do(WatchPlatform{Enabled: wanted})
	reason := "watchers heard"
	if wanted {
		reason = "chosen"
	}
	if wanted && !w.chosen {
		reason = "no watcher heard"
	}
	c.b.note("watch", reason, "", "instance/"+c.b.Self.Instance.Name, "")
}

// spread tells every instance of the data centre at once that there is news.
func (c watchController) spread() {
	if c.b.Members.watch.chosen {
		memberController(c).greet()
	}
}

// compareRevision asks another instance for its records when it has newer ones:
// at once when this instance does not watch the platform itself, else when the
// platform has not brought them for a while.
func (c watchController) compareRevision(m *Member, revision uint64) {
	if revision <= c.b.Records.Revision {
		m.NewerSince = 0
		return
	}
	if m.NewerSince == 0 {
		m.NewerSince = c.b.Now
	}
	w := &c.b.Members.watch
	starting := c.b.Records.Revision == 0
	if w.watches && !starting && c.b.Now-m.NewerSince < aheadLimit {
		return
	}
	if !w.watches && w.fetched != 0 && c.b.Now-w.fetched < fetchPeriod && revision <= w.wanted {
		return
	}
	w.fetched, w.wanted = c.b.Now, revision
	m.NewerSince = c.b.Now + fetchPeriod - aheadLimit
	c.b.do(FetchObjects{Peer: m.Instance.Name, ControlAddr: m.Instance.ControlAddress, SinceRevision: c.since()})
}

// since returns the revision from which records are asked for, 0 for all.
func (c watchController) since() uint64 {
	if !c.b.Records.Loaded {
		return 0
	}
	return c.b.Records.Revision
}
