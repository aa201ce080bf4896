package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Sending of answers.
const (
	initialInFlight  = 16                      // parts in flight at first
	maxInFlight      = packet.MaskParts        // parts in flight at most
	minInFlight      = 4                       // parts in flight at least
	initialTimeout   = 100 * clock.Millisecond // until unacknowledged parts are repeated
	minTimeout       = 20 * clock.Millisecond
	maxTimeout       = 1 * clock.Second
	timeoutFactor    = 3                 // repeat timeout, in measured round trips
	answerRepeatTime = 10 * clock.Second // how long after the deadline an answer is repeated
)

// answerController passes the results of jobs on: as answer packets to callers,
// or to the instance that handed the work over.
type answerController struct{ state *EngineState }

func (c answerController) run() bool {
	if len(c.state.endedJobs) == 0 {
		return false
	}
	batch := c.state.endedJobs
	c.state.endedJobs = nil
	for _, e := range batch {
		if e.job.Request == nil {
			c.answerHandOver(e)
			continue
		}
		c.answerCaller(e.job.Request, e)
	}
	return true
}

// answerHandOver answers the instance that handed the work over.
func (c answerController) answerHandOver(e endedJob) {
	delete(c.state.HandOvers, e.job.CallID)
	c.state.addBodyBytes(token.Hash(e.job.Work.Service), -int64(len(e.job.Work.Body)))
	c.state.emit(AnswerHandOver{CallID: e.job.CallID, Result: e.result})
}

// answerCaller turns the result of an answerCaller request into an answer or a refusal.
func (c answerController) answerCaller(r *Request, e endedJob) {
	if r.Job != e.job {
		return
	}
	c.state.addBodyBytes(token.Hash(e.job.Work.Service), -int64(len(e.job.Work.Body)))
	e.job.Work.Body = nil
	r.Job = nil
	if e.result.Outcome != OutcomeAnswered {
		reason := e.result.Reason
		if e.result.Outcome == OutcomeUnknown {
			reason = packet.ReasonUnknown
		}
		c.state.refuseRequest(r, reason, e.result.Detail)
		return
	}
	c.state.emit(ObserveValue{Metric: "answer_ms", Service: e.job.Work.Service, Class: e.job.Work.Class, Value: int64(c.state.Now - e.job.QueuedAt)})
	r.State = StateAnswering
	r.Answer, r.Status = e.result.Body, uint16(e.result.Status)
	c.state.addBodyBytes(r.Flow.ServiceHash, int64(len(r.Answer)))
	r.Window = packet.Window{Count: packet.CountParts(len(r.Answer))}
	r.MaxInFlight, r.Timeout = initialInFlight, initialTimeout
	r.ExpiresAt = max(r.Deadline, c.state.Now) + answerRepeatTime
	c.state.sendParts(r, r.Window.NextUnsent(r.MaxInFlight))
}

func (st *EngineState) sendParts(r *Request, parts []uint32) {
	for _, n := range parts {
		st.emit(SendPacket{To: r.Flow.Caller, Packet: packet.Packet{
			Kind: packet.KindAnswer, Token: r.Flow.token, Request: r.Number, Status: r.Status,
			Part: n, Count: r.Window.Count, Payload: packet.PartOf(r.Answer, n),
		}})
	}
	if len(parts) > 0 {
		r.SentAt = st.Now
	}
	st.timers.set(r, min(r.ExpiresAt, st.Now+r.Timeout))
}

// acknowledged takes in the caller's report of the answer parts it holds.
func (c answerController) acknowledged(f *Flow, p *packet.Packet) {
	r := f.find(p.Request)
	if r == nil || r.State != StateAnswering || !r.Window.Update(p.Next, p.Mask) {
		return
	}
	if r.Window.Done() {
		c.state.finishRequest(r)
		return
	}
	roundTrip := max(c.state.Now-r.SentAt, clock.Millisecond)
	r.Timeout = min(max(timeoutFactor*roundTrip, minTimeout), maxTimeout)
	r.MaxInFlight = min(r.MaxInFlight+1, maxInFlight)
	parts := r.Window.NextUnsent(r.MaxInFlight)
	if c.state.Now-r.SentAt >= r.Timeout/timeoutFactor {
		parts = append(r.Window.Holes(), parts...)
	}
	c.state.sendParts(r, parts)
}

// repeatAnswer sends unacknowledged parts again, or gives the answer up.
func (st *EngineState) repeatAnswer(r *Request) {
	if st.Now >= r.ExpiresAt {
		st.logDecision("abandon", "unacknowledged", "", r.Flow.Caller.String(), "answer")
		st.finishRequest(r)
		return
	}
	r.MaxInFlight = max(r.MaxInFlight/2, minInFlight)
	r.Timeout = min(2*r.Timeout, maxTimeout)
	missing := r.Window.Unacknowledged()
	st.sendParts(r, missing[:min(len(missing), int(r.MaxInFlight))])
}
