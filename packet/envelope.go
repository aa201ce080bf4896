package packet

import (
	"bytes"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// MaxEnvelope is the maximum size of a datagram between entry instances, in
// bytes.
const MaxEnvelope = 1500

// MaxHops is the maximum number of times that instances forward a packet.
const MaxHops = 3

// Load is the load of a service at the sending instance. It is attached to
// envelopes that are sent for another purpose; no envelope is sent just for it.
type Load struct {
	Service      uint64 `cbor:"1,keyasint,omitempty"` // token.Hash of the service
	IdleSlots    uint16 `cbor:"2,keyasint,omitempty"` // idle slots of the endpoints that the sender dispatches to
	QueuedShort  uint16 `cbor:"3,keyasint,omitempty"` // short requests waiting for a slot
	Rate         uint32 `cbor:"4,keyasint,omitempty"` // estimated throughput of these endpoints, in short requests per 1000 s
	LongRequests uint16 `cbor:"5,keyasint,omitempty"` // long requests queued or running
	Utilization  uint16 `cbor:"6,keyasint,omitempty"` // recent share of slot time in use, in 1/1000
}

// Envelope is a datagram between two entry instances. With Data it forwards a
// caller's packet towards the instance that owns the flow; without Data it is a
// heartbeat or, with Reply, the response to one.
type Envelope struct {
	Sender      uint64         `cbor:"1,keyasint"`            // token.Hash of the sending instance
	Incarnation uint64         `cbor:"2,keyasint"`            // start time of the sender's process, in ms
	Caller      netip.AddrPort `cbor:"3,keyasint,omitempty"`  // address of the caller, to which the receiver sends the answer
	Hops        uint8          `cbor:"4,keyasint,omitempty"`  // how often Data was forwarded, this time included
	Data        []byte         `cbor:"5,keyasint,omitempty"`  // the caller's datagram, unchanged
	Heartbeat   uint64         `cbor:"6,keyasint,omitempty"`  // number of the heartbeat, or 0
	Reply       bool           `cbor:"7,keyasint,omitempty"`  // the envelope responds to the heartbeat of this number
	Leaving     bool           `cbor:"8,keyasint,omitempty"`  // the sender is stopping
	Revision    uint64         `cbor:"9,keyasint,omitempty"`  // latest configuration revision that the sender has
	Loads       []Load         `cbor:"10,keyasint,omitempty"` // at most maxLoads entries

	EndpointRuns []EndpointRuns `cbor:"12,keyasint,omitempty"` // at most maxEndpointRuns entries

	// WatchesPlatform is set if the sender was chosen to watch the platform for its
	// data centre and the platform responds to it.
	WatchesPlatform bool `cbor:"13,keyasint,omitempty"`

	// Hello is the record of the sender, for a receiver that may not have it yet.
	Hello *record.Instance `cbor:"11,keyasint,omitempty"`
}

const (
	maxLoads        = 8
	maxEndpointRuns = 8
)

// MaxEndpointRuns is the maximum number of entries in Envelope.EndpointRuns.
const MaxEndpointRuns = maxEndpointRuns

// EndpointRuns is the number of requests that the sender still runs at an endpoint
// which the receiver dispatches to now. The receiver subtracts them from the
// endpoint's slots, so that both together don't exceed its limit.
type EndpointRuns struct {
	Endpoint uint64 `cbor:"1,keyasint,omitempty"` // token.Hash of the address
	Runs     uint16 `cbor:"2,keyasint,omitempty"`
}

// EncodeEnvelope encodes e as a datagram.
func EncodeEnvelope(e Envelope) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(len(e.Data) + fieldOverhead)
	if err := EncodeEnvelopeTo(&buf, &e); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// EncodeEnvelopeTo encodes e into buf, which must be empty.
func EncodeEnvelopeTo(buf *bytes.Buffer, e *Envelope) error {
	if err := encoder.MarshalToBuffer(e, buf); err != nil {
		return errors.Wrap(err, "encode envelope")
	}
	if buf.Len() > MaxEnvelope {
		return errors.Wrapf(ErrTooLarge, "envelope has %d bytes, at most %d are allowed", buf.Len(), MaxEnvelope)
	}
	return nil
}

// DecodeEnvelope decodes and checks a datagram from another instance.
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
		return errors.Wrapf(ErrMalformed, "envelope: runs of %d endpoints, at most %d are allowed", len(e.EndpointRuns), maxEndpointRuns)
	case len(e.Loads) > maxLoads:
		return errors.Wrapf(ErrMalformed, "envelope: %d loads, at most %d are allowed", len(e.Loads), maxLoads)
	case len(e.Data) > MaxDatagram:
		return errors.Wrapf(ErrMalformed, "envelope: data has %d bytes, at most %d are allowed", len(e.Data), MaxDatagram)
	case len(e.Data) > 0 && !e.Caller.IsValid():
		return errors.Wrap(ErrMalformed, "envelope: caller is missing")
	case e.Caller.Addr().Zone() != "":
		// An IPv6 zone names a network interface of the sender, not of this host.
		return errors.Wrapf(ErrMalformed, "envelope: caller %v has a zone", e.Caller)
	}
	return nil
}

// checkHello returns an error if Hello is invalid or isn't the record of the
// sender and its incarnation.
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
