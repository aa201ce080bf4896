package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Sending of answers.
const (
	firstBurst    = 16                      // parts in flight at first
	maxBurst      = packet.MaskParts        // parts in flight at most
	minBurst      = 4                       // parts in flight at least
	firstTimeout  = 100 * clock.Millisecond // until unacknowledged parts are repeated
	minTimeout    = 20 * clock.Millisecond
	maxTimeout    = 1 * clock.Second
	timeoutFactor = 3                 // repeat timeout, in measured round trips
	answerLinger  = 10 * clock.Second // how long after the deadline an answer is repeated
)

// answerController passes the results of jobs on: as answer packets to callers,
// or to the instance that handed the work over.
type answerController struct{ b *EngineState }

func (c answerController) run() bool {
	if len(c.b.ended) == 0 {
		return false
	}
	batch := c.b.ended
	c.b.ended = nil
	for _, e := range batch {
		if e.job.Request == nil {
			c.peer(e)
			continue
		}
		c.own(e.job.Request, e)
	}
	return true
}

// peer answers the instance that handed the work over.
func (c answerController) peer(e ended) {
	delete(c.b.HandOvers, e.job.CallID)
	c.b.holdBytes(token.Hash(e.job.Work.Service), -int64(len(e.job.Work.Body)))
	c.b.do(AnswerHandOver{CallID: e.job.CallID, Result: e.result})
}

// own turns the result of an own request into an answer or a refusal.
func (c answerController) own(r *Request, e ended) {
	if r.Job != e.job {
		return
	}
	c.b.holdBytes(token.Hash(e.job.Work.Service), -int64(len(e.job.Work.Body)))
	e.job.Work.Body = nil
	r.Job = nil
	if e.result.Outcome != OutcomeAnswered {
		reason := e.result.Reason
		if e.result.Outcome == OutcomeUnknown {
			reason = packet.ReasonUnknown
		}
		c.b.refuseRequest(r, reason, e.result.Detail)
		return
	}
	c.b.do(ObserveValue{Metric: "answer_ms", Service: e.job.Work.Service, Class: e.job.Work.Class, Value: int64(c.b.Now - e.job.QueuedAt)})
	r.State = StateAnswering
	r.Answer, r.Status = e.result.Body, uint16(e.result.Status)
	c.b.holdBytes(r.Flow.ServiceHash, int64(len(r.Answer)))
	r.Window = packet.Window{Count: packet.CountParts(len(r.Answer))}
	r.MaxInFlight, r.Timeout = firstBurst, firstTimeout
	r.ExpiresAt = max(r.Deadline, c.b.Now) + answerLinger
	c.b.sendParts(r, r.Window.NextUnsent(r.MaxInFlight))
}

func (b *EngineState) sendParts(r *Request, parts []uint32) {
	for _, n := range parts {
		b.do(SendPacket{To: r.Flow.Caller, Packet: packet.Packet{
			Kind: packet.KindAnswer, Token: r.Flow.token, Request: r.Number, Status: r.Status,
			Part: n, Count: r.Window.Count, Payload: packet.PartOf(r.Answer, n),
		}})
	}
	if len(parts) > 0 {
		r.SentAt = b.Now
	}
	b.timers.set(r, min(r.ExpiresAt, b.Now+r.Timeout))
}

// got takes in the caller's report of the answer parts it holds.
func (c answerController) got(f *Flow, p *packet.Packet) {
	r := f.find(p.Request)
	if r == nil || r.State != StateAnswering || !r.Window.Update(p.Next, p.Mask) {
		return
	}
	if r.Window.Done() {
		c.b.finish(r)
		return
	}
	trip := max(c.b.Now-r.SentAt, clock.Millisecond)
	r.Timeout = min(max(timeoutFactor*trip, minTimeout), maxTimeout)
	r.MaxInFlight = min(r.MaxInFlight+1, maxBurst)
	parts := r.Window.NextUnsent(r.MaxInFlight)
	if c.b.Now-r.SentAt >= r.Timeout/timeoutFactor {
		parts = append(r.Window.Holes(), parts...)
	}
	c.b.sendParts(r, parts)
}

// repeatAnswer sends unacknowledged parts again, or gives the answer up.
func (b *EngineState) repeatAnswer(r *Request) {
	if b.Now >= r.ExpiresAt {
		b.note("abandon", "unacknowledged", "", r.Flow.Caller.String(), "answer")
		b.finish(r)
		return
	}
	r.MaxInFlight = max(r.MaxInFlight/2, minBurst)
	r.Timeout = min(2*r.Timeout, maxTimeout)
	missing := r.Window.Unacknowledged()
	b.sendParts(r, missing[:min(len(missing), int(r.MaxInFlight))])
}
