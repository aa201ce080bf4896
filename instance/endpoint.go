package instance

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

// Endpoint is one port of a backend server, with what this instance learnt about
// it from its own work there.
type Endpoint struct {
	Backend     record.Backend
	Record      record.Endpoint
	ServiceHash uint64 // token.Hash of the service's name
	Hash        uint64 // token.Hash of the address
	CreatedAt   clock.Millis

	Dispatcher      *Member          // instance that dispatches it, or nil
	DispatcherSince clock.Millis     // since when Keeper does, or since when it takes work again
	Running         int              // runs under way from this instance
	RemoteRuns      int              // runs under way from the instance that dispatched it before
	RemoteRunsAt    clock.Millis     // when Away was last told
	ReportedRuns    int              // runs last told to Keeper
	RunningLong     int              // those of class long
	StalledRuns     int              // runs under way from which nothing came back for long
	FailureStreak   int              // failures in a row
	EjectedUntil    clock.Millis     // takes no new work before
	Draining        bool             // it said that it is draining
	Misrouted       bool             // it said that it serves another service
	ProbedAt        clock.Millis     // when it was last probed, or 0
	RunTimes        [3]MovingAverage // run time by class, in ms
	SlotTime        float64          // slot time used of late, in ms; see usedAt
	SlotTimeAt      clock.Millis     // when Spent was last brought up to date
	SuspectedSince  clock.Millis     // since when it was silent and no probe was answered, or 0
	SilentAt        clock.Millis     // when a run there was last found silent
}

func newEndpoint(now clock.Millis) *Endpoint {
	return &Endpoint{CreatedAt: now}
}

// Usable reports whether the endpoint may get new work.
func (ep *Endpoint) Usable(now clock.Millis) bool {
	return ep.Backend.State == record.StateActive && !ep.Draining && !ep.Misrouted && now >= ep.EjectedUntil && !ep.suspected(now) && !ep.allSlotsStalled()
}

// suspectTimeout is how long an endpoint that answers no probe gets no work: one
// that serves requests but no probes is found out then.
const suspectTimeout = 30 * clock.Second

func (ep *Endpoint) suspected(now clock.Millis) bool {
	return ep.SuspectedSince != 0 && now-ep.SuspectedSince < suspectTimeout
}

// allSlotsStalled reports whether every slot is held by a run from which nothing came back
// for long.
func (ep *Endpoint) allSlotsStalled() bool {
	return ep.StalledRuns > 0 && ep.StalledRuns >= ep.Record.Slots
}

// Capacity returns the work it can take: slots times relative speed.
func (ep *Endpoint) Capacity() float64 {
	return float64(ep.Record.Slots) * ep.Record.Weight
}

// utilizationSpan is the span over which used slot time is remembered.
const utilizationSpan = 2 * clock.Second

// utilization brings Spent up to now and returns the share of its slots' time that the
// endpoint was used of late.
func (ep *Endpoint) utilization(now clock.Millis) float64 {
	if elapsed := float64(now - ep.SlotTimeAt); elapsed > 0 {
		decay := math.Exp(-elapsed / float64(utilizationSpan))
		ep.SlotTime = ep.SlotTime*decay + float64(ep.Running)*float64(utilizationSpan)*(1-decay)
		ep.SlotTimeAt = now
	}
	return ep.SlotTime / float64(utilizationSpan) / float64(ep.Record.Slots)
}

// subject names the endpoint in notes and conditions.
func (ep *Endpoint) subject() string {
	return string(record.KindBackend) + "/" + ep.Backend.Name + " " + ep.Record.Address
}
