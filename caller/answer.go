package caller

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// onAnswer handles one part of an answer. The first whole answer ends the request,
// also that of a former owner. A part with another nonce than the permit's is ignored;
// instances may leave the nonce out. Over the limit of buffered bytes, only the oldest
// request still takes parts.
func (e *Engine) onAnswer(c *call, p packet.Packet, t flowToken) {
	if c.permit.nonce != 0 && p.Nonce != 0 && p.Nonce != c.permit.nonce {
		e.counters.Foreign++
		return
	}
	if c != e.calls[0] && e.answerBytes()+len(p.Payload) > MaxBufferedBytes {
		return
	}
	key := answerKey{owner: ownerOf(t.parsed), nonce: p.Nonce, attempt: p.Attempt, status: p.Status, count: p.Count}
	a := c.assemblyFor(key, flowToken{e.tokenFor(t), t.parsed})
	added := a.parts.Add(p.Part, p.Payload)
	if added {
		a.unreported++
	}
	c.upload.scheduleOwnerProbe(e.now)
	if !added || a.unreported >= partsPerGot || a.parts.Mask() != 0 || a.parts.Done() {
		e.send(a.gotPacket(c.number))
	}
	if a.parts.Done() {
		e.endAnswered(c, a)
	}
}

// endAnswered ends a request with a whole answer. If the flow's newest owner is
// another one, that owner gets a Cancel.
func (e *Engine) endAnswered(c *call, a *assembly) {
	if e.phase == phaseOpen && c.flowID == e.flowToken.parsed.Flow && a.answerKey.owner != ownerOf(e.flowToken.parsed) {
		e.send(packet.Packet{Kind: packet.KindCancel, Request: c.number})
	}
	e.counters.Answered++
	e.end(c, RequestEnded{CallID: c.id, Answer: Answer{Status: int(a.answerKey.status), Body: a.parts.Body()}})
}

func (e *Engine) answerBytes() int {
	sum := 0
	for _, c := range e.calls {
		sum += c.answerSize()
	}
	return sum
}

// tickAnswers sends a Got for answer parts that were not reported at once.
func (e *Engine) tickAnswers(c *call) {
	for _, a := range c.answers {
		if a.unreported > 0 {
			e.send(a.gotPacket(c.number))
		}
	}
}
