package demand

import (
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Period is the time between two digests of an instance.
const Period = 500 * clock.Millisecond

// MaxAge is the age from which on a digest doesn't count any more: two lost ones in a row are borne.
const MaxAge = 3 * Period

// Limits of the services in a message.
const (
	MaxServices  = 8
	MaxNameBytes = 128
	// Bytes of the services in one message.
	maxServiceBytes = 160
)

// Digest is what an instance knows of its own load, or a part of that.
type Digest struct {
	Number   uint64    `cbor:"1,keyasint"` // increases with each digest of a process; that of all its parts
	Part     int       `cbor:"2,keyasint,omitempty"`
	Parts    int       `cbor:"3,keyasint"`
	Loads    Loads     `cbor:"4,keyasint"`           // endpoints that the instance has flows at or answers from
	Services []Service `cbor:"5,keyasint,omitempty"` // only in the first part
}

// Service counts what happened at the endpoints of a service in one period.
type Service struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Placed int // new flows
	Sheds  int // small answers, with which full endpoints refuse requests
}

// NewDigest returns the parts of a digest.
func NewDigest(number uint64, loads []Load, services []Service) []Digest {
	parts := split(loads)
	list := make([]Digest, len(parts))
	for i, p := range parts {
		list[i] = Digest{Number: number, Part: i, Parts: len(parts), Loads: p}
	}
	list[0].Services = fitting(services)
	return list
}

// fitting returns the services that fit into a message.
func fitting(list []Service) []Service {
	size := 0
	for i := range list {
		if size += len(list[i].Name) + 9; i == MaxServices || size > maxServiceBytes {
			return list[:i]
		}
	}
	return list
}

// Check returns an error for the first field that exceeds its limits.
func (d *Digest) Check() error {
	if err := checkServices(d.Services); err != nil {
		return err
	}
	return d.Loads.check(d.Part, d.Parts)
}

func checkServices(list []Service) error {
	if len(list) > MaxServices {
		return errors.Wrapf(ErrDemand, "%d services are more than %d", len(list), MaxServices)
	}
	for _, s := range list {
		if len(s.Name) > MaxNameBytes || s.Placed < 0 || s.Placed > MaxCount || s.Sheds < 0 || s.Sheds > MaxCount {
			return errors.Wrapf(ErrDemand, "service %.60q: a number is not within 0 to %d, or its name has more than %d bytes", s.Name, MaxCount, MaxNameBytes)
		}
	}
	return nil
}
