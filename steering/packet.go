package steering

import (
	"fmt"
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
)

// AddrPort is one end of a flow: an IPv4 address and a port.
type AddrPort struct {
	Address uint32 `cbor:"1,keyasint"`
	Port    uint16 `cbor:"2,keyasint"`
}

// String returns address:port.
func (e AddrPort) String() string {
	return e.Netip().String()
}

// Netip returns the address as a netip.AddrPort.
func (e AddrPort) Netip() netip.AddrPort {
	a := e.Address
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)}), e.Port)
}

// AddrPortFromNetip converts a netip.AddrPort, and reports whether it is an IPv4 address.
func AddrPortFromNetip(a netip.AddrPort) (AddrPort, bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return AddrPort{}, false
	}
	b := ip.As4()
	return AddrPort{uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3]), a.Port()}, true
}

// Token identifies the endpoint of a flow in each packet of the flow. 0 is no token.
type Token uint32

// Flags is the set of flags of a packet.
type Flags uint8

// The flags of packets.
const (
	Open        Flags = 1 << iota // opens a flow
	Acknowledge                   // Ack is valid
	Finish                        // the sender has no more data
	Abort                         // the flow ends at once
)

// Has reports whether all flags of other are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Packet is the header of a packet from a consumer.
type Packet struct {
	Consumer    AddrPort
	Destination AddrPort // address of the route
	Flags       Flags
	Sequence    uint32 // sequence number of the first byte of data
	Ack         uint32 // next byte the consumer expects; in an opening packet, the number of earlier copies
	Length      int    // bytes of data
	Token       Token
	Waited      clock.Millis // how long it may have waited here until it is handled
}

// Opening reports whether p is an opening packet, which opens a flow.
func (p *Packet) Opening() bool { return p.Flags == Open }

// key identifies a flow.
type key struct {
	consumer, destination AddrPort
}

func (k key) String() string { return fmt.Sprintf("%s>%s", k.consumer, k.destination) }

func (p *Packet) key() key { return key{p.Consumer, p.Destination} }

// FlowID returns the identification of the packet's flow in logs.
func (p *Packet) FlowID() string { return p.key().String() }

// Verdict says what the daemon has to do with a packet.
type Verdict uint8

// The verdicts.
const (
	Drop    Verdict = iota // discard the packet
	Forward                // send the packet to an endpoint
	Reset                  // send a reset to the consumer
)

var verdictNames = map[Verdict]string{Drop: "drop", Forward: "forward", Reset: "reset"}

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Reason is the reason for a verdict.
type Reason uint8

// The reasons.
const (
	ReasonToken           Reason = iota // the token identifies the endpoint
	ReasonPlaced                        // a new flow was placed
	ReasonRepeated                      // a copy of an opening packet goes to the same endpoint
	ReasonMoved                         // a copy of an opening packet goes to another endpoint
	ReasonLateCopy                      // a copy of an opening packet whose flow is open
	ReasonNoRecords                     // no configuration or no endpoints are known yet
	ReasonNoRoute                       // the configuration has no such route
	ReasonStaleRoute                    // no such route, but the configuration may be outdated
	ReasonNoEndpoint                    // no endpoint can take the flow
	ReasonRouteRemoved                  // the flow's route was removed
	ReasonEndpointGone                  // the flow's endpoint is gone
	ReasonEndpointRefused               // the flow's endpoint has ended: its address refuses connections
	ReasonUnknownToken                  // no known endpoint has the token
	ReasonAmbiguous                     // several endpoints have the token
	ReasonNoToken                       // not an opening packet, but without a token
	ReasonForged                        // flags that only endpoints send
	ReasonRefused                       // an opening packet that finds too little room
	reasonCount                         // number of reasons
)

var reasonNames = [reasonCount]string{
	"token", "placed", "repeated", "moved", "late_copy", "no_records", "no_route", "stale_route", "no_endpoint",
	"route_removed", "endpoint_gone", "endpoint_refused", "unknown_token", "ambiguous_token", "no_token", "forged", "refused",
}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons lists all reasons.
func Reasons() []Reason {
	list := make([]Reason, reasonCount)
	for i := range list {
		list[i] = Reason(i)
	}
	return list
}

// Decision is the verdict on one packet.
type Decision struct {
	Verdict          Verdict
	Reason           Reason
	NewlyEstablished bool   // the first packet after the flow's opening packets
	Endpoint         Target // set if the verdict is Forward
	Service          string // service of the endpoint or, without one, of the route
	OtherCentre      bool   // the flow was placed in another data centre
	// The records that the decision is based on, for the log.
	ConfigurationVersion int64        // version of the configuration
	EndpointsAge         clock.Millis // time since the store confirmed the endpoints
}

// Target is the endpoint that a packet is forwarded to.
type Target struct {
	ID      string
	Number  uint64 // written into the packet, for the endpoint to check
	Address AddrPort
	Token   Token
}
