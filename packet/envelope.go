package packet

import (
	"bytes"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// MaxEnvelope is the largest datagram between entry instances, in bytes.
const MaxEnvelope = 1500

// MaxHops is how often a packet may be passed on between entry instances.
const MaxHops = 3

// Load is the queue state an instance attaches to the datagrams it sends to
// other instances anyway. Instances never send a datagram for its sake alone.
type Load struct {
	Service      uint64 `cbor:"1,keyasint,omitempty"` // token.Hash of the service
	IdleSlots    uint16 `cbor:"2,keyasint,omitempty"` // idle slots of the endpoints it dispatches
	QueuedShort  uint16 `cbor:"3,keyasint,omitempty"` // short requests waiting for a slot
	Rate         uint32 `cbor:"4,keyasint,omitempty"` // learnt capacity, in short requests per 1000 s
	LongRequests uint16 `cbor:"5,keyasint,omitempty"` // long requests waiting or running
	Utilization  uint16 `cbor:"6,keyasint,omitempty"` // share of its slots' time used of late, in 1/1000
}

// Envelope is one datagram between two entry instances: a caller's packet
// passed on, or a heartbeat when Data is empty.
type Envelope struct {
	Sender      uint64         `cbor:"1,keyasint"`            // token.Hash of the sending instance
	Incarnation uint64         `cbor:"2,keyasint"`            // start time of the sender's process, in ms
	Caller      netip.AddrPort `cbor:"3,keyasint,omitempty"`  // where answers to Data go
	Hops        uint8          `cbor:"4,keyasint,omitempty"`  // how often Data was passed on
	Data        []byte         `cbor:"5,keyasint,omitempty"`  // the caller's datagram, unchanged
	Heartbeat   uint64         `cbor:"6,keyasint,omitempty"`  // heartbeat number
	Reply       bool           `cbor:"7,keyasint,omitempty"`  // the heartbeat answers another
	Leaving     bool           `cbor:"8,keyasint,omitempty"`  // the sender is stopping
	Revision    uint64         `cbor:"9,keyasint,omitempty"`  // newest configuration the sender holds
	Loads       []Load         `cbor:"10,keyasint,omitempty"` // at most maxLoads entries

	EndpointRuns []EndpointRuns `cbor:"12,keyasint,omitempty"` // at most maxHeld entries

	// WatchesPlatform tells that the sender watches the platform for its data centre
	// and reaches it.
	WatchesPlatform bool `cbor:"13,keyasint,omitempty"`

	// Hello describes the sender to an instance that may not know it yet.
	Hello *record.Instance `cbor:"11,keyasint,omitempty"`
}

const (
	maxLoads        = 8
	maxEndpointRuns = 8
)

// MaxEndpointRuns is the largest number of endpoints whose runs one envelope tells.
const MaxEndpointRuns = maxEndpointRuns

// EndpointRuns tells how many runs the sender still has at an endpoint that the receiver
// dispatches now, so that its slots hold across both.
type EndpointRuns struct {
	Endpoint uint64 `cbor:"1,keyasint,omitempty"` // token.Hash of the address
	Runs     uint16 `cbor:"2,keyasint,omitempty"`
}

// EncodeEnvelope returns the datagram for e.
func EncodeEnvelope(e Envelope) ([]byte, error) {
	var room bytes.Buffer
	room.Grow(len(e.Data) + headRoom)
	if err := EncodeEnvelopeTo(&room, &e); err != nil {
		return nil, err
	}
	return room.Bytes(), nil
}

// EncodeEnvelopeTo appends the datagram for e to an empty buffer.
func EncodeEnvelopeTo(room *bytes.Buffer, e *Envelope) error {
	if err := encoder.MarshalToBuffer(e, room); err != nil {
		return errors.Wrap(err, "encode envelope")
	}
	if room.Len() > MaxEnvelope {
		return errors.Wrapf(ErrTooLarge, "envelope has %d bytes, at most %d are allowed", room.Len(), MaxEnvelope)
	}
	return nil
}

// DecodeEnvelope reads and checks one datagram from another instance.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) > MaxEnvelope {
		return e, errors.Wrapf(ErrTooLarge, "envelope has %d bytes, at most %d are allowed", len(data), MaxEnvelope)
	}
	if err := decoder.Unmarshal(data, &e); err != nil {
		return Envelope{}, errors.Wrapf(ErrMalformed, "decode envelope of %d bytes: %v", len(data), err)
	}
	if err := e.check(); err != nil {
		return Envelope{}, err
	}
	if e.Hello == nil {
		return e, nil
	}
	if err := e.checkHello(); err != nil {
		return Envelope{}, err
	}
	return e, nil
}

func (e *Envelope) check() error {
	switch {
	case e.Sender == 0:
		return errors.Wrap(ErrMalformed, "envelope: sender is missing")
	case e.Hops > MaxHops:
		return errors.Wrapf(ErrMalformed, "envelope: %d hops, at most %d are allowed", e.Hops, MaxHops)
	case len(e.EndpointRuns) > maxEndpointRuns:
		return errors.Wrapf(ErrMalformed, "envelope: %d held endpoints, at most %d are allowed", len(e.EndpointRuns), maxEndpointRuns)
	case len(e.Loads) > maxLoads:
		return errors.Wrapf(ErrMalformed, "envelope: %d loads, at most %d are allowed", len(e.Loads), maxLoads)
	case len(e.Data) > MaxDatagram:
		return errors.Wrapf(ErrMalformed, "envelope: data has %d bytes, at most %d are allowed", len(e.Data), MaxDatagram)
	case len(e.Data) > 0 && !e.Caller.IsValid():
		return errors.Wrap(ErrMalformed, "envelope: caller is missing")
	case e.Caller.Addr().Zone() != "":
		// A zone names an interface of the sender, which means nothing here.
		return errors.Wrapf(ErrMalformed, "envelope: caller %v has a zone", e.Caller)
	}
	return nil
}

// checkHello reports a description that is not the sender's own.
func (e *Envelope) checkHello() error {
	if err := e.Hello.Check(); err != nil {
		return errors.Wrapf(ErrMalformed, "envelope: hello: %v", err)
	}
	if token.Hash(e.Hello.Name) != e.Sender {
		return errors.Wrapf(ErrMalformed, "envelope: hello of %q is not from sender %d", e.Hello.Name, e.Sender)
	}
	if uint64(e.Hello.Incarnation) != e.Incarnation {
		return errors.Wrapf(ErrMalformed, "envelope: hello of incarnation %d is not from incarnation %d", e.Hello.Incarnation, e.Incarnation)
	}
	return nil
}
