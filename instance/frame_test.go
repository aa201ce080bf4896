package instance_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// frame joins instance engines, caller engines and fakes of the fabric, the
// platform and backend servers on one fake clock. Nothing sleeps: time is what
// the next delivery says.
type frame struct {
	t        *testing.T
	now      clock.Millis
	random   *rand.Rand
	queue    deliveries
	order    uint64
	carry    float64 // part of a ms not yet waited between two requests
	nodes    []*node
	callers  []*fakeCaller
	backends map[string]*fakeBackend
	store    *fakeStore
	keys     *token.Keys
	trace    string // logs notes and the packets of this caller when not empty

	// fault decides about one datagram; nil delivers everything.
	fault func(from, to string) fate
	// links maps "a>b" to true when datagrams and calls from a to b are cut.
	links map[string]bool
	// reached is told when a request of a caller comes to a point at an instance.
	reached func(p point, c *fakeCaller, d *node, endpoint string)
	asker   map[string]*fakeCaller // by request body
}

// point is where a request stands.
type point string

const (
	pointOpen       point = "open"       // the caller asks for a flow
	pointPart       point = "part"       // some parts arrived at the owner
	pointWhole      point = "whole"      // the owner holds the whole request
	pointAsk        point = "ask"        // the owner asks for the permit
	pointDispatched point = "dispatched" // it left for the backend server
	pointRunning    point = "running"    // the backend server started it
	pointAnswer     point = "answer"     // the first part of the answer was sent
	pointLast       point = "last"       // the last part of the answer was sent
)

func (f *frame) reach(p point, c *fakeCaller, d *node, endpoint string) {
	if f.reached != nil && c != nil {
		f.reached(p, c, d, endpoint)
	}
}

// fate is what the network does to one datagram.
type fate struct {
	drop  bool
	twice bool
	delay clock.Millis
}

type delivery struct {
	at    clock.Millis
	order uint64
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

const (
	frameStart = 1_000_000 * clock.Second
	frameHop   = clock.Millisecond // one way between any two
)

func newFrame(t *testing.T, seed uint64) *frame {
	keys, err := token.NewKeys(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	require.NoError(t, err)
	f := &frame{
		t: t, now: frameStart, random: rand.New(rand.NewPCG(seed, 1)), keys: keys,
		backends: make(map[string]*fakeBackend), store: &fakeStore{}, links: make(map[string]bool),
		asker: make(map[string]*fakeCaller),
	}
	f.store.clock = func() clock.Millis { return f.now }
	return f
}

func (f *frame) at(when clock.Millis, run func()) {
	f.order++
	heap.Push(&f.queue, delivery{at: when, order: f.order, run: run})
}

func (f *frame) logf(format string, args ...any) {
	if f.trace != "" {
		f.t.Logf("%d "+format, append([]any{f.now - frameStart}, args...)...)
	}
}

func (f *frame) logPacket(c *fakeCaller, from, to string, p packet.Packet) {
	if c.name == f.trace {
		f.logf("%s > %s %s request=%d part=%d/%d next=%d %s", from, to, p.Kind, p.Request, p.Part, p.Count, p.Next, p.Reason)
	}
}

func (f *frame) after(span clock.Millis, run func()) { f.at(f.now+span, run) }

// run lets time pass.
func (f *frame) run(span clock.Millis) {
	f.until(span, func() bool { return false })
}

// until lets time pass until done, for at most span, and reports done.
func (f *frame) until(span clock.Millis, done func() bool) bool {
	end := f.now + span
	for len(f.queue) > 0 && f.queue[0].at <= end {
		if done() {
			return true
		}
		d := heap.Pop(&f.queue).(delivery)
		f.now = d.at
		d.run()
	}
	f.now = end
	return done()
}

// datagram carries one datagram, subject to faults.
func (f *frame) datagram(from, to string, run func()) {
	if f.links[from+">"+to] {
		return
	}
	var fate fate
	if f.fault != nil {
		fate = f.fault(from, to)
	}
	if fate.drop {
		return
	}
	f.after(frameHop+fate.delay, run)
	if fate.twice {
		f.after(2*frameHop+fate.delay, run)
	}
}

// cut cuts or mends both directions between two parties.
func (f *frame) cut(a, b string, on bool) {
	f.links[a+">"+b], f.links[b+">"+a] = on, on
}

// node is one instance process.
type node struct {
	f       *frame
	self    record.Instance
	engine  *instance.Engine
	dead    bool
	paused  bool
	held    []instance.Event // while paused
	stopped bool
	seen    uint64       // newest store revision delivered
	lag     clock.Millis // of news from the platform
	runs    map[uint64]*fakeRun
	notes   []instance.LogDecision
	status  record.Status
	drops   []string // instances whose status it removed
	bytes   int      // sent to other instances
	calls   uint64
}

// addNode starts an instance process; the same name again is a restart.
func (f *frame) addNode(name, centre string) *node { return f.addSized(name, centre, 1) }

// addSized starts an instance process that takes a share of work by its size.
func (f *frame) addSized(name, centre string, size float64) *node {
	n := len(f.nodes) + 1
	self := record.Instance{
		Name: name, Centre: centre, Size: size, State: record.StateActive, Schema: record.Schema2, Incarnation: f.now,
		PacketAddress: fmt.Sprintf("127.1.0.%d:1000", n), PeerAddress: fmt.Sprintf("127.1.0.%d:2000", n), ControlAddress: fmt.Sprintf("127.1.0.%d:3000", n),
	}
	d := &node{f: f, self: self, runs: make(map[uint64]*fakeRun)}
	d.engine = instance.New(instance.Settings{Self: self, Keys: f.keys, RandomSeed: uint64(n) + f.random.Uint64()}, f.now)
	f.nodes = append(f.nodes, d)
	f.after(instance.TickPeriod, d.tick)
	f.after(1, d.poll)
	return d
}

func (f *frame) node(name string) *node {
	for i := len(f.nodes) - 1; i >= 0; i-- {
		if f.nodes[i].self.Name == name {
			return f.nodes[i]
		}
	}
	f.t.Fatalf("no instance %q", name)
	return nil
}

func (d *node) tick() {
	if d.dead || d.stopped {
		return
	}
	if !d.paused {
		d.handle(instance.Tick{})
	}
	d.f.after(instance.TickPeriod, d.tick)
}

// poll is the daemon's side of the platform: list, watch and instance list.
func (d *node) poll() {
	if d.dead || d.stopped {
		return
	}
	d.f.after(200*clock.Millisecond, d.poll)
	s := d.f.store
	newest := s.newest(d.f.now - d.lag)
	reachable := !s.down && !d.f.links[d.self.Name+">platform"]
	if !d.paused {
		d.handle(instance.PlatformCalled{Answered: reachable && !s.unanswered})
	}
	if !reachable || d.paused {
		return
	}
	if d.seen < newest || d.seen == 0 {
		d.handle(instance.ObjectsReceived{Objects: s.since(d.seen, newest), Revision: newest, FullList: d.seen == 0, Source: instance.SourcePlatform})
		d.seen = max(newest, 1)
	}
	d.handle(instance.InstancesListed{Instances: s.instances(d.f.now)})
}

// kill ends the process; everything it had under way is cut off.
func (d *node) kill() {
	d.dead = true
	for _, run := range slices.Sorted(maps.Keys(d.runs)) {
		d.runs[run].cancel()
	}
}

func (d *node) pause() { d.paused = true }

func (d *node) resume() {
	d.paused = false
	held := d.held
	d.held = nil
	for _, ev := range held {
		d.handle(ev)
	}
}

func (d *node) handle(ev instance.Event) {
	switch {
	case d.dead || d.stopped:
		return
	case d.paused:
		d.held = append(d.held, ev)
		return
	}
	if ev, ok := ev.(instance.PacketReceived); ok {
		d.observe(ev.From, ev.Packet)
	}
	if ev, ok := ev.(instance.EnvelopeReceived); ok && ev.Packet != nil {
		d.observe(ev.Envelope.Caller, *ev.Packet)
	}
	actions := d.engine.Handle(d.f.now, ev)
	for _, a := range append([]instance.Action(nil), actions...) {
		d.carryOut(a)
	}
}

func (d *node) carryOut(a instance.Action) {
	switch a := a.(type) {
	case instance.SendPacket:
		d.sendPacket(a)
	case instance.SendEnvelope:
		d.sendEnvelope(a)
	case instance.RunRequest:
		d.f.backendRun(d, a)
	case instance.HandOver:
		d.handOver(a)
	case instance.CancelRun:
		if r := d.runs[a.RunID]; r != nil {
			r.cancel()
		}
	case instance.AnswerHandOver:
		d.answerPeer(a)
	case instance.ProbeEndpoint:
		d.f.backendProbe(d, a)
	case instance.FetchObjects:
		d.fetch(a)
	case instance.WriteStatus:
		d.status = a.Status
	case instance.DeleteStatus:
		d.drops = append(d.drops, a.Instance)
	case instance.RenewLease:
		if !d.f.store.down && !d.f.links[d.self.Name+">platform"] {
			d.f.store.announce(a.Instance, d.f.now)
		}
	case instance.LogDecision:
		d.notes = append(d.notes, a)
		d.f.logf("%s %+v", d.self.Name, a)
	case instance.Stopped:
		d.stopped = true
	}
}

// observe notices what a packet to or from a caller tells about its request.
func (d *node) observe(address netip.AddrPort, p packet.Packet) {
	t, err := token.Peek(p.Token)
	if err != nil || t.Owner != token.Hash(d.self.Name) || p.Request == 0 {
		return
	}
	for _, c := range d.f.callers {
		if c.address != address {
			continue
		}
		c.owner = d
		switch {
		case p.Kind == packet.KindPart && p.Part > 0:
			d.f.reach(pointPart, c, d, "")
		case p.Kind == packet.KindAck && p.Next == p.Count:
			d.f.reach(pointWhole, c, d, "")
		case p.Kind == packet.KindAsk:
			d.f.reach(pointAsk, c, d, "")
		case p.Kind == packet.KindAnswer && p.Part+1 == p.Count:
			d.f.reach(pointLast, c, d, "")
		case p.Kind == packet.KindAnswer:
			d.f.reach(pointAnswer, c, d, "")
		}
	}
}

func (d *node) sendPacket(a instance.SendPacket) {
	d.observe(a.To, a.Packet)
	for _, c := range d.f.callers {
		if c.address == a.To {
			d.f.logPacket(c, d.self.Name, c.name, a.Packet)
			d.f.datagram(d.self.Name, c.name, func() { c.handle(caller.PacketReceived{Packet: a.Packet}) })
		}
	}
}

func (d *node) sendEnvelope(a instance.SendEnvelope) {
	data, err := packet.EncodeEnvelope(a.Envelope)
	require.NoError(d.f.t, err)
	d.bytes += len(data)
	to := d.f.byAddress(a.To.String())
	if to == nil {
		return
	}
	d.f.datagram(d.self.Name, to.self.Name, func() {
		e, err := packet.DecodeEnvelope(data)
		require.NoError(d.f.t, err)
		ev := instance.EnvelopeReceived{Envelope: e}
		if len(e.Data) > 0 {
			p, err := packet.Decode(e.Data)
			require.NoError(d.f.t, err)
			ev.Packet = &p
		}
		to.handle(ev)
	})
}

// byAddress finds the process behind a peers or control address.
func (f *frame) byAddress(address string) *node {
	for _, d := range f.nodes {
		if d.self.PeerAddress == address || d.self.ControlAddress == address {
			return d
		}
	}
	return nil
}

// fakeRun is a run or hand-over under way, seen from the instance that waits.
type fakeRun struct {
	cancelled bool
	abort     func()
}

func (r *fakeRun) cancel() {
	if !r.cancelled {
		r.cancelled = true
		r.abort()
	}
}

// handOver carries a twirp call to another instance.
func (d *node) handOver(a instance.HandOver) {
	to := d.f.byAddress(a.ControlAddress)
	d.f.logf("%s hands %d to %s %.12q", d.self.Name, a.RunID, a.Peer, a.Work.Body)
	end := func(r instance.Result) {
		d.f.logf("%s has %d back: %d %s", d.self.Name, a.RunID, r.Outcome, r.Reason)
		if d.runs[a.RunID] != nil {
			delete(d.runs, a.RunID)
			d.handle(instance.HandOverEnded{RunID: a.RunID, Result: r})
		}
	}
	call := uint64(0)
	d.runs[a.RunID] = &fakeRun{abort: func() {
		d.f.after(frameHop, func() {
			end(instance.Result{Outcome: instance.OutcomeUnknown, Silent: true})
			if call != 0 && !d.f.links[d.self.Name+">"+to.self.Name] {
				to.handle(instance.HandOverCancelled{CallID: call})
			}
		})
	}}
	if to == nil || to.dead || to.stopped || d.f.links[d.self.Name+">"+to.self.Name] {
		d.f.after(frameHop, func() { end(instance.Result{Outcome: instance.OutcomeNotRun, Detail: "dial"}) })
		return
	}
	d.f.after(frameHop, func() {
		if to.dead {
			end(instance.Result{Outcome: instance.OutcomeUnknown, Detail: "reset"})
			return
		}
		to.calls++
		call = uint64(len(d.f.nodes))<<32 | to.calls
		to.pending(call, func(r instance.Result) {
			r.Connected = true
			if !d.f.links[to.self.Name+">"+d.self.Name] {
				d.f.after(frameHop, func() { end(r) })
			}
		})
		to.handle(instance.HandOverReceived{CallID: call, Peer: d.self.Name, Work: a.Work})
	})
}

// pending keeps the way back of a call of another instance.
func (d *node) pending(call uint64, answer func(instance.Result)) {
	d.runs[call] = &fakeRun{abort: func() {
		d.f.after(frameHop, func() { answer(instance.Result{Outcome: instance.OutcomeUnknown, Detail: "reset"}) })
	}}
	d.f.store.answers(d, call, answer)
}

func (d *node) answerPeer(a instance.AnswerHandOver) {
	delete(d.runs, a.CallID)
	if answer := d.f.store.takeAnswer(d, a.CallID); answer != nil {
		answer(a.Result)
	}
}

func (d *node) fetch(a instance.FetchObjects) {
	to := d.f.byAddress(a.ControlAddress)
	if to == nil || to.dead || to.stopped || to.paused || d.f.links[d.self.Name+">"+to.self.Name] {
		return
	}
	d.f.after(2*frameHop, func() {
		objects, revision := to.engine.Objects()
		d.handle(instance.ObjectsReceived{Objects: objects, Revision: revision, Source: a.Peer})
	})
}

// fakeStore is the platform: records with revisions, and the instance list.
type fakeStore struct {
	down       bool
	unanswered bool // writes take effect, but their answers are lost
	revision   uint64
	objects    []record.Object
	times      []clock.Millis // when each of objects was written
	clock      func() clock.Millis
	list       []record.Instance
	frozen     []record.Instance // what a stale list shows, when not nil
	ways       map[string]func(instance.Result)
}

func (s *fakeStore) put(o record.Object) uint64 {
	s.revision++
	o.Revision = s.revision
	s.objects = append(s.objects, o)
	s.times = append(s.times, s.clock())
	return s.revision
}

// newest returns the last revision written by a point in time.
func (s *fakeStore) newest(by clock.Millis) uint64 {
	revision := uint64(0)
	for i, at := range s.times {
		if at <= by {
			revision = s.objects[i].Revision
		}
	}
	return revision
}

func (s *fakeStore) since(revision, upTo uint64) []record.Object {
	newest := make(map[record.Key]record.Object)
	var order []record.Key
	for _, o := range s.objects {
		if o.Revision > upTo {
			break
		}
		if _, ok := newest[o.Key()]; !ok {
			order = append(order, o.Key())
		}
		newest[o.Key()] = o
	}
	var found []record.Object
	for _, k := range order {
		if o := newest[k]; o.Revision > revision && (revision > 0 || !o.Deleted) {
			found = append(found, o)
		}
	}
	return found
}

func (s *fakeStore) announce(i record.Instance, _ clock.Millis) {
	for n, known := range s.list {
		if known.Name == i.Name {
			s.list[n] = i
			return
		}
	}
	s.list = append(s.list, i)
}

func (s *fakeStore) instances(clock.Millis) []record.Instance {
	if s.frozen != nil {
		return s.frozen
	}
	return append([]record.Instance(nil), s.list...)
}

func (s *fakeStore) answers(d *node, call uint64, answer func(instance.Result)) {
	if s.ways == nil {
		s.ways = make(map[string]func(instance.Result))
	}
	s.ways[fmt.Sprint(d.self.Name, d.self.Incarnation, call)] = answer
}

func (s *fakeStore) takeAnswer(d *node, call uint64) func(instance.Result) {
	key := fmt.Sprint(d.self.Name, d.self.Incarnation, call)
	answer := s.ways[key]
	delete(s.ways, key)
	return answer
}

func (f *frame) putJSON(kind record.Kind, name string, schema int, v any) uint64 {
	body, err := json.Marshal(v)
	require.NoError(f.t, err)
	return f.store.put(record.Object{Kind: kind, Name: name, Schema: schema, Body: body})
}

// fakeBackend is one endpoint of a backend server.
type fakeBackend struct {
	address  string
	host     string
	slots    int
	work     clock.Millis
	cost     func(body string) clock.Millis // run time by request body; nil means work
	busy     int
	peak     int            // most runs at once
	runs     map[string]int // by request body
	started  clock.Millis   // when it last started a run
	open     []*backendRun  // runs under way
	draining bool
	shed     bool
	dead     bool
	silent   bool
	failing  bool            // answers nothing and drops the connection, whatever its health says
	unwell   bool            // its health endpoint says so
	lost     map[string]bool // by instance: its open connections are silent until they are replaced
}

func (f *frame) addBackend(name, service, centre, address string, slots int, work clock.Millis) *fakeBackend {
	b := &fakeBackend{address: address, host: service, slots: slots, work: work, runs: make(map[string]int), lost: make(map[string]bool)}
	f.backends[address] = b
	f.putJSON(record.KindBackend, name, record.Schema2, record.Backend{Service: service, Centre: centre, Endpoints: []record.Endpoint{{Address: address, Slots: slots}}})
	return b
}

// kill ends the backend server's process: its connections are reset.
func (b *fakeBackend) kill() {
	b.dead = true
	for _, r := range slices.Clone(b.open) {
		r.free()
		r.end(instance.Result{Outcome: instance.OutcomeUnknown, Connected: true, Detail: "reset"})
	}
}

// span returns how long a request runs.
func (b *fakeBackend) span(body string) clock.Millis {
	if b.cost != nil {
		return b.cost(body)
	}
	return b.work
}

// backendRun is one HTTP request at a fake backend server.
type backendRun struct {
	f    *frame
	d    *node
	b    *fakeBackend
	a    instance.RunRequest
	over bool
}

// end brings the result to the instance, unless the way is silent.
func (r *backendRun) end(result instance.Result) {
	if !r.b.silent && !r.b.lost[r.d.self.Name] && !r.f.links[r.a.Endpoint+">"+r.d.self.Name] {
		r.f.after(frameHop, func() { r.report(result) })
	}
}

func (r *backendRun) report(result instance.Result) {
	r.f.logf("%s ended %d at %s: %d silent=%v", r.d.self.Name, r.a.RunID, r.a.Endpoint, result.Outcome, result.Silent)
	if r.d.runs[r.a.RunID] != nil {
		delete(r.d.runs, r.a.RunID)
		r.d.handle(instance.RunEnded{RunID: r.a.RunID, Result: result})
	}
}

// free gives back the slot.
func (r *backendRun) free() {
	if i := slices.Index(r.b.open, r); i >= 0 {
		r.b.open = slices.Delete(r.b.open, i, i+1)
		r.b.busy--
	}
	r.over = true
}

// abort closes the connection; the next one is new.
func (r *backendRun) abort() {
	r.free()
	delete(r.b.lost, r.d.self.Name)
	r.f.after(frameHop, func() {
		r.report(instance.Result{Outcome: instance.OutcomeUnknown, Silent: true, Connected: true})
	})
}

// backendRun carries one HTTP request to a fake backend server.
func (f *frame) backendRun(d *node, a instance.RunRequest) {
	f.logf("%s runs %d at %s %.12q", d.self.Name, a.RunID, a.Endpoint, a.Work.Body)
	f.reach(pointDispatched, f.asker[string(a.Work.Body)], d, a.Endpoint)
	b := f.backends[a.Endpoint]
	r := &backendRun{f: f, d: d, b: b, a: a}
	d.runs[a.RunID] = &fakeRun{abort: r.abort}
	if b.dead || f.links[d.self.Name+">"+a.Endpoint] {
		f.after(frameHop, func() { r.report(instance.Result{Outcome: instance.OutcomeNotRun, Detail: "dial"}) })
		return
	}
	f.after(frameHop, r.arrive)
}

// arrive is the backend server's side of a request.
func (r *backendRun) arrive() {
	b := r.b
	switch {
	case b.dead:
		r.end(instance.Result{Outcome: instance.OutcomeUnknown, Connected: true, Detail: "reset"})
		return
	case b.silent || b.lost[r.d.self.Name]:
		return
	case b.host != r.a.Host:
		r.end(instance.Result{Outcome: instance.OutcomeMisrouted, Connected: true, Status: 421})
		return
	case b.draining || b.shed:
		r.end(instance.Result{Outcome: instance.OutcomeNotRun, Connected: true, Draining: b.draining, Shed: b.shed})
		return
	}
	key := string(r.a.Work.Body)
	b.runs[key]++
	b.started = r.f.now
	if b.failing {
		r.end(instance.Result{Outcome: instance.OutcomeUnknown, Connected: true, Detail: "reset"})
		return
	}
	if r.over {
		return // it was cancelled on its way, and the backend server notices at once
	}
	b.open = append(b.open, r)
	b.busy++
	b.peak = max(b.peak, b.busy)
	r.f.reach(pointRunning, r.f.asker[key], r.d, b.address)
	r.f.after(b.span(key), func() {
		if r.over {
			return
		}
		r.free()
		r.end(instance.Result{Outcome: instance.OutcomeAnswered, Status: 200, Connected: true, Body: []byte("answer to " + key)})
	})
}

func (f *frame) backendProbe(d *node, a instance.ProbeEndpoint) {
	b := f.backends[a.Endpoint]
	f.after(2*frameHop, func() {
		if b.dead || b.silent || f.links[d.self.Name+">"+a.Endpoint] {
			d.handle(instance.ProbeEnded{Endpoint: a.Endpoint})
			return
		}
		d.handle(instance.ProbeEnded{Endpoint: a.Endpoint, Answered: true, Healthy: !b.unwell && b.host == a.Host, Draining: b.draining})
	})
}

// fakeCaller is one flow of a caller.
type fakeCaller struct {
	f         *frame
	name      string
	address   netip.AddrPort
	engine    *caller.Engine
	next      uint64
	bodies    map[uint64]string
	ends      map[string]caller.RequestEnded // by request body
	times     map[string]clock.Millis        // when each ended, by request body
	due       map[string]clock.Millis        // by request body
	once      map[string]bool                // by request body
	numbers   map[uint64]string              // request body by number on the wire
	judged    map[string]bool                // by request body
	permitted map[string]bool                // by request body
	service   string
	owner     *node        // instance that last handled a packet of a request
	idle      clock.Millis // when it was last told the time while idle
}

func (f *frame) addCaller(service string) *fakeCaller {
	n := len(f.callers) + 1
	c := &fakeCaller{
		f: f, name: fmt.Sprintf("caller-%d", n), address: netip.MustParseAddrPort(fmt.Sprintf("127.2.0.1:%d", 10_000+n)),
		engine: caller.New(caller.Settings{Service: service, Seed: uint64(n) + f.random.Uint64()}),
		bodies: make(map[uint64]string), ends: make(map[string]caller.RequestEnded), times: make(map[string]clock.Millis),
		due: make(map[string]clock.Millis), once: make(map[string]bool), numbers: make(map[uint64]string), judged: make(map[string]bool), permitted: make(map[string]bool), service: service,
	}
	f.callers = append(f.callers, c)
	c.handle(caller.OpenRequested{})
	f.after(caller.TickPeriod, c.tick)
	return c
}

func (c *fakeCaller) tick() {
	if c.engine.Busy() || c.f.now-c.idle >= caller.IdleTickPeriod {
		c.idle = c.f.now
		c.handle(caller.Tick{})
	}
	c.f.after(caller.TickPeriod, c.tick)
}

func (c *fakeCaller) request(body string, once bool, deadline clock.Millis) {
	c.ask(body, caller.Request{Body: []byte(body), Once: once, Deadline: deadline})
}

func (c *fakeCaller) ask(body string, r caller.Request) {
	c.next++
	c.bodies[c.next] = body
	c.due[body], c.once[body] = c.f.now+r.Deadline, r.Once
	c.f.asker[body] = c
	c.handle(caller.RequestStarted{CallID: c.next, Request: r})
}

func (c *fakeCaller) handle(ev caller.Event) {
	for _, a := range append([]caller.Action(nil), c.engine.Handle(c.f.now, ev)...) {
		switch a := a.(type) {
		case caller.SendPacket:
			c.send(a.Packet)
		case caller.RequestEnded:
			c.ends[c.bodies[a.CallID]] = a
			c.times[c.bodies[a.CallID]] = c.f.now
		}
	}
}

// send hands a packet to the fabric, which takes it to any instance.
func (c *fakeCaller) send(p packet.Packet) {
	if p.Kind == packet.KindPermit {
		c.permitted[c.numbers[p.Request]] = true
	}
	if p.Kind == packet.KindPart && p.Part == 0 {
		for body := range c.due {
			if strings.HasPrefix(body, string(p.Payload)) {
				c.numbers[p.Request] = body
			}
		}
	}
	if p.Kind == packet.KindOpen {
		c.f.reach(pointOpen, c, nil, "")
	}
	var up []*node
	for _, d := range c.f.nodes {
		if !d.dead && !d.stopped && !c.f.links[c.name+">"+d.self.Name] {
			up = append(up, d)
		}
	}
	if len(up) == 0 {
		return
	}
	data, err := packet.Encode(p)
	require.NoError(c.f.t, err)
	to := up[c.f.random.IntN(len(up))]
	c.f.logPacket(c, c.name, to.self.Name, p)
	c.f.datagram(c.name, to.self.Name, func() {
		got, err := packet.Decode(data)
		require.NoError(c.f.t, err)
		to.handle(instance.PacketReceived{From: c.address, Packet: got, Data: data})
	})
}

func (c *fakeCaller) done() bool { return len(c.ends) == int(c.next) }

// answered checks that a request ended with its whole answer.
func (c *fakeCaller) answered(body string) bool {
	e, ok := c.ends[body]
	return ok && e.Err == nil && string(e.Answer.Body) == "answer to "+body
}

// runsOf counts how often a request body was started at any backend server.
func (f *frame) runsOf(body string) int {
	sum := 0
	for _, b := range f.backends {
		sum += b.runs[body]
	}
	return sum
}

// desk starts the order desk: instances of one data centre, and endpoints.
func (f *frame) desk(instances, endpoints int) {
	f.putJSON(record.KindService, "orders", record.Schema2, record.Service{})
	for i := range endpoints {
		f.addBackend(fmt.Sprintf("orders-%d", i), "orders", "riga-1", fmt.Sprintf("127.3.0.%d:80", i+1), 2, 20*clock.Millisecond)
	}
	for i := range instances {
		f.addNode(fmt.Sprintf("entry-%d", i+1), "riga-1")
	}
	f.run(5 * clock.Second)
}

func TestRequestsAreAnsweredWhereverPacketsLand(t *testing.T) {
	f := newFrame(t, 1)
	f.desk(4, 4)
	for i := range 20 {
		c := f.addCaller("orders")
		for n := range 5 {
			c.request(fmt.Sprintf("%d/%d %s", i, n, strings.Repeat("x", i*n*300)), n%2 == 0, 5*clock.Second)
		}
	}
	f.run(5 * clock.Second)
	for _, c := range f.callers {
		require.True(t, c.done())
		for _, body := range c.bodies {
			require.True(t, c.answered(body), "%s %.40s %+v", c.name, body, c.ends[body].Err)
			require.Equal(t, 1, f.runsOf(body))
		}
	}
	for _, b := range f.backends {
		require.LessOrEqual(t, b.peak, b.slots)
	}
}
