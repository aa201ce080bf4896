package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Times of following the store, in ms.
const (
	storeTimeout = 1 * clock.Second // for an answer, on top of a watch's wait
	// A connection that went silent shows only by its time-out; changes have to
	// be in force 3 s after they were accepted.
	watchWait = 1500 * clock.Millisecond
	// Changes come in series; a pause gathers them into one call.
	watchPause = 400 * clock.Millisecond
	firstPause = 100 * clock.Millisecond // after a failed call
	lastPause  = 1 * clock.Second
)

// source is one kind of records in the store.
type source struct {
	name  string
	list  func(context.Context) (uint64, error)
	watch func(context.Context, uint64) (uint64, error)
}

func (d *Daemon) followConfiguration(ctx context.Context) {
	d.follow(ctx, source{
		name: "configuration",
		list: func(ctx context.Context) (uint64, error) {
			c, revision, err := d.store.Load().Configuration(ctx)
			if err == nil {
				d.handle(steering.ConfigurationRead{Configuration: c, Confirmed: true})
			}
			return revision, err
		},
		watch: func(ctx context.Context, since uint64) (uint64, error) {
			c, revision, err := d.store.Load().WatchConfiguration(ctx, since, watchWait)
			if err == nil {
				d.handle(steering.ConfigurationRead{Configuration: c, Confirmed: true})
			}
			return revision, err
		},
	})
}

func (d *Daemon) followEndpoints(ctx context.Context) {
	d.follow(ctx, source{
		name: "endpoints",
		list: func(ctx context.Context) (uint64, error) {
			l, err := d.store.Load().Endpoints(ctx)
			if err == nil {
				d.handle(l)
			}
			return l.Revision, err
		},
		watch: func(ctx context.Context, since uint64) (uint64, error) {
			c, err := d.store.Load().WatchEndpoints(ctx, since, watchWait)
			if err == nil {
				d.handle(c)
			}
			return c.Revision, err
		},
	})
}

// follow lists a kind of records, and watches it from there. It lists again when
// the store's history doesn't reach back.
func (d *Daemon) follow(ctx context.Context, s source) {
	var revision uint64
	known := false
	failed := clock.Millis(0) // pause after the latest failure
	for ctx.Err() == nil {
		var err error
		if known {
			revision, err = s.watch(ctx, revision)
		} else {
			revision, err = s.list(ctx)
		}
		d.counts.called(err)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			known, failed = true, 0
			d.touched.answered(d, s.name)
			pause(ctx, watchPause)
			continue
		}
		if errors.Is(err, platform.ErrHistory) {
			known = false
			d.journal.limited("history lost", "records", s.name, "error", err.Error())
			continue
		}
		if errors.Is(err, platform.ErrAbsent) || errors.Is(err, platform.ErrRefused) {
			known = false
		}
		d.touched.failed(d, s.name, err)
		failed = min(max(failed*2, firstPause), lastPause)
		pause(ctx, failed/2+rand.N(failed/2+1))
	}
}

// touch keeps whether the store answers.
type touch struct {
	mu   sync.Mutex
	lost map[string]clock.Millis // when, by kind of records
	away bool                    // the engine was told so
}

// answered notes that the store answered for a kind of records.
func (t *touch) answered(d *Daemon, name string) {
	t.mu.Lock()
	since, lost := t.lost[name]
	delete(t.lost, name)
	returned := t.away && len(t.lost) == 0
	if returned {
		t.away = false
	}
	t.mu.Unlock()
	if lost {
		d.journal.say("store regained", "records", name, "away_ms", clock.Now()-since)
	}
	if returned {
		d.handle(steering.StoreReturned{})
	}
}

// failed notes that the store did not answer.
func (t *touch) failed(d *Daemon, name string, err error) {
	t.mu.Lock()
	if t.lost == nil {
		t.lost = map[string]clock.Millis{}
	}
	_, known := t.lost[name]
	if !known {
		t.lost[name] = clock.Now()
	}
	first := !t.away
	t.away = true
	t.mu.Unlock()
	if !known {
		d.journal.say("store lost", "records", name, "error", err.Error())
	}
	if first {
		d.handle(steering.StoreLost{})
	}
}
