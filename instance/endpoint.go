package instance

import (
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

	Busy      int          // runs under way from this instance
	BusyLong  int          // those of class long
	Fails     int          // failures in a row
	Until     clock.Millis // takes no new work before
	Draining  bool         // it said that it is draining
	Misrouted bool         // it said that it serves another service
	Probed    clock.Millis // when it was last probed, or 0
	Doubted   bool         // it was silent and the probe has not ended
	Times     [3]Average   // run time by class, in ms
}

func newEndpoint(now clock.Millis) *Endpoint {
	return &Endpoint{Born: now}
}

// Usable reports whether the endpoint may get new work.
func (ep *Endpoint) Usable(now clock.Millis) bool {
	return ep.Backend.State == record.StateActive && !ep.Draining && !ep.Misrouted && now >= ep.Until
}

// Capacity returns the work it can take: slots times relative speed.
func (ep *Endpoint) Capacity() float64 {
	return float64(ep.Record.Slots) * ep.Record.Weight
}

// subject names the endpoint in notes and conditions.
func (ep *Endpoint) subject() string {
	return string(record.KindBackend) + "/" + ep.Backend.Name + " " + ep.Record.Address
}
