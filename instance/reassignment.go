package instance

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Slow start of an endpoint that was assigned to this instance or has recovered.
const (
	rampStep         = 200 * clock.Millisecond // the usable slots double after each
	remoteRunsMaxAge = 4 * clock.Second        // a report of another instance's runs expires after this
)

// availableSlots returns how many more runs an endpoint may get now. The runs that its
// previous dispatcher still has there occupy slots. As that instance may not have
// reported them yet, a newly assigned endpoint starts with one slot, and the limit
// doubles after each rampStep. So does an endpoint whose ejection has ended.
func (ep *Endpoint) availableSlots(now clock.Millis) int {
	remoteRuns := ep.RemoteRuns
	if now-ep.RemoteRunsAt > remoteRunsMaxAge {
		remoteRuns = 0
	}
	slots := min(ep.Record.Slots, ep.Record.Connections) - remoteRuns
	const steps = 16 // beyond this many doublings the limit exceeds any number of slots
	if elapsed := (now - max(ep.DispatcherSince, ep.EjectedUntil)) / rampStep; elapsed < steps {
		slots = min(slots, 1<<elapsed)
	}
	return max(0, slots-ep.Running)
}

// setDispatcher records which instance dispatches an endpoint. If this instance loses the
// endpoint while it has runs there, it starts to report them to the new dispatcher.
func (st *EngineState) setDispatcher(ep *Endpoint, m *Member) {
	if ep.Dispatcher == m {
		return
	}
	if ep.Dispatcher == st.Self && ep.Running > 0 {
		st.reassigned = append(st.reassigned, ep)
	}
	if m == st.Self {
		st.reassigned = slices.DeleteFunc(st.reassigned, func(x *Endpoint) bool { return x == ep })
	}
	ep.Dispatcher, ep.DispatcherSince, ep.ReportedRuns = m, st.Now, 0
}

// runReport returns the runs that this instance still has at endpoints that the receiver
// of an envelope dispatches now. The final report of an endpoint says 0 runs.
func (st *EngineState) runReport(to *Member) []packet.EndpointRuns {
	var list []packet.EndpointRuns
	for i := 0; i < len(st.reassigned) && len(list) < packet.MaxEndpointRuns; i++ {
		ep := st.reassigned[i]
		if ep.Dispatcher == to && (ep.Running > 0 || ep.ReportedRuns > 0) {
			list = append(list, packet.EndpointRuns{Endpoint: ep.Hash, Runs: uint16(ep.Running)})
			ep.ReportedRuns = ep.Running
		}
	}
	st.reassigned = slices.DeleteFunc(st.reassigned, func(ep *Endpoint) bool { return ep.Running == 0 && ep.ReportedRuns == 0 })
	return list
}

// updateRemoteRuns records the runs that another instance reports at endpoints, so that
// they count as used slots.
func (st *EngineState) updateRemoteRuns(list []packet.EndpointRuns) {
	if len(list) == 0 {
		return
	}
	for _, ep := range st.Endpoints {
		for _, r := range list {
			if token.Hash(ep.Record.Address) == r.Endpoint {
				ep.RemoteRuns, ep.RemoteRunsAt = int(r.Runs), st.Now
				st.scheduleFillAt(ep)
			}
		}
	}
}

func (st *EngineState) scheduleFillAt(ep *Endpoint) {
	if s := st.Services[ep.ServiceHash]; s != nil {
		st.scheduleFill(s)
	}
}
