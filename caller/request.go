package caller

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Request is one request to the service of a flow.
type Request struct {
	Body     []byte       // at most packet.MaxBody bytes; not changed until the request ends
	Once     bool         // the request must not be repeated
	Class    packet.Class // expected run time
	Deadline clock.Millis // time until the answer is due; 0 means DefaultDeadline
}

// Answer is the whole answer of a backend server.
type Answer struct {
	Status int // HTTP status of the backend server
	Body   []byte
}

// DefaultDeadline is used for requests that set none, in milliseconds.
const DefaultDeadline = 10 * clock.Second

// Errors that end requests and flows.
var (
	// ErrNotRun reports a request that certainly did not run.
	ErrNotRun = errors.New("request did not run")
	// ErrOutcomeUnknown reports a request that may have run; when it must not be
	// repeated, at most once.
	ErrOutcomeUnknown = errors.New("outcome of request is unknown")
	// ErrRefused reports a flow that no instance opens.
	ErrRefused = errors.New("flow was refused")
	// ErrClosed reports a call on a closed flow or connection.
	ErrClosed = errors.New("flow is closed")
)

// NotRunError tells why a request did not run. It matches ErrNotRun.
type NotRunError struct {
	Service string
	Reason  packet.Reason
	Detail  string
}

// Error names the service and the reason.
func (e *NotRunError) Error() string {
	return describe(e.Service, "did not run", e.Reason, e.Detail)
}

// Unwrap returns ErrNotRun.
func (e *NotRunError) Unwrap() error { return ErrNotRun }

// OutcomeUnknownError tells why the outcome of a request is unknown. It matches
// ErrOutcomeUnknown.
type OutcomeUnknownError struct {
	Service string
	Reason  packet.Reason
	Detail  string
}

// Error names the service and the reason.
func (e *OutcomeUnknownError) Error() string {
	return describe(e.Service, "may have run", e.Reason, e.Detail)
}

// Unwrap returns ErrOutcomeUnknown.
func (e *OutcomeUnknownError) Unwrap() error { return ErrOutcomeUnknown }

func describe(service, outcome string, reason packet.Reason, detail string) string {
	text := fmt.Sprintf("request to service %q %s: %s", service, outcome, reason)
	if detail != "" {
		text += ": " + detail
	}
	return text
}
