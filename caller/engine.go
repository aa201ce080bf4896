package caller

import (
	"math/rand/v2"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// TickPeriod is the time between two Ticks of a busy engine.
const TickPeriod = 10 * clock.Millisecond

// IdleTickPeriod is the time between two Ticks of an idle engine.
const IdleTickPeriod = clock.Second

// Limits of one flow.
const (
	// MaxRequestsInFlight is the largest number of requests in flight.
	MaxRequestsInFlight = 256
	// MaxBufferedBytes limits the bodies of all requests in flight, and separately
	// the answer parts collected for them.
	MaxBufferedBytes = 128 << 20
	// maxFlowIDs is the number of flow ids for which an engine accepts
	// packets: that of the flow and those from before it was reopened.
	maxFlowIDs = 4
)

// Settings configure an engine.
type Settings struct {
	Service  string
	Seed     uint64       // seed of nonces and jitter; must not be guessable
	Budget   *RetryBudget // shared by the engines of a connection
	Counters *Counters    // shared by the engines of a connection
}

// phase is the state of a flow.
type phase uint8

const (
	phaseNew phase = iota
	phaseOpening
	phaseOpen
	phaseFailed
	phaseClosed
)

// Engine makes all decisions about one flow. The same seed and the same events at the
// same times give the same actions. It is not safe for concurrent use.
type Engine struct {
	service  string
	random   *rand.Rand
	budget   *RetryBudget
	counters *Counters

	now     clock.Millis
	actions []Action

	phase      phase
	opening    opening
	flowToken  flowToken    // newest token of the flow
	ownedSince clock.Millis // issue time of the first token that named the present owner
	flowIDs    []uint64     // latest ids of the flow, the newest last
	probe      probe
	rtt        rttEstimator

	calls      []*call // requests in flight, the oldest first
	lastNumber uint64  // latest request number that was given out
	bodyBytes  int     // size of the bodies of the requests in flight
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

// Handle processes one event and returns the actions to carry out, in order. The
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

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// send emits a packet with the newest token, unless it has one already.
func (e *Engine) send(p packet.Packet) {
	if p.Token == nil && p.Kind != packet.KindOpen {
		p.Token = e.flowToken.sealed
	}
	e.emit(SendPacket{Packet: p})
}

func (e *Engine) tick() {
	if e.phase == phaseOpening && e.now >= e.opening.repeatAt {
		e.sendOpen()
	}
	e.tickProbe()
	for _, c := range append([]*call(nil), e.calls...) {
		e.tickCall(c)
	}
}

// receive handles a packet from an instance.
func (e *Engine) receive(p packet.Packet) {
	if p.Kind == packet.KindOpened {
		e.onOpened(p)
		return
	}
	if p.Kind == packet.KindRefuse && p.Nonce != 0 && p.Nonce == e.opening.nonce && p.Request == 0 {
		e.onOpenRefused(p)
		return
	}
	parsed, err := token.Peek(p.Token)
	if err != nil {
		e.receiveWithoutToken(p)
		return
	}
	if !e.hasFlow(parsed.Flow) {
		e.counters.Foreign++
		return
	}
	t := flowToken{p.Token, parsed}
	if !refusesToken(p) {
		e.adoptToken(t)
	}
	if p.Request == 0 {
		e.onFlowPacket(p, t)
		return
	}
	e.onRequestPacket(p, t)
}

// receiveWithoutToken handles a packet without a readable token. Only one kind is
// accepted: the refusal of a token that the instance could not read either.
func (e *Engine) receiveWithoutToken(p packet.Packet) {
	if !refusesToken(p) || e.phase != phaseOpen {
		e.counters.Foreign++
		return
	}
	e.reopen()
}

func refusesToken(p packet.Packet) bool {
	return p.Kind == packet.KindRefuse && p.Reason == packet.ReasonToken
}

// onFlowPacket handles a packet about the flow as a whole. An Echo needs no more than
// receive has done, which is to keep its token.
func (e *Engine) onFlowPacket(p packet.Packet, t flowToken) {
	if refusesToken(p) {
		e.onTokenRefused(t)
	}
}

func (e *Engine) onRequestPacket(p packet.Packet, t flowToken) {
	c := e.find(t.parsed.Flow, p.Request)
	if c == nil {
		e.onEndedRequestPacket(p, t)
		return
	}
	if p.Kind != packet.KindRefuse {
		c.addHolder(ownerOf(t.parsed)) // whether or not it is the newest owner
	}
	switch p.Kind {
	case packet.KindAck:
		e.onAck(c, p, t)
	case packet.KindAsk:
		e.onAsk(c, p, t)
	case packet.KindAnswer:
		e.onAnswer(c, p, t)
	case packet.KindRefuse:
		e.onRefuse(c, p, t)
	}
}

// onEndedRequestPacket replies to a packet about a request that has ended, so that the
// instance releases the request: an Answer is acknowledged as whole, an Ask gets a
// Cancel. The packet's token routes the reply to that instance.
func (e *Engine) onEndedRequestPacket(p packet.Packet, t flowToken) {
	if p.Request > e.lastNumber {
		e.counters.Foreign++
		return
	}
	switch p.Kind {
	case packet.KindAnswer:
		e.send(packet.Packet{
			Kind: packet.KindGot, Token: e.tokenFor(t), Request: p.Request, Next: p.Count,
			Attempt: p.Attempt, Nonce: p.Nonce,
		})
	case packet.KindAsk:
		e.send(packet.Packet{Kind: packet.KindCancel, Token: e.tokenFor(t), Request: p.Request})
	}
}

func (e *Engine) find(flowID, number uint64) *call {
	for _, c := range e.calls {
		if c.number == number && c.flowID == flowID {
			return c
		}
	}
	return nil
}

func (e *Engine) hasFlow(flowID uint64) bool {
	for _, id := range e.flowIDs {
		if id == flowID {
			return true
		}
	}
	return false
}

// tokenFor returns the token with which a reply reaches the owner that t names: the
// flow's newest token if it names that owner too, else t itself.
func (e *Engine) tokenFor(t flowToken) []byte {
	if t.parsed.Flow == e.flowToken.parsed.Flow && ownerOf(t.parsed) == ownerOf(e.flowToken.parsed) {
		return e.flowToken.sealed
	}
	return t.sealed
}

// adoptToken keeps t if it is the flow's newest token. If it names a new owner, all
// requests without a permit are sent to that owner from the start. Any token of the
// flow, also an older one, postpones the next Probe.
func (e *Engine) adoptToken(t flowToken) {
	if e.phase != phaseOpen || t.parsed.Flow != e.flowToken.parsed.Flow {
		return
	}
	e.probe.reset(e.now)
	if t.parsed.Issued <= e.flowToken.parsed.Issued {
		return
	}
	previousOwner := ownerOf(e.flowToken.parsed)
	e.flowToken = t
	if ownerOf(t.parsed) == previousOwner {
		return
	}
	e.ownedSince = t.parsed.Issued
	e.counters.Owners++
	for _, c := range e.calls {
		if c.number != 0 && c.flowID == t.parsed.Flow && c.permit.nonce == 0 {
			c.restartUpload(e.now)
			e.sendNextParts(c)
		}
	}
}
