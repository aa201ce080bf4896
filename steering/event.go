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

// RecordsConfirmed tells when the store last confirmed the records in force, and when it
// last answered again after it had not.
type RecordsConfirmed struct{ ConfigurationAt, EndpointsAt, StoreReturnedAt clock.Millis }

// EndpointsListed brings every endpoint of the store at a revision.
type EndpointsListed struct {
	Endpoints  []Endpoint
	Unreadable []EndpointChange // entries that name no endpoint
	Revision   uint64
}

// EndpointsPageRead brings some endpoints of a list that is still being read.
type EndpointsPageRead struct{ Endpoints []Endpoint }

// EndpointsChanged brings changes up to a revision, in order. It may be empty.
type EndpointsChanged struct {
	Changes  []EndpointChange
	Revision uint64
}

// EndpointChange is a new entry of an endpoint, or the end of one.
type EndpointChange struct {
	Endpoint   Endpoint `cbor:"1,keyasint"` // with just ID and Revision when Removed or Unreadable
	Removed    bool     `cbor:"2,keyasint,omitempty"`
	Unreadable bool     `cbor:"3,keyasint,omitempty"` // another writer wrote what names no endpoint
}

// EndpointFault is what an instance found of an endpoint: that it did not answer a probe,
// or one of what follows.
type EndpointFault struct {
	Endpoint    string       `cbor:"endpoint"`
	Incarnation clock.Millis `cbor:"born"`
	Refused     bool         `cbor:"refused,omitempty"` // its address refuses connections
	Failing     bool         `cbor:"failing,omitempty"` // it answers, but with errors by their size
	Probation   bool         `cbor:"trial,omitempty"`   // found from one bad answer, after a ban
}

// FaultReported tells what another instance found.
type FaultReported struct {
	Sender string // name of the other instance
	EndpointFault
}

// TalliesReported brings what another instance saw of endpoints.
type TalliesReported struct{ Tallies []Tally }

// FlowsQueried brings another instance's question: which of these flows went on here?
type FlowsQueried struct {
	Sender string // name of the other instance
	Flows  []FlowProgress
}

// FlowsReported tells that flows went on at other instances.
type FlowsReported struct{ Flows []FlowProgress }

// ProcessStalled tells that the process stood still for a while.
type ProcessStalled struct{}

// ProbeEnded is the end of a Probe.
type ProbeEnded struct {
	Endpoint    string
	Incarnation clock.Millis
	Result      ProbeResult
}

// ProbeResult tells how a probe ended.
type ProbeResult uint8

// The ends of a probe.
const (
	ProbeTimedOut     ProbeResult = iota // nothing came back in time, though the control answered
	ProbeAnswered                        // something listens
	ProbeRefused                         // nothing listens at the address
	ProbeInconclusive                    // the control did not answer either
)

var probeEnds = map[ProbeResult]string{ProbeTimedOut: "hung", ProbeAnswered: "answered", ProbeRefused: "refused", ProbeInconclusive: "unclear"}

// String returns the name of an end in logs.
func (p ProbeResult) String() string { return probeEnds[p] }

// Ticked tells that time has passed.
type Ticked struct {
	Delay clock.Millis // how long after its time this comes
}

func (ConfigurationRead) event()    {}
func (EndpointsListed) event()      {}
func (EndpointsPageRead) event()    {}
func (EndpointsChanged) event()     {}
func (ConfigurationRevised) event() {}
func (RecordsConfirmed) event()     {}
func (FaultReported) event()        {}
func (TalliesReported) event()      {}
func (FlowsQueried) event()         {}
func (FlowsReported) event()        {}
func (ProcessStalled) event()       {}
func (ProbeEnded) event()           {}
func (Ticked) event()               {}

// Action is something for the daemon to do or to tell.
type Action interface{ action() }

// Probe asks whether anything listens at an endpoint's address.
type Probe struct {
	Endpoint    string
	Incarnation clock.Millis
	Address     AddrPort
	// An endpoint that has just answered, asked at the same time: when it doesn't
	// answer either, the trouble is on this side. Zero when there is none.
	Control AddrPort
}

// Answered tells how long a request waited for its answer.
type Answered struct {
	Service string
	Route   string // its name
	Latency clock.Millis
}

// ConfigurationAccepted tells that a newer configuration is in force.
type ConfigurationAccepted struct {
	Version       int64
	Revision      uint64
	Routes        int
	RemovedRoutes int // routes of the earlier version that are no more
}

// EndpointsLoaded tells that the first list of endpoints is complete.
type EndpointsLoaded struct {
	Count    int
	Revision uint64
}

// EndpointStateChanged tells what the daemon now believes of an endpoint.
type EndpointStateChanged struct {
	Endpoint string
	Service  string
	Address  AddrPort
	State    string // ready, draining, lapsed or gone
	Revision uint64
}

// EndpointSilent tells that an endpoint gets no new flows for a while.
type EndpointSilent struct {
	Endpoint        string
	Service         string
	UnansweredFlows int // flows without an answer
	Backoff         clock.Millis
}

// ReportFault tells what the other instances should know of an endpoint.
type ReportFault struct{ EndpointFault }

// QueryFlows asks the other instances whether flows went on there.
type QueryFlows struct{ Flows []FlowProgress }

// SendTallies asks for the tallies to be told to others now, and not only in turn.
type SendTallies struct{}

// ReportFlows tells another instance which of its flows went on here.
type ReportFlows struct {
	Receiver string // name of the other instance
	Flows    []FlowProgress
}

// ResetFlow tells a consumer that its flow is over.
type ResetFlow struct {
	Consumer, Destination AddrPort
	Ack                   uint32 // next byte that the consumer expects
	Endpoint              string
}

// EndpointEjected tells that an endpoint gets no new flows for a while, since it
// fails its requests.
type EndpointEjected struct {
	Endpoint     string
	Service      string
	Cause        string
	EjectionTime clock.Millis
	ResetFlows   int // flows
}

// EndpointLost tells that an endpoint's flows were given up.
type EndpointLost struct {
	Endpoint   string
	Service    string
	Cause      string // refused, silent or gone
	ResetFlows int    // flows
}

func (Probe) action()                 {}
func (ConfigurationAccepted) action() {}
func (EndpointsLoaded) action()       {}
func (EndpointStateChanged) action()  {}
func (EndpointSilent) action()        {}
func (ReportFault) action()           {}
func (QueryFlows) action()            {}
func (SendTallies) action()           {}
func (ReportFlows) action()           {}
func (ResetFlow) action()             {}
func (EndpointEjected) action()       {}
func (EndpointLost) action()          {}
