package caller

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// gracePeriod is how long an earlier owner may still answer after a later one
// claimed or refused the request, in milliseconds.
const gracePeriod = 2 * clock.Second

// onAsk grants the request's one permit.
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

// checkPermitOwner keeps the newest token of the owner that got the permit, and
// notices when a later owner has taken the request over. An owner that was known
// before the permit was granted says nothing about the one that got it.
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

// startGrace ends the request as unknown after a grace time, for what another owner
// did.
func (e *Engine) startGrace(c *call, graceDetail string) {
	if c.graceEnd == 0 {
		c.graceEnd, c.graceDetail = min(e.now+gracePeriod, c.deadline), graceDetail
	}
}
