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

// Netip converts an end for use with the standard library.
func (e AddrPort) Netip() netip.AddrPort {
	a := e.Address
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)}), e.Port)
}

// AddrPortFromNetip converts an address of the standard library, and reports false for one
// that is not IPv4.
func AddrPortFromNetip(a netip.AddrPort) (AddrPort, bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return AddrPort{}, false
	}
	b := ip.As4()
	return AddrPort{uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3]), a.Port()}, true
}

// Token names the endpoint of a flow in each of its packets. 0 names none.
type Token uint32

// Flags of a packet.
type Flags uint8

// The flags of packets.
const (
	Open        Flags = 1 << iota // asks for a flow
	Acknowledge                   // Ack is valid
	Finish                        // the sender is done
	Abort                         // the flow is over
)

// Has reports whether all flags of other are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Packet is the head of a consumer's packet.
type Packet struct {
	Consumer    AddrPort
	Destination AddrPort // the address the consumer sends to
	Flags       Flags
	Sequence    uint32 // of the first byte of data
	Ack         uint32 // next byte the consumer expects; in an opening packet, how many copies went before
	Length      int    // bytes of data
	Token       Token
}

// Opening reports whether p asks for a new flow.
func (p *Packet) Opening() bool { return p.Flags == Open }

// key identifies a flow.
type key struct {
	consumer, route AddrPort
}

func (k key) String() string { return fmt.Sprintf("%s>%s", k.consumer, k.route) }

func (p *Packet) key() key { return key{p.Consumer, p.Destination} }

// FlowID names the flow of a packet in logs.
func (p *Packet) FlowID() string { return p.key().String() }

// Verdict is what happens to a packet.
type Verdict uint8

// The verdicts on packets.
const (
	Drop    Verdict = iota // nothing is sent
	Forward                // the packet goes to an endpoint
	Reset                  // the consumer is told that the flow is over
)

var verdictNames = map[Verdict]string{Drop: "drop", Forward: "forward", Reset: "reset"}

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Reason tells why a packet got its verdict.
type Reason uint8

// The reasons for verdicts.
const (
	ReasonToken          Reason = iota // the token names the endpoint
	ReasonPlaced                       // a new flow was placed
	ReasonRepeated                     // a copy of an opening packet goes to the same endpoint
	ReasonMoved                        // a copy of an opening packet goes to another endpoint
	ReasonNoRecords                    // no configuration or no endpoints are known yet
	ReasonNoRoute                      // the configuration has no such route
	ReasonStaleRoute                   // no such route, but the configuration may be old
	ReasonNoEndpoint                   // no endpoint can take the flow
	ReasonRouteRemoved                 // the flow's route was removed
	ReasonEndpointGone                 // the flow's endpoint is gone
	ReasonEndpointSilent               // nothing comes back from the flow's endpoint
	ReasonUnknownToken                 // no known endpoint has the token
	ReasonAmbiguous                    // several endpoints have the token
	ReasonNoToken                      // an established packet without a token
	ReasonForged                       // a packet that only endpoints send
	reasonCount                        // how many there are
)

var reasonNames = [reasonCount]string{
	"token", "placed", "repeated", "moved", "no_records", "no_route", "stale_route", "no_endpoint",
	"route_removed", "endpoint_gone", "endpoint_silent", "unknown_token", "ambiguous_token", "no_token", "forged",
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
	NewlyEstablished bool   // the packet is the first to show that its flow is open
	Endpoint         Target // when forwarded
	Service          string // of the endpoint, or of the route
	OtherCentre      bool   // the flow was placed in another data centre
	// What an opening packet or a reset was decided by.
	ConfigurationVersion int64        // of the configuration
	EndpointsAge         clock.Millis // since the store confirmed the endpoints
}

// Target is where a packet is forwarded to.
type Target struct {
	ID      string
	Number  uint64 // by which an endpoint recognises its packets
	Address AddrPort
	Token   Token
}
