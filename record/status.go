package record

import (
	"fmt"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Status is the status record that an instance writes for operators, under its own
// name.
type Status struct {
	Instance string       `json:"instance"`
	Centre   string       `json:"centre"`
	Updated  clock.Millis `json:"updated"` // when the status was created
	// Incarnation is the start time of the process that wrote the status.
	Incarnation clock.Millis `json:"incarnation,omitempty"`
	Revision    uint64       `json:"revision"`   // revision of the configuration in use
	Conditions  []Condition  `json:"conditions"` // present problems, most severe first
}

// Condition is a problem and what the system did about it.
type Condition struct {
	Type    string       `json:"type"`    // one of the types in docs/OPERATING.md
	Subject string       `json:"subject"` // kind/name of the affected record
	Since   clock.Millis `json:"since"`   // when it was first observed
	Reason  string       `json:"reason"`  // what was observed
	Action  string       `json:"action"`  // what the system did about it
	Count   uint64       `json:"count"`   // how often it was observed
}

// maxConditions is the maximum number of conditions in a status.
const maxConditions = 1000

// DecodeStatus decodes and checks a status record.
func DecodeStatus(o Object) (Status, error) {
	var s Status
	if o.Schema != Schema2 {
		return Status{}, unsupportedSchema(o)
	}
	if err := decode(o, KindStatus, &s); err != nil {
		return Status{}, err
	}
	if s.Instance != o.Name {
		return Status{}, invalid(o, "instance", fmt.Sprintf("%q", s.Instance), "not the object's name")
	}
	if len(s.Conditions) > maxConditions {
		return Status{}, invalid(o, "conditions", len(s.Conditions), "more than %d", maxConditions)
	}
	return s, nil
}

// EncodeStatus encodes s.
func EncodeStatus(s Status) (Object, error) {
	return encode(KindStatus, s.Instance, Schema2, s)
}
