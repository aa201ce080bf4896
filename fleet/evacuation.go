package fleet

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
	"github.com/tanagerdock/tanagerdock/steering"
)

// EvacuationState is part of heartbeats and of records for another member: all evacuation
// orders in force. Members of older versions don't send it.
type EvacuationState struct {
	evacuation.Orders
	Age clock.Millis `cbor:"age"` // how long ago the store confirmed the orders
}

// Check returns ErrMessage if the orders, their revision or their age exceed their limits.
// Without a state there is nothing to check.
func (s *EvacuationState) Check() error {
	switch {
	case s == nil:
		return nil
	case s.Revision == 0 || s.Revision > maxRevision:
		return errors.Wrapf(ErrMessage, "revision %d of evacuation orders is not within 1 to %d", s.Revision, uint64(maxRevision))
	case s.Age < 0 || s.Age > maxRecordAge:
		return errors.Wrapf(ErrMessage, "age of %d ms is not within 0 to %d", s.Age, maxRecordAge)
	}
	if err := s.Orders.Check(); err != nil {
		return errors.Wrapf(ErrMessage, "%v", err)
	}
	return nil
}

// delayed returns the state as another member passes it on after a delay.
func (s *EvacuationState) delayed(delay clock.Millis) *EvacuationState {
	if s == nil {
		return nil
	}
	return &EvacuationState{Orders: s.Orders, Age: min(s.Age+delay, maxRecordAge)}
}

// EvacuationsRead reports an answer of the store with evacuation orders. The watcher sends a
// heartbeat if they changed.
type EvacuationsRead struct {
	Orders      evacuation.Orders // with the answer applied
	RequestedAt clock.Millis      // since when the store may have given the answer; 0 if it gave it now
}

func (EvacuationsRead) event() {}

// evacuations are the orders that a member knows.
type evacuations struct {
	orders      evacuation.Orders
	confirmedAt clock.Millis // when the store last confirmed them; 0 if it hasn't
}

// Evacuations returns the orders that this member knows. The caller must not modify them.
func (e *Engine) Evacuations() evacuation.Orders { return e.evacuations.orders }

// EvacuationState returns the orders that this member knows, or nil if it knows none or
// operators order none.
func (e *Engine) EvacuationState(now clock.Millis) *EvacuationState {
	if !e.settings.Evacuations || !e.evacuations.orders.Known() {
		return nil
	}
	return &EvacuationState{Orders: e.evacuations.orders, Age: min(now-e.evacuations.confirmedAt, maxRecordAge)}
}

// applyEvacuations accepts orders that are newer than those known, and the confirmation of orders
// that are as new. Orders are complete up to their revision, so nothing goes back.
func (e *Engine) applyEvacuations(o evacuation.Orders, confirmedAt clock.Millis) []Action {
	known := &e.evacuations
	if !e.settings.Evacuations || !o.Known() || o.Revision < known.orders.Revision {
		return nil
	}
	known.confirmedAt = max(known.confirmedAt, confirmedAt)
	if o.Revision == known.orders.Revision {
		return nil
	}
	known.orders = o
	return []Action{NotifySteering{Event: steering.EvacuationsRead{Orders: o}}}
}

// handleWatcherEvacuations processes the orders in a watcher's heartbeat. A watcher that sends
// none doesn't watch them.
func (e *Engine) handleWatcherEvacuations(now clock.Millis, p *peer, s *EvacuationState) []Action {
	if s == nil {
		p.evacuationsConfirmedAt = now - maxRecordAge
		return nil
	}
	p.evacuationsConfirmedAt = now - s.Age
	return e.applyEvacuations(s.Orders, e.sentAt(now)-s.Age)
}

func (e *Engine) handleEvacuationsRead(now clock.Millis, v EvacuationsRead) []Action {
	if !e.settings.Evacuations {
		return nil
	}
	stale, before := e.recordsStale(now), e.evacuations.orders
	e.readAt = now
	actions := e.applyEvacuations(v.Orders, e.readSince(now, v.RequestedAt))
	e.recordAnswers()
	actions = append(actions, e.updateWatching(now)...)
	changed := before.Partial != e.evacuations.orders.Partial || !slices.Equal(before.List, e.evacuations.orders.List)
	if e.watching && (changed || stale && !e.recordsStale(now)) {
		actions = append(actions, e.sendHeartbeat(now)...)
	}
	return actions
}

// Bytes of a heartbeat for the orders: at most for all of them, and for one besides its name.
const (
	maxOrdersSize = 640
	orderOverhead = 12
)

// LimitEvacuations returns those of the orders that have room in a heartbeat, and the others,
// which make the result partial. Data centres that are known come first, then the latest orders:
// any program may write entries.
func LimitEvacuations(all evacuation.Orders, centres []string) (kept evacuation.Orders, left []evacuation.Order) {
	list := slices.Clone(all.List)
	isOther := func(o evacuation.Order) int {
		if slices.Contains(centres, o.Centre) {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b evacuation.Order) int {
		return cmp.Or(isOther(a)-isOther(b), cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Centre, b.Centre))
	})
	kept.Revision = all.Revision
	size := 0
	for _, o := range list {
		size += len(o.Centre) + orderOverhead
		if len(kept.List) == evacuation.MaxOrders || size > maxOrdersSize {
			left = append(left, o)
			continue
		}
		kept.List = append(kept.List, o)
	}
	kept.Partial = all.Partial || len(left) > 0
	slices.SortFunc(kept.List, func(a, b evacuation.Order) int { return cmp.Compare(a.Centre, b.Centre) })
	return kept, left
}

// ReportedEvacuation is an order in the report of a data centre.
type ReportedEvacuation struct {
	Centre   string `json:"centre"`
	Revision uint64 `json:"revision"`
}

func reportedEvacuations(o evacuation.Orders) (list []ReportedEvacuation) {
	for _, v := range o.List {
		list = append(list, ReportedEvacuation{Centre: v.Centre, Revision: v.Revision})
	}
	return list
}
