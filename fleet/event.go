package fleet

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/steering"
)

// Event is something that happened.
type Event interface{ event() }

// MembersListed brings the members that the store knows.
type MembersListed struct{ Members []Member }

// MessageReceived brings a message of another member.
type MessageReceived struct {
	From    Member
	Message Message
}

// RecordsRead tells that the store was read, and how far the own records go now.
type RecordsRead struct {
	IsConfiguration bool // the configuration was read, else the endpoints
	State           RecordState
	Since           uint64                    // revision before
	Changes         []steering.EndpointChange // of endpoints, since From; Whole when they don't tell all
	FullList        bool
	Delta           *steering.Delta // of the configuration
	StoreRecovered  bool            // the store had not answered before
}

// RecordsFetched tells that records were fetched from a peer.
type RecordsFetched struct {
	State RecordState // of the peer when it answered
}

// EndpointFindingMade brings what this instance found of an endpoint.
type EndpointFindingMade struct{ Finding steering.EndpointFault }

// EndpointTalliesTaken brings what this instance saw of endpoints.
type EndpointTalliesTaken struct{ Tallies []steering.Tally }

// FlowQueryRequested brings flows that may have gone on at other members.
type FlowQueryRequested struct{ Flows []steering.FlowProgress }

// FlowReplyRequested brings flows that another member asked for and that went on here.
type FlowReplyRequested struct {
	To    string // name of that member
	Flows []steering.FlowProgress
}

// Stopping tells that the process is going to end.
type Stopping struct{}

// Ticked tells that time has passed.
type Ticked struct{}

func (MembersListed) event()        {}
func (MessageReceived) event()      {}
func (RecordsRead) event()          {}
func (RecordsFetched) event()       {}
func (EndpointFindingMade) event()  {}
func (EndpointTalliesTaken) event() {}
func (FlowQueryRequested) event()   {}
func (FlowReplyRequested) event()   {}
func (Stopping) event()             {}
func (Ticked) event()               {}

// Action is something for the daemon to do.
type Action interface{ action() }

// Send sends a message.
type Send struct {
	To      []netip.AddrPort
	Message Message
}

// SetWatching starts or ends watching the store.
type SetWatching struct{ On bool }

// FetchRecords reads records from the store, or from a peer when that fails. Many members
// may lack the same at once, and the peer's link is small.
type FetchRecords struct {
	Peer          Member
	Configuration bool // it is the configuration that is old
	Endpoints     bool // it is the endpoints that are old
}

// NotifySteering brings changes to steering.
type NotifySteering struct{ Event steering.Event }

// RemoveMember removes a member that is no more from the store.
type RemoveMember struct{ Name string }

func (Send) action()           {}
func (SetWatching) action()    {}
func (FetchRecords) action()   {}
func (NotifySteering) action() {}
func (RemoveMember) action()   {}
