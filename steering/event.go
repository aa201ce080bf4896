package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Event is something that happened to a daemon, other than a packet.
type Event interface{ event() }

// ConfigurationRead brings a configuration, or confirms the one in force.
type ConfigurationRead struct {
	Configuration *Configuration // nil when nothing has changed
	Confirmed     bool           // by the store, so that nothing newer was there
}

// EndpointsListed brings every endpoint of the store at a revision.
type EndpointsListed struct {
	Endpoints  []Endpoint
	Unreadable []Change // entries that name no endpoint
	Revision   uint64
}

// EndpointsChanged brings changes up to a revision, in order. It may be empty.
type EndpointsChanged struct {
	Changes  []Change
	Revision uint64
}

// Change is a new entry of an endpoint, or the end of one.
type Change struct {
	Endpoint   Endpoint // with just ID and Revision when Removed or Unreadable
	Removed    bool
	Unreadable bool // another writer wrote what names no endpoint
}

// StoreLost tells that the store doesn't answer.
type StoreLost struct{}

// StoreReturned tells that the store answers again.
type StoreReturned struct{}

// Woke tells that the process stood still for a while.
type Woke struct{ Slept clock.Millis }

// Probed is the end of a Probe.
type Probed struct {
	Endpoint string
	Born     clock.Millis
	Refused  bool // nothing listens at its address
}

// Ticked tells that time has passed.
type Ticked struct{}

func (ConfigurationRead) event() {}
func (EndpointsListed) event()   {}
func (EndpointsChanged) event()  {}
func (StoreLost) event()         {}
func (StoreReturned) event()     {}
func (Woke) event()              {}
func (Probed) event()            {}
func (Ticked) event()            {}

// Action is something for the daemon to do or to tell.
type Action interface{ action() }

// Probe asks whether anything listens at an endpoint's address.
type Probe struct {
	Endpoint string
	Born     clock.Millis
	Address  End
}

// Answered tells how long a request waited for its answer.
type Answered struct {
	Service string
	Took    clock.Millis
}

// ConfigurationAccepted tells that a newer configuration is in force.
type ConfigurationAccepted struct {
	Version  int64
	Revision uint64
	Routes   int
	Removed  int // routes of the earlier version that are no more
}

// EndpointChanged tells what the daemon now believes of an endpoint.
type EndpointChanged struct {
	Endpoint string
	Service  string
	Address  End
	State    string // ready, draining, lapsed or gone
	Revision uint64
}

// EndpointSilent tells that an endpoint gets no new flows for a while.
type EndpointSilent struct {
	Endpoint string
	Service  string
	Missed   int // flows without an answer
	Rest     clock.Millis
}

// EndpointRefused tells that nothing listens at an endpoint's address.
type EndpointRefused struct {
	Endpoint string
	Service  string
}

func (Probe) action()                 {}
func (Answered) action()              {}
func (ConfigurationAccepted) action() {}
func (EndpointChanged) action()       {}
func (EndpointSilent) action()        {}
func (EndpointRefused) action()       {}
