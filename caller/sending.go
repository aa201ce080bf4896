package caller

import (
	"fmt"

	"github.com/tanagerdock/tanagerdock/packet"
)

// start accepts a new request and sends its first parts if the flow is open. Over a
// limit the request fails.
func (e *Engine) start(ev RequestStarted) {
	c := &call{id: ev.CallID, request: ev.Request}
	if c.request.Deadline <= 0 {
		c.request.Deadline = DefaultDeadline
	}
	c.deadline = e.now + c.request.Deadline
	e.counters.Requests++
	e.calls = append(e.calls, c)
	e.bodyBytes += len(c.request.Body)
	switch {
	case len(c.request.Body) > packet.MaxBody:
		e.fail(c, packet.ReasonSize, fmt.Sprintf("body has %d bytes, at most %d are allowed", len(c.request.Body), packet.MaxBody))
		return
	case len(e.calls) > MaxRequestsInFlight:
		e.fail(c, packet.ReasonMemory, fmt.Sprintf("the flow has %d requests in flight, the most allowed", MaxRequestsInFlight))
		return
	case e.bodyBytes > MaxBufferedBytes:
		e.fail(c, packet.ReasonMemory, fmt.Sprintf("request bodies of %d bytes would be in flight, more than allowed", e.bodyBytes))
		return
	}
	e.budget.Earn()
	e.open()
	e.startUpload(c)
}

// startUpload gives a request a number and sends its first parts, unless the flow isn't
// open, it has a number already or it has to wait for a retry.
func (e *Engine) startUpload(c *call) {
	if e.phase != phaseOpen || c.number != 0 || e.now < c.retryAt {
		return
	}
	e.lastNumber++
	c.number, c.flowID = e.lastNumber, e.flowToken.parsed.Flow
	c.upload = newUpload(len(c.request.Body), e.now)
	e.sendNextParts(c)
}

// sendNextParts sends the parts that the congestion window allows.
func (e *Engine) sendNextParts(c *call) {
	e.sendParts(c, c.upload.nextParts(e.now, &e.rtt))
}

func (e *Engine) sendParts(c *call, parts []uint32) {
	for _, part := range parts {
		if c.upload.partState(part).resent {
			e.counters.Repeats++
		}
		p := c.partPacket(e.now, part)
		if c.permit.nonce != 0 {
			p.Token = e.tokenFor(c.permit.flowToken)
		}
		e.send(p)
	}
	if len(parts) > 0 && c.upload.sentWhole() && c.permit.nonce == 0 {
		c.sentWhole = true
		c.addHolder(ownerOf(e.flowToken.parsed))
	}
}

// onAck handles an Ack of the owner that got the permit, or without a permit of the
// newest owner. Acks of others are ignored, as are those from an earlier time in which
// the newest owner owned the flow.
func (e *Engine) onAck(c *call, p packet.Packet, t flowToken) {
	if c.permit.nonce != 0 {
		e.checkPermitOwner(c, t)
		if ownerOf(t.parsed) == c.permit.owner {
			c.upload.applyAck(e.now, &e.rtt, p.Next, p.Mask)
		}
		return
	}
	if ownerOf(t.parsed) != ownerOf(e.flowToken.parsed) || t.parsed.Issued < e.ownedSince {
		return
	}
	if p.Next < c.upload.window.Next && c.upload.stalled(e.now, &e.rtt) {
		c.restartUpload(e.now)
	}
	c.upload.applyAck(e.now, &e.rtt, p.Next, p.Mask)
	e.sendNextParts(c)
}

// tickCall does what is due for one request: end, first sending, resends, reports.
func (e *Engine) tickCall(c *call) {
	switch {
	case e.now >= c.deadline:
		e.fail(c, packet.ReasonDeadline, "")
	case c.graceEnd != 0 && e.now >= c.graceEnd:
		e.fail(c, packet.ReasonUnknown, c.graceDetail)
	case c.number == 0:
		e.startUpload(c)
	default:
		e.tickUpload(c)
		e.tickAnswers(c)
	}
}

func (e *Engine) tickUpload(c *call) {
	if c.permit.nonce == 0 && e.phase != phaseOpen {
		return
	}
	if e.now >= c.upload.timerAt {
		e.sendParts(c, c.upload.onTimer(e.now, &e.rtt))
		return
	}
	if !c.upload.window.Done() {
		c.upload.detectLosses(e.now, &e.rtt)
		e.sendNextParts(c)
	}
}
