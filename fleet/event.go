package fleet

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Event is an input of the engine. The daemon of the forwarder passes it to Engine.Handle.
type Event interface{ event() }

// MembersListed reports the members that the store lists. The engine adds unknown ones of
// its data centre and sends them a Hello.
type MembersListed struct{ Members []Member }

// MessageReceived reports a message from another member.
type MessageReceived struct {
	From    Member
	Message Message
}

// RecordsRead reports an answer of the store with the configuration or the endpoints. The
// watcher broadcasts the changes in it.
type RecordsRead struct {
	IsConfiguration bool                      // the configuration was read; if false, the endpoints
	State           RecordState               // of this member, with the answer applied
	Since           uint64                    // revision of the endpoints before the answer
	Changes         []steering.EndpointChange // of endpoints, after revision Since; empty with FullList
	FullList        bool                      // all endpoints were listed, so changes are not known one by one
	Delta           *steering.Delta           // change of the configuration; nil if there was none
	RequestedAt     clock.Millis              // when the records were requested, if they may be as old as that; 0 if they are current
}

// StoreCallFailed reports that the store didn't answer a call of this member.
type StoreCallFailed struct{}

// RecordsFetched reports that this member fetched records from another member: all of them, or
// the changes of endpoints.
type RecordsFetched struct {
	State         RecordState      // of the other member when it answered
	Evacuations   *EvacuationState // its orders; nil if it has none or is of an older version
	RequestedAt   clock.Millis     // since when it may have answered; 0 if it answered now
	EndpointsOnly bool
}

// EndpointFaultFound reports a fault of an endpoint that steering found at this instance.
// The engine broadcasts it.
type EndpointFaultFound struct{ Fault steering.EndpointFault }

// EndpointTalliesTaken reports the counts of answers and unanswered requests per endpoint
// since the last event. The engine sends them to the members that follow in rank.
type EndpointTalliesTaken struct{ Tallies []steering.Tally }

// FlowQueryRequested reports flows whose requests steering suspects to be lost. Another
// instance may have seen the consumer acknowledge the answer, so the engine asks all
// members about these flows.
type FlowQueryRequested struct{ Flows []steering.FlowProgress }

// FlowReplyRequested reports flows that another member asked about and that progressed at
// this instance. The engine sends them to that member.
type FlowReplyRequested struct {
	To    string // name of the member that asked
	Flows []steering.FlowProgress
}

// Stopping reports that the process is shutting down. A watcher tells the other members
// that it stops watching.
type Stopping struct{}

// ProcessSuspended reports that the process was suspended for a time that the clock didn't
// count. The records are that much older.
type ProcessSuspended struct{ Duration clock.Millis }

// Ticked lets the engine send what has become due. The daemon emits it at a fixed period.
type Ticked struct{}

func (MembersListed) event()        {}
func (MessageReceived) event()      {}
func (RecordsRead) event()          {}
func (StoreCallFailed) event()      {}
func (RecordsFetched) event()       {}
func (EndpointFaultFound) event()   {}
func (EndpointTalliesTaken) event() {}
func (FlowQueryRequested) event()   {}
func (FlowReplyRequested) event()   {}
func (Stopping) event()             {}
func (ProcessSuspended) event()     {}
func (Ticked) event()               {}

// Action is an output of the engine that the daemon performs.
type Action interface{ action() }

// Send sends a message to each of the addresses.
type Send struct {
	To      []netip.AddrPort
	Message Message
}

// SetWatching starts or stops watching the store.
type SetWatching struct {
	On    bool
	Stale bool // the records are stale, so the store may not answer
}

// FetchRecords reads records that this member lacks: changes of endpoints from the peer, or
// from the store if that fails, and the configuration from the store, or all records from the
// peer if that fails. The peer is the member that told of the records. In a large data centre
// that is a relay, so that neither the watcher's link nor the store has to serve everybody.
// Configurations are too large for the links of members.
type FetchRecords struct {
	Peer              Member
	Configuration     bool   // the configuration is outdated
	Endpoints         bool   // the endpoints are outdated
	EndpointsRevision uint64 // revision that the changes of endpoints have to reach
}

// NotifySteering passes an event to the steering engine.
type NotifySteering struct{ Event steering.Event }

// RemoveMember deletes the object of a member that has ended from the store.
type RemoveMember struct{ Name string }

func (Send) action()           {}
func (SetWatching) action()    {}
func (FetchRecords) action()   {}
func (NotifySteering) action() {}
func (RemoveMember) action()   {}
