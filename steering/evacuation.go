package steering

import (
	"fmt"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
)

// ordersTimeout is how long an instance that starts waits for the evacuation orders once it has
// the other records. Serving flows without the orders is then better than serving none.
const ordersTimeout = 2 * clock.Second

// admits reports whether a new flow may be placed at an endpoint at all. Unlike one that is only
// avoided, an endpoint that isn't admitted gets none even if there is no other.
func (e *Engine) admits(_ clock.Millis, s *endpointState) bool { return !e.evacuated(s) }

// evacuated reports whether the data centre of an endpoint is evacuated.
func (e *Engine) evacuated(s *endpointState) bool {
	return len(e.evacuations.List) > 0 && e.evacuations.InForce(s.Centre)
}

// refusalReason returns why a new flow of a route can be placed at none of its services.
func (e *Engine) refusalReason(now clock.Millis, route *Route, service string) Reason {
	admitted, evacuated := false, false
	for _, share := range route.Shares {
		if share.Service != service && share.Weight <= 0 {
			continue
		}
		for _, s := range e.directory.byService[share.Service] {
			switch {
			case e.evacuated(s):
				evacuated = true
			case e.cold(now, s):
				return ReasonWarmingUp
			default:
				admitted = true
			}
		}
	}
	if evacuated && !admitted {
		return ReasonEvacuated
	}
	return ReasonNoEndpoint
}

// hasOrders reports whether flows may be placed as far as the evacuation orders go.
func (e *Engine) hasOrders() bool {
	return !e.settings.Evacuations || e.evacuations.Known() || e.ordersOverdue
}

// awaitOrders ends the wait for the evacuation orders after ordersTimeout.
func (e *Engine) awaitOrders(now clock.Millis) {
	if e.hasOrders() || !e.hasRecords() {
		return
	}
	if e.awaitsOrdersSince == 0 {
		e.awaitsOrdersSince = now
	}
	e.ordersOverdue = now-e.awaitsOrdersSince >= ordersTimeout
}

// readEvacuations applies orders unless newer ones are known.
func (e *Engine) readEvacuations(now clock.Millis, orders evacuation.Orders) (actions []Action) {
	if !e.settings.Evacuations || orders.Revision <= e.evacuations.Revision {
		return nil
	}
	old := e.evacuations
	e.evacuations = orders
	for _, v := range old.List {
		if !orders.InForce(v.Centre) {
			e.assumeCentreCold(now, v.Centre, orders.Revision)
			actions = append(actions, EvacuationLifted{Centre: v.Centre, Revision: orders.Revision})
		}
	}
	for _, v := range orders.List {
		if !old.Contains(v) {
			actions = append(actions, EvacuationOrdered{Centre: v.Centre, Revision: v.Revision, Known: e.knowsCentre(v.Centre)})
		}
	}
	return actions
}

// knowsCentre reports whether an endpoint is in a data centre, or may be since the endpoints
// aren't all known yet.
func (e *Engine) knowsCentre(centre string) bool {
	if !e.directory.listed {
		return true
	}
	for _, s := range e.directory.byID {
		if s.entryState != gone && s.Centre == centre {
			return true
		}
	}
	return false
}

// evacuationConditions returns a condition for each order in force.
func (e *Engine) evacuationConditions() (list []Condition) {
	for _, v := range e.evacuations.List {
		c := Condition{
			Type: ConditionEvacuated, Subject: "centre/" + v.Centre,
			Reason: fmt.Sprintf("ordered at revision %d", v.Revision), Action: "its endpoints get no new flows",
		}
		if !e.knowsCentre(v.Centre) {
			c.Reason, c.Action = c.Reason+", and no endpoint is in a data centre of this name", "it has no effect"
		}
		list = append(list, c)
	}
	if e.evacuations.Partial {
		list = append(list, Condition{
			Type: ConditionEvacuated, Subject: "evacuations",
			Reason: "there are more orders than have room in a message", Action: "some have no effect",
		})
	}
	return list
}
