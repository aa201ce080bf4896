package instance

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// Action is something the daemon must do for the engine.
type Action interface{ action() }

// SendPacket sends a datagram to a caller.
type SendPacket struct {
	To     netip.AddrPort
	Packet packet.Packet
}

// SendEnvelope sends a datagram to another instance's peer address.
type SendEnvelope struct {
	To       netip.AddrPort
	Envelope packet.Envelope
}

// RunRequest sends work to an endpoint as one HTTP request and answers with
// RunEnded. Host is the Host header.
type RunRequest struct {
	RunID    uint64
	Endpoint string // IP address and port
	Host     string
	Work     Work
}

// HandOver sends work to another instance's control address and answers with
// HandOverEnded.
type HandOver struct {
	RunID          uint64
	Peer           string // name of the instance
	ControlAddress string // its control address
	Work           Work
}

// CancelRun gives up a RunRequest or HandOver. Its end is still reported.
type CancelRun struct {
	RunID uint64
}

// AnswerHandOver ends a PeerCalled.
type AnswerHandOver struct {
	CallID uint64
	Result Result
}

// ProbeEndpoint asks an endpoint's health and answers with ProbeEnded.
type ProbeEndpoint struct {
	Endpoint string
	Host     string
}

// FetchObjects asks another instance for its records and answers with
// ObjectsReceived.
type FetchObjects struct {
	Peer           string
	ControlAddress string
	SinceRevision  uint64 // records newer than this revision; 0 asks for all
}

// WriteStatus puts the instance's status on the platform.
type WriteStatus struct {
	Status record.Status
}

// DeleteStatus removes the status of an instance that is gone, unless it was
// written anew since.
type DeleteStatus struct {
	Instance    string
	Incarnation clock.Millis // of the instance that is gone
}

// RenewLease renews the instance's lease on the platform.
type RenewLease struct {
	Instance record.Instance
}

// LogDecision reports a decision for logs and metrics. Decision and Reason are fixed
// words; Subject names what it was about.
type LogDecision struct {
	Decision string // refuse, adopt, retry, reroute, eject, ...
	Reason   string
	Service  string
	Subject  string
	Detail   string
	Level    Level
}

// Level is how loud a Note is.
type Level uint8

// The levels of notes.
const (
	LevelDebug Level = iota
	LevelInfo
	LevelWarn
)

// ObserveValue adds a value to a histogram of a service and class.
type ObserveValue struct {
	Metric  string // name ending in its unit, such as run_ms
	Service string
	Class   packet.Class
	Value   int64
}

// WatchPlatform starts or ends the watch of the platform's records. A daemon
// watches until it is told otherwise. Its end never comes between a list and the
// first watch from there, so what the list missed is known.
type WatchPlatform struct {
	Enabled bool
}

// UseRouter replaces the router that passes packets on without the engine.
type UseRouter struct {
	Router *Router
}

// Stopped tells that the graceful shutdown is complete.
type Stopped struct{}

func (SendPacket) action()     {}
func (SendEnvelope) action()   {}
func (RunRequest) action()     {}
func (HandOver) action()       {}
func (CancelRun) action()      {}
func (AnswerHandOver) action() {}
func (ProbeEndpoint) action()  {}
func (FetchObjects) action()   {}
func (WriteStatus) action()    {}
func (DeleteStatus) action()   {}
func (RenewLease) action()     {}
func (LogDecision) action()    {}
func (ObserveValue) action()   {}
func (WatchPlatform) action()  {}
func (UseRouter) action()      {}
func (Stopped) action()        {}
