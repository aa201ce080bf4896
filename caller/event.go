package caller

import "github.com/tanagerdock/tanagerdock/packet"

// Event is something that happened to a flow. It is passed to Engine.Handle.
type Event interface{ event() }

// PacketReceived carries a decoded datagram from an instance.
type PacketReceived struct {
	Packet packet.Packet
}

// Tick lets the engine do what is due. It is sent every TickPeriod while the engine
// is busy, and every IdleTickPeriod otherwise.
type Tick struct{}

// OpenRequested makes the engine open the flow.
type OpenRequested struct{}

// RequestStarted passes a new request to the engine. CallID identifies it in
// RequestCancelled and RequestEnded.
type RequestStarted struct {
	CallID  uint64
	Request Request
}

// RequestCancelled makes the engine end a request. RequestEnded is still emitted.
type RequestCancelled struct {
	CallID uint64
}

// CloseRequested makes the engine close the flow and end every request on it.
type CloseRequested struct{}

func (PacketReceived) event()   {}
func (Tick) event()             {}
func (OpenRequested) event()    {}
func (RequestStarted) event()   {}
func (RequestCancelled) event() {}
func (CloseRequested) event()   {}
