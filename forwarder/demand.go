package forwarder

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/demand"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/steering"
)

// sendDemand reports this instance's load, if the configuration asks for it, and logs when new
// flows begin or cease to be placed by sums.
func (d *Daemon) sendDemand() {
	var digests []demand.Digest
	var state steering.DemandState
	changed := false
	d.locked(func() {
		now := clock.Now()
		if d.engine.DemandWanted() {
			digests = d.engine.TakeDemand(now)
		}
		state = d.engine.DemandState(now)
		changed = state.InUse != d.sumsInUse
		d.sumsInUse = state.InUse
	})
	if changed {
		d.log.info("load sums", "on", state.InUse, "members", state.Members, "age_ms", int64(state.Age))
	}
	if len(digests) > 0 {
		d.handleFleet(fleet.DemandTaken{Digests: digests})
	}
}

func (d *Daemon) demandState() (state steering.DemandState) {
	d.locked(func() { state = d.engine.DemandState(clock.Now()) })
	return state
}

// demandGauges are the gauges for the sums of the data centre.
var demandGauges = map[string]func(steering.DemandState) int64{
	"in_use": func(s steering.DemandState) int64 {
		if s.InUse {
			return 1
		}
		return 0
	},
	"members": func(s steering.DemandState) int64 { return int64(s.Members) },
	"age_ms":  func(s steering.DemandState) int64 { return int64(s.Age) },
	"placed":  func(s steering.DemandState) int64 { return s.Placed },
	"wrong":   func(s steering.DemandState) int64 { return s.Wrong },
}
