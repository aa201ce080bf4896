package caller

import "github.com/tanagerdock/tanagerdock/packet"

// Action is something that the user of an Engine does after Handle returned it.
type Action interface{ action() }

// SendPacket asks for a datagram to be sent to the fabric.
type SendPacket struct {
	Packet packet.Packet
}

// FlowOpened is emitted when an instance has opened the flow. From then on, packets
// whose token names FlowID are passed to the engine.
type FlowOpened struct {
	FlowID uint64
}

// FlowForgotten is emitted when the flow is closed, or was reopened so often that
// FlowID is no longer kept. Its packets are no longer passed to the engine.
type FlowForgotten struct {
	FlowID uint64
}

// OpenFailed is emitted when an instance refused to open the flow for a reason that
// isn't temporary. Err matches ErrRefused.
type OpenFailed struct {
	Err error
}

// RequestEnded is emitted once for each RequestStarted and carries its CallID. Err
// is nil, or matches ErrNotRun or ErrOutcomeUnknown.
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
