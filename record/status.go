package record

import (
	"fmt"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Status is what one instance reports to operators, under the instance's name.
type Status struct {
	Instance string       `json:"instance"`
	Centre   string       `json:"centre"`
	Updated  clock.Millis `json:"updated"` // when this status was made
	// Incarnation is when the process that wrote the status started.
	Incarnation clock.Millis `json:"incarnation,omitempty"`
	Revision    uint64       `json:"revision"`   // configuration in force
	Conditions  []Condition  `json:"conditions"` // what is wrong, worst first
}

// Condition is one thing that is wrong and what the system did about it.
type Condition struct {
	Type    string       `json:"type"`    // one of the types in docs/OPERATING.md
	Subject string       `json:"subject"` // kind/name of what is affected
	Since   clock.Millis `json:"since"`   // when it was first seen
	Reason  string       `json:"reason"`  // what was seen
	Action  string       `json:"action"`  // what the system did about it
	Count   uint64       `json:"count"`   // how often it was seen
}

// maxConditions bounds the conditions in one status.
const maxConditions = 1000

// DecodeStatus reads and checks a status record.
func DecodeStatus(o Object) (Status, error) {
	var s Status
	if o.Schema != Schema2 {
		return Status{}, badSchema(o)
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

// EncodeStatus returns s as an object.
func EncodeStatus(s Status) (Object, error) {
	return encode(KindStatus, s.Instance, Schema2, s)
}
