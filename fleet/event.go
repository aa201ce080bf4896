package fleet

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/steering"
)

// Event is something that happened.
type Event interface{ event() }

// MembersListed brings the members that the store knows.
type MembersListed struct{ Members []Member }

// Received brings a message of another member.
type Received struct {
	From    Member
	Message Message
}

// RecordsRead tells that the store was read, and how far the own records go now.
type RecordsRead struct {
	Configuration bool // the configuration was read, else the endpoints
	State         State
	From          uint64                    // revision before
	Changes       []steering.EndpointChange // of endpoints, since From; Whole when they don't tell all
	Whole         bool
	Delta         *steering.Delta // of the configuration
	Returned      bool            // the store had not answered before
}

// RecordsFetched tells that records were fetched from a peer.
type RecordsFetched struct {
	State State // of the peer when it answered
}

// SilenceSeen brings what this instance found of an endpoint.
type SilenceSeen struct{ Finding steering.EndpointFault }

// EndpointsSeen brings what this instance saw of endpoints.
type EndpointsSeen struct{ Tallies []steering.Tally }

// FlowsDoubted brings flows that may have gone on at other members.
type FlowsDoubted struct{ Sights []steering.FlowProgress }

// FlowsFound brings flows that another member asked for and that went on here.
type FlowsFound struct {
	Of     string // name of that member
	Sights []steering.FlowProgress
}

// Stopping tells that the process is going to end.
type Stopping struct{}

// Ticked tells that time has passed.
type Ticked struct{}

func (MembersListed) event()  {}
func (Received) event()       {}
func (RecordsRead) event()    {}
func (RecordsFetched) event() {}
func (SilenceSeen) event()    {}
func (EndpointsSeen) event()  {}
func (FlowsDoubted) event()   {}
func (FlowsFound) event()     {}
func (Stopping) event()       {}
func (Ticked) event()         {}

// Action is something for the daemon to do.
type Action interface{ action() }

// Send sends a message.
type Send struct {
	To      []netip.AddrPort
	Message Message
}

// Watch starts or ends watching the store.
type Watch struct{ On bool }

// Fetch reads records from the store, or from a peer when that fails. Many members
// may lack the same at once, and the peer's link is small.
type Fetch struct {
	Peer          Member
	Configuration bool // it is the configuration that is old
	Endpoints     bool // it is the endpoints that are old
}

// Apply brings changes to steering.
type Apply struct{ Event steering.Event }

// Forget removes a member that is no more from the store.
type Forget struct{ Name string }

func (Send) action()   {}
func (Watch) action()  {}
func (Fetch) action()  {}
func (Apply) action()  {}
func (Forget) action() {}
