package forwarder

import (
	"context"

	"github.com/tanagerdock/tanagerdock/clock"
)

// report writes what operators should know, when it is due and this instance's
// duty. The call is made aside, so that a slow store holds nothing up.
func (d *Daemon) report(ctx context.Context) {
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
	d.work.Go(func() {
		err := d.store.Load().WriteReport(ctx, *r)
		d.counts.called(err)
		if err != nil {
			d.touched.failed(d, "report", err)
		}
	})
}
