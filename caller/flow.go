package caller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Flow is an open flow to one service. It is safe for concurrent use; several
// requests may be in flight together.
type Flow struct {
	conn    *Conn
	opened  chan error // holds the end of the first opening
	engine  *Engine
	nonce   uint64 // of the latest Open
	waiting map[uint64]chan RequestEnded
}

// tell reports the end of the first opening to Open.
func (f *Flow) tell(err error) {
	select {
	case f.opened <- err:
	default:
	}
}

// Do sends a request and waits for its whole answer. The error matches
// ErrNotRun or ErrOutcomeUnknown. When ctx ends, the request is cancelled; when ctx
// has an earlier deadline than r, that one counts.
func (f *Flow) Do(ctx context.Context, r Request) (Answer, error) {
	if r.Deadline <= 0 {
		r.Deadline = DefaultDeadline
	}
	if until, ok := ctx.Deadline(); ok {
		left := clock.FromDuration(time.Until(until))
		r.Deadline = max(min(r.Deadline, left), 1)
	}
	call, ended := f.start(r)
	select {
	case e := <-ended:
		return e.Answer, errors.WithStack(e.Err)
	case <-ctx.Done():
	}
	f.conn.mu.Lock()
	f.conn.handle(f, RequestCancelled{CallID: call})
	f.conn.unlockAndSend()
	e := <-ended
	return e.Answer, errors.WithStack(e.Err)
}

func (f *Flow) start(r Request) (uint64, <-chan RequestEnded) {
	ended := make(chan RequestEnded, 1)
	f.conn.mu.Lock()
	f.conn.calls++
	call := f.conn.calls
	f.waiting[call] = ended
	f.conn.handle(f, RequestStarted{CallID: call, Request: r})
	f.conn.unlockAndSend()
	return call, ended
}

// Close ends the flow. Requests in flight end with an error.
func (f *Flow) Close() {
	c := f.conn
	c.mu.Lock()
	c.handle(f, CloseRequested{})
	delete(c.handles, f)
	delete(c.byNonce, f.nonce)
	c.unlockAndSend()
}
