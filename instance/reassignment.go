package instance

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Slots of an endpoint that is new here, or works again.
const (
	rampStep         = 200 * clock.Millisecond // time in which the slots in use may double
	remoteRunsMaxAge = 4 * clock.Second        // runs of another instance not told again for so long have ended
)

// availableSlots returns how many more runs an endpoint may get now. Runs that the instance
// which dispatched it before still has there take up slots, and one that is new
// here gets one run at first, and twice as many after each rampStep.
func (ep *Endpoint) availableSlots(now clock.Millis) int {
	remoteRuns := ep.RemoteRuns
	if now-ep.RemoteRunsAt > remoteRunsMaxAge {
		remoteRuns = 0
	}
	slots := min(ep.Record.Slots, ep.Record.Connections) - remoteRuns
	const steps = 16 // more doublings than there can be slots
	if elapsed := (now - max(ep.DispatcherSince, ep.EjectedUntil)) / rampStep; elapsed < steps {
		slots = min(slots, 1<<elapsed)
	}
	return max(0, slots-ep.Running)
}

// setDispatcher notes which instance dispatches an endpoint.
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

// runReport returns what an envelope tells another instance about runs at endpoints
// that it dispatches now. The last report of an endpoint tells that there are none.
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

// updateRemoteRuns takes in the runs that another instance still has at endpoints dispatched
// here now.
func (st *EngineState) updateRemoteRuns(list []packet.EndpointRuns) {
	if len(list) == 0 {
		return
	}
	for _, ep := range st.Endpoints {
		for _, h := range list {
			if token.Hash(ep.Record.Address) == h.Endpoint {
				ep.RemoteRuns, ep.RemoteRunsAt = int(h.Runs), st.Now
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
