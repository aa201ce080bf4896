package forwarder

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Times of following the store, in ms.
const (
	// For an answer, on top of a watch's wait. The store takes 4 ms, and 0.3 s when slow.
	storeTimeout = 700 * clock.Millisecond
	// Changes come in series; a pause gathers them into one call.
	watchPause = 400 * clock.Millisecond
	firstPause = 100 * clock.Millisecond // after a failed call
	lastPause  = 1 * clock.Second
)

// source is one kind of records in the store.
type source struct {
	name  string
	since func(fleet.RecordState) uint64 // revision that the own records go up to
	list  func(context.Context) error
	watch func(ctx context.Context, since uint64, wait clock.Millis) error
}

func (d *Daemon) configurationSource() source {
	return source{
		name:  "configuration",
		since: func(s fleet.RecordState) uint64 { return s.ConfirmedRevision },
		list:  d.listConfiguration,
		watch: func(ctx context.Context, since uint64, wait clock.Millis) error {
			c, revision, err := d.store.Load().WatchConfiguration(ctx, since, wait)
			if err == nil {
				d.tookConfiguration(c, revision)
			}
			return err
		},
	}
}

func (d *Daemon) listConfiguration(ctx context.Context) error {
	c, revision, err := d.store.Load().Configuration(ctx)
	if err == nil {
		d.tookConfiguration(c, revision)
	}
	return err
}

// tookConfiguration takes in what the store said: a configuration or none, and
// the revision up to which there is no newer one.
func (d *Daemon) tookConfiguration(c *steering.Configuration, revision uint64) {
	d.took(func(now clock.Millis) ([]steering.Action, fleet.RecordsRead) {
		read := fleet.RecordsRead{IsConfiguration: true, State: d.fleet.RecordState(now)}
		var actions []steering.Action
		before := d.engine.Configuration()
		if c != nil {
			actions = d.engine.Handle(now, steering.ConfigurationRead{Configuration: c})
		}
		if after := d.engine.Configuration(); after != before {
			delta := after.DeltaFrom(before)
			read.Delta = &delta
			read.State.ConfigurationRevision = after.Revision
		}
		read.State.ConfirmedRevision = max(read.State.ConfirmedRevision, revision)
		return actions, read
	})
}

func (d *Daemon) endpointSource() source {
	return source{
		name:  "endpoints",
		since: func(s fleet.RecordState) uint64 { return s.EndpointsRevision },
		list:  d.listEndpoints,
		watch: func(ctx context.Context, since uint64, wait clock.Millis) error {
			c, err := d.store.Load().WatchEndpoints(ctx, since, wait)
			if err == nil {
				d.tookChanges(since, c)
			}
			return err
		},
	}
}

func (d *Daemon) listEndpoints(ctx context.Context) error {
	l, err := d.store.Load().Endpoints(ctx, d.foundEndpoints)
	if err != nil {
		return err
	}
	d.took(func(now clock.Millis) ([]steering.Action, fleet.RecordsRead) {
		read := fleet.RecordsRead{FullList: true, State: d.fleet.RecordState(now)}
		read.State.EndpointsRevision = max(read.State.EndpointsRevision, l.Revision)
		read.State.ChangeRevision = read.State.EndpointsRevision
		return d.engine.Handle(now, l), read
	})
	return nil
}

// foundEndpoints takes in a part of the list of endpoints.
func (d *Daemon) foundEndpoints(v steering.EndpointsPageRead) {
	d.handle(v)
	d.releaseHeld()
}

func (d *Daemon) tookChanges(since uint64, c steering.EndpointsChanged) {
	d.took(func(now clock.Millis) ([]steering.Action, fleet.RecordsRead) {
		read := fleet.RecordsRead{Since: since, Changes: c.Changes, State: d.fleet.RecordState(now)}
		read.State.EndpointsRevision = max(read.State.EndpointsRevision, c.Revision)
		if len(c.Changes) > 0 {
			read.State.ChangeRevision = read.State.EndpointsRevision
		}
		return d.engine.Handle(now, c), read
	})
}

// took gives an answer of the store to both engines.
func (d *Daemon) took(apply func(clock.Millis) ([]steering.Action, fleet.RecordsRead)) {
	returned := d.touched.answered(d)
	d.mu.Lock()
	now := clock.Now()
	actions, read := apply(now)
	read.StoreRecovered = returned
	tasks := d.fleet.Handle(now, read)
	d.engine.Handle(now, d.fleet.Confirmation())
	d.mu.Unlock()
	d.perform(actions)
	d.performFleet(tasks)
	d.releaseHeld()
}

// watchWait is how long a watch may wait.
func (d *Daemon) watchWait() clock.Millis {
	return fleet.WatchWait(d.settings.Load().RecordBound())
}

// follow lists a kind of records once, and watches it while this instance has the
// duty. It lists again when the store's history doesn't reach back.
func (d *Daemon) follow(ctx context.Context, s source) {
	b := newBackoff()
	known := false
	for ctx.Err() == nil {
		call := s.list
		inner, cancel := ctx, context.CancelFunc(func() {})
		if known {
			if !d.watching.Wait(ctx) {
				return
			}
			inner, cancel = d.watching.ContextWhileOpen(ctx)
			since := s.since(d.state())
			call = func(ctx context.Context) error { return s.watch(ctx, since, d.watchWait()) }
		} else if d.isFed() {
			known = true // a peer was faster
			continue
		}
		err := call(inner)
		over := inner.Err() != nil
		cancel()
		if over {
			continue // not this instance's duty any more
		}
		d.counts.called(err)
		switch {
		case err == nil:
			known = true
			b.Reset()
			daemon.Pause(ctx, watchPause)
		case errors.Is(err, platform.ErrRevisionGone):
			known = false
			d.journal.limited("history lost", "records", s.name, "error", err.Error())
			d.mu.Lock()
			d.fed = false
			d.mu.Unlock()
		default:
			d.touched.failed(d, s.name, err)
			daemon.Pause(ctx, b.Next())
		}
	}
}

// newBackoff returns the pauses between failed calls to the store.
func newBackoff() daemon.Backoff { return daemon.Backoff{Min: firstPause, Max: lastPause} }

// state returns how far the own records go.
func (d *Daemon) state() fleet.RecordState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.RecordState(clock.Now())
}

// isFed reports whether records came from a peer.
func (d *Daemon) isFed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fed
}

// touch keeps whether the store answers.
type touch struct {
	mu   sync.Mutex
	away bool
	lost clock.Millis // since when
}

// answered notes that the store answered, and reports whether it had not before.
func (t *touch) answered(d *Daemon) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.away {
		return false
	}
	t.away = false
	d.journal.say("store regained", "away_ms", clock.Now()-t.lost)
	return true
}

// failed notes that a call failed. A write that another instance was ahead of got its
// answer, so the store isn't lost.
func (t *touch) failed(d *Daemon, name string, err error) {
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		d.journal.limited("store write overtaken", "records", name, "error", err.Error())
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away {
		return
	}
	t.away, t.lost = true, clock.Now()
	d.journal.say("store lost", "records", name, "error", err.Error())
}
