package caller

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// gracePeriod is how long an owner that may have run the request can still answer
// after another one has taken it over or refused it.
const gracePeriod = 2 * clock.Second

// onAsk handles an owner's Ask: the first nonce gets the permit. A repeated Ask for
// that nonce is answered again.
func (e *Engine) onAsk(c *call, p packet.Packet, t flowToken) {
	if p.Nonce == 0 {
		e.counters.Foreign++
		return
	}
	if c.permit.nonce == 0 {
		c.permit = permit{nonce: p.Nonce, owner: ownerOf(t.parsed), flowToken: t, ownerAtGrant: ownerOf(e.flowToken.parsed)}
		c.upload.scheduleOwnerProbe(e.now)
	}
	e.checkPermitOwner(c, t)
	if c.permit.nonce != p.Nonce {
		e.counters.Contested++
		return
	}
	e.send(packet.Packet{Kind: packet.KindPermit, Token: e.tokenFor(t), Request: c.number, Nonce: p.Nonce})
}

// checkPermitOwner handles the token of a packet about a request with a permit. A
// newer token of the permit's owner is kept. A newer token of another owner means
// that this one took the flow over after the permit was granted, and starts the grace
// period. A token of ownerAtGrant is no sign of that: this owner had the flow already
// when an earlier owner got the permit.
func (e *Engine) checkPermitOwner(c *call, t flowToken) {
	if t.parsed.Issued <= c.permit.flowToken.parsed.Issued {
		return
	}
	switch ownerOf(t.parsed) {
	case c.permit.owner:
		c.permit.flowToken = t
	case c.permit.ownerAtGrant:
	default:
		e.startGrace(c, "another instance took over the flow after the permit was granted")
	}
}

// startGrace lets the request wait for an answer until the grace period or its
// deadline is over. It then ends with an error that has graceDetail.
func (e *Engine) startGrace(c *call, graceDetail string) {
	if c.graceEnd == 0 {
		c.graceEnd, c.graceDetail = min(e.now+gracePeriod, c.deadline), graceDetail
	}
}
