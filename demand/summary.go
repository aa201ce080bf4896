package demand

import (
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Summary is the sum of the latest digests of the instances of a data centre, or a part of it.
type Summary struct {
	Part     int          `cbor:"1,keyasint,omitempty"`
	Parts    int          `cbor:"2,keyasint"`
	Members  int          `cbor:"3,keyasint"` // instances that are counted
	Age      clock.Millis `cbor:"4,keyasint"` // mean age of their digests
	Loads    Loads        `cbor:"5,keyasint,omitempty"`
	Services []Service    `cbor:"6,keyasint,omitempty"` // in all parts
}

// MaxSummaryAge is the greatest age of a summary in a message.
const MaxSummaryAge = 1 * clock.Hour

// Check returns an error for the first field that exceeds its limits.
func (s *Summary) Check() error {
	if s.Members < 0 || s.Members > MaxCount || s.Age < 0 || s.Age > MaxSummaryAge {
		return errors.Wrapf(ErrDemand, "%d members or the age of %d ms exceed their limits", s.Members, s.Age)
	}
	if err := checkServices(s.Services); err != nil {
		return err
	}
	return s.Loads.check(s.Part, s.Parts)
}
