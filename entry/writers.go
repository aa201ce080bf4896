package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

// leaseDuration is how long the instance's lease is valid without renewal. The
// engine renews it every 30 s, so two renewals in a row may fail. Heartbeats detect
// sooner that an instance is gone.
const leaseDuration = 90 * clock.Second

// latestValue passes values from one producer to one writer. A value that the
// writer has not taken is replaced by a newer one.
type latestValue[T any] struct {
	values chan T
}

func newLatestValue[T any]() *latestValue[T] {
	return &latestValue[T]{values: make(chan T, 1)}
}

// put stores a value in place of the one not yet taken. It never blocks.
func (l *latestValue[T]) put(v T) {
	select {
	case <-l.values:
	default:
	}
	l.values <- v
}

// close makes writeLoop return after it wrote the last value.
func (l *latestValue[T]) close() { close(l.values) }

// writeLoop calls write for each value until close is called. After a failed write
// it writes the newest value, as soon as there is a newer one or a backoff has
// passed. It does not retry after close or when ctx has ended.
func (l *latestValue[T]) writeLoop(ctx context.Context, write func(ctx context.Context, v T) error) {
	b := newBackoff()
	for v := range l.values {
		open := true
		for open && write(ctx, v) != nil {
			v, open = l.waitForNewer(ctx, v, b.Next())
		}
		b.Reset()
	}
}

// waitForNewer waits until delay has passed or there is a newer value than v, and
// returns the newest. It returns false after close, or when ctx has ended.
func (l *latestValue[T]) waitForNewer(ctx context.Context, v T, delay clock.Millis) (T, bool) {
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case newer, open := <-l.values:
		return newer, open
	case <-timer.C:
		return v, true
	case <-ctx.Done():
		return v, false
	}
}

// startWriters starts the goroutines that write to the platform.
func (d *Daemon) startWriters(ctx context.Context) *sync.WaitGroup {
	var writers sync.WaitGroup
	writers.Go(func() { d.statusWrites.writeLoop(ctx, d.writeStatus) })
	writers.Go(func() { d.leaseRenewals.writeLoop(ctx, d.renewLease) })
	return &writers
}

// finishWriters waits for the last writes, releases the lease and deletes the
// instance's status. statusWrites and leaseRenewals must be closed.
func (d *Daemon) finishWriters(ctx context.Context, writers *sync.WaitGroup) {
	finished := make(chan struct{})
	go func() {
		writers.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(shutdownStepTimeout.Duration()):
	}
	err := d.callPlatform(ctx, shutdownStepTimeout, func(ctx context.Context) error {
		return d.platform.Release(ctx, d.self.Name, d.leaseHolder())
	})
	if err != nil {
		d.logger.Info("release", "reason", "platform", "detail", err.Error())
	}
	d.deleteStatus(ctx, instance.DeleteStatus{Instance: d.self.Name, Incarnation: d.self.Incarnation})
}

// deleteStatus deletes the status of an instance that is gone, unless a later
// process of the same name has written it.
func (d *Daemon) deleteStatus(ctx context.Context, a instance.DeleteStatus) {
	err := d.callPlatform(ctx, platformCallTimeout, func(ctx context.Context) error {
		o, err := d.platform.Get(ctx, record.KindStatus, a.Instance)
		if err != nil {
			return err
		}
		s, err := record.DecodeStatus(o)
		if err == nil && s.Incarnation > a.Incarnation {
			return nil
		}
		return d.platform.Delete(ctx, record.KindStatus, a.Instance, int64(o.Revision))
	})
	if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
		d.logger.Info("drop", "reason", "platform", "subject", "status/"+a.Instance, "detail", err.Error())
	}
}

// leaseHolder returns the ID of this process as the holder of the lease.
func (d *Daemon) leaseHolder() string {
	return fmt.Sprintf("%s-%d", d.self.Name, d.self.Incarnation)
}

func (d *Daemon) renewLease(ctx context.Context, i record.Instance) error {
	lease := platform.Lease{Name: d.self.Name, Holder: d.leaseHolder(), TTL: leaseDuration, Instance: &i}
	err := d.callPlatform(ctx, platformCallTimeout, func(ctx context.Context) error {
		return d.platform.Renew(ctx, lease)
	})
	return d.logWriteError("announce", err)
}

func (d *Daemon) writeStatus(ctx context.Context, s record.Status) error {
	o, err := record.EncodeStatus(s)
	if err != nil {
		return d.logWriteError("status", errors.Wrap(platform.ErrRefused, err.Error()))
	}
	err = d.callPlatform(ctx, platformCallTimeout, func(ctx context.Context) error {
		_, err := d.platform.Put(ctx, o, platform.AnyRevision)
		return err
	})
	return d.logWriteError("status", err)
}

// logWriteError logs a failed write. It returns nil when the platform refused the
// write, since a retry would be refused too, and err otherwise.
func (d *Daemon) logWriteError(message string, err error) error {
	if err == nil {
		return nil
	}
	d.logger.Warn(message, "reason", "platform", "detail", err.Error())
	if errors.Is(err, platform.ErrRefused) {
		return nil
	}
	return err
}
