package instance

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Slots of an endpoint that is new here, or works again.
const (
	rampStep = 200 * clock.Millisecond // time in which the slots in use may double
	awayAge  = 4 * clock.Second        // runs of another instance not told again for so long have ended
)

// room returns how many more runs an endpoint may get now. Runs that the instance
// which dispatched it before still has there take up slots, and one that is new
// here gets one run at first, and twice as many after each rampStep.
func (ep *Endpoint) room(now clock.Millis) int {
	away := ep.RemoteRuns
	if now-ep.RemoteRunsAt > awayAge {
		away = 0
	}
	slots := min(ep.Record.Slots, ep.Record.Connections) - away
	const steps = 16 // more doublings than there can be slots
	if passed := (now - max(ep.DispatcherSince, ep.EjectedUntil)) / rampStep; passed < steps {
		slots = min(slots, 1<<passed)
	}
	return max(0, slots-ep.Running)
}

// keep notes which instance dispatches an endpoint.
func (b *EngineState) keep(ep *Endpoint, m *Member) {
	if ep.Dispatcher == m {
		return
	}
	if ep.Dispatcher == b.Self && ep.Running > 0 {
		b.moved = append(b.moved, ep)
	}
	if m == b.Self {
		b.moved = slices.DeleteFunc(b.moved, func(x *Endpoint) bool { return x == ep })
	}
	ep.Dispatcher, ep.DispatcherSince, ep.ReportedRuns = m, b.Now, 0
}

// held returns what an envelope tells another instance about runs at endpoints
// that it dispatches now. The last report of an endpoint tells that there are none.
func (b *EngineState) held(to *Member) []packet.EndpointRuns {
	var list []packet.EndpointRuns
	for i := 0; i < len(b.moved) && len(list) < packet.MaxEndpointRuns; i++ {
		ep := b.moved[i]
		if ep.Dispatcher == to && (ep.Running > 0 || ep.ReportedRuns > 0) {
			list = append(list, packet.EndpointRuns{Endpoint: ep.Hash, Runs: uint16(ep.Running)})
			ep.ReportedRuns = ep.Running
		}
	}
	b.moved = slices.DeleteFunc(b.moved, func(ep *Endpoint) bool { return ep.Running == 0 && ep.ReportedRuns == 0 })
	return list
}

// away takes in the runs that another instance still has at endpoints dispatched
// here now.
func (b *EngineState) away(list []packet.EndpointRuns) {
	if len(list) == 0 {
		return
	}
	for _, ep := range b.Endpoints {
		for _, h := range list {
			if token.Hash(ep.Record.Address) == h.Endpoint {
				ep.RemoteRuns, ep.RemoteRunsAt = int(h.Runs), b.Now
				b.pumpOf(ep)
			}
		}
	}
}

func (b *EngineState) pumpOf(ep *Endpoint) {
	if s := b.Services[ep.ServiceHash]; s != nil {
		b.pump(s)
	}
}
