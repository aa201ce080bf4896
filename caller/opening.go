package caller

import (
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Delay until an unanswered Open is sent again. It doubles with each try.
const (
	initialOpenDelay = 100 * clock.Millisecond
	maxOpenDelay     = 2 * clock.Second
)

// Probing of a flow on which no packet arrives.
const (
	probePeriod       = 15 * clock.Second
	initialProbeDelay = clock.Second // until an unanswered Probe is sent again; doubles
)

// opening is the state of the open handshake.
type opening struct {
	nonce    uint64
	tries    uint8
	repeatAt clock.Millis // when Open is sent again
}

func (e *Engine) open() {
	if e.phase == phaseOpening || e.phase == phaseOpen {
		return
	}
	e.phase = phaseOpening
	e.opening = opening{nonce: e.random.Uint64() | 1}
	e.sendOpen()
}

func (e *Engine) sendOpen() {
	e.send(packet.Packet{Kind: packet.KindOpen, Service: e.service, Nonce: e.opening.nonce})
	e.opening.repeatAt = e.now + e.jitter(min(initialOpenDelay<<min(e.opening.tries, 10), maxOpenDelay))
	e.opening.tries = min(e.opening.tries+1, 10)
}

// jitter returns a random delay of 3/4 to 5/4 of the given one.
func (e *Engine) jitter(delay clock.Millis) clock.Millis {
	return delay*3/4 + clock.Millis(e.random.Int64N(int64(delay/2)+1))
}

func (e *Engine) onOpened(p packet.Packet) {
	parsed, err := token.Peek(p.Token)
	if err != nil || p.Nonce != e.opening.nonce {
		e.counters.Foreign++
		return
	}
	if e.phase == phaseOpen {
		e.onRepeatedOpened(flowToken{p.Token, parsed})
		return
	}
	if e.phase != phaseOpening {
		return
	}
	e.phase = phaseOpen
	e.flowToken, e.ownedSince = flowToken{p.Token, parsed}, parsed.Issued
	e.probe = probe{sendAt: e.now + probePeriod}
	e.flowIDs = append(e.flowIDs, parsed.Flow)
	e.emit(FlowOpened{FlowID: parsed.Flow})
	if len(e.flowIDs) > maxFlowIDs {
		e.emit(FlowForgotten{FlowID: e.flowIDs[0]})
		e.flowIDs = e.flowIDs[1:]
	}
	e.counters.Opens++
	for _, c := range e.calls {
		e.startUpload(c)
	}
}

// onRepeatedOpened handles an Opened on an open flow. Open may have reached several
// instances: the flow that another one opened is closed.
func (e *Engine) onRepeatedOpened(t flowToken) {
	if t.parsed.Flow == e.flowToken.parsed.Flow {
		e.adoptToken(t)
		return
	}
	e.send(packet.Packet{Kind: packet.KindClose, Token: t.sealed})
}

// onOpenRefused fails the flow and the requests that wait for it, unless the refusal
// is temporary.
func (e *Engine) onOpenRefused(p packet.Packet) {
	if e.phase != phaseOpening || retryable(p.Reason) {
		return
	}
	e.phase = phaseFailed
	e.emit(OpenFailed{Err: errors.Wrapf(ErrRefused, "open flow to service %q: %s", e.service, p.Reason)})
	for _, c := range append([]*call(nil), e.calls...) {
		if c.number == 0 {
			e.fail(c, p.Reason, "no flow could be opened")
		}
	}
}

// onTokenRefused reopens the flow if its newest token was refused.
func (e *Engine) onTokenRefused(t flowToken) {
	if e.phase == phaseOpen && t.parsed.Flow == e.flowToken.parsed.Flow && t.parsed.Issued >= e.flowToken.parsed.Issued {
		e.reopen()
	}
}

// reopen opens a new flow and moves requests to it. A request with a permit stays and
// waits for the owner that got it.
func (e *Engine) reopen() {
	e.counters.Reopens++
	e.phase = phaseNew
	for _, c := range append([]*call(nil), e.calls...) {
		e.moveToNewFlow(c)
	}
	e.open()
}

func (e *Engine) moveToNewFlow(c *call) {
	switch {
	case c.number == 0:
	case c.permit.nonce != 0:
		e.startGrace(c, "the flow was lost after the permit was granted")
	case c.moved:
		e.fail(c, packet.ReasonToken, "the token was refused again")
	default:
		c.moved = true
		c.detach()
		e.counters.Moves++
	}
}

// probe schedules the Probes of an idle flow: they keep the flow known to its owner,
// and the Echo tells of a new owner.
type probe struct {
	sendAt clock.Millis // when Probe is sent
	tries  uint8
}

func (p *probe) reset(now clock.Millis) {
	p.sendAt, p.tries = now+probePeriod, 0
}

func (e *Engine) tickProbe() {
	if e.phase != phaseOpen || e.now < e.probe.sendAt {
		return
	}
	e.send(packet.Packet{Kind: packet.KindProbe})
	e.probe.sendAt = e.now + min(initialProbeDelay<<min(e.probe.tries, 10), probePeriod)
	e.probe.tries = min(e.probe.tries+1, 10)
}
