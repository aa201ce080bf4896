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

// TestOutcomesOnFaultyNetwork runs one engine against three minimal instances on a
// network that loses, duplicates and reorders packets, while instances restart, stall
// and refuse. Each request must end once; an answer must be whole and right; a request
// reported as not run must not have run, as far as the caller can know; a request that
// must not be repeated runs at most once.
func TestOutcomesOnFaultyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faults{
			Loss:      rapid.IntRange(0, 30).Draw(t, "loss"),
			Duplicate: rapid.IntRange(0, 20).Draw(t, "duplicate"),
			Delay:     clock.Millis(rapid.IntRange(0, 60).Draw(t, "delay")),
			Refuse:    rapid.IntRange(0, 30).Draw(t, "refuse"),
			Restarts:  rapid.IntRange(0, 3).Draw(t, "restarts"),
			Stalls:    rapid.IntRange(0, 3).Draw(t, "stalls"),
			LostFlows: rapid.IntRange(0, 1).Draw(t, "lost flows"),
		}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), f)
		s.play(12)
		s.check(t)
	})
}

// TestEveryRequestAnsweredDespiteLoss checks that every request runs once and is
// answered although packets are lost, duplicated and reordered, while all instances
// stay up.
func TestEveryRequestAnsweredDespiteLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faults{
			Loss:          rapid.IntRange(0, 20).Draw(t, "loss"),
			Duplicate:     rapid.IntRange(0, 20).Draw(t, "duplicate"),
			Delay:         clock.Millis(rapid.IntRange(0, 60).Draw(t, "delay")),
			ExtraDeadline: 20 * clock.Second,
		}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), f)
		s.play(12)
		s.check(t)
		for _, r := range s.requests {
			require.NotNil(t, r.ended)
			require.NoError(t, r.ended.Err, "request %d", r.id)
			require.Equal(t, 1, s.runCounts[r.id], "request %d", r.id)
		}
	})
}

// faults are the faults of one simulation. Shares are in percent.
type faults struct {
	Loss, Duplicate, Refuse     int
	LossToInstances             int          // further loss on the way to instances
	Delay                       clock.Millis // largest extra delay of a packet
	ExtraDeadline               clock.Millis // added to each deadline
	Restarts, Stalls, LostFlows int          // how often each happens; the tokens of a lost flow are refused
}

// sentRequest is one request of the simulation.
type sentRequest struct {
	id       uint64
	once     bool
	size     int
	deadline clock.Millis
	ended    *RequestEnded
}

// simulationEnd is when the instances stop resending, long after the last deadline.
const simulationEnd = 40 * clock.Second

// simulation is a simulated clock, a network and its instances.
type simulation struct {
	random    *rand.Rand
	faults    faults
	now       clock.Millis
	events    eventQueue
	sequence  int
	engine    *Engine
	instances []*fakeInstance
	requests  []*sentRequest
	runCounts map[uint64]int    // how often backend servers ran a request
	jobsRun   map[uint64][]*job // by request
	knownJobs map[*job]bool     // a packet about it reached the caller before the request ended
	lostFlows map[uint64]bool
	lastFlow  uint64
}

func newSimulation(seed uint64, f faults) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), faults: f, runCounts: make(map[uint64]int), jobsRun: make(map[uint64][]*job), knownJobs: make(map[*job]bool), lostFlows: make(map[uint64]bool),
		engine: New(Settings{Service: "orders", Seed: seed}),
	}
	for i := range 3 {
		s.instances = append(s.instances, newFakeInstance(s, uint64('a'+i)))
	}
	return s
}

// play starts count requests and the faults, and runs until long after all requests
// have ended.
func (s *simulation) play(count int) {
	s.handle(OpenRequested{})
	for i := range count {
		r := &sentRequest{id: uint64(i + 1), once: s.chance(50), size: 8 + s.random.IntN(1<<s.random.IntN(16))}
		s.requests = append(s.requests, r)
		s.schedule(s.randomUpTo(3000), func() {
			r.deadline = s.now + 1000 + s.randomUpTo(15000) + s.faults.ExtraDeadline
			s.handle(RequestStarted{CallID: r.id, Request: Request{
				Body: requestBody(r), Once: r.once, Deadline: r.deadline - s.now,
			}})
		})
	}
	for range s.faults.Restarts {
		s.schedule(s.randomUpTo(6000), func() { s.instances[s.random.IntN(3)].restart() })
	}
	for range s.faults.Stalls {
		s.schedule(s.randomUpTo(6000), func() { s.instances[s.random.IntN(3)].stall(100 + s.randomUpTo(4000)) })
	}
	for range s.faults.LostFlows {
		s.schedule(s.randomUpTo(6000), func() { s.lostFlows[s.lastFlow] = true })
	}
	for t := clock.Millis(0); t < simulationEnd; t += TickPeriod {
		s.schedule(t, func() { s.handle(Tick{}) })
	}
	s.run()
}

// run advances the clock until no event is scheduled.
func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(scheduledEvent)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) check(t require.TestingT) {
	for _, r := range s.requests {
		require.NotNil(t, r.ended, "request %d has no end", r.id)
		runs := s.runCounts[r.id]
		if r.once {
			require.LessOrEqual(t, runs, 1, "request %d must not be repeated", r.id)
		}
		switch {
		case r.ended.Err == nil:
			require.Equal(t, 200, r.ended.Answer.Status)
			require.True(t, bytes.Equal(answerFor(requestBody(r)), r.ended.Answer.Body), "answer to request %d", r.id)
		case errors.Is(r.ended.Err, ErrNotRun) && r.once:
			require.Zero(t, runs, "request %d: %v", r.id, r.ended.Err)
		case errors.Is(r.ended.Err, ErrNotRun):
			require.Zero(t, s.knownRuns(r), "request %d: %v", r.id, r.ended.Err)
		}
	}
}

// knownRuns counts the runs of a request by instances from which a packet about it
// reached the caller before the request ended. Of the others the caller can't know:
// that is the limit of ErrNotRun in the package comment.
func (s *simulation) knownRuns(r *sentRequest) int {
	known := 0
	for _, k := range s.jobsRun[r.id] {
		if s.knownJobs[k] {
			known++
		}
	}
	return known
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulation) randomUpTo(limit clock.Millis) clock.Millis {
	return clock.Millis(s.random.Int64N(int64(limit) + 1))
}

func (s *simulation) schedule(t clock.Millis, run func()) {
	s.sequence++
	heap.Push(&s.events, scheduledEvent{t, s.sequence, run})
}

// handle passes an event to the engine and carries out its actions.
func (s *simulation) handle(e Event) {
	for _, a := range append([]Action(nil), s.engine.Handle(s.now, e)...) {
		switch a := a.(type) {
		case SendPacket:
			if !s.chance(s.faults.LossToInstances) {
				s.transmit(a.Packet, s.toInstance)
			}
		case RequestEnded:
			r := s.requests[a.CallID-1]
			if r.ended != nil {
				panic(fmt.Sprintf("request %d ended twice", r.id))
			}
			r.ended = &a
		}
	}
}

// transmit delivers a packet with the delay of the network: once, twice or, if it is
// lost, never.
func (s *simulation) transmit(p packet.Packet, deliver func(packet.Packet)) {
	copies := 1
	if s.chance(s.faults.Duplicate) {
		copies = 2
	}
	for range copies {
		if !s.chance(s.faults.Loss) {
			s.schedule(s.now+1+s.randomUpTo(s.faults.Delay), func() { deliver(p) })
		}
	}
}

func (s *simulation) toCaller(p packet.Packet) { s.handle(PacketReceived{Packet: p}) }

// deliverReply delivers a packet about a job to the caller.
func (s *simulation) deliverReply(k *job, p packet.Packet) {
	if p.Kind != packet.KindRefuse && s.engine.find(k.flow, k.number) != nil {
		s.knownJobs[k] = true
	}
	s.toCaller(p)
}

// toInstance passes a packet to the owner that its token names. If that one has
// restarted, or in four of five cases if it is stalled, any instance gets the packet
// and adopts the flow.
func (s *simulation) toInstance(p packet.Packet) {
	if p.Kind == packet.KindOpen {
		s.anyInstance().receive(p)
		return
	}
	t, err := token.Peek(p.Token)
	if err != nil {
		panic("packet without token")
	}
	if s.lostFlows[t.Flow] {
		s.transmit(packet.Packet{Kind: packet.KindRefuse, Token: p.Token, Request: p.Request, Reason: packet.ReasonToken}, s.toCaller)
		return
	}
	for _, i := range s.instances {
		if i.name == t.Owner && i.incarnation == t.Incarnation && !(i.stalledUntil > s.now && s.chance(80)) {
			i.receive(p)
			return
		}
	}
	s.anyInstance().receive(p)
}

func (s *simulation) anyInstance() *fakeInstance {
	from := s.random.IntN(3)
	for n := range 3 {
		if i := s.instances[(from+n)%3]; i.stalledUntil <= s.now {
			return i
		}
	}
	return s.instances[from]
}

// fakeInstance does the minimum that callers need of an instance.
type fakeInstance struct {
	simulation   *simulation
	name         uint64
	incarnation  uint64
	stalledUntil clock.Millis // handles nothing before this time
	tokens       map[uint64]token.Token
	jobs         map[[2]uint64]*job // by flow and request
}

// job is one request at an instance.
type job struct {
	flow, number uint64
	parts        *packet.Assembly
	once         bool
	nonce        uint64
	permitted    bool
	started      bool
	refusal      packet.Reason
	ended        bool // answered and acknowledged, or cancelled
	answer       []byte
	sent         packet.Window
}

func newFakeInstance(s *simulation, name uint64) *fakeInstance {
	return &fakeInstance{simulation: s, name: name, tokens: make(map[uint64]token.Token), jobs: make(map[[2]uint64]*job)}
}

// restart replaces the instance by a new process without state.
func (i *fakeInstance) restart() {
	*i = fakeInstance{simulation: i.simulation, name: i.name, incarnation: i.incarnation + 1, tokens: make(map[uint64]token.Token), jobs: make(map[[2]uint64]*job)}
}

func (i *fakeInstance) stall(duration clock.Millis) { i.stalledUntil = i.simulation.now + duration }

// after runs f after a delay, or at the end of a stall if the instance is stalled then.
// It does nothing if the process was restarted.
func (i *fakeInstance) after(delay clock.Millis, f func()) {
	incarnation := i.incarnation
	i.simulation.schedule(i.simulation.now+delay, func() {
		switch {
		case i.incarnation != incarnation:
		case i.stalledUntil > i.simulation.now:
			i.after(i.stalledUntil-i.simulation.now, f)
		default:
			f()
		}
	})
}

func (i *fakeInstance) receive(p packet.Packet) { i.after(0, func() { i.handlePacket(p) }) }

func (i *fakeInstance) handlePacket(p packet.Packet) {
	if p.Kind == packet.KindOpen {
		i.simulation.lastFlow++
		t := token.Token{Flow: i.simulation.lastFlow, Owner: i.name, Incarnation: i.incarnation, Issued: i.simulation.now}
		i.tokens[t.Flow] = t
		i.simulation.transmit(packet.Packet{Kind: packet.KindOpened, Token: testKeys.Seal(t), Nonce: p.Nonce}, i.simulation.toCaller)
		return
	}
	t, _ := token.Peek(p.Token)
	i.adoptFlow(t)
	if p.Kind == packet.KindProbe {
		i.simulation.transmit(packet.Packet{Kind: packet.KindEcho, Token: testKeys.Seal(i.tokens[t.Flow])}, i.simulation.toCaller)
		return
	}
	k := i.jobs[[2]uint64{t.Flow, p.Request}]
	if k == nil {
		if p.Kind != packet.KindPart {
			return
		}
		k = &job{flow: t.Flow, number: p.Request, parts: packet.NewAssembly(p.Count), once: p.Once}
		i.jobs[[2]uint64{t.Flow, p.Request}] = k
	}
	i.onRequest(k, p)
}

// adoptFlow makes the instance the owner of t's flow, with a token newer than t, unless
// it has a token for the flow and t names this instance or isn't newer.
func (i *fakeInstance) adoptFlow(t token.Token) {
	newest, known := i.tokens[t.Flow]
	if known && (t.Issued <= newest.Issued || t.Owner == i.name && t.Incarnation == i.incarnation) {
		return
	}
	i.tokens[t.Flow] = token.Token{Flow: t.Flow, Owner: i.name, Incarnation: i.incarnation, Issued: max(i.simulation.now, t.Issued+1)}
}

// replyTo sends a packet about a job to the caller.
func (i *fakeInstance) replyTo(k *job, p packet.Packet) {
	p.Token, p.Request = testKeys.Seal(i.tokens[k.flow]), k.number
	i.simulation.transmit(p, func(p packet.Packet) { i.simulation.deliverReply(k, p) })
}

func (i *fakeInstance) onRequest(k *job, p packet.Packet) {
	switch p.Kind {
	case packet.KindPart:
		i.onPart(k, p)
	case packet.KindPermit:
		if p.Nonce == k.nonce && !k.started && !k.ended {
			k.permitted = true
			i.run(k)
		}
	case packet.KindCancel:
		k.ended = true
	case packet.KindGot:
		if k.answer != nil && k.sent.Update(p.Next, p.Mask) {
			i.sendAnswer(k, k.sent.NextUnsent(16))
		}
		k.ended = k.ended || p.Next == k.sent.Count && k.answer != nil
	}
}

func (i *fakeInstance) onPart(k *job, p packet.Packet) {
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
	i.after(i.simulation.randomUpTo(500), func() { i.dispatch(k) })
}

// dispatch decides on a request whose parts have all arrived: the instance refuses it,
// asks for a permit or runs it.
func (i *fakeInstance) dispatch(k *job) {
	if k.ended {
		return
	}
	if i.simulation.chance(i.simulation.faults.Refuse) {
		i.refuse(k)
		return
	}
	if k.once {
		k.nonce = i.simulation.random.Uint64() | 1
		i.ask(k)
		return
	}
	i.run(k)
}

func (i *fakeInstance) refuse(k *job) {
	reasons := []packet.Reason{packet.ReasonBusy, packet.ReasonStopping, packet.ReasonBackend}
	k.refusal = reasons[i.simulation.random.IntN(len(reasons))]
	i.replyTo(k, packet.Packet{Kind: packet.KindRefuse, Reason: k.refusal})
}

func (i *fakeInstance) ask(k *job) {
	if k.permitted || k.ended || i.simulation.now > simulationEnd {
		return
	}
	i.replyTo(k, packet.Packet{Kind: packet.KindAsk, Nonce: k.nonce})
	i.after(50, func() { i.ask(k) })
}

// run sends the request to a backend server, which may refuse it.
func (i *fakeInstance) run(k *job) {
	k.started = true
	if i.simulation.chance(i.simulation.faults.Refuse) {
		i.refuse(k)
		return
	}
	body := k.parts.Body()
	id := binary.BigEndian.Uint64(body)
	i.simulation.runCounts[id]++
	i.simulation.jobsRun[id] = append(i.simulation.jobsRun[id], k)
	i.after(i.simulation.randomUpTo(1000), func() {
		if k.ended {
			return
		}
		k.answer = answerFor(body)
		k.sent = packet.Window{Count: packet.CountParts(len(k.answer))}
		i.sendAnswer(k, k.sent.NextUnsent(16))
		i.after(60, func() { i.repeatAnswer(k) })
	})
}

func (i *fakeInstance) repeatAnswer(k *job) {
	if k.ended || i.simulation.now > simulationEnd {
		return
	}
	i.sendAnswer(k, k.sent.Unacknowledged())
	i.after(60, func() { i.repeatAnswer(k) })
}

func (i *fakeInstance) sendAnswer(k *job, parts []uint32) {
	for _, part := range parts {
		i.replyTo(k, packet.Packet{
			Kind: packet.KindAnswer, Part: part, Count: k.sent.Count, Status: 200,
			Nonce: k.nonce, Payload: packet.PartOf(k.answer, part),
		})
	}
}

func requestBody(r *sentRequest) []byte {
	body := make([]byte, r.size)
	for i := range body {
		body[i] = byte(i * int(r.id))
	}
	binary.BigEndian.PutUint64(body, r.id)
	return body
}

// answerFor returns an answer that depends on every byte of the body.
func answerFor(body []byte) []byte {
	sum := xxhash.Sum64(body)
	answer := make([]byte, 8+sum%20_000)
	for i := range answer {
		answer[i] = byte(sum >> (8 * (i % 8)))
	}
	return answer
}

// scheduledEvent is run at a time. Events of the same time run in the order in which
// they were scheduled.
type scheduledEvent struct {
	at       clock.Millis
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (t eventQueue) Len() int { return len(t) }
func (t eventQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *eventQueue) Push(x any)   { *t = append(*t, x.(scheduledEvent)) }
func (t *eventQueue) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
