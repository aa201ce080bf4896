package caller

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Delay before a refused request is sent again. It doubles with each retry.
const (
	initialRetryDelay = 20 * clock.Millisecond
	maxRetryDelay     = clock.Second
)

// retryable reports whether a refusal is temporary.
func retryable(r packet.Reason) bool {
	return r == packet.ReasonBusy || r == packet.ReasonStopping
}

// onRefuse handles the refusal of a request, or of the token it was sent with.
func (e *Engine) onRefuse(c *call, p packet.Packet, t flowToken) {
	if refusesToken(p) {
		e.onTokenRefused(t)
		return
	}
	sender := ownerOf(t.parsed)
	if c.permit.nonce != 0 && sender != c.permit.owner {
		e.checkPermitOwner(c, t)
		return
	}
	if p.Reason != packet.ReasonUnknown {
		c.removeHolder(sender)
	}
	if c.permit.nonce == 0 && (sender != ownerOf(e.flowToken.parsed) || t.parsed.Issued < e.ownedSince) {
		return // a former owner: the request is now at the newest one
	}
	if p.Reason == packet.ReasonUnknown {
		if !c.request.Once && e.retry(c, p.Reason) {
			return
		}
		e.end(c, RequestEnded{CallID: c.id, Err: &OutcomeUnknownError{Service: e.service, Reason: p.Reason}})
		return
	}
	c.permit = permit{} // the owner that got the permit did not use it
	if len(c.answers) == 0 && retryable(p.Reason) && e.retry(c, p.Reason) {
		return
	}
	e.endRefused(c, p.Reason)
}

// retry schedules a refused request to be sent again, and reports false if the
// deadline or the retry budget doesn't allow it.
func (e *Engine) retry(c *call, reason packet.Reason) bool {
	delay := e.jitter(min(initialRetryDelay<<min(c.retries, 10), maxRetryDelay))
	if e.now+delay >= c.deadline {
		return false
	}
	if !e.budget.Spend() {
		e.counters.Exhausted++
		return false
	}
	e.counters.Retries++
	c.detach()
	c.retries++
	c.retryAt, c.refusal = e.now+delay, reason
	if c.attempt < maxAttempt {
		c.attempt++
	}
	return true
}

// endRefused ends a request that its owner refused. If another owner may have run it
// and it may be repeated, the request waits for an answer for the grace period first.
func (e *Engine) endRefused(c *call, reason packet.Reason) {
	if !c.request.Once && len(c.holders) > 0 {
		e.startGrace(c, "refused by one instance ("+reason.String()+"), no answer from another")
		return
	}
	e.end(c, RequestEnded{CallID: c.id, Err: e.newError(c, reason, "")})
}

// fail ends a request with an error and sends a Cancel to the instance.
func (e *Engine) fail(c *call, reason packet.Reason, detail string) {
	if c.number == 0 && c.refusal != packet.ReasonNone {
		detail = "an earlier attempt was refused: " + c.refusal.String()
	}
	e.sendCancel(c)
	e.end(c, RequestEnded{CallID: c.id, Err: e.newError(c, reason, detail)})
}

func (e *Engine) newError(c *call, reason packet.Reason, detail string) error {
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
	if c.permit.nonce != 0 {
		p.Token = e.tokenFor(c.permit.flowToken)
	}
	e.send(p)
}

// end removes a request and emits how it ended.
func (e *Engine) end(c *call, ended RequestEnded) {
	for i, other := range e.calls {
		if other == c {
			e.calls = append(e.calls[:i], e.calls[i+1:]...)
			e.bodyBytes -= len(c.request.Body)
			break
		}
	}
	e.emit(ended)
}

func (e *Engine) cancel(id uint64) {
	for _, c := range e.calls {
		if c.id == id {
			e.fail(c, packet.ReasonCancelled, "")
			return
		}
	}
}

// close fails all requests and closes the flow.
func (e *Engine) close() {
	for _, c := range append([]*call(nil), e.calls...) {
		e.fail(c, packet.ReasonCancelled, "the flow was closed")
	}
	if e.phase == phaseOpen {
		e.send(packet.Packet{Kind: packet.KindClose})
	}
	for _, f := range e.flowIDs {
		e.emit(FlowForgotten{FlowID: f})
	}
	e.flowIDs, e.phase = nil, phaseClosed
}

// afterClose fails requests that are started on a closed flow.
func (e *Engine) afterClose(event Event) []Action {
	if ev, ok := event.(RequestStarted); ok {
		e.emit(RequestEnded{CallID: ev.CallID, Err: &NotRunError{Service: e.service, Reason: packet.ReasonCancelled, Detail: "the flow is closed"}})
	}
	return e.actions
}
