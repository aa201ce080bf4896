package caller

import (
	"math/rand/v2"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// TickPeriod is the time between two Ticks of a busy engine, in milliseconds.
const TickPeriod = 10 * clock.Millisecond

// IdleTickPeriod is the time between two Ticks of an idle engine, in milliseconds.
const IdleTickPeriod = clock.Second

// Limits of one flow.
const (
	// MaxRequestsInFlight is the number of requests of one flow in flight.
	MaxRequestsInFlight = 256
	// MaxBufferedBytes is the size of all requests of one flow in flight, and of all
	// answers being assembled, in bytes each.
	MaxBufferedBytes = 128 << 20
	// maxFlows is the number of flow identities an engine answers to.
	maxFlows = 4
)

// Settings are what an engine is told at its start.
type Settings struct {
	Service  string
	Seed     uint64       // seed of nonces and jitter; must not be guessable
	Budget   *RetryBudget // shared by the engines of a connection
	Counters *Counters    // shared by the engines of a connection
}

// phase tells how far a flow is.
type phase uint8

const (
	phaseNew phase = iota
	phaseOpening
	phaseOpen
	phaseFailed
	phaseClosed
)

// Engine makes every decision about one flow. The same events at the same times
// give the same actions. It is not safe for concurrent use.
type Engine struct {
	service  string
	random   *rand.Rand
	budget   *RetryBudget
	counters *Counters

	now     clock.Millis
	actions []Action

	phase   phase
	opening opening
	held    held         // newest token of the flow
	tenure  clock.Millis // issue time of the first token that named its owner
	flows   []uint64     // identities of the flow, the newest last
	probe   probe
	rtt     rtt

	calls []*call // in flight, in order of arrival
	last  uint64  // newest request number
	bytes int     // size of the requests in flight
}

// New returns an engine whose flow is not open yet.
func New(s Settings) *Engine {
	var seed [32]byte
	for i := range 8 {
		seed[i] = byte(s.Seed >> (8 * i))
	}
	e := &Engine{service: s.Service, random: rand.New(rand.NewChaCha8(seed)), budget: s.Budget, counters: s.Counters}
	if e.budget == nil {
		e.budget = NewRetryBudget()
	}
	if e.counters == nil {
		e.counters = &Counters{}
	}
	return e
}

// Busy reports whether the engine needs a Tick every TickPeriod.
func (e *Engine) Busy() bool {
	return len(e.calls) > 0 || e.phase == phaseOpening
}

// Handle takes in one event and returns what is to be done, in order. The
// returned slice is valid until the next call.
func (e *Engine) Handle(now clock.Millis, event Event) []Action {
	e.now = now
	e.actions = e.actions[:0]
	if e.phase == phaseClosed {
		return e.afterClose(event)
	}
	switch ev := event.(type) {
	case PacketReceived:
		e.receive(ev.Packet)
	case Tick:
		e.tick()
	case OpenRequested:
		e.open()
	case RequestStarted:
		e.start(ev)
	case RequestCancelled:
		e.cancel(ev.CallID)
	case CloseRequested:
		e.close()
	}
	return e.actions
}

func (e *Engine) do(a Action) { e.actions = append(e.actions, a) }

// send sends a packet under the newest token, unless it carries one.
func (e *Engine) send(p packet.Packet) {
	if p.Token == nil && p.Kind != packet.KindOpen {
		p.Token = e.held.sealed
	}
	e.do(SendPacket{Packet: p})
}

func (e *Engine) tick() {
	if e.phase == phaseOpening && e.now >= e.opening.at {
		e.repeatOpen()
	}
	e.tickProbe()
	for _, c := range append([]*call(nil), e.calls...) {
		e.tickCall(c)
	}
}

// receive takes in a packet of an instance.
func (e *Engine) receive(p packet.Packet) {
	if p.Kind == packet.KindOpened {
		e.onOpened(p)
		return
	}
	if p.Kind == packet.KindRefuse && p.Nonce != 0 && p.Nonce == e.opening.nonce && p.Request == 0 {
		e.onOpenRefused(p)
		return
	}
	from, err := token.Peek(p.Token)
	if err != nil {
		e.receiveBare(p)
		return
	}
	if !e.owns(from.Flow) {
		e.counters.Foreign++
		return
	}
	h := held{p.Token, from}
	if !refusesToken(p) {
		e.adopt(h)
	}
	if p.Request == 0 {
		e.onFlowPacket(p, h)
		return
	}
	e.onRequestPacket(p, h)
}

// receiveBare takes in a packet without a readable token: only the refusal of
// a token that the instance could not read either.
func (e *Engine) receiveBare(p packet.Packet) {
	if !refusesToken(p) || e.phase != phaseOpen {
		e.counters.Foreign++
		return
	}
	e.reopen()
}

func refusesToken(p packet.Packet) bool {
	return p.Kind == packet.KindRefuse && p.Reason == packet.ReasonToken
}

// onFlowPacket takes in a packet about the flow as a whole. An Echo has done
// its work by bringing a token.
func (e *Engine) onFlowPacket(p packet.Packet, h held) {
	if refusesToken(p) {
		e.onTokenRefused(h)
	}
}

func (e *Engine) onRequestPacket(p packet.Packet, h held) {
	c := e.find(h.token.Flow, p.Request)
	if c == nil {
		e.onFinished(p, h)
		return
	}
	if p.Kind != packet.KindRefuse {
		c.expose(ownerOf(h.token)) // also an owner that is not the newest
	}
	switch p.Kind {
	case packet.KindAck:
		e.onAck(c, p, h)
	case packet.KindAsk:
		e.onAsk(c, p, h)
	case packet.KindAnswer:
		e.onAnswer(c, p, h)
	case packet.KindRefuse:
		e.onRefuse(c, p, h)
	}
}

// onFinished answers packets about a request that is over, so that the instance
// forgets it too. The packet's own token leads back to the instance.
func (e *Engine) onFinished(p packet.Packet, h held) {
	if p.Request > e.last {
		e.counters.Foreign++
		return
	}
	switch p.Kind {
	case packet.KindAnswer:
		e.send(packet.Packet{
			Kind: packet.KindGot, Token: e.tokenFor(h), Request: p.Request, Next: p.Count,
			Attempt: p.Attempt, Nonce: p.Nonce,
		})
	case packet.KindAsk:
		e.send(packet.Packet{Kind: packet.KindCancel, Token: e.tokenFor(h), Request: p.Request})
	}
}

func (e *Engine) find(flow, number uint64) *call {
	for _, c := range e.calls {
		if c.number == number && c.flow == flow {
			return c
		}
	}
	return nil
}

func (e *Engine) owns(flow uint64) bool {
	for _, f := range e.flows {
		if f == flow {
			return true
		}
	}
	return false
}

// tokenFor returns the token under which a reply reaches the owner named by h:
// the newest one if it names that owner too.
func (e *Engine) tokenFor(h held) []byte {
	if h.token.Flow == e.held.token.Flow && ownerOf(h.token) == ownerOf(e.held.token) {
		return e.held.sealed
	}
	return h.sealed
}

// adopt keeps a token that is newer than the one held.
func (e *Engine) adopt(h held) {
	if e.phase != phaseOpen || h.token.Flow != e.held.token.Flow {
		return
	}
	e.probe.heard(e.now)
	if h.token.Issued <= e.held.token.Issued {
		return
	}
	former := ownerOf(e.held.token)
	e.held = h
	if ownerOf(h.token) == former {
		return
	}
	e.tenure = h.token.Issued
	e.counters.Owners++
	for _, c := range e.calls {
		if c.number != 0 && c.flow == h.token.Flow && c.grant.nonce == 0 {
			c.restart(e.now)
			e.pump(c)
		}
	}
}
