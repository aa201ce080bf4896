package caller

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Waiting before a refused request is sent again, in milliseconds.
const (
	firstRetry = 20 * clock.Millisecond
	maxRetry   = clock.Second
)

// retryable reports whether a refusal may pass.
func retryable(r packet.Reason) bool {
	return r == packet.ReasonBusy || r == packet.ReasonStopping
}

// onRefuse takes in that an owner gives no answer.
func (e *Engine) onRefuse(c *call, p packet.Packet, h held) {
	if refusesToken(p) {
		e.onTokenRefused(h)
		return
	}
	from := ownerOf(h.token)
	if c.grant.nonce != 0 && from != c.grant.owner {
		e.heardFromOther(c, h)
		return
	}
	if p.Reason != packet.ReasonUnknown {
		c.clear(from)
	}
	if c.grant.nonce == 0 && (from != ownerOf(e.held.token) || h.token.Issued < e.tenure) {
		return // the newest owner has the request now
	}
	if p.Reason == packet.ReasonUnknown {
		if !c.request.Once && e.retry(c, p.Reason) {
			return
		}
		e.end(c, RequestEnded{CallID: c.id, Err: &OutcomeUnknownError{Service: e.service, Reason: p.Reason}})
		return
	}
	c.grant = grant{} // the owner that got the permit did not use it
	if len(c.answers) == 0 && retryable(p.Reason) && e.retry(c, p.Reason) {
		return
	}
	e.refused(c, p.Reason)
}

// retry sends a refused request again after a while, if deadline and budget
// allow.
func (e *Engine) retry(c *call, reason packet.Reason) bool {
	wait := e.jitter(min(firstRetry<<min(c.retries, 10), maxRetry))
	if e.now+wait >= c.due {
		return false
	}
	if !e.budget.Spend() {
		e.counters.Exhausted++
		return false
	}
	e.counters.Retries++
	c.detach()
	c.retries++
	c.retryAt, c.refusal = e.now+wait, reason
	if c.attempt < maxAttempt {
		c.attempt++
	}
	return true
}

// refused ends a request that its owner did not run. Another one that may hold
// the request is given time to answer.
func (e *Engine) refused(c *call, reason packet.Reason) {
	if !c.request.Once && len(c.exposed) > 0 {
		e.contest(c, "refused by one instance ("+reason.String()+") and held by another")
		return
	}
	e.end(c, RequestEnded{CallID: c.id, Err: e.failure(c, reason, "")})
}

// fail ends a request on this side and tells the instance.
func (e *Engine) fail(c *call, reason packet.Reason, detail string) {
	if c.number == 0 && c.refusal != packet.ReasonNone {
		detail = "was refused before: " + c.refusal.String()
	}
	e.sendCancel(c)
	e.end(c, RequestEnded{CallID: c.id, Err: e.failure(c, reason, detail)})
}

func (e *Engine) failure(c *call, reason packet.Reason, detail string) error {
	if c.mayHaveRun() {
		return &OutcomeUnknownError{Service: e.service, Reason: reason, Detail: detail}
	}
	return &NotRunError{Service: e.service, Reason: reason, Detail: detail}
}

func (e *Engine) sendCancel(c *call) {
	if c.number == 0 {
		return
	}
	p := packet.Packet{Kind: packet.KindCancel, Request: c.number}
	if c.grant.nonce != 0 {
		p.Token = e.tokenFor(c.grant.held)
	}
	e.send(p)
}

// end forgets a request.
func (e *Engine) end(c *call, ended RequestEnded) {
	for i, other := range e.calls {
		if other == c {
			e.calls = append(e.calls[:i], e.calls[i+1:]...)
			e.bytes -= len(c.request.Body)
			break
		}
	}
	e.do(ended)
}

func (e *Engine) cancel(id uint64) {
	for _, c := range e.calls {
		if c.id == id {
			e.fail(c, packet.ReasonCancelled, "")
			return
		}
	}
}

// close ends the flow.
func (e *Engine) close() {
	for _, c := range append([]*call(nil), e.calls...) {
		e.fail(c, packet.ReasonCancelled, "the flow was closed")
	}
	if e.phase == phaseOpen {
		e.send(packet.Packet{Kind: packet.KindClose})
	}
	for _, f := range e.flows {
		e.do(FlowForgotten{FlowID: f})
	}
	e.flows, e.phase = nil, phaseClosed
}

// afterClose fails requests that come too late.
func (e *Engine) afterClose(event Event) []Action {
	if ev, ok := event.(RequestStarted); ok {
		e.do(RequestEnded{CallID: ev.CallID, Err: &NotRunError{Service: e.service, Reason: packet.ReasonCancelled, Detail: "the flow is closed"}})
	}
	return e.actions
}
