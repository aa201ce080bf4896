package instance

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// Event is an input of Engine.Handle.
type Event interface{ event() }

// PacketReceived is a decoded datagram from a caller. Data is the encoded datagram, or
// nil. It must stay valid until the actions that Handle returns are carried out.
type PacketReceived struct {
	From   netip.AddrPort
	Packet packet.Packet
	Data   []byte
}

// EnvelopeReceived is a decoded datagram from another instance. Packet is the decoded
// Envelope.Data, or nil for a heartbeat.
type EnvelopeReceived struct {
	From     netip.AddrPort
	Envelope packet.Envelope
	Packet   *packet.Packet
}

// Tick lets time-outs and periodic work run. The daemon sends one every TickPeriod.
type Tick struct{}

// TickPeriod is the time between two Ticks.
const TickPeriod = 10 * clock.Millisecond

// ObjectsReceived brings records from the platform or from another instance. FullList
// means that Objects holds every operator record at Revision, so that records missing
// from it were deleted.
type ObjectsReceived struct {
	Objects  []record.Object
	Revision uint64
	FullList bool
	Source   string // SourcePlatform or the name of the other instance
}

// SourcePlatform is the Source of records that come from the platform.
const SourcePlatform = "platform"

// InstancesListed brings the platform's list of instances, of this data centre or of
// all. The list may be out of date.
type InstancesListed struct {
	Instances []record.Instance
}

// PlatformCalled reports whether the platform answered a call. The daemon sends it after
// each call.
type PlatformCalled struct {
	Answered bool
}

// Work is a completely received request, as it is sent to a backend server or another
// instance.
type Work struct {
	Flow          uint64
	Request       uint64
	Service       string
	Class         packet.Class
	Once          bool         // the request must not be repeated
	Nonce         uint64       // the caller's permit to start the request, when Once
	PinnedBackend uint64       // token.Hash of the name of the backend server that the flow is pinned to, or 0
	Deadline      clock.Millis // on the local clock
	Body          []byte
}

// Outcome is the outcome of a run.
type Outcome uint8

// The outcomes of a run.
const (
	OutcomeAnswered  Outcome = iota // the backend server answered; Status and Body are set
	OutcomeNotRun                   // the backend server certainly did not start the request
	OutcomeUnknown                  // the backend server may have started the request
	OutcomeMisrouted                // the backend server does not serve the service (421); it did not run
)

// Result is the result of a run, here or at another instance.
type Result struct {
	Outcome   Outcome
	Status    int           // HTTP status code, when answered
	Reason    packet.Reason // why, when not answered
	Body      []byte
	Detail    string // for logs
	Draining  bool   // the backend server's answer said that it is draining
	Shed      bool   // the backend server rejected the request as overloaded
	Silent    bool   // nothing came back although the connection stayed open
	Connected bool   // a connection was established
}

// RunEnded reports the result of a RunRequest.
type RunEnded struct {
	RunID  uint64
	Result Result
}

// HandOverReceived is work that another instance hands over. The daemon assigns CallID
// and expects one AnswerHandOver with it.
type HandOverReceived struct {
	CallID uint64
	Peer   string
	Work   Work
}

// HandOverCancelled reports that the other instance cancelled its hand-over.
type HandOverCancelled struct {
	CallID uint64
}

// HandOverEnded reports the result of a HandOver.
type HandOverEnded struct {
	RunID  uint64
	Result Result
}

// ProbeEnded reports the result of a ProbeEndpoint. Answered means that any HTTP answer
// came, Healthy that it had status 200 and its body, if it has one, doesn't contradict.
type ProbeEnded struct {
	Endpoint string
	Answered bool
	Healthy  bool
	Draining bool
	Detail   string
}

// StopRequested starts the graceful shutdown. The daemon sends it when it is told to stop.
type StopRequested struct{}

func (PacketReceived) event()    {}
func (EnvelopeReceived) event()  {}
func (Tick) event()              {}
func (ObjectsReceived) event()   {}
func (InstancesListed) event()   {}
func (PlatformCalled) event()    {}
func (RunEnded) event()          {}
func (HandOverReceived) event()  {}
func (HandOverCancelled) event() {}
func (HandOverEnded) event()     {}
func (ProbeEnded) event()        {}
func (StopRequested) event()     {}
