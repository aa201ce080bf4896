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
	all := evacuation.Orders{Revision: r.Revision}
	for _, c := range r.Changes {
		all.List = append(all.List, c.Order)
	}
	orders, left := fleet.LimitEvacuations(all, d.settings.Load().Centres)
	d.reportEvacuationFaults(r.Unreadable, left)
	d.applyStoreRead(func(clock.Millis) ([]steering.Action, fleet.Event) {
		return nil, fleet.EvacuationsRead{Orders: orders, RequestedAt: r.Time}
	})
	return nil
}

// watchEvacuations applies changes of the orders. If some entries have no room among the orders,
// or no readable name, only a list shows which of them are in force; if that fails, the result is
// errListAgain.
func (d *Daemon) watchEvacuations(ctx context.Context, since uint64, wait clock.Millis) error {
	r, err := d.store.Load().WatchEvacuations(ctx, since, wait)
	if err != nil {
		return err
	}
	orders, _ := fleet.LimitEvacuations(d.evacuationOrders().Apply(r.Changes, r.Revision), d.settings.Load().Centres)
	unclear := len(r.Unreadable) > 0 || orders.Partial && len(r.Changes) > 0
	if unclear && d.listEvacuations(ctx) == nil {
		return nil
	}
	d.applyStoreRead(func(clock.Millis) ([]steering.Action, fleet.Event) {
		return nil, fleet.EvacuationsRead{Orders: orders, RequestedAt: r.Time}
	})
	if unclear {
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

// reportEvacuationFaults logs entries that a list showed and that can't be followed. It keeps
// those without a readable name for the report.
func (d *Daemon) reportEvacuationFaults(unreadable []error, left []evacuation.Order) {
	var list []steering.Condition
	for _, err := range unreadable {
		d.logUnreadableEvacuation("", err.Error())
		list = append(list, steering.Condition{
			Type: steering.ConditionUnreadable, Subject: "evacuations", Reason: err.Error(), Action: "the entry has no effect",
		})
	}
	for _, o := range left {
		d.logUnreadableEvacuation(o.Centre, "there is no room for all orders")
	}
	d.locked(func() { d.evacuationFaults = list[:min(len(list), maxEvacuationFaults)] })
}

func (d *Daemon) logUnreadableEvacuation(centre, cause string) {
	d.metrics.unreadableEntries.Inc(1)
	d.log.infoLimited("evacuation unreadable", "centre", centre, "why", cause)
}

// logOrder logs and counts an order that is in force now.
func (d *Daemon) logOrder(v steering.EvacuationOrdered) {
	d.metrics.evacuationsOrdered.Inc(1)
	d.log.info("evacuation ordered", "centre", v.Centre, "revision", v.Revision, "age_ms", int64(d.evacuationAge()), "known", v.Known)
}

func (d *Daemon) logLift(v steering.EvacuationLifted) {
	d.log.info("evacuation lifted", "centre", v.Centre, "revision", v.Revision, "age_ms", int64(d.evacuationAge()))
}

// conditions returns the conditions for the report. d.mu must be held.
func (d *Daemon) conditions(now clock.Millis) []steering.Condition {
	return append(d.engine.Conditions(now), d.evacuationFaults...)
}

// evacuationGauges are the gauges of the orders.
var evacuationGauges = map[string]func(*Daemon) int64{
	"evacuations.in_force":         func(d *Daemon) int64 { return int64(len(d.evacuationOrders().List)) },
	"records.evacuations_revision": func(d *Daemon) int64 { return int64(d.evacuationOrders().Revision) },
	"records.evacuations_age_ms":   func(d *Daemon) int64 { return int64(d.evacuationAge()) },
}

func (m *daemonMetrics) registerEvacuations(d *Daemon) {
	m.evacuationsOrdered = m.counter("evacuations.ordered")
	for name, value := range evacuationGauges {
		metrics.NewRegisteredFunctionalGauge(name, m.registry, func() int64 { return value(d) })
	}
}
