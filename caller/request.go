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
	Deadline clock.Millis // longest time until the answer; 0 means DefaultDeadline
}

// Answer is the whole answer of a backend server.
type Answer struct {
	Status int // HTTP status of the backend server
	Body   []byte
}

// DefaultDeadline is the deadline of requests that set none.
const DefaultDeadline = 10 * clock.Second

// Errors that requests and flows end with.
var (
	// ErrNotRun reports a request that certainly did not run.
	ErrNotRun = errors.New("request did not run")
	// ErrOutcomeUnknown reports a request that may have run: at most once if it must
	// not be repeated.
	ErrOutcomeUnknown = errors.New("outcome of request is unknown")
	// ErrRefused reports a flow that an instance refused to open, or that was not
	// requested because the name of the service has a length that isn't allowed.
	ErrRefused = errors.New("flow was refused")
	// ErrClosed reports that Open was called on a closed connection. Do on a closed
	// flow returns ErrNotRun.
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
