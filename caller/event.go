package caller

import "github.com/tanagerdock/tanagerdock/packet"

// Event is something that happened to a flow. Engine.Handle takes it in.
type Event interface{ event() }

// PacketReceived is a datagram from an instance, decoded.
type PacketReceived struct {
	Packet packet.Packet
}

// Tick tells the engine the time. One is due every TickPeriod while the engine
// is busy, and every IdleTickPeriod otherwise.
type Tick struct{}

// OpenRequested starts opening the flow.
type OpenRequested struct{}

// RequestStarted brings a new request. Call identifies it in RequestEnded.
type RequestStarted struct {
	CallID  uint64
	Request Request
}

// RequestCancelled gives up a request. It still ends with RequestEnded.
type RequestCancelled struct {
	CallID uint64
}

// CloseRequested ends the flow and every request on it.
type CloseRequested struct{}

func (PacketReceived) event()   {}
func (Tick) event()             {}
func (OpenRequested) event()    {}
func (RequestStarted) event()   {}
func (RequestCancelled) event() {}
func (CloseRequested) event()   {}
