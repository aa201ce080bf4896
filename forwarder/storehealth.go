package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
)

// storeHealth records whether the store answers, and logs when that changes.
type storeHealth struct {
	mu               sync.Mutex
	unavailable      bool
	unavailableSince clock.Millis
	// Closed when the store has answered, after it was unavailable or in doubt; nil while
	// neither is the case.
	confirmed chan struct{}
}

// doubt makes calls other than probes wait until the store has answered again.
func (h *storeHealth) doubt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmed == nil {
		h.confirmed = make(chan struct{})
	}
}

// inDoubt reports whether the store is unavailable or in doubt.
func (h *storeHealth) inDoubt() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed != nil
}

// waitConfirmed waits until a probe has reached the store, if it is unavailable or in doubt, but
// not longer than limit: probes may fail for a reason of their own.
func (h *storeHealth) waitConfirmed(ctx context.Context, limit clock.Millis) {
	h.mu.Lock()
	confirmed := h.confirmed
	h.mu.Unlock()
	if confirmed == nil {
		return
	}
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-confirmed:
	}
}

// callSucceeded marks the store as available.
func (h *storeHealth) callSucceeded(d *Daemon) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmed != nil {
		close(h.confirmed)
		h.confirmed = nil
	}
	if !h.unavailable {
		return
	}
	h.unavailable = false
	d.log.info("store recovered", "away_ms", clock.Now()-h.unavailableSince)
}

// callFailed marks the store as unavailable, unless the error is that another instance's
// write came first: then the store has answered.
func (h *storeHealth) callFailed(d *Daemon, name string, err error) {
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		d.log.infoLimited("store write conflict", "records", name, "error", err.Error())
		return
	}
	d.handleFleet(fleet.StoreCallFailed{})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable {
		return
	}
	h.unavailable, h.unavailableSince = true, clock.Now()
	if h.confirmed == nil {
		h.confirmed = make(chan struct{})
	}
	d.log.info("store lost", "records", name, "error", err.Error())
}

// retryPause returns the pause until the next attempt to reach the store.
func (d *Daemon) retryPause(b *daemon.Backoff) clock.Millis {
	d.locked(func() { b.Min, b.Max = d.fleet.RetryPauses() })
	return b.Next()
}

// waitStoreConfirmed waits while the store is unavailable or in doubt, at most as long as the
// longest pause between two attempts to reach it.
func (d *Daemon) waitStoreConfirmed(ctx context.Context) {
	var limit clock.Millis
	d.locked(func() { _, limit = d.fleet.RetryPauses() })
	d.storeHealth.waitConfirmed(ctx, limit)
}
