package caller

import "github.com/tanagerdock/tanagerdock/packet"

// Action is something the owner of an engine must do for it.
type Action interface{ action() }

// SendPacket sends a datagram to the fabric.
type SendPacket struct {
	Packet packet.Packet
}

// FlowOpened tells that packets whose token names Flow belong to the engine.
type FlowOpened struct {
	FlowID uint64
}

// FlowForgotten takes back an earlier FlowOpened.
type FlowForgotten struct {
	FlowID uint64
}

// OpenFailed tells that the flow cannot be opened. Err matches ErrRefused.
type OpenFailed struct {
	Err error
}

// RequestEnded ends a RequestStarted. Err is nil, or matches ErrNotRun or
// ErrOutcomeUnknown.
type RequestEnded struct {
	CallID uint64
	Answer Answer
	Err    error
}

func (SendPacket) action()    {}
func (FlowOpened) action()    {}
func (FlowForgotten) action() {}
func (OpenFailed) action()    {}
func (RequestEnded) action()  {}
