// Package packet encodes, decodes and checks the UDP datagrams that callers and
// entry instances exchange (Packet) and those that entry instances exchange
// (Envelope). It also splits bodies into parts and tracks which parts arrived.
//
// A caller opens a flow with Open, receives a sealed flow token in Opened and
// sends requests with that token. A request or an answer is sent as one or more
// parts of at most MaxPayload bytes. The receiver of a request acknowledges
// parts with Ack, the receiver of an answer with Got, and the sender sends
// unacknowledged parts again.
//
// A request marked Once must not run twice. Before it starts such a request, the
// owner of the flow sends Ask with a nonce, and the caller replies with Permit
// and the same nonce. The caller permits a single nonce per request, an instance
// starts the request only with a permit for its own nonce, and it uses a nonce
// once. So the request runs at most once, also when the owner crashes, stalls or
// is replaced, and instances need no agreement among themselves.
//
// Order of messages, with the caller on the left:
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
// The files are packet.go (Packet and its codec), envelope.go (Envelope) and
// parts.go (parts, Assembly and Window).
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
	// MaxDatagram is the maximum size of a datagram to or from a caller, in bytes.
	MaxDatagram = 1200
	// MaxPayload is the maximum payload of one part, in bytes. Every part but the
	// last has exactly this size.
	MaxPayload = 1000
	// MaxBody is the maximum size of a request or answer body, in bytes.
	MaxBody = 16 << 20
	// MaxParts is the maximum number of parts of one request or answer.
	MaxParts = (MaxBody + MaxPayload - 1) / MaxPayload
	// MaskParts is the number of parts after part Next that Mask covers.
	MaskParts = 64
	// MaxServiceName is the maximum length of a service name, in bytes.
	MaxServiceName = 100
	// Version is the protocol version of the packets in this package.
	Version = 1
)

// Errors returned when packets and envelopes are encoded or decoded.
var (
	// ErrMalformed reports a datagram that cannot be decoded or has invalid fields.
	ErrMalformed = errors.New("packet is malformed")
	// ErrVersion reports a packet whose protocol version is not Version.
	ErrVersion = errors.New("packet version is not supported")
	// ErrTooLarge reports a datagram larger than MaxDatagram or MaxEnvelope.
	ErrTooLarge = errors.New("packet is too large")
)

// Kind is the type of a packet.
type Kind uint8

// The kinds of packets, with the sender of each.
const (
	KindOpen   Kind = 1 + iota // caller: opens a flow to Service; the instance replies Opened or Refuse
	KindOpened                 // instance: the flow is open, the caller sends its packets with Token
	KindPart                   // caller: one part of a request; the instance acknowledges it with Ack
	KindAck                    // instance: the request parts it has (Next, Mask); the caller resends missing ones
	KindAsk                    // instance: asks for the permit to start a Once request; the caller replies Permit
	KindPermit                 // caller: permits the instance that sent Nonce in Ask to start the request
	KindAnswer                 // instance: one part of an answer; the caller acknowledges it with Got
	KindGot                    // caller: the answer parts it has (Next, Mask); with all of them the instance drops the request
	KindRefuse                 // instance: sent instead of Opened or an answer, see Reason; the caller retries or fails
	KindCancel                 // caller: gives a request up; the instance does not start it if it has not yet
	KindProbe                  // caller: asks whether the flow still exists; the owner replies Echo
	KindEcho                   // instance: the flow exists and Token is its latest token; reply to Probe
	KindClose                  // caller: closes the flow; the instance forgets it if no request is left
	lastKind   = KindClose
)

var kindNames = [...]string{
	"none", "open", "opened", "part", "ack", "ask", "permit", "answer", "got",
	"refuse", "cancel", "probe", "echo", "close",
}

// String returns the name of k in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Class is the expected run time of a request.
type Class uint8

// The classes of requests.
const (
	ClassUnknown Class = iota // the instance uses the class of the service's record, or estimates it
	ClassShort
	ClassLong
	lastClass = ClassLong
)

var classNames = [...]string{"unknown", "short", "long"}

// String returns the name of c in logs, metrics and headers.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// Reason is the cause for which a request, flow or packet was refused.
type Reason uint8

// The reasons. With every reason but ReasonUnknown the request certainly did not
// run.
const (
	ReasonNone      Reason = iota
	ReasonUnknown          // the outcome is unknown: the request may have run once
	ReasonBusy             // the queue is full or the deadline cannot be met
	ReasonDeadline         // the deadline passed before the request started
	ReasonService          // the service does not exist
	ReasonBackend          // no backend server of the service accepts requests
	ReasonToken            // the token is malformed, forged, expired or of another installation
	ReasonSize             // the request body exceeds the limit of the service
	ReasonStopping         // the instance is stopping and no other accepted the request
	ReasonMisrouted        // the backend server does not serve this service
	ReasonCancelled        // the caller cancelled before the request started
	ReasonMalformed        // fields of the packet or of the request are inconsistent
	ReasonMemory           // requests exceed the memory or number allowed to them
	lastReason      = ReasonMemory
)

var reasonNames = [...]string{
	"none", "unknown", "busy", "deadline", "service", "backend", "token", "size",
	"stopping", "misrouted", "cancelled", "malformed", "memory",
}

// String returns the name of r in logs, metrics and status.
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
	Service  string       `cbor:"4,keyasint,omitempty"`  // Open: name of the service
	Request  uint64       `cbor:"5,keyasint,omitempty"`  // number of the request in the flow, from 1
	Part     uint32       `cbor:"6,keyasint,omitempty"`  // index of this part, from 0
	Count    uint32       `cbor:"7,keyasint,omitempty"`  // number of parts, at least 1
	Once     bool         `cbor:"8,keyasint,omitempty"`  // the request must not be repeated
	Attempt  uint8        `cbor:"9,keyasint,omitempty"`  // how often the caller has resent the whole request, at most 255
	Class    Class        `cbor:"10,keyasint,omitempty"` // expected run time
	Deadline clock.Millis `cbor:"11,keyasint,omitempty"` // time left when the packet was sent
	Nonce    uint64       `cbor:"12,keyasint,omitempty"` // Ask and Permit: identifies the permit, never 0; Open and Probe: echoed in the reply; Refuse: as in the refused packet or request
	Reason   Reason       `cbor:"13,keyasint,omitempty"` // Refuse: cause
	Status   uint16       `cbor:"14,keyasint,omitempty"` // Answer: HTTP status of the backend server
	Next     uint32       `cbor:"15,keyasint,omitempty"` // Ack and Got: the sender has all parts below this index
	Mask     uint64       `cbor:"16,keyasint,omitempty"` // Ack and Got: bit i is set if the sender has part Next+1+i
	Payload  []byte       `cbor:"17,keyasint,omitempty"` // Part and Answer
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder(cbor.DupMapKeyEnforcedAPF)
	// headerDecoder accepts duplicate fields, as detecting them takes as much time
	// as the rest of decoding. The owner of the flow rejects them in Decode.
	headerDecoder = mustDecoder(cbor.DupMapKeyQuiet)
)

func mustEncoder() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// maxFields is the maximum number of entries in a decoded map or list.
const maxFields = 32

func mustDecoder(duplicates cbor.DupMapKeyMode) cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        duplicates,
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

// fieldOverhead is the buffer space reserved, in bytes, for all that is not
// payload, token or service name: number fields, field keys and lengths.
const fieldOverhead = 128

// Encode encodes p as a datagram of the current Version.
func Encode(p Packet) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(len(p.Token) + len(p.Service) + len(p.Payload) + fieldOverhead)
	if err := EncodeTo(&buf, &p); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// EncodeTo encodes p into buf, which must be empty. It sets p.Version.
func EncodeTo(buf *bytes.Buffer, p *Packet) error {
	p.Version = Version
	if err := encoder.MarshalToBuffer(p, buf); err != nil {
		return errors.Wrapf(err, "encode %s packet", p.Kind)
	}
	if buf.Len() > MaxDatagram {
		return errors.Wrapf(ErrTooLarge, "%s packet has %d bytes, at most %d are allowed", p.Kind, buf.Len(), MaxDatagram)
	}
	return nil
}

// Decode decodes and checks a datagram.
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

// Header holds the fields of a packet that are needed to route it.
type Header struct {
	Version uint8  `cbor:"1,keyasint"`
	Kind    Kind   `cbor:"2,keyasint"`
	Token   []byte `cbor:"3,keyasint,omitempty"`
}

// DecodeHeader decodes the header of a datagram into h and reuses the memory of
// h.Token. It checks that the rest is well-formed CBOR, but no other field: an
// instance that forwards the packet leaves that to the owner of the flow.
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

// Check returns an error if a field of p is missing for its kind, is inconsistent
// with another or exceeds a limit.
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

// checkRequest checks a packet that refers to a request but has no payload.
func (p *Packet) checkRequest() error {
	needsNonce := p.Kind == KindAsk || p.Kind == KindPermit
	switch {
	case p.Request == 0:
		return malformed(p, "request number is missing")
	case p.Next > MaxParts:
		return malformed(p, "next %d exceeds %d", p.Next, MaxParts)
	case needsNonce && p.Nonce == 0:
		return malformed(p, "nonce is missing")
	}
	return nil
}

func malformed(p *Packet, format string, args ...any) error {
	return errors.Wrapf(ErrMalformed, "%s packet: %s", p.Kind, fmt.Sprintf(format, args...))
}
