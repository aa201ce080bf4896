package forwarder

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// errListAgain reports changes of evacuation orders that don't show all that is in force.
var errListAgain = errors.New("orders have to be listed again")

// evacuationSource reads operators' orders to evacuate data centres.
func (d *Daemon) evacuationSource() recordSource {
	listFrom := uint64(0) // orders of another instance replace a list if they are later than this revision
	return recordSource{
		name:          "evacuations",
		knownRevision: func(fleet.RecordState) uint64 { return d.evacuationOrders().Revision },
		age:           func(fleet.RecordState) clock.Millis { return d.evacuationAge() },
		fromPeer:      func() bool { return d.evacuationOrders().Revision > listFrom },
		list:          d.listEvacuations,
		watch: func(ctx context.Context, since uint64, wait clock.Millis) error {
			err := d.watchEvacuations(ctx, since, wait)
			if errors.Is(err, platform.ErrRevisionGone) || errors.Is(err, errListAgain) {
				listFrom = d.evacuationOrders().Revision
			}
			return err
		},
	}
}

func (d *Daemon) listEvacuations(ctx context.Context) error {
	r, err := d.store.Load().Evacuations(ctx)
	if err != nil {
		return err
	}
	all := make([]evacuation.Order, len(r.Changes))
	for i, c := range r.Changes {
		all[i] = c.Order
	}
	orders, left := fleet.LimitEvacuations(all, r.Revision, d.settings.Load().Centres)
	d.reportEvacuationFaults(r.Unreadable, left)
	d.applyStoreRead(func(clock.Millis) ([]steering.Action, fleet.Event) {
		return nil, fleet.EvacuationsRead{Orders: orders, RequestedAt: r.Time}
	})
	return nil
}

// watchEvacuations applies changes of the orders. It returns errListAgain if some entries have
// no room among the orders, or no readable name: only a list shows which of them are left.
func (d *Daemon) watchEvacuations(ctx context.Context, since uint64, wait clock.Millis) error {
	r, err := d.store.Load().WatchEvacuations(ctx, since, wait)
	if err != nil {
		return err
	}
	listAgain := len(r.Unreadable) > 0
	d.applyStoreRead(func(clock.Millis) ([]steering.Action, fleet.Event) {
		before := d.fleet.Evacuations()
		after := before.Apply(r.Changes, r.Revision)
		orders, _ := fleet.LimitEvacuations(after.List, after.Revision, d.settings.Load().Centres)
		listAgain = listAgain || len(r.Changes) > 0 && (fleet.EvacuationsFull(before.List) || fleet.EvacuationsFull(after.List))
		return nil, fleet.EvacuationsRead{Orders: orders, RequestedAt: r.Time}
	})
	if listAgain {
		return errListAgain
	}
	return nil
}

// evacuationOrders returns the orders that this instance knows.
func (d *Daemon) evacuationOrders() (o evacuation.Orders) {
	d.locked(func() { o = d.fleet.Evacuations() })
	return o
}

// evacuationAge returns how long ago the store confirmed the orders, or 0 if none are known.
func (d *Daemon) evacuationAge() (age clock.Millis) {
	d.locked(func() {
		if s := d.fleet.EvacuationState(clock.Now()); s != nil {
			age = s.Age
		}
	})
	return age
}

// maxEvacuationFaults limits the conditions for entries of evacuations.
const maxEvacuationFaults = 8

// reportEvacuationFaults logs entries that a list showed and that can't be followed, and keeps
// them for the report.
func (d *Daemon) reportEvacuationFaults(unreadable []error, left []evacuation.Order) {
	var list []steering.Condition
	for _, err := range unreadable {
		list = append(list, evacuationFault("", err.Error()))
	}
	for _, o := range left {
		list = append(list, evacuationFault(o.Centre, "there are too many entries"))
	}
	for _, c := range list {
		d.metrics.unreadableEntries.Inc(1)
		d.log.infoLimited("evacuation unreadable", "entry", c.Subject, "why", c.Reason)
	}
	d.locked(func() { d.evacuationFaults = list[:min(len(list), maxEvacuationFaults)] })
}

func evacuationFault(name, cause string) steering.Condition {
	return steering.Condition{Type: steering.ConditionUnreadable, Subject: "evacuation/" + name, Reason: cause, Action: "it is ignored; other entries are followed"}
}

// conditions returns the conditions for the report. d.mu must be held.
func (d *Daemon) conditions(now clock.Millis) []steering.Condition {
	return append(d.engine.Conditions(now), d.evacuationFaults...)
}

// registerEvacuations adds the gauges of the orders.
func (m *daemonMetrics) registerEvacuations(d *Daemon) {
	for name, value := range map[string]func() int64{
		"evacuations.in_force":         func() int64 { return int64(len(d.evacuationOrders().List)) },
		"records.evacuations_revision": func() int64 { return int64(d.evacuationOrders().Revision) },
		"records.evacuations_age_ms":   func() int64 { return int64(d.evacuationAge()) },
	} {
		metrics.NewRegisteredFunctionalGauge(name, m.registry, value)
	}
}
