package caller

import (
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Repeating of Open, in milliseconds.
const (
	firstOpenRepeat = 100 * clock.Millisecond
	maxOpenRepeat   = 2 * clock.Second
)

// Probing of a flow on which nothing is heard, in milliseconds.
const (
	probePeriod = 15 * clock.Second
	firstProbe  = clock.Second // until an unanswered probe is repeated; doubles
)

// opening is the state of the open handshake.
type opening struct {
	nonce uint64
	tries uint8
	at    clock.Millis // when Open is sent again
}

func (e *Engine) open() {
	if e.phase == phaseOpening || e.phase == phaseOpen {
		return
	}
	e.phase = phaseOpening
	e.opening = opening{nonce: e.random.Uint64() | 1}
	e.repeatOpen()
}

func (e *Engine) repeatOpen() {
	e.send(packet.Packet{Kind: packet.KindOpen, Service: e.service, Nonce: e.opening.nonce})
	e.opening.at = e.now + e.jitter(min(firstOpenRepeat<<min(e.opening.tries, 10), maxOpenRepeat))
	e.opening.tries = min(e.opening.tries+1, 10)
}

// jitter returns a span of 3/4 to 5/4 of the given one.
func (e *Engine) jitter(span clock.Millis) clock.Millis {
	return span*3/4 + clock.Millis(e.random.Int64N(int64(span/2)+1))
}

func (e *Engine) onOpened(p packet.Packet) {
	t, err := token.Peek(p.Token)
	if err != nil || p.Nonce != e.opening.nonce {
		e.counters.Foreign++
		return
	}
	if e.phase == phaseOpen {
		e.onOpenedAgain(held{p.Token, t})
		return
	}
	if e.phase != phaseOpening {
		return
	}
	e.phase = phaseOpen
	e.held, e.tenure = held{p.Token, t}, t.Issued
	e.probe = probe{at: e.now + probePeriod}
	e.flows = append(e.flows, t.Flow)
	e.do(FlowOpened{FlowID: t.Flow})
	if len(e.flows) > maxFlows {
		e.do(FlowForgotten{FlowID: e.flows[0]})
		e.flows = e.flows[1:]
	}
	e.counters.Opens++
	for _, c := range e.calls {
		e.sendOff(c)
	}
}

// onOpenedAgain takes in the answer to a repeated Open: a flow that another
// instance opened is closed.
func (e *Engine) onOpenedAgain(h held) {
	if h.token.Flow == e.held.token.Flow {
		e.adopt(h)
		return
	}
	e.send(packet.Packet{Kind: packet.KindClose, Token: h.sealed})
}

// onOpenRefused gives the flow up, unless the refusal may pass.
func (e *Engine) onOpenRefused(p packet.Packet) {
	if e.phase != phaseOpening || retryable(p.Reason) {
		return
	}
	e.phase = phaseFailed
	e.do(OpenFailed{Err: errors.Wrapf(ErrRefused, "open flow to service %q: %s", e.service, p.Reason)})
	for _, c := range append([]*call(nil), e.calls...) {
		if c.number == 0 {
			e.fail(c, p.Reason, "no flow could be opened")
		}
	}
}

// onTokenRefused opens the flow anew if its newest token was refused.
func (e *Engine) onTokenRefused(h held) {
	if e.phase == phaseOpen && h.token.Flow == e.held.token.Flow && h.token.Issued >= e.held.token.Issued {
		e.reopen()
	}
}

// reopen opens a new flow and moves requests there. One with a permit waits for
// the owner that got it.
func (e *Engine) reopen() {
	e.counters.Reopens++
	e.phase = phaseNew
	for _, c := range append([]*call(nil), e.calls...) {
		e.move(c)
	}
	e.open()
}

func (e *Engine) move(c *call) {
	switch {
	case c.number == 0:
	case c.grant.nonce != 0:
		e.contest(c, "the flow was lost since the permit was granted")
	case c.moved:
		e.fail(c, packet.ReasonToken, "the token was refused again")
	default:
		c.moved = true
		c.detach()
		e.counters.Moves++
	}
}

// probe keeps an idle flow known to its owner and learns of a new one.
type probe struct {
	at    clock.Millis // when Probe is sent
	tries uint8
}

func (p *probe) heard(now clock.Millis) {
	p.at, p.tries = now+probePeriod, 0
}

func (e *Engine) tickProbe() {
	if e.phase != phaseOpen || e.now < e.probe.at {
		return
	}
	e.send(packet.Packet{Kind: packet.KindProbe})
	e.probe.at = e.now + min(firstProbe<<min(e.probe.tries, 10), probePeriod)
	e.probe.tries = min(e.probe.tries+1, 10)
}
