package record

import (
	"fmt"

	"github.com/tanagerdock/tanagerdock/clock"
)

// StateLeaving is the state of an instance that is stopping.
const StateLeaving = "leaving"

// Instance is the record of an entry instance, which the instance itself writes to
// the platform under a lease. The platform's list of instances can be out of date.
type Instance struct {
	Name           string       `json:"name"`
	Centre         string       `json:"centre"`      // name of its data centre
	PacketAddress  string       `json:"packets"`     // IP address and UDP port for callers' packets
	PeerAddress    string       `json:"peers"`       // IP address and UDP port for envelopes of other instances
	ControlAddress string       `json:"control"`     // IP address and TCP port of its Twirp service, package control
	Size           float64      `json:"size"`        // capacity relative to other instances
	Incarnation    clock.Millis `json:"incarnation"` // start time of its process
	State          string       `json:"state"`       // active or leaving
	Schema         int          `json:"schema"`      // latest record schema that it supports
}

// DecodeInstance decodes and checks an instance record.
func DecodeInstance(o Object) (Instance, error) {
	var i Instance
	if o.Schema != Schema2 {
		return Instance{}, unsupportedSchema(o)
	}
	if err := decode(o, KindInstance, &i); err != nil {
		return Instance{}, err
	}
	return i, i.check(o)
}

// EncodeInstance encodes i.
func EncodeInstance(i Instance) (Object, error) {
	return encode(KindInstance, i.Name, Schema2, i)
}

// Check returns an error for the first invalid field of i. It is used where a record
// arrives without an Object, such as in an envelope.
func (i *Instance) Check() error {
	return i.check(Object{Kind: KindInstance, Name: i.Name})
}

func (i *Instance) check(o Object) error {
	if err := CheckName(i.Name); err != nil || i.Name != o.Name {
		return invalid(o, "name", fmt.Sprintf("%q", i.Name), "not the object's name")
	}
	if err := CheckName(i.Centre); err != nil {
		return invalid(o, "centre", fmt.Sprintf("%q", i.Centre), "not a name")
	}
	addresses := []struct{ field, address string }{
		{"packets", i.PacketAddress}, {"peers", i.PeerAddress}, {"control", i.ControlAddress},
	}
	for _, a := range addresses {
		if err := checkAddress(o, a.field, a.address); err != nil {
			return err
		}
	}
	if i.Size < minWeight || i.Size > maxWeight {
		return invalid(o, "size", i.Size, "not within %v to %v", minWeight, maxWeight)
	}
	if i.Incarnation < 0 {
		return invalid(o, "incarnation", i.Incarnation, "negative")
	}
	if i.State != StateActive && i.State != StateLeaving {
		return invalid(o, "state", fmt.Sprintf("%q", i.State), "not one of active, leaving")
	}
	return nil
}
