// Package evacuation holds the orders of operators to evacuate a data centre. While an order
// is in force, no new flow is placed at the data centre's endpoints. Open flows stay.
//
// The orders are complete up to a revision of the store, and newer ones replace older ones as a
// whole, so an instance may take them from the store or from any other instance. There are few,
// so each message that confirms them contains them all.
//
// # Usage
//
//	orders := evacuation.Orders{}.Apply(changes, revision)
//	if orders.InForce("riga-a") { ... }
package evacuation

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Limits of orders. Any program may write entries; the limits keep odd ones from filling the
// messages between instances.
const (
	MaxNameBytes = 128 // of the name of a data centre
	MaxOrders    = 16  // orders in force at a time
)

// ErrOrders reports orders that exceed their limits.
var ErrOrders = errors.New("evacuation orders are invalid")

// Order is an operator's order to evacuate a data centre.
type Order struct {
	_        struct{} `cbor:",toarray"`
	Centre   string
	Revision uint64 // revision of the store at which it was written
}

// Orders are all orders in force. The zero value means that none were read yet.
type Orders struct {
	Revision uint64  `cbor:"revision"`         // of the store, up to which they are complete
	List     []Order `cbor:"orders,omitempty"` // sorted by data centre
	// Further orders are in the store, beyond MaxOrders. They come into force when the whole list
	// is read again and has room for them.
	Partial bool `cbor:"partial,omitempty"`
}

// Change is a new order, or the lifting of one.
type Change struct {
	Order
	Lifted bool
}

// Known reports whether the orders were read.
func (o *Orders) Known() bool { return o.Revision != 0 }

// Check returns an error for the first field that exceeds its limits.
func (o *Orders) Check() error {
	if len(o.List) > MaxOrders {
		return errors.Wrapf(ErrOrders, "%d orders are more than %d", len(o.List), MaxOrders)
	}
	for i, v := range o.List {
		switch {
		case v.Centre == "" || len(v.Centre) > MaxNameBytes:
			return errors.Wrapf(ErrOrders, "data centre %.60q is not a text of 1 to %d bytes", v.Centre, MaxNameBytes)
		case v.Revision > o.Revision:
			return errors.Wrapf(ErrOrders, "order for %.60q has revision %d, after %d", v.Centre, v.Revision, o.Revision)
		case i > 0 && o.List[i-1].Centre >= v.Centre:
			return errors.Wrapf(ErrOrders, "order for %.60q is not sorted", v.Centre)
		}
	}
	return nil
}

// InForce reports whether a data centre is evacuated.
func (o *Orders) InForce(centre string) bool {
	_, found := o.find(centre)
	return found
}

// Contains reports whether an order is in force, as it was written at its revision.
func (o *Orders) Contains(v Order) bool {
	at, found := o.find(v.Centre)
	return found && o.List[at].Revision == v.Revision
}

// Apply returns the orders at a later revision, after changes in any order. If there are more
// than MaxOrders, the earliest stay in force.
func (o Orders) Apply(changes []Change, revision uint64) Orders {
	n := Orders{Revision: max(o.Revision, revision), List: slices.Clone(o.List), Partial: o.Partial}
	changes = slices.Clone(changes)
	slices.SortStableFunc(changes, compareChanges)
	for _, c := range changes {
		if c.Lifted || c.Revision > o.Revision { // earlier orders are known
			n.apply(c)
		}
	}
	return n
}

// compareChanges sorts changes by revision. The lifting of an order may have the order's revision.
func compareChanges(a, b Change) int {
	if d := cmp.Compare(a.Revision, b.Revision); d != 0 || a.Lifted == b.Lifted {
		return d
	}
	if a.Lifted {
		return 1
	}
	return -1
}

func (o *Orders) apply(c Change) {
	at, found := o.find(c.Centre)
	switch {
	case found && c.Revision < o.List[at].Revision:
	case found && c.Lifted:
		o.List = slices.Delete(o.List, at, at+1)
	case found:
		o.List[at] = c.Order
	case c.Lifted:
	case len(o.List) < MaxOrders:
		o.List = slices.Insert(o.List, at, c.Order)
	default:
		o.Partial = true
	}
}

func (o *Orders) find(centre string) (int, bool) {
	return slices.BinarySearchFunc(o.List, centre, func(v Order, name string) int { return strings.Compare(v.Centre, name) })
}
