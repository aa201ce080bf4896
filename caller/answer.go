package caller

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// onAnswer takes in one part of an answer. An earlier owner's answer counts
// once it is whole.
func (e *Engine) onAnswer(c *call, p packet.Packet, h held) {
	if c.grant.nonce != 0 && p.Nonce != 0 && p.Nonce != c.grant.nonce {
		e.counters.Foreign++
		return
	}
	if c != e.calls[0] && e.answerBytes()+len(p.Payload) > MaxBufferedBytes {
		return
	}
	s := source{owner: ownerOf(h.token), nonce: p.Nonce, attempt: p.Attempt, status: p.Status, count: p.Count}
	a := c.assemble(s, held{e.tokenFor(h), h.token})
	fresh := a.parts.Add(p.Part, p.Payload)
	if fresh {
		a.fresh++
	}
	c.upload.waitForAnswer(e.now)
	if !fresh || a.fresh >= gotBatch || a.parts.Mask() != 0 || a.parts.Done() {
		e.send(a.got(c.number))
	}
	if a.parts.Done() {
		e.answered(c, a)
	}
}

// answered ends a request with a whole answer, and tells a later owner.
func (e *Engine) answered(c *call, a *assembly) {
	if e.phase == phaseOpen && c.flow == e.held.token.Flow && a.source.owner != ownerOf(e.held.token) {
		e.send(packet.Packet{Kind: packet.KindCancel, Request: c.number})
	}
	e.counters.Answered++
	e.end(c, RequestEnded{CallID: c.id, Answer: Answer{Status: int(a.source.status), Body: a.parts.Body()}})
}

func (e *Engine) answerBytes() int {
	sum := 0
	for _, c := range e.calls {
		sum += c.size()
	}
	return sum
}

// tickAnswers reports answer parts that wait for a batch to fill.
func (e *Engine) tickAnswers(c *call) {
	for _, a := range c.answers {
		if a.fresh > 0 {
			e.send(a.got(c.number))
		}
	}
}
