package caller

import (
	"fmt"

	"github.com/tanagerdock/tanagerdock/packet"
)

// start takes in a new request.
func (e *Engine) start(ev RequestStarted) {
	c := &call{id: ev.CallID, request: ev.Request}
	if c.request.Deadline <= 0 {
		c.request.Deadline = DefaultDeadline
	}
	c.due = e.now + c.request.Deadline
	e.counters.Requests++
	e.calls = append(e.calls, c)
	e.bytes += len(c.request.Body)
	switch {
	case len(c.request.Body) > packet.MaxBody:
		e.fail(c, packet.ReasonSize, fmt.Sprintf("%d bytes, at most %d are allowed", len(c.request.Body), packet.MaxBody))
		return
	case len(e.calls) > MaxRequestsInFlight:
		e.fail(c, packet.ReasonMemory, fmt.Sprintf("%d requests of the flow are in flight", MaxRequestsInFlight))
		return
	case e.bytes > MaxBufferedBytes:
		e.fail(c, packet.ReasonMemory, fmt.Sprintf("requests of %d bytes are in flight", e.bytes))
		return
	}
	e.budget.Earn()
	e.open()
	e.sendOff(c)
}

// sendOff gives a request a number on the open flow and sends its first parts.
func (e *Engine) sendOff(c *call) {
	if e.phase != phaseOpen || c.number != 0 || e.now < c.retryAt {
		return
	}
	e.last++
	c.number, c.flow = e.last, e.held.token.Flow
	c.upload = newUpload(len(c.request.Body), e.now)
	e.pump(c)
}

// pump sends the parts that the window allows.
func (e *Engine) pump(c *call) {
	e.sendParts(c, c.upload.send(e.now, &e.rtt))
}

func (e *Engine) sendParts(c *call, parts []uint32) {
	for _, part := range parts {
		if c.upload.mark(part).again {
			e.counters.Repeats++
		}
		p := c.part(e.now, part)
		if c.grant.nonce != 0 {
			p.Token = e.tokenFor(c.grant.held)
		}
		e.send(p)
	}
	if len(parts) > 0 && c.upload.whole() && c.grant.nonce == 0 {
		c.left = true
		c.expose(ownerOf(e.held.token))
	}
}

// onAck takes in what the owner holds. Only the newest owner counts, or the one
// that got the permit.
func (e *Engine) onAck(c *call, p packet.Packet, h held) {
	if c.grant.nonce != 0 {
		e.heardFromOther(c, h)
		if ownerOf(h.token) == c.grant.owner {
			c.upload.ack(e.now, &e.rtt, p.Next, p.Mask)
		}
		return
	}
	if ownerOf(h.token) != ownerOf(e.held.token) || h.token.Issued < e.tenure {
		return
	}
	if p.Next < c.upload.window.Next && c.upload.stalled(e.now, &e.rtt) {
		c.restart(e.now)
	}
	c.upload.ack(e.now, &e.rtt, p.Next, p.Mask)
	e.pump(c)
}

// tickCall does what is due for one request.
func (e *Engine) tickCall(c *call) {
	switch {
	case e.now >= c.due:
		e.fail(c, packet.ReasonDeadline, "")
	case c.contested != 0 && e.now >= c.contested:
		e.fail(c, packet.ReasonUnknown, c.claim)
	case c.number == 0:
		e.sendOff(c)
	default:
		e.tickUpload(c)
		e.tickAnswers(c)
	}
}

func (e *Engine) tickUpload(c *call) {
	if c.grant.nonce == 0 && e.phase != phaseOpen {
		return
	}
	if e.now >= c.upload.timer {
		e.sendParts(c, c.upload.strike(e.now, &e.rtt))
		return
	}
	if !c.upload.window.Done() {
		c.upload.findHoles(e.now, &e.rtt)
		e.pump(c)
	}
}
