package caller

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// graceSpan is how long an earlier owner may still answer after a later one
// claimed or refused the request, in milliseconds.
const graceSpan = 2 * clock.Second

// onAsk grants the request's one permit.
func (e *Engine) onAsk(c *call, p packet.Packet, h held) {
	if p.Nonce == 0 {
		e.counters.Foreign++
		return
	}
	if c.grant.nonce == 0 {
		c.grant = grant{nonce: p.Nonce, owner: ownerOf(h.token), held: h, rival: ownerOf(e.held.token)}
		c.upload.waitForAnswer(e.now)
	}
	e.heardFromOther(c, h)
	if c.grant.nonce != p.Nonce {
		e.counters.Contested++
		return
	}
	e.send(packet.Packet{Kind: packet.KindPermit, Token: e.tokenFor(h), Request: c.number, Nonce: p.Nonce})
}

// heardFromOther keeps the newest token of the owner that got the permit, and
// notices when a later owner has taken the request over. An owner that was known
// before the permit was granted says nothing about the one that got it.
func (e *Engine) heardFromOther(c *call, h held) {
	if h.token.Issued <= c.grant.held.token.Issued {
		return
	}
	switch ownerOf(h.token) {
	case c.grant.owner:
		c.grant.held = h
	case c.grant.rival:
	default:
		e.contest(c, "another instance owns the flow since the permit was granted")
	}
}

// contest ends the request as unknown after a grace time, for what another owner
// did.
func (e *Engine) contest(c *call, claim string) {
	if c.contested == 0 {
		c.contested, c.claim = min(e.now+graceSpan, c.due), claim
	}
}
