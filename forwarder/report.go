package forwarder

import (
	"context"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
)

// writeReport writes the data centre's status report for operators to the store, when the
// fleet engine returns one: on the watcher, at intervals. It makes the call in a goroutine
// of its own, so that a slow store does not delay the ticks.
func (d *Daemon) writeReport(ctx context.Context) {
	r := d.takeReport()
	if r == nil {
		return
	}
	d.goroutines.Go(func() {
		err := d.store.Load().WriteReport(withReason(ctx, callReport), *r)
		if err != nil {
			d.storeHealth.callFailed(d, "report", err)
		}
	})
}

// takeReport returns the report to write now, or nil if none is due.
func (d *Daemon) takeReport() *fleet.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.engine.Configuration()
	if c == nil {
		return nil
	}
	return d.fleet.Report(clock.Now(), c.Version, d.engine.EndpointCount(), d.conditions)
}
