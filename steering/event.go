package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Event is something that happened to a daemon, other than a packet.
type Event interface{ event() }

// ConfigurationRead brings a configuration.
type ConfigurationRead struct{ Configuration *Configuration }

// ConfigurationRevised brings what a newer configuration changes.
type ConfigurationRevised struct{ Delta Delta }

// Confirmed tells when the store last confirmed the records in force, and when it
// last answered again after it had not.
type Confirmed struct{ Configuration, Endpoints, Returned clock.Millis }

// EndpointsListed brings every endpoint of the store at a revision.
type EndpointsListed struct {
	Endpoints  []Endpoint
	Unreadable []Change // entries that name no endpoint
	Revision   uint64
}

// EndpointsFound brings some endpoints of a list that is still being read.
type EndpointsFound struct{ Endpoints []Endpoint }

// EndpointsChanged brings changes up to a revision, in order. It may be empty.
type EndpointsChanged struct {
	Changes  []Change
	Revision uint64
}

// Change is a new entry of an endpoint, or the end of one.
type Change struct {
	Endpoint   Endpoint `cbor:"1,keyasint"` // with just ID and Revision when Removed or Unreadable
	Removed    bool     `cbor:"2,keyasint,omitempty"`
	Unreadable bool     `cbor:"3,keyasint,omitempty"` // another writer wrote what names no endpoint
}

// Finding is what an instance found of an endpoint: that it did not answer a probe,
// or one of what follows.
type Finding struct {
	Endpoint string       `cbor:"endpoint"`
	Born     clock.Millis `cbor:"born"`
	Refused  bool         `cbor:"refused,omitempty"` // its address refuses connections
	Failing  bool         `cbor:"failing,omitempty"` // it answers, but with errors by their size
	Trial    bool         `cbor:"trial,omitempty"`   // found from one bad answer, after a ban
}

// SilenceReported tells what another instance found.
type SilenceReported struct {
	By string // name of the other instance
	Finding
}

// TalliesReported brings what another instance saw of endpoints.
type TalliesReported struct{ Tallies []Tally }

// FlowsAsked brings another instance's question: which of these flows went on here?
type FlowsAsked struct {
	By     string // name of the other instance
	Sights []Sight
}

// FlowsSeen tells that flows went on at other instances.
type FlowsSeen struct{ Sights []Sight }

// Woke tells that the process stood still for a while.
type Woke struct{}

// Probed is the end of a Probe.
type Probed struct {
	Endpoint string
	Born     clock.Millis
	End      ProbeEnd
}

// ProbeEnd tells how a probe ended.
type ProbeEnd uint8

// The ends of a probe.
const (
	ProbeHung     ProbeEnd = iota // nothing came back in time, though the control answered
	ProbeAnswered                 // something listens
	ProbeRefused                  // nothing listens at the address
	ProbeUnclear                  // the control did not answer either
)

var probeEnds = map[ProbeEnd]string{ProbeHung: "hung", ProbeAnswered: "answered", ProbeRefused: "refused", ProbeUnclear: "unclear"}

// String returns the name of an end in logs.
func (p ProbeEnd) String() string { return probeEnds[p] }

// Ticked tells that time has passed.
type Ticked struct {
	Late clock.Millis // how long after its time this comes
}

func (ConfigurationRead) event()    {}
func (EndpointsListed) event()      {}
func (EndpointsFound) event()       {}
func (EndpointsChanged) event()     {}
func (ConfigurationRevised) event() {}
func (Confirmed) event()            {}
func (SilenceReported) event()      {}
func (TalliesReported) event()      {}
func (FlowsAsked) event()           {}
func (FlowsSeen) event()            {}
func (Woke) event()                 {}
func (Probed) event()               {}
func (Ticked) event()               {}

// Action is something for the daemon to do or to tell.
type Action interface{ action() }

// Probe asks whether anything listens at an endpoint's address.
type Probe struct {
	Endpoint string
	Born     clock.Millis
	Address  End
	// An endpoint that has just answered, asked at the same time: when it doesn't
	// answer either, the trouble is on this side. Zero when there is none.
	Control End
}

// Answered tells how long a request waited for its answer.
type Answered struct {
	Service string
	Route   string // its name
	Took    clock.Millis
}

// ConfigurationAccepted tells that a newer configuration is in force.
type ConfigurationAccepted struct {
	Version  int64
	Revision uint64
	Routes   int
	Removed  int // routes of the earlier version that are no more
}

// EndpointsLearnt tells that the first list of endpoints is complete.
type EndpointsLearnt struct {
	Count    int
	Revision uint64
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

// SilenceSeen tells what the other instances should know of an endpoint.
type SilenceSeen struct{ Finding }

// AskFlows asks the other instances whether flows went on there.
type AskFlows struct{ Sights []Sight }

// ShareTallies asks for the tallies to be told to others now, and not only in turn.
type ShareTallies struct{}

// TellFlows tells another instance which of its flows went on here.
type TellFlows struct {
	To     string // name of the other instance
	Sights []Sight
}

// ResetFlow tells a consumer that its flow is over.
type ResetFlow struct {
	Consumer, Route End
	Ack             uint32 // next byte that the consumer expects
	Endpoint        string
}

// EndpointFailing tells that an endpoint gets no new flows for a while, since it
// fails its requests.
type EndpointFailing struct {
	Endpoint string
	Service  string
	Why      string
	Ban      clock.Millis
	Reset    int // flows
}

// EndpointLost tells that an endpoint's flows were given up.
type EndpointLost struct {
	Endpoint string
	Service  string
	Why      string // refused, silent or gone
	Reset    int    // flows
}

func (Probe) action()                 {}
func (ConfigurationAccepted) action() {}
func (EndpointsLearnt) action()       {}
func (EndpointChanged) action()       {}
func (EndpointSilent) action()        {}
func (SilenceSeen) action()           {}
func (AskFlows) action()              {}
func (ShareTallies) action()          {}
func (TellFlows) action()             {}
func (ResetFlow) action()             {}
func (EndpointFailing) action()       {}
func (EndpointLost) action()          {}
