package entry

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

// Times of calls to the platform.
const (
	watchWait      = 4 * clock.Second // short, so that a watcher soon notices that it is cut off
	watchGrace     = 2 * clock.Second // beyond watchWait until a watch counts as unanswered
	callTimeout    = 5 * clock.Second
	earlyWatch     = 1 * clock.Second        // a watch that ends sooner without news is paced like a failed one
	instancePeriod = 60 * clock.Second       // between lists of instances; new ones make themselves known
	watcherPeriod  = 20 * clock.Second       // the same while watching the platform
	joiningPeriod  = 500 * clock.Millisecond // the same, until the platform lists this instance
)

// startFeeds starts the goroutines that bring records and instances from the
// platform. They end with ctx.
func (d *Daemon) startFeeds(ctx context.Context) {
	d.work.Go(func() { d.feedObjects(ctx) })
	d.work.Go(func() { d.feedInstances(ctx) })
}

// answered reports whether err, the outcome of a call, is an answer of the
// platform.
func answered(err error) bool {
	if err == nil {
		return true
	}
	for _, answer := range []error{
		platform.ErrNotFound, platform.ErrConflict, platform.ErrRevisionGone, platform.ErrRefused,
	} {
		if errors.Is(err, answer) {
			return true
		}
	}
	return false
}

// called runs one call to the platform and reports its outcome to the engine.
func (d *Daemon) called(ctx context.Context, timeout clock.Millis, call func(ctx context.Context) error) error {
	limited, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	err := call(limited)
	if ctx.Err() != nil {
		return err
	}
	d.counts.countPlatform(answered(err))
	d.send(input{event: instance.PlatformCalled{Answered: answered(err)}})
	return err
}

// feedObjects lists the operator records and then watches them. It lists again
// when the platform no longer has, or not yet has, the watch's position.
func (d *Daemon) feedObjects(ctx context.Context) {
	b := newBackoff()
	for ctx.Err() == nil {
		revision, err := d.listObjects(ctx)
		if err == nil {
			d.followObjects(ctx, revision, &b)
		}
		daemon.Pause(ctx, b.Next())
	}
}

// followObjects watches from a revision until the platform does not have that
// position or ctx ends.
func (d *Daemon) followObjects(ctx context.Context, since uint64, b *daemon.Backoff) {
	for first := true; ctx.Err() == nil; first = false {
		if !first && !d.watching.Wait(ctx) {
			return
		}
		start := clock.Now()
		next, err := d.watchObjects(ctx, since)
		if errors.Is(err, platform.ErrRevisionGone) {
			return
		}
		early := next == since && clock.Now()-start < earlyWatch
		if err != nil || early {
			daemon.Pause(ctx, b.Next())
			continue
		}
		since = next
		b.Reset()
	}
}

// listObjects brings every operator record and returns the revision to watch
// from, which is the oldest of the lists'.
func (d *Daemon) listObjects(ctx context.Context) (uint64, error) {
	e := instance.ObjectsReceived{FullList: true, Source: instance.SourcePlatform}
	for i, kind := range record.OperatorKinds {
		var list platform.Listing
		err := d.called(ctx, callTimeout, func(ctx context.Context) (err error) {
			list, err = d.platform.List(ctx, kind)
			return err
		})
		if err != nil {
			return 0, err
		}
		if i == 0 || list.Revision < e.Revision {
			e.Revision = list.Revision
		}
		e.Objects = append(e.Objects, list.Objects...)
	}
	d.deliverObjects(e)
	return e.Revision, nil
}

// watchObjects waits for news since a revision and returns the next one to
// watch from.
func (d *Daemon) watchObjects(ctx context.Context, since uint64) (uint64, error) {
	var news platform.Listing
	err := d.called(ctx, watchWait+watchGrace, func(ctx context.Context) (err error) {
		news, err = d.platform.Watch(ctx, record.OperatorKinds, since, watchWait)
		return err
	})
	if err != nil {
		return since, err
	}
	if news.Revision <= since && len(news.Objects) == 0 {
		return since, nil
	}
	d.deliverObjects(instance.ObjectsReceived{
		Objects: news.Objects, Revision: news.Revision, Source: instance.SourcePlatform,
	})
	return max(news.Revision, since), nil
}

// feedInstances brings the lagging list of the data centre's instances.
func (d *Daemon) feedInstances(ctx context.Context) {
	b := newBackoff()
	for ctx.Err() == nil {
		var list []record.Instance
		err := d.called(ctx, callTimeout, func(ctx context.Context) (err error) {
			list, err = d.platform.Instances(ctx, d.self.Centre)
			return err
		})
		if err != nil {
			daemon.Pause(ctx, max(daemon.Jitter(instancePeriod), b.Next()))
			continue
		}
		b.Reset()
		d.send(input{event: instance.InstancesListed{Instances: list}})
		daemon.Pause(ctx, daemon.Jitter(d.listPeriod(list)))
	}
}

// listPeriod is the time until the next list of instances. A joining instance
// asks more often, since it cannot pass packets on to those it does not know.
func (d *Daemon) listPeriod(list []record.Instance) clock.Millis {
	listed := slices.ContainsFunc(list, func(i record.Instance) bool {
		return i.Name == d.self.Name && i.Incarnation == d.self.Incarnation
	})
	switch {
	case !listed:
		return joiningPeriod
	case d.watching.IsOpen():
		return watcherPeriod
	}
	return instancePeriod
}
