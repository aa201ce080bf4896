package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
)

// Event is an input of the engine other than a packet.
type Event interface{ event() }

// ConfigurationRead is emitted when the configuration was read from the store or another
// instance. The engine accepts it if it is newer than the present one.
type ConfigurationRead struct {
	Configuration *Configuration       // nil if there is none, or if it is unreadable
	Faults        []ConfigurationFault // what of it is unreadable
}

// ConfigurationFault is a route or a service of a configuration that can't be decoded, or the
// whole configuration. A route that an earlier configuration has under its name stays in force.
type ConfigurationFault struct {
	Revision uint64 // of the configuration
	Route    string // name of the route; empty for the whole configuration, or if no name can be read
	Service  string // name of the service, if it is one
	Cause    string
}

// ConfigurationRevised is emitted when another instance sent the changes of a newer
// configuration. The engine applies them if it has the configuration that they start from.
type ConfigurationRevised struct{ Delta Delta }

// RecordsConfirmed carries the times at which the store last confirmed the configuration
// and the endpoints, and when it recovered from the last outage that members proved; 0 if there was none.
type RecordsConfirmed struct{ ConfigurationAt, EndpointsAt, StoreRecoveredAt clock.Millis }

// EvacuationsRead carries all evacuation orders, read from the store or another instance. The
// engine accepts them if they are newer than those that it has.
type EvacuationsRead struct{ Orders evacuation.Orders }

// EndpointsListed carries all endpoints of the store at a revision. The engine removes
// those that aren't listed.
type EndpointsListed struct {
	Endpoints  []Endpoint
	Unreadable []EndpointChange // entries that can't be decoded
	Revision   uint64
}

// EndpointsPageRead carries a part of a list while the rest is still being read, so that
// flows can be placed before the list is complete.
type EndpointsPageRead struct{ Endpoints []Endpoint }

// EndpointsChanged carries the changes of endpoints up to a revision, in order. There may
// be none.
type EndpointsChanged struct {
	Changes  []EndpointChange
	Revision uint64
}

// EndpointChange is a new or changed entry of an endpoint, or its removal.
type EndpointChange struct {
	Endpoint   Endpoint `cbor:"1,keyasint"` // only ID and Revision if Removed or Unreadable
	Removed    bool     `cbor:"2,keyasint,omitempty"`
	Unreadable bool     `cbor:"3,keyasint,omitempty"` // the entry can't be decoded; ID is empty if not even its name can be
	Cause      string   `cbor:"4,keyasint,omitempty"` // why it is unreadable, at most MaxCause bytes
}

// MaxCause is the largest size of EndpointChange.Cause in bytes.
const MaxCause = 160

// EndpointFault is a fault of an endpoint that an instance found. Without any of the flags
// it is a probe that timed out.
type EndpointFault struct {
	Endpoint    string       `cbor:"endpoint"`
	Incarnation clock.Millis `cbor:"born"`
	Refused     bool         `cbor:"refused,omitempty"` // the address refuses connections
	Failing     bool         `cbor:"failing,omitempty"` // the instance ejected the endpoint, for small answers or during probation
	Probation   bool         `cbor:"trial,omitempty"`   // ejected again during probation, after one bad answer
}

// FaultReported is emitted when another instance reported a fault. The engine probes an
// endpoint that refuses connections. It ejects a failing one, and for a probe that timed
// out it counts a vote and probes the endpoint too, unless the endpoint answered this
// instance just before.
type FaultReported struct {
	Sender string // name of the other instance
	EndpointFault
}

// TalliesReported is emitted when another instance sent its tallies. The engine adds them
// to its own counts.
type TalliesReported struct{ Tallies []Tally }

// FlowsQueried is emitted when another instance asks which of its flows progressed here.
// The engine answers with ReportFlows.
type FlowsQueried struct {
	Sender string // name of the other instance
	Flows  []FlowProgress
}

// FlowsReported is emitted when another instance answered a query. The engine forgets
// flows that progressed there.
type FlowsReported struct{ Flows []FlowProgress }

// ProcessStalled is emitted after the process was suspended. For stallRecovery, the engine
// takes missing answers as no evidence against endpoints. It does the same after a tick that
// was late, and after packets that waited long.
type ProcessStalled struct{}

// ProbeEnded carries the result of a Probe.
type ProbeEnded struct {
	Endpoint    string
	Number      uint64 // of the Probe
	Incarnation clock.Millis
	Result      ProbeResult
	Delay       clock.Millis // how late the timers of the probe were, or how long it was suspended
}

// ProbeResult is the result of a probe.
type ProbeResult uint8

// The results of probes.
const (
	ProbeTimedOut     ProbeResult = iota // no answer in time, but one from the control address
	ProbeAnswered                        // the connection was accepted or reset
	ProbeRefused                         // the connection was refused
	ProbeInconclusive                    // no answer in time, and none from the control address, or the connection failed locally
)

var probeResultNames = map[ProbeResult]string{ProbeTimedOut: "hung", ProbeAnswered: "answered", ProbeRefused: "refused", ProbeInconclusive: "unclear"}

// String returns the name of a result in logs.
func (p ProbeResult) String() string { return probeResultNames[p] }

// Ticked is emitted periodically by the daemon.
type Ticked struct {
	Delay  clock.Millis // how late the tick is
	Unread clock.Millis // how long packets that arrived before the tick and aren't read yet may have waited
}

func (ConfigurationRead) event()    {}
func (EvacuationsRead) event()      {}
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

// Action is something that the daemon has to do, send or log.
type Action interface{ action() }

// Probe makes the daemon connect to the address of an endpoint and return the result as
// ProbeEnded.
type Probe struct {
	Endpoint    string
	Number      uint64 // distinguishes the probes of an endpoint
	Incarnation clock.Millis
	Address     AddrPort
	// Address of an endpoint that answered recently, probed at the same time. If it doesn't
	// answer either, the network of this instance is faulty. Zero if there is none, which
	// makes a timeout inconclusive.
	Control AddrPort
}

// Answered is an answered request, for the metrics.
type Answered struct {
	Service string
	Route   string // name of the route
	Latency clock.Millis
}

// ConfigurationAccepted makes the daemon log that a newer configuration is in force.
type ConfigurationAccepted struct {
	Version       int64
	Revision      uint64
	Routes        int
	RemovedRoutes int // number of routes removed since the previous version
}

// EndpointsLoaded makes the daemon log that the first list of endpoints is complete.
type EndpointsLoaded struct {
	Count    int
	Revision uint64
}

// EndpointUnreadable makes the daemon log and count an entry that can't be decoded.
type EndpointUnreadable struct {
	Endpoint string // empty if not even the name can be read
	Revision uint64
	Cause    string
}

// ConfigurationUnreadable makes the daemon log and count a fault of a configuration.
type ConfigurationUnreadable struct{ ConfigurationFault }

// EvacuationOrdered makes the daemon log that the order to evacuate a data centre is in force.
type EvacuationOrdered struct {
	Centre   string
	Revision uint64 // of the order
	Known    bool   // false if all endpoints are known and none is in the data centre
}

// EvacuationLifted makes the daemon log that a data centre isn't evacuated any more.
type EvacuationLifted struct {
	Centre   string
	Revision uint64 // up to which the orders are known
}

// EndpointStateChanged makes the daemon log the new state of an endpoint.
type EndpointStateChanged struct {
	Endpoint string
	Service  string
	Address  AddrPort
	State    string // ready, draining, lapsed or gone
	Revision uint64
}

// EndpointSilent makes the daemon log and count that an endpoint doesn't answer and gets no new flows
// until the backoff is over.
type EndpointSilent struct {
	Endpoint        string
	Service         string
	UnansweredFlows int
	Backoff         clock.Millis
}

// ReportFault makes the daemon send a fault to the other instances.
type ReportFault struct{ EndpointFault }

// QueryFlows makes the daemon ask the other instances whether flows progressed there.
type QueryFlows struct{ Flows []FlowProgress }

// SendTallies makes the daemon send the tallies to the other instances at once, rather than
// at the next regular time.
type SendTallies struct{}

// ReportFlows makes the daemon tell another instance which of its flows progressed here.
type ReportFlows struct {
	Receiver string // name of the other instance
	Flows    []FlowProgress
}

// ResetFlow makes the daemon send a reset to the consumer of a flow.
type ResetFlow struct {
	Consumer, Destination AddrPort
	Ack                   uint32 // next byte that the consumer expects
	Endpoint              string
	Cause                 string       // one of ResetCauses
	FirstSeenAt           clock.Millis // when this instance saw the flow first; 0 if unknown
	RequestAt             clock.Millis // when its pending request was sent; 0 if none is pending or it is unknown
}

// EndpointEjected makes the daemon log and count that an endpoint failed requests and gets no new
// flows for EjectionTime. It keeps its flows.
type EndpointEjected struct {
	Endpoint     string
	Service      string
	Cause        string
	EjectionTime clock.Millis
	Evidence     Evidence
}

// EndpointLost makes the daemon log that an endpoint can't be reached. If that proves that its
// process has ended (causes refused and gone), its flows were reset.
type EndpointLost struct {
	Endpoint   string
	Service    string
	Cause      string // refused, silent or gone
	ResetFlows int    // number of flows that were reset; 0 if the cause is silent
	Evidence   Evidence
}

func (Probe) action()                   {}
func (ConfigurationAccepted) action()   {}
func (EndpointsLoaded) action()         {}
func (EndpointUnreadable) action()      {}
func (ConfigurationUnreadable) action() {}
func (EvacuationOrdered) action()       {}
func (EvacuationLifted) action()        {}
func (EndpointStateChanged) action()    {}
func (EndpointSilent) action()          {}
func (ReportFault) action()             {}
func (QueryFlows) action()              {}
func (SendTallies) action()             {}
func (ReportFlows) action()             {}
func (ResetFlow) action()               {}
func (EndpointEjected) action()         {}
func (EndpointLost) action()            {}
