package caller

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// TestAnyNetwork drives one engine against a few minimal instances over a
// network that loses, doubles and reorders packets, while instances die, pause
// and refuse. What must always hold is checked after each run.
func TestAnyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faults{
			Loss:    rapid.IntRange(0, 30).Draw(t, "loss"),
			Double:  rapid.IntRange(0, 20).Draw(t, "double"),
			Delay:   clock.Millis(rapid.IntRange(0, 60).Draw(t, "delay")),
			Refuse:  rapid.IntRange(0, 30).Draw(t, "refuse"),
			Dies:    rapid.IntRange(0, 3).Draw(t, "dies"),
			Pauses:  rapid.IntRange(0, 3).Draw(t, "pauses"),
			Forgets: rapid.IntRange(0, 1).Draw(t, "forgets"),
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), f)
		w.play(12)
		w.check(t)
	})
}

// TestLossyNetworkLosesNothing checks that every request is answered while
// instances stay up.
func TestLossyNetworkLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faults{
			Loss:   rapid.IntRange(0, 20).Draw(t, "loss"),
			Double: rapid.IntRange(0, 20).Draw(t, "double"),
			Delay:  clock.Millis(rapid.IntRange(0, 60).Draw(t, "delay")),
			Spare:  20 * clock.Second,
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), f)
		w.play(12)
		w.check(t)
		for _, r := range w.requests {
			require.NotNil(t, r.ended)
			require.NoError(t, r.ended.Err, "request %d", r.id)
			require.Equal(t, 1, w.runs[r.id], "request %d", r.id)
		}
	})
}

// faults say what goes wrong, shares in percent.
type faults struct {
	Loss, Double, Refuse  int
	LossUp                int          // loss on the way to instances, besides Loss
	Delay                 clock.Millis // packets take up to this time longer
	Spare                 clock.Millis // added to each deadline
	Dies, Pauses, Forgets int          // instances that die, pause, and flows whose token is refused
}

// sentRequest is one request of the run.
type sentRequest struct {
	id    uint64
	once  bool
	size  int
	until clock.Millis
	ended *RequestEnded
}

// worldEnd is when the instances stop repeating, long after the last deadline.
const worldEnd = 40 * clock.Second

// world is the simulated time, the network and the instances.
type world struct {
	random    *rand.Rand
	faults    faults
	now       clock.Millis
	queue     timeline
	sequence  int
	engine    *Engine
	instances []*fakeInstance
	requests  []*sentRequest
	runs      map[uint64]int // ledger of the backend servers
	ran       map[uint64][]*work
	heard     map[*work]bool // a packet about it reached the caller before the request ended
	refused   map[uint64]bool
	lastFlow  uint64
}

func newWorld(seed uint64, f faults) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), faults: f, runs: make(map[uint64]int), ran: make(map[uint64][]*work), heard: make(map[*work]bool), refused: make(map[uint64]bool),
		engine: New(Settings{Service: "orders", Seed: seed}),
	}
	for i := range 3 {
		w.instances = append(w.instances, newFakeInstance(w, uint64('a'+i)))
	}
	return w
}

// play sends count requests and runs until all are over and long after.
func (w *world) play(count int) {
	w.handle(OpenRequested{})
	for i := range count {
		r := &sentRequest{id: uint64(i + 1), once: w.chance(50), size: 8 + w.random.IntN(1<<w.random.IntN(16))}
		w.requests = append(w.requests, r)
		w.at(w.upTo(3000), func() {
			r.until = w.now + 1000 + w.upTo(15000) + w.faults.Spare
			w.handle(RequestStarted{CallID: r.id, Request: Request{
				Body: bodyOf(r), Once: r.once, Deadline: r.until - w.now,
			}})
		})
	}
	for range w.faults.Dies {
		w.at(w.upTo(6000), func() { w.instances[w.random.IntN(3)].die() })
	}
	for range w.faults.Pauses {
		w.at(w.upTo(6000), func() { w.instances[w.random.IntN(3)].pause(100 + w.upTo(4000)) })
	}
	for range w.faults.Forgets {
		w.at(w.upTo(6000), func() { w.refused[w.lastFlow] = true })
	}
	for t := clock.Millis(0); t < worldEnd; t += TickPeriod {
		w.at(t, func() { w.handle(Tick{}) })
	}
	w.run()
}

// run lets the time pass until nothing is left to happen.
func (w *world) run() {
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(moment)
		w.now = e.at
		e.run()
	}
}

func (w *world) check(t require.TestingT) {
	for _, r := range w.requests {
		require.NotNil(t, r.ended, "request %d has no end", r.id)
		runs := w.runs[r.id]
		if r.once {
			require.LessOrEqual(t, runs, 1, "request %d must not be repeated", r.id)
		}
		switch {
		case r.ended.Err == nil:
			require.Equal(t, 200, r.ended.Answer.Status)
			require.True(t, bytes.Equal(answerTo(bodyOf(r)), r.ended.Answer.Body), "answer to request %d", r.id)
		case errors.Is(r.ended.Err, ErrNotRun) && r.once:
			require.Zero(t, runs, "request %d: %v", r.id, r.ended.Err)
		case errors.Is(r.ended.Err, ErrNotRun):
			require.Zero(t, w.heardRuns(r), "request %d: %v", r.id, r.ended.Err)
		}
	}
}

// heardRuns counts the runs of a request by instances of which a packet about it
// reached the caller in time. The others are the limit that the package comment
// names.
func (w *world) heardRuns(r *sentRequest) int {
	heard := 0
	for _, k := range w.ran[r.id] {
		if w.heard[k] {
			heard++
		}
	}
	return heard
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) upTo(span clock.Millis) clock.Millis {
	return clock.Millis(w.random.Int64N(int64(span) + 1))
}

func (w *world) at(t clock.Millis, run func()) {
	w.sequence++
	heap.Push(&w.queue, moment{t, w.sequence, run})
}

// handle passes an event to the engine and carries out the actions.
func (w *world) handle(e Event) {
	for _, a := range append([]Action(nil), w.engine.Handle(w.now, e)...) {
		switch a := a.(type) {
		case SendPacket:
			if !w.chance(w.faults.LossUp) {
				w.carry(a.Packet, w.toInstance)
			}
		case RequestEnded:
			r := w.requests[a.CallID-1]
			if r.ended != nil {
				panic(fmt.Sprintf("request %d ended twice", r.id))
			}
			r.ended = &a
		}
	}
}

// carry delivers a packet after a while: never, once or twice.
func (w *world) carry(p packet.Packet, deliver func(packet.Packet)) {
	copies := 1
	if w.chance(w.faults.Double) {
		copies = 2
	}
	for range copies {
		if !w.chance(w.faults.Loss) {
			w.at(w.now+1+w.upTo(w.faults.Delay), func() { deliver(p) })
		}
	}
}

func (w *world) toCaller(p packet.Packet) { w.handle(PacketReceived{Packet: p}) }

// tell delivers a packet about work to the caller.
func (w *world) tell(k *work, p packet.Packet) {
	if p.Kind != packet.KindRefuse && w.engine.find(k.flow, k.number) != nil {
		w.heard[k] = true
	}
	w.toCaller(p)
}

// toInstance hands a packet to the owner its token names, or to one that adopts
// the flow when the owner is gone or seems to be.
func (w *world) toInstance(p packet.Packet) {
	if p.Kind == packet.KindOpen {
		w.anyInstance().receive(p)
		return
	}
	t, err := token.Peek(p.Token)
	if err != nil {
		panic("packet without token")
	}
	if w.refused[t.Flow] {
		w.carry(packet.Packet{Kind: packet.KindRefuse, Token: p.Token, Request: p.Request, Reason: packet.ReasonToken}, w.toCaller)
		return
	}
	for _, i := range w.instances {
		if i.name == t.Owner && i.incarnation == t.Incarnation && !(i.resume > w.now && w.chance(80)) {
			i.receive(p)
			return
		}
	}
	w.anyInstance().receive(p)
}

func (w *world) anyInstance() *fakeInstance {
	from := w.random.IntN(3)
	for n := range 3 {
		if i := w.instances[(from+n)%3]; i.resume <= w.now {
			return i
		}
	}
	return w.instances[from]
}

// fakeInstance is the least an instance must do for its callers.
type fakeInstance struct {
	world       *world
	name        uint64
	incarnation uint64
	resume      clock.Millis // paused until then
	tokens      map[uint64]token.Token
	works       map[[2]uint64]*work // by flow and request
}

// work is one request at an instance.
type work struct {
	flow, number uint64
	parts        *packet.Assembly
	once         bool
	nonce        uint64
	permitted    bool
	started      bool
	refusal      packet.Reason
	over         bool // answered and reported, or cancelled
	answer       []byte
	sent         packet.Window
}

func newFakeInstance(w *world, name uint64) *fakeInstance {
	return &fakeInstance{world: w, name: name, tokens: make(map[uint64]token.Token), works: make(map[[2]uint64]*work)}
}

// die replaces the instance by a new process that knows nothing.
func (i *fakeInstance) die() {
	*i = fakeInstance{world: i.world, name: i.name, incarnation: i.incarnation + 1, tokens: make(map[uint64]token.Token), works: make(map[[2]uint64]*work)}
}

func (i *fakeInstance) pause(span clock.Millis) { i.resume = i.world.now + span }

// later runs f after a while, unless the process died, and not while it pauses.
func (i *fakeInstance) later(span clock.Millis, f func()) {
	born := i.incarnation
	i.world.at(i.world.now+span, func() {
		switch {
		case i.incarnation != born:
		case i.resume > i.world.now:
			i.later(i.resume-i.world.now, f)
		default:
			f()
		}
	})
}

func (i *fakeInstance) receive(p packet.Packet) { i.later(0, func() { i.take(p) }) }

func (i *fakeInstance) take(p packet.Packet) {
	if p.Kind == packet.KindOpen {
		i.world.lastFlow++
		t := token.Token{Flow: i.world.lastFlow, Owner: i.name, Incarnation: i.incarnation, Issued: i.world.now}
		i.tokens[t.Flow] = t
		i.world.carry(packet.Packet{Kind: packet.KindOpened, Token: testKeys.Seal(t), Nonce: p.Nonce}, i.world.toCaller)
		return
	}
	t, _ := token.Peek(p.Token)
	i.own(t)
	if p.Kind == packet.KindProbe {
		i.world.carry(packet.Packet{Kind: packet.KindEcho, Token: testKeys.Seal(i.tokens[t.Flow])}, i.world.toCaller)
		return
	}
	k := i.works[[2]uint64{t.Flow, p.Request}]
	if k == nil {
		if p.Kind != packet.KindPart {
			return
		}
		k = &work{flow: t.Flow, number: p.Request, parts: packet.NewAssembly(p.Count), once: p.Once}
		i.works[[2]uint64{t.Flow, p.Request}] = k
	}
	i.onRequest(k, p)
}

// own adopts the flow of a token that names another owner, under a later one.
func (i *fakeInstance) own(t token.Token) {
	mine, known := i.tokens[t.Flow]
	if known && (t.Issued <= mine.Issued || t.Owner == i.name && t.Incarnation == i.incarnation) {
		return
	}
	i.tokens[t.Flow] = token.Token{Flow: t.Flow, Owner: i.name, Incarnation: i.incarnation, Issued: max(i.world.now, t.Issued+1)}
}

// replyTo sends a packet about work.
func (i *fakeInstance) replyTo(k *work, p packet.Packet) {
	p.Token, p.Request = testKeys.Seal(i.tokens[k.flow]), k.number
	i.world.carry(p, func(p packet.Packet) { i.world.tell(k, p) })
}

func (i *fakeInstance) onRequest(k *work, p packet.Packet) {
	switch p.Kind {
	case packet.KindPart:
		i.onPart(k, p)
	case packet.KindPermit:
		if p.Nonce == k.nonce && !k.started && !k.over {
			k.permitted = true
			i.run(k)
		}
	case packet.KindCancel:
		k.over = true
	case packet.KindGot:
		if k.answer != nil && k.sent.Update(p.Next, p.Mask) {
			i.sendAnswer(k, k.sent.NextUnsent(16))
		}
		k.over = k.over || p.Next == k.sent.Count && k.answer != nil
	}
}

func (i *fakeInstance) onPart(k *work, p packet.Packet) {
	if k.refusal != 0 {
		i.replyTo(k, packet.Packet{Kind: packet.KindRefuse, Reason: k.refusal})
		return
	}
	whole := k.parts.Done()
	k.parts.Add(p.Part, p.Payload)
	i.replyTo(k, packet.Packet{Kind: packet.KindAck, Next: k.parts.Next, Mask: k.parts.Mask()})
	if whole || !k.parts.Done() {
		return
	}
	i.later(i.world.upTo(500), func() { i.dispatch(k) })
}

// dispatch refuses a whole request or starts it.
func (i *fakeInstance) dispatch(k *work) {
	if k.over {
		return
	}
	if i.world.chance(i.world.faults.Refuse) {
		i.refuse(k)
		return
	}
	if k.once {
		k.nonce = i.world.random.Uint64() | 1
		i.ask(k)
		return
	}
	i.run(k)
}

func (i *fakeInstance) refuse(k *work) {
	reasons := []packet.Reason{packet.ReasonBusy, packet.ReasonStopping, packet.ReasonBackend}
	k.refusal = reasons[i.world.random.IntN(len(reasons))]
	i.replyTo(k, packet.Packet{Kind: packet.KindRefuse, Reason: k.refusal})
}

func (i *fakeInstance) ask(k *work) {
	if k.permitted || k.over || i.world.now > worldEnd {
		return
	}
	i.replyTo(k, packet.Packet{Kind: packet.KindAsk, Nonce: k.nonce})
	i.later(50, func() { i.ask(k) })
}

// run sends the request to a backend server, which may shed it.
func (i *fakeInstance) run(k *work) {
	k.started = true
	if i.world.chance(i.world.faults.Refuse) {
		i.refuse(k)
		return
	}
	body := k.parts.Body()
	id := binary.BigEndian.Uint64(body)
	i.world.runs[id]++
	i.world.ran[id] = append(i.world.ran[id], k)
	i.later(i.world.upTo(1000), func() {
		if k.over {
			return
		}
		k.answer = answerTo(body)
		k.sent = packet.Window{Count: packet.CountParts(len(k.answer))}
		i.sendAnswer(k, k.sent.NextUnsent(16))
		i.later(60, func() { i.repeatAnswer(k) })
	})
}

func (i *fakeInstance) repeatAnswer(k *work) {
	if k.over || i.world.now > worldEnd {
		return
	}
	i.sendAnswer(k, k.sent.Unacknowledged())
	i.later(60, func() { i.repeatAnswer(k) })
}

func (i *fakeInstance) sendAnswer(k *work, parts []uint32) {
	for _, part := range parts {
		i.replyTo(k, packet.Packet{
			Kind: packet.KindAnswer, Part: part, Count: k.sent.Count, Status: 200,
			Nonce: k.nonce, Payload: packet.PartOf(k.answer, part),
		})
	}
}

func bodyOf(r *sentRequest) []byte {
	body := make([]byte, r.size)
	for i := range body {
		body[i] = byte(i * int(r.id))
	}
	binary.BigEndian.PutUint64(body, r.id)
	return body
}

// answerTo returns an answer that depends on every byte of the body.
func answerTo(body []byte) []byte {
	sum := xxhash.Sum64(body)
	answer := make([]byte, 8+sum%20_000)
	for i := range answer {
		answer[i] = byte(sum >> (8 * (i % 8)))
	}
	return answer
}

// moment is something due at a time; equal times keep their order.
type moment struct {
	at       clock.Millis
	sequence int
	run      func()
}

type timeline []moment

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(moment)) }
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
