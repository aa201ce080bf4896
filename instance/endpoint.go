package instance

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

// Endpoint is one port of a backend server, with the state and the statistics that
// this instance keeps about it.
type Endpoint struct {
	Backend     record.Backend
	Record      record.Endpoint
	ServiceHash uint64 // token.Hash of the service's name
	Hash        uint64 // token.Hash of the address
	CreatedAt   clock.Millis

	Dispatcher      *Member          // the one instance that dispatches work to it, or nil
	DispatcherSince clock.Millis     // when Dispatcher last changed
	Running         int              // runs in progress from this instance
	RemoteRuns      int              // runs in progress from the instance that dispatched it before
	RemoteRunsAt    clock.Millis     // when RemoteRuns was last reported
	ReportedRuns    int              // Running as last reported to Dispatcher
	RunningLong     int              // those of Running that have class long
	StalledRuns     int              // runs in progress that have exceeded their silence time-out
	FailureStreak   int              // consecutive failures
	EjectedUntil    clock.Millis     // gets no new work before this time
	Draining        bool             // it answered that it is draining
	Misrouted       bool             // it answered that it doesn't serve the service (421)
	ProbedAt        clock.Millis     // when it was last probed, or 0
	RunTimes        [3]MovingAverage // mean run time by class, in ms
	SlotTime        float64          // slot time used lately, in ms; see utilization
	SlotTimeAt      clock.Millis     // when SlotTime was last updated
	SuspectedSince  clock.Millis     // since when a run has been silent and no probe was answered, or 0
	SilentAt        clock.Millis     // when a run there last ended as silent
}

func newEndpoint(now clock.Millis) *Endpoint {
	return &Endpoint{CreatedAt: now}
}

// Usable reports whether the endpoint may get new work.
func (ep *Endpoint) Usable(now clock.Millis) bool {
	return ep.Backend.State == record.StateActive && !ep.Draining && !ep.Misrouted && now >= ep.EjectedUntil && !ep.suspected(now) && !ep.allSlotsStalled()
}

// suspectTimeout is how long a suspected endpoint that answers no probe gets no work.
// After it the endpoint is tried again, as some endpoints serve requests but no probes.
const suspectTimeout = 30 * clock.Second

func (ep *Endpoint) suspected(now clock.Millis) bool {
	return ep.SuspectedSince != 0 && now-ep.SuspectedSince < suspectTimeout
}

// allSlotsStalled reports whether stalled runs occupy every slot.
func (ep *Endpoint) allSlotsStalled() bool {
	return ep.StalledRuns > 0 && ep.StalledRuns >= ep.Record.Slots
}

// Capacity returns the capacity that the record states: slots times weight.
func (ep *Endpoint) Capacity() float64 {
	return float64(ep.Record.Slots) * ep.Record.Weight
}

// utilizationSpan is the time constant of the decaying average of slot use.
const utilizationSpan = 2 * clock.Second

// utilization updates SlotTime to now and returns the share of the slots that was in
// use lately, as an average that decays with utilizationSpan.
func (ep *Endpoint) utilization(now clock.Millis) float64 {
	if elapsed := float64(now - ep.SlotTimeAt); elapsed > 0 {
		decay := math.Exp(-elapsed / float64(utilizationSpan))
		ep.SlotTime = ep.SlotTime*decay + float64(ep.Running)*float64(utilizationSpan)*(1-decay)
		ep.SlotTimeAt = now
	}
	return ep.SlotTime / float64(utilizationSpan) / float64(ep.Record.Slots)
}

// subject returns the name of the endpoint in log lines and conditions.
func (ep *Endpoint) subject() string {
	return string(record.KindBackend) + "/" + ep.Backend.Name + " " + ep.Record.Address
}
