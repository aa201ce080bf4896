package instance

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// Action is a request of the engine to the daemon, which carries it out.
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

// RunRequest asks the daemon to send work to an endpoint as one HTTP request, with
// Host as the Host header. The daemon reports the result as RunEnded.
type RunRequest struct {
	RunID    uint64
	Endpoint string // IP address and port
	Host     string
	Work     Work
}

// HandOver asks the daemon to send work to another instance's control address. The
// daemon reports the result as HandOverEnded.
type HandOver struct {
	RunID          uint64
	Peer           string // name of the instance
	ControlAddress string // its control address
	Work           Work
}

// CancelRun cancels a RunRequest or HandOver. The daemon still reports RunEnded or
// HandOverEnded for it.
type CancelRun struct {
	RunID uint64
}

// AnswerHandOver returns the result of a HandOverReceived to the instance that sent it.
type AnswerHandOver struct {
	CallID uint64
	Result Result
}

// ProbeEndpoint asks the daemon to send a health request to an endpoint, on a new
// connection. The daemon reports the result as ProbeEnded.
type ProbeEndpoint struct {
	Endpoint string
	Host     string
}

// FetchObjects asks the daemon to fetch another instance's records. The daemon
// reports them as ObjectsReceived.
type FetchObjects struct {
	Peer           string
	ControlAddress string
	SinceRevision  uint64 // records newer than this revision; 0 asks for all
}

// WriteStatus writes the instance's status record to the platform.
type WriteStatus struct {
	Status record.Status
}

// DeleteStatus removes the status record of a dead instance from the platform, unless
// a newer incarnation has written it since.
type DeleteStatus struct {
	Instance    string
	Incarnation clock.Millis // of the dead instance
}

// RenewLease renews the instance's lease on the platform.
type RenewLease struct {
	Instance record.Instance
}

// LogDecision reports a decision for logs and metrics. Decision and Reason come from
// a fixed vocabulary, as they label a counter; Subject is what the decision was about.
type LogDecision struct {
	Decision string // refuse, adopt, retry, eject, ...
	Reason   string
	Service  string
	Subject  string
	Detail   string
	Level    Level
}

// Level is the log level of a LogDecision.
type Level uint8

// The log levels of decisions.
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

// WatchPlatform starts or stops the daemon's watch of the platform's records. The
// daemon watches from its start. It never stops between a full list and the first watch
// from there, so that changes made after the list aren't missed.
type WatchPlatform struct {
	Enabled bool
}

// UseRouter replaces the Router with which the daemon forwards packets without the
// engine.
type UseRouter struct {
	Router *Router
}

// Stopped reports that the graceful shutdown is complete. The daemon then exits.
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
