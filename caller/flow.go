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
	opened  chan error // result of the first opening
	engine  *Engine
	nonce   uint64                       // of the latest Open
	waiting map[uint64]chan RequestEnded // by CallID
}

// reportOpened passes the result of the first opening to Conn.Open. Results of later
// openings are dropped.
func (f *Flow) reportOpened(err error) {
	select {
	case f.opened <- err:
	default:
	}
}

// Do sends a request and waits for its whole answer. The error matches
// ErrNotRun or ErrOutcomeUnknown. When ctx ends, the request is cancelled; when ctx
// has an earlier deadline than r, the deadline of ctx applies.
func (f *Flow) Do(ctx context.Context, r Request) (Answer, error) {
	if r.Deadline <= 0 {
		r.Deadline = DefaultDeadline
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := clock.FromDuration(time.Until(deadline))
		r.Deadline = max(min(r.Deadline, remaining), 1)
	}
	id, ended := f.start(r)
	select {
	case e := <-ended:
		return e.Answer, errors.WithStack(e.Err)
	case <-ctx.Done():
	}
	f.conn.mu.Lock()
	f.conn.handle(f, RequestCancelled{CallID: id})
	f.conn.unlockAndSend()
	e := <-ended
	return e.Answer, errors.WithStack(e.Err)
}

func (f *Flow) start(r Request) (uint64, <-chan RequestEnded) {
	ended := make(chan RequestEnded, 1)
	f.conn.mu.Lock()
	f.conn.lastCallID++
	id := f.conn.lastCallID
	f.waiting[id] = ended
	f.conn.handle(f, RequestStarted{CallID: id, Request: r})
	f.conn.unlockAndSend()
	return id, ended
}

// Close ends the flow. Requests in flight end with an error.
func (f *Flow) Close() {
	c := f.conn
	c.mu.Lock()
	c.handle(f, CloseRequested{})
	delete(c.flows, f)
	delete(c.flowsByNonce, f.nonce)
	c.unlockAndSend()
}
