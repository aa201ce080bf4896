package instance

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

// Endpoint is one port of a backend server, with what this instance learnt about
// it from its own work there.
type Endpoint struct {
	Backend record.Backend
	Record  record.Endpoint
	Service uint64 // token.Hash of the service's name
	Hash    uint64 // token.Hash of the address
	Born    clock.Millis

	Keeper    *Member      // instance that dispatches it, or nil
	Kept      clock.Millis // since when Keeper does, or since when it takes work again
	Busy      int          // runs under way from this instance
	Away      int          // runs under way from the instance that dispatched it before
	AwayAt    clock.Millis // when Away was last told
	Told      int          // runs last told to Keeper
	BusyLong  int          // those of class long
	Stalled   int          // runs under way from which nothing came back for long
	Fails     int          // failures in a row
	Until     clock.Millis // takes no new work before
	Draining  bool         // it said that it is draining
	Misrouted bool         // it said that it serves another service
	Probed    clock.Millis // when it was last probed, or 0
	Times     [3]Average   // run time by class, in ms
	Spent     float64      // slot time used of late, in ms; see usedAt
	SpentAt   clock.Millis // when Spent was last brought up to date
	Doubted   clock.Millis // since when it was silent and no probe was answered, or 0
	SilentAt  clock.Millis // when a run there was last found silent
}

func newEndpoint(now clock.Millis) *Endpoint {
	return &Endpoint{Born: now}
}

// Usable reports whether the endpoint may get new work.
func (ep *Endpoint) Usable(now clock.Millis) bool {
	return ep.Backend.State == record.StateActive && !ep.Draining && !ep.Misrouted && now >= ep.Until && !ep.doubted(now) && !ep.stuck()
}

// doubtLimit is how long an endpoint that answers no probe gets no work: one
// that serves requests but no probes is found out then.
const doubtLimit = 30 * clock.Second

func (ep *Endpoint) doubted(now clock.Millis) bool {
	return ep.Doubted != 0 && now-ep.Doubted < doubtLimit
}

// stuck reports whether every slot is held by a run from which nothing came back
// for long.
func (ep *Endpoint) stuck() bool {
	return ep.Stalled > 0 && ep.Stalled >= ep.Record.Slots
}

// Capacity returns the work it can take: slots times relative speed.
func (ep *Endpoint) Capacity() float64 {
	return float64(ep.Record.Slots) * ep.Record.Weight
}

// spentSpan is the span over which used slot time is remembered.
const spentSpan = 2 * clock.Second

// usedAt brings Spent up to now and returns the share of its slots' time that the
// endpoint was used of late.
func (ep *Endpoint) usedAt(now clock.Millis) float64 {
	if passed := float64(now - ep.SpentAt); passed > 0 {
		kept := math.Exp(-passed / float64(spentSpan))
		ep.Spent = ep.Spent*kept + float64(ep.Busy)*float64(spentSpan)*(1-kept)
		ep.SpentAt = now
	}
	return ep.Spent / float64(spentSpan) / float64(ep.Record.Slots)
}

// subject names the endpoint in notes and conditions.
func (ep *Endpoint) subject() string {
	return string(record.KindBackend) + "/" + ep.Backend.Name + " " + ep.Record.Address
}
