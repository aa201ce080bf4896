package instance

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// Event is something that happened to the instance. Engine.Handle takes it in.
type Event interface{ event() }

// PacketReceived is a datagram from a caller, decoded. Data is the datagram
// itself, when the daemon still has it; it need only be valid during Handle and
// while the returned actions are carried out.
type PacketReceived struct {
	From   netip.AddrPort
	Packet packet.Packet
	Data   []byte
}

// EnvelopeReceived is a datagram from another instance, decoded. Packet is the
// decoded Data, or nil for a heartbeat.
type EnvelopeReceived struct {
	From     netip.AddrPort
	Envelope packet.Envelope
	Packet   *packet.Packet
}

// Tick tells the engine the time; the daemon sends one every TickPeriod.
type Tick struct{}

// TickPeriod is the time between two Ticks, in milliseconds.
const TickPeriod = 10 * clock.Millisecond

// ObjectsReceived brings records from the platform or from a peer. Whole means
// that Objects holds every operator record at Revision, so others are gone.
type ObjectsReceived struct {
	Objects  []record.Object
	Revision uint64
	FullList bool
	Source   string // SourcePlatform or the peer's name
}

// SourcePlatform is the source of records that come from the platform itself.
const SourcePlatform = "platform"

// InstancesListed brings the platform's lagging list of instances of the
// instance's own data centre, or of all data centres.
type InstancesListed struct {
	Instances []record.Instance
}

// PlatformCalled tells whether the latest call to the platform was answered.
type PlatformCalled struct {
	Answered bool
}

// Work is one whole request on its way to a backend server.
type Work struct {
	Flow          uint64
	Request       uint64
	Service       string
	Class         packet.Class
	Once          bool
	Nonce         uint64       // the caller's permit when Once
	PinnedBackend uint64       // token.Hash of the backend server its flow is pinned to, or 0
	Deadline      clock.Millis // when the answer is due, on the local clock
	Body          []byte
}

// Outcome tells what became of a run.
type Outcome uint8

// The outcomes of a run.
const (
	OutcomeAnswered  Outcome = iota // the backend server answered; Status and Body are set
	OutcomeNotRun                   // the request certainly did not run
	OutcomeUnknown                  // the request may have run
	OutcomeMisrouted                // the backend server does not serve the service (421); it did not run
)

// Result is the end of a run, here or at another instance.
type Result struct {
	Outcome   Outcome
	Status    int           // HTTP status when answered
	Reason    packet.Reason // why, when not answered
	Body      []byte
	Detail    string // for logs
	Draining  bool   // the backend server said that it is draining
	Shed      bool   // the backend server said that it has no room
	Silent    bool   // nothing came back although the connection stayed open
	Connected bool   // the connection could be opened
}

// RunEnded is the end of a RunRequest.
type RunEnded struct {
	RunID  uint64
	Result Result
}

// HandOverReceived is work that another instance hands over. The daemon assigns Call
// and expects one AnswerPeer for it.
type HandOverReceived struct {
	CallID uint64
	Peer   string
	Work   Work
}

// HandOverCancelled tells that the other instance no longer wants the answer.
type HandOverCancelled struct {
	CallID uint64
}

// HandOverEnded is the end of a HandOver.
type HandOverEnded struct {
	RunID  uint64
	Result Result
}

// ProbeEnded is the end of a ProbeEndpoint. Answered means any HTTP answer.
type ProbeEnded struct {
	Endpoint string
	Answered bool
	Healthy  bool
	Draining bool
	Detail   string
}

// StopRequested starts the graceful shutdown.
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
