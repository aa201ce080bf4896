package forwarder

import (
	"context"

	"github.com/tanagerdock/tanagerdock/clock"
)

// writeReport writes the data centre's status report for operators to the store, when the
// fleet engine returns one: on the watcher, at intervals. It makes the call in a goroutine
// of its own, so that a slow store does not delay the ticks.
func (d *Daemon) writeReport(ctx context.Context) {
	d.mu.Lock()
	c := d.engine.Configuration()
	if c == nil {
		d.mu.Unlock()
		return
	}
	r := d.fleet.Report(clock.Now(), c.Version, d.engine.EndpointCount(), d.engine.Conditions)
	d.mu.Unlock()
	if r == nil {
		return
	}
	d.goroutines.Go(func() {
		err := d.store.Load().WriteReport(ctx, *r)
		d.metrics.countStoreCall(err)
		if err != nil {
			d.storeHealth.callFailed(d, "report", err)
		}
	})
}
