// Package packet defines the datagrams between callers and entry instances and
// between entry instances.
//
// A caller opens a flow (Open, answered by Opened with a sealed flow token) and
// then sends requests on it. A request and its answer each travel as 1..n
// parts of at most MaxPayload bytes. The receiver reports what it holds with
// Ack, the sender repeats what is missing.
//
// A request that must not be repeated (Once) is run under a permit: when the
// owner is about to start it, it sends Ask with a nonce, and the caller answers
// Permit with the same nonce, for at most one nonce in the life of the request.
// An instance without the caller's permit never starts such a request, and each
// nonce is used at most once, so the request runs at most once also when an
// owner dies, is paused or is replaced. The caller is the only witness needed.
//
// Message flow, caller on the left:
//
//	Open(service)             ->
//	                          <- Opened(token) | Refuse
//	Part(request, part 0..n)  ->
//	                          <- Ack(next, mask)
//	                          <- Ask(nonce)            only when Once
//	Permit(nonce)             ->                       only when Once
//	                          <- Answer(part 0..m) | Refuse(reason)
//	Got(next, mask)           ->
//	Probe                     ->
//	                          <- Echo(token)
//	Close                     ->
//
// # Usage
//
//	data, err := packet.Encode(packet.Packet{Kind: packet.KindOpen, Service: "orders"})
//	p, err := packet.Decode(data)
//	if errors.Is(err, packet.ErrMalformed) { ... }
package packet

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Limits of the protocol.
const (
	// MaxDatagram is the largest datagram to or from a caller, in bytes.
	MaxDatagram = 1200
	// MaxPayload is the largest payload of one part, in bytes.
	MaxPayload = 1000
	// MaxBody is the largest request or answer, in bytes.
	MaxBody = 16 << 20
	// MaxParts is the largest number of parts of one request or answer.
	MaxParts = (MaxBody + MaxPayload - 1) / MaxPayload
	// MaskParts is the number of parts after Next that Mask can report.
	MaskParts = 64
	// MaxServiceName is the longest service name, in bytes.
	MaxServiceName = 100
	// Version is the protocol version this package speaks.
	Version = 1
)

// Errors returned by Decode and Encode.
var (
	// ErrMalformed reports bytes that are not a valid packet.
	ErrMalformed = errors.New("packet is malformed")
	// ErrVersion reports a packet of a protocol version not spoken here.
	ErrVersion = errors.New("packet version is not supported")
	// ErrTooLarge reports a packet that would exceed MaxDatagram.
	ErrTooLarge = errors.New("packet is too large")
)

// Kind tells what a packet means.
type Kind uint8

// The kinds of packets.
const (
	KindOpen   Kind = 1 + iota // caller: open a flow to Service
	KindOpened                 // instance: the flow's Token
	KindPart                   // caller: one part of a request
	KindAck                    // instance: request parts held (Next, Mask)
	KindAsk                    // instance: may the request start under Nonce
	KindPermit                 // caller: the request may start under Nonce
	KindAnswer                 // instance: one part of an answer
	KindGot                    // caller: answer parts held (Next, Mask); Next == Count ends the request
	KindRefuse                 // instance: no answer will come, see Reason
	KindCancel                 // caller: the answer is no longer wanted
	KindProbe                  // caller: is the flow alive
	KindEcho                   // instance: the flow is alive, Token is its newest token
	KindClose                  // caller: the flow is finished
	lastKind   = KindClose
)

var kindNames = [...]string{
	"none", "open", "opened", "part", "ack", "ask", "permit", "answer", "got",
	"refuse", "cancel", "probe", "echo", "close",
}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Class tells how long a request is expected to run.
type Class uint8

// The classes of requests.
const (
	ClassUnknown Class = iota // learnt by the system
	ClassShort
	ClassLong
	lastClass = ClassLong
)

var classNames = [...]string{"unknown", "short", "long"}

// String returns the class's name in logs, metrics and headers.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// Reason tells why a request, flow or packet was refused.
type Reason uint8

// The reasons. Every reason but ReasonUnknown guarantees that the request did
// not run.
const (
	ReasonNone      Reason = iota
	ReasonUnknown          // the outcome cannot be known: the request may have run once
	ReasonBusy             // queue full or deadline cannot be met
	ReasonDeadline         // the deadline passed before the request started
	ReasonService          // no such service
	ReasonBackend          // no backend server takes work for the service
	ReasonToken            // token malformed, forged, expired or foreign
	ReasonSize             // request larger than the service allows
	ReasonStopping         // the instance is stopping and no other took over
	ReasonMisrouted        // the backend server does not serve this service
	ReasonCancelled        // the caller cancelled before the request started
	ReasonMalformed        // the packet or request contradicts itself
	ReasonMemory           // the instance has no memory left for requests
	lastReason      = ReasonMemory
)

var reasonNames = [...]string{
	"none", "unknown", "busy", "deadline", "service", "backend", "token", "size",
	"stopping", "misrouted", "cancelled", "malformed", "memory",
}

// String returns the reason's name in logs, metrics and status.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Packet is one datagram between a caller and an entry instance. Which fields
// are set depends on Kind.
type Packet struct {
	Version  uint8        `cbor:"1,keyasint"`
	Kind     Kind         `cbor:"2,keyasint"`
	Token    []byte       `cbor:"3,keyasint,omitempty"`  // sealed flow token
	Service  string       `cbor:"4,keyasint,omitempty"`  // Open only
	Request  uint64       `cbor:"5,keyasint,omitempty"`  // number of the request within the flow, from 1
	Part     uint32       `cbor:"6,keyasint,omitempty"`  // index of this part, from 0
	Count    uint32       `cbor:"7,keyasint,omitempty"`  // number of parts, at least 1
	Once     bool         `cbor:"8,keyasint,omitempty"`  // the request must not be repeated
	Attempt  uint8        `cbor:"9,keyasint,omitempty"`  // how often the caller started over
	Class    Class        `cbor:"10,keyasint,omitempty"` // expected run time
	Deadline clock.Millis `cbor:"11,keyasint,omitempty"` // time left when the packet was sent, in ms
	Nonce    uint64       `cbor:"12,keyasint,omitempty"` // Ask and Permit, never 0; on Open a number echoed by Opened
	Reason   Reason       `cbor:"13,keyasint,omitempty"` // Refuse only
	Status   uint16       `cbor:"14,keyasint,omitempty"` // Answer: the backend server's status code
	Next     uint32       `cbor:"15,keyasint,omitempty"` // Ack and Got: all parts below are held
	Mask     uint64       `cbor:"16,keyasint,omitempty"` // Ack and Got: bit i set when part Next+1+i is held
	Payload  []byte       `cbor:"17,keyasint,omitempty"` // Part and Answer
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder(cbor.DupMapKeyEnforcedAPF)
	// headerDecoder lets a field stand twice, which the owner refuses, since
	// keeping track of them costs as much as all the rest.
	headerDecoder = mustDecoder(cbor.DupMapKeyQuiet)
)

func mustEncoder() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// maxFields bounds the number of fields a decoder accepts in one map.
const maxFields = 32

func mustDecoder(twice cbor.DupMapKeyMode) cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        twice,
		MaxMapPairs:      maxFields,
		MaxArrayElements: maxFields,
		MaxNestedLevels:  4,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	m, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// headRoom is enough for the fields of a datagram that are not of bytes, with
// their numbers and lengths.
const headRoom = 128

// Encode returns the datagram for p. It sets p's version.
func Encode(p Packet) ([]byte, error) {
	var room bytes.Buffer
	room.Grow(len(p.Token) + len(p.Service) + len(p.Payload) + headRoom)
	if err := EncodeTo(&room, &p); err != nil {
		return nil, err
	}
	return room.Bytes(), nil
}

// EncodeTo appends the datagram for p to an empty buffer. It sets p's version.
func EncodeTo(room *bytes.Buffer, p *Packet) error {
	p.Version = Version
	if err := encoder.MarshalToBuffer(p, room); err != nil {
		return errors.Wrapf(err, "encode %s packet", p.Kind)
	}
	if room.Len() > MaxDatagram {
		return errors.Wrapf(ErrTooLarge, "%s packet has %d bytes, at most %d are allowed", p.Kind, room.Len(), MaxDatagram)
	}
	return nil
}

// Decode reads and checks one datagram.
func Decode(data []byte) (Packet, error) {
	var p Packet
	if len(data) > MaxDatagram {
		return p, errors.Wrapf(ErrTooLarge, "datagram has %d bytes, at most %d are allowed", len(data), MaxDatagram)
	}
	if err := decoder.Unmarshal(data, &p); err != nil {
		return Packet{}, errors.Wrapf(ErrMalformed, "decode datagram of %d bytes: %v", len(data), err)
	}
	if err := p.Check(); err != nil {
		return Packet{}, err
	}
	return p, nil
}

// Header is what choosing the way of a packet needs.
type Header struct {
	Version uint8  `cbor:"1,keyasint"`
	Kind    Kind   `cbor:"2,keyasint"`
	Token   []byte `cbor:"3,keyasint,omitempty"`
}

// DecodeHeader reads the header of one datagram into h, whose token's room is
// used again. The rest is only known to be well-formed: an instance that passes
// the packet on leaves its check to the owner.
func DecodeHeader(data []byte, h *Header) error {
	if len(data) > MaxDatagram {
		return errors.Wrapf(ErrTooLarge, "datagram has %d bytes, at most %d are allowed", len(data), MaxDatagram)
	}
	h.Version, h.Kind, h.Token = 0, 0, h.Token[:0]
	if err := headerDecoder.Unmarshal(data, h); err != nil {
		return errors.Wrapf(ErrMalformed, "decode datagram of %d bytes: %v", len(data), err)
	}
	switch {
	case h.Version != Version:
		return errors.Wrapf(ErrVersion, "version %d", h.Version)
	case h.Kind == 0 || h.Kind > lastKind:
		return errors.Wrapf(ErrMalformed, "kind %d is unknown", h.Kind)
	}
	return nil
}

// Check reports whether p's fields agree with its kind and the limits.
func (p *Packet) Check() error {
	switch {
	case p.Version != Version:
		return errors.Wrapf(ErrVersion, "version %d", p.Version)
	case p.Kind == 0 || p.Kind > lastKind:
		return malformed(p, "kind is unknown")
	case p.Class > lastClass:
		return malformed(p, "class %d is unknown", p.Class)
	case p.Reason > lastReason:
		return malformed(p, "reason %d is unknown", p.Reason)
	case len(p.Payload) > MaxPayload:
		return malformed(p, "payload has %d bytes, at most %d are allowed", len(p.Payload), MaxPayload)
	case p.Count > MaxParts:
		return malformed(p, "count %d exceeds %d", p.Count, MaxParts)
	case p.Deadline < 0:
		return malformed(p, "deadline %d is negative", p.Deadline)
	case len(p.Service) > MaxServiceName:
		return malformed(p, "service name has %d bytes, at most %d are allowed", len(p.Service), MaxServiceName)
	}
	return p.checkKind()
}

func (p *Packet) checkKind() error {
	switch p.Kind {
	case KindOpen:
		if p.Service == "" {
			return malformed(p, "service is missing")
		}
	case KindPart, KindAnswer:
		if p.Request == 0 || p.Count == 0 || p.Part >= p.Count {
			return malformed(p, "request %d has part %d of %d", p.Request, p.Part, p.Count)
		}
		if p.Part+1 < p.Count && len(p.Payload) != MaxPayload {
			return malformed(p, "part %d of %d has %d bytes, only the last may have fewer than %d", p.Part, p.Count, len(p.Payload), MaxPayload)
		}
		if size := int(p.Part)*MaxPayload + len(p.Payload); size > MaxBody {
			return malformed(p, "body has %d bytes, at most %d are allowed", size, MaxBody)
		}
	case KindOpened, KindEcho:
		if len(p.Token) == 0 {
			return malformed(p, "token is missing")
		}
	case KindRefuse:
		if p.Reason == ReasonNone {
			return malformed(p, "reason is missing")
		}
	case KindAck, KindGot, KindAsk, KindPermit, KindCancel:
		return p.checkRequest()
	}
	return nil
}

// checkRequest checks the kinds that are about a request but carry no part.
func (p *Packet) checkRequest() error {
	asks := p.Kind == KindAsk || p.Kind == KindPermit
	switch {
	case p.Request == 0:
		return malformed(p, "request number is missing")
	case p.Next > MaxParts:
		return malformed(p, "next %d exceeds %d", p.Next, MaxParts)
	case asks && p.Nonce == 0:
		return malformed(p, "nonce is missing")
	}
	return nil
}

func malformed(p *Packet, format string, args ...any) error {
	return errors.Wrapf(ErrMalformed, "%s packet: %s", p.Kind, fmt.Sprintf(format, args...))
}
