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

// leaseSpan is how long an announcement holds without renewal. The engine
// announces every 30 s, so two renewals in a row may be lost. Heartbeats tell
// sooner that an instance is gone.
const leaseDuration = 90 * clock.Second

// mailbox holds the newest value for one worker. It has a single producer.
type latestValue[T any] struct {
	values chan T
}

func newLatestValue[T any]() *latestValue[T] {
	return &latestValue[T]{values: make(chan T, 1)}
}

// put replaces the value that waits. It never blocks.
func (l *latestValue[T]) put(v T) {
	select {
	case <-l.values:
	default:
	}
	l.values <- v
}

// close ends the worker after the value that waits.
func (l *latestValue[T]) close() { close(l.values) }

// work hands each value to write, one at a time. A failed write is repeated
// after a pause, with the newest value, until the mailbox is closed.
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

// newest waits for span or for a newer value than v and returns the newest. It
// reports false when there is nothing left to do.
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

// finishWriters lets the last writes be done and gives up the lease. The
// mailboxes must be closed.
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

// dropStatus removes the status of an instance that is gone. An instance of the
// same name that has started meanwhile keeps the status it wrote.
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
	if err != nil && !errors.Is(err, platform.ErrAbsent) && !errors.Is(err, platform.ErrConflict) {
		d.logger.Info("drop", "reason", "platform", "subject", "status/"+a.Instance, "detail", err.Error())
	}
}

// holder identifies this process as the holder of the lease.
func (d *Daemon) leaseHolder() string {
	return fmt.Sprintf("%s-%d", d.self.Name, d.self.Incarnation)
}

func (d *Daemon) renewLease(ctx context.Context, i record.Instance) error {
	lease := platform.Lease{Name: d.self.Name, Holder: d.leaseHolder(), Span: leaseDuration, Instance: &i}
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

// written logs a failed write and returns err if repeating the write can help.
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
