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
const leaseSpan = 90 * clock.Second

// mailbox holds the newest value for one worker. It has a single producer.
type mailbox[T any] struct {
	slot chan T
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{slot: make(chan T, 1)}
}

// put replaces the value that waits. It never blocks.
func (m *mailbox[T]) put(v T) {
	select {
	case <-m.slot:
	default:
	}
	m.slot <- v
}

// close ends the worker after the value that waits.
func (m *mailbox[T]) close() { close(m.slot) }

// work hands each value to write, one at a time. A failed write is repeated
// after a pause, with the newest value, until the mailbox is closed.
func (m *mailbox[T]) work(ctx context.Context, write func(ctx context.Context, v T) error) {
	b := newBackoff()
	for v := range m.slot {
		open := true
		for open && write(ctx, v) != nil {
			v, open = m.newest(ctx, v, b.Next())
		}
		b.Reset()
	}
}

// newest waits for span or for a newer value than v and returns the newest. It
// reports false when there is nothing left to do.
func (m *mailbox[T]) newest(ctx context.Context, v T, span clock.Millis) (T, bool) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case newer, open := <-m.slot:
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
	writers.Go(func() { d.statuses.work(ctx, d.writeStatus) })
	writers.Go(func() { d.announcements.work(ctx, d.announce) })
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
	case <-time.After(closeTimeout.Duration()):
	}
	err := d.called(ctx, closeTimeout, func(ctx context.Context) error {
		return d.platform.Release(ctx, d.self.Name, d.holder())
	})
	if err != nil {
		d.log.Info("release", "reason", "platform", "detail", err.Error())
	}
	d.dropStatus(ctx, instance.DeleteStatus{Instance: d.self.Name, Incarnation: d.self.Incarnation})
}

// dropStatus removes the status of an instance that is gone. An instance of the
// same name that has started meanwhile keeps the status it wrote.
func (d *Daemon) dropStatus(ctx context.Context, a instance.DeleteStatus) {
	err := d.called(ctx, callTimeout, func(ctx context.Context) error {
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
		d.log.Info("drop", "reason", "platform", "subject", "status/"+a.Instance, "detail", err.Error())
	}
}

// holder identifies this process as the holder of the lease.
func (d *Daemon) holder() string {
	return fmt.Sprintf("%s-%d", d.self.Name, d.self.Incarnation)
}

func (d *Daemon) announce(ctx context.Context, i record.Instance) error {
	lease := platform.Lease{Name: d.self.Name, Holder: d.holder(), TTL: leaseSpan, Instance: &i}
	err := d.called(ctx, callTimeout, func(ctx context.Context) error {
		return d.platform.Renew(ctx, lease)
	})
	return d.written("announce", err)
}

func (d *Daemon) writeStatus(ctx context.Context, s record.Status) error {
	o, err := record.EncodeStatus(s)
	if err != nil {
		return d.written("status", errors.Wrap(platform.ErrRefused, err.Error()))
	}
	err = d.called(ctx, callTimeout, func(ctx context.Context) error {
		_, err := d.platform.Put(ctx, o, platform.AnyRevision)
		return err
	})
	return d.written("status", err)
}

// written logs a failed write and returns err if repeating the write can help.
func (d *Daemon) written(what string, err error) error {
	if err == nil {
		return nil
	}
	d.log.Warn(what, "reason", "platform", "detail", err.Error())
	if errors.Is(err, platform.ErrRefused) {
		return nil
	}
	return err
}
