package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Transmission of answers to callers.
const (
	initialInFlight  = 16                      // unacknowledged parts allowed at the start of an answer
	maxInFlight      = packet.MaskParts        // the most unacknowledged parts that a Got packet can describe
	minInFlight      = 4                       // limit below which losses don't reduce the window
	initialTimeout   = 100 * clock.Millisecond // retransmission time-out before a round trip was measured
	minTimeout       = 20 * clock.Millisecond
	maxTimeout       = 1 * clock.Second
	timeoutFactor    = 3                 // retransmission time-out in round trips
	answerRepeatTime = 10 * clock.Second // how long after the deadline an unacknowledged answer is still repeated
)

// answerController delivers the results of jobs: to the caller as answer packets, or to
// the instance that handed the work over.
type answerController struct{ state *EngineState }

// deliverResults delivers the results of ended jobs, and reports whether there were any.
func (c answerController) deliverResults() bool {
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

// answerHandOver returns a result to the instance that handed the work over.
func (c answerController) answerHandOver(e endedJob) {
	delete(c.state.HandOvers, e.job.CallID)
	c.state.addBodyBytes(token.Hash(e.job.Work.Service), -int64(len(e.job.Work.Body)))
	c.state.emit(AnswerHandOver{CallID: e.job.CallID, Result: e.result})
}

// answerCaller turns the result of a request of a flow owned here into an answer or a
// refusal.
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

// acknowledged processes a Got packet, in which the caller reports the answer parts that
// it has received. It sends the parts that the window now allows, and repeats those that the
// packet shows as missing, unless parts were sent less than minTimeout/timeoutFactor ago.
func (c answerController) acknowledged(f *Flow, p *packet.Packet) {
	r := f.findRequest(p.Request)
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

// repeatAnswer sends unacknowledged parts again after a time-out, or ends the request
// when the caller hasn't acknowledged the answer by ExpiresAt.
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
