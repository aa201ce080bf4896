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

// simulation connects instance engines, caller engines and fakes of the fabric, the
// platform and backend servers. It runs on a fake clock, which advances to the time of
// the next scheduled call.
type simulation struct {
	t            *testing.T
	now          clock.Millis
	random       *rand.Rand
	queue        schedule
	lastSequence uint64
	fraction     float64 // part of a ms that scheduleFraction carries over
	daemons      []*fakeDaemon
	callers      []*fakeCaller
	backends     map[string]*fakeBackend
	store        *fakeStore
	keys         *token.Keys
	tracedCaller string // if not empty, decisions and the packets of this caller are logged

	// networkFault returns what happens to a datagram; if nil, all are delivered.
	networkFault func(from, to string) datagramFault
	// cutLinks maps "a>b" to true while datagrams and calls from a to b are lost.
	cutLinks map[string]bool
	// pointReached is called when a request of a caller reaches a point at an instance. For
	// pointOpen the instance is nil.
	pointReached  func(p point, c *fakeCaller, d *fakeDaemon, endpoint string)
	callersByBody map[string]*fakeCaller
}

// point is a stage in the processing of a request.
type point string

const (
	pointOpen       point = "open"       // the caller sent Open
	pointPart       point = "part"       // the owner received a part other than the first
	pointWhole      point = "whole"      // the owner received all parts
	pointAsk        point = "ask"        // the owner requested the permit
	pointDispatched point = "dispatched" // an instance sent it to a backend server
	pointRunning    point = "running"    // the backend server started it
	pointAnswer     point = "answer"     // a part of the answer before the last was sent
	pointLast       point = "last"       // the last part of the answer was sent
)

func (sm *simulation) reportPoint(p point, c *fakeCaller, d *fakeDaemon, endpoint string) {
	if sm.pointReached != nil && c != nil {
		sm.pointReached(p, c, d, endpoint)
	}
}

// datagramFault is what the network does to one datagram.
type datagramFault struct {
	drop      bool
	duplicate bool
	delay     clock.Millis
}

type scheduledCall struct {
	at       clock.Millis
	sequence uint64
	run      func()
}

type schedule []scheduledCall

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].sequence < s[j].sequence
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduledCall)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

const (
	simulationStart = 1_000_000 * clock.Second
	linkDelay       = clock.Millisecond // one-way delay between any two parties
)

func newSimulation(t *testing.T, seed uint64) *simulation {
	keys, err := token.NewKeys(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	require.NoError(t, err)
	sim := &simulation{
		t: t, now: simulationStart, random: rand.New(rand.NewPCG(seed, 1)), keys: keys,
		backends: make(map[string]*fakeBackend), store: &fakeStore{}, cutLinks: make(map[string]bool),
		callersByBody: make(map[string]*fakeCaller),
	}
	sim.store.clock = func() clock.Millis { return sim.now }
	return sim
}

func (sm *simulation) scheduleAt(when clock.Millis, run func()) {
	sm.lastSequence++
	heap.Push(&sm.queue, scheduledCall{at: when, sequence: sm.lastSequence, run: run})
}

func (sm *simulation) logf(format string, args ...any) {
	if sm.tracedCaller != "" {
		sm.t.Logf("%d "+format, append([]any{sm.now - simulationStart}, args...)...)
	}
}

func (sm *simulation) logPacket(c *fakeCaller, from, to string, p packet.Packet) {
	if c.name == sm.tracedCaller {
		sm.logf("%s > %s %s request=%d part=%d/%d next=%d %s", from, to, p.Kind, p.Request, p.Part, p.Count, p.Next, p.Reason)
	}
}

func (sm *simulation) after(duration clock.Millis, run func()) { sm.scheduleAt(sm.now+duration, run) }

// advance runs the simulation for a duration.
func (sm *simulation) advance(duration clock.Millis) {
	sm.advanceUntil(duration, func() bool { return false })
}

// advanceUntil runs the simulation until done, for at most a duration, and returns done.
func (sm *simulation) advanceUntil(duration clock.Millis, done func() bool) bool {
	end := sm.now + duration
	for len(sm.queue) > 0 && sm.queue[0].at <= end {
		if done() {
			return true
		}
		call := heap.Pop(&sm.queue).(scheduledCall)
		sm.now = call.at
		call.run()
	}
	sm.now = end
	return done()
}

// sendDatagram delivers one datagram, subject to faults.
func (sm *simulation) sendDatagram(from, to string, run func()) {
	if sm.cutLinks[from+">"+to] {
		return
	}
	var fault datagramFault
	if sm.networkFault != nil {
		fault = sm.networkFault(from, to)
	}
	if fault.drop {
		return
	}
	sm.after(linkDelay+fault.delay, run)
	if fault.duplicate {
		sm.after(2*linkDelay+fault.delay, run)
	}
}

// setCut cuts or restores both directions between two parties.
func (sm *simulation) setCut(a, b string, isCut bool) {
	sm.cutLinks[a+">"+b], sm.cutLinks[b+">"+a] = isCut, isCut
}

// fakeDaemon is one instance process.
type fakeDaemon struct {
	sim             *simulation
	self            record.Instance
	engine          *instance.Engine
	dead            bool
	stalled         bool
	queuedEvents    []instance.Event // received while stalled
	stopped         bool
	seenRevision    uint64       // newest revision that the platform delivered
	platformLag     clock.Millis // delay of records from the platform
	runs            map[uint64]*pendingRun
	decisions       []instance.LogDecision
	status          record.Status
	deletedStatuses []string // instances whose status it deleted
	bytesToPeers    int      // size of the envelopes sent
	lastCall        uint64
}

// addInstance starts an instance process. The same name again is a restart.
func (sm *simulation) addInstance(name, centre string) *fakeDaemon {
	return sm.addSizedInstance(name, centre, 1)
}

// addSizedInstance starts an instance process of a size, which determines its share of work.
func (sm *simulation) addSizedInstance(name, centre string, size float64) *fakeDaemon {
	n := len(sm.daemons) + 1
	self := record.Instance{
		Name: name, Centre: centre, Size: size, State: record.StateActive, Schema: record.Schema2, Incarnation: sm.now,
		PacketAddress: fmt.Sprintf("127.1.0.%d:1000", n), PeerAddress: fmt.Sprintf("127.1.0.%d:2000", n), ControlAddress: fmt.Sprintf("127.1.0.%d:3000", n),
	}
	d := &fakeDaemon{sim: sm, self: self, runs: make(map[uint64]*pendingRun)}
	d.engine = instance.New(instance.Settings{Self: self, Keys: sm.keys, RandomSeed: uint64(n) + sm.random.Uint64()}, sm.now)
	sm.daemons = append(sm.daemons, d)
	sm.after(instance.TickPeriod, d.tick)
	sm.after(1, d.poll)
	return d
}

func (sm *simulation) daemon(name string) *fakeDaemon {
	for i := len(sm.daemons) - 1; i >= 0; i-- {
		if sm.daemons[i].self.Name == name {
			return sm.daemons[i]
		}
	}
	sm.t.Fatalf("no instance %q", name)
	return nil
}

func (d *fakeDaemon) tick() {
	if d.dead || d.stopped {
		return
	}
	if !d.stalled {
		d.handle(instance.Tick{})
	}
	d.sim.after(instance.TickPeriod, d.tick)
}

// poll does the daemon's calls to the platform: list and watch of records, and the
// instance list.
func (d *fakeDaemon) poll() {
	if d.dead || d.stopped {
		return
	}
	d.sim.after(200*clock.Millisecond, d.poll)
	s := d.sim.store
	newest := s.newest(d.sim.now - d.platformLag)
	reachable := !s.down && !d.sim.cutLinks[d.self.Name+">platform"]
	if !d.stalled {
		d.handle(instance.PlatformCalled{Answered: reachable && !s.unanswered})
	}
	if !reachable || d.stalled {
		return
	}
	if d.seenRevision < newest || d.seenRevision == 0 {
		d.handle(instance.ObjectsReceived{Objects: s.since(d.seenRevision, newest), Revision: newest, FullList: d.seenRevision == 0, Source: instance.SourcePlatform})
		d.seenRevision = max(newest, 1)
	}
	d.handle(instance.InstancesListed{Instances: s.instances(d.sim.now)})
}

// kill ends the process and breaks its runs and calls.
func (d *fakeDaemon) kill() {
	d.dead = true
	for _, run := range slices.Sorted(maps.Keys(d.runs)) {
		d.runs[run].cancel()
	}
}

func (d *fakeDaemon) stall() { d.stalled = true }

func (d *fakeDaemon) resume() {
	d.stalled = false
	events := d.queuedEvents
	d.queuedEvents = nil
	for _, ev := range events {
		d.handle(ev)
	}
}

func (d *fakeDaemon) handle(ev instance.Event) {
	switch {
	case d.dead || d.stopped:
		return
	case d.stalled:
		d.queuedEvents = append(d.queuedEvents, ev)
		return
	}
	if ev, ok := ev.(instance.PacketReceived); ok {
		d.observePacket(ev.From, ev.Packet)
	}
	if ev, ok := ev.(instance.EnvelopeReceived); ok && ev.Packet != nil {
		d.observePacket(ev.Envelope.Caller, *ev.Packet)
	}
	actions := d.engine.Handle(d.sim.now, ev)
	for _, a := range append([]instance.Action(nil), actions...) {
		d.carryOut(a)
	}
}

func (d *fakeDaemon) carryOut(a instance.Action) {
	switch a := a.(type) {
	case instance.SendPacket:
		d.sendPacket(a)
	case instance.SendEnvelope:
		d.sendEnvelope(a)
	case instance.RunRequest:
		d.sim.startBackendRun(d, a)
	case instance.HandOver:
		d.handOver(a)
	case instance.CancelRun:
		if r := d.runs[a.RunID]; r != nil {
			r.cancel()
		}
	case instance.AnswerHandOver:
		d.answerHandOver(a)
	case instance.ProbeEndpoint:
		d.sim.probeBackend(d, a)
	case instance.FetchObjects:
		d.fetch(a)
	case instance.WriteStatus:
		d.status = a.Status
	case instance.DeleteStatus:
		d.deletedStatuses = append(d.deletedStatuses, a.Instance)
	case instance.RenewLease:
		if !d.sim.store.down && !d.sim.cutLinks[d.self.Name+">platform"] {
			d.sim.store.announce(a.Instance, d.sim.now)
		}
	case instance.LogDecision:
		d.decisions = append(d.decisions, a)
		d.sim.logf("%s %+v", d.self.Name, a)
	case instance.Stopped:
		d.stopped = true
	}
}

// observePacket reports the points of a request that a packet to or from its caller shows.
func (d *fakeDaemon) observePacket(address netip.AddrPort, p packet.Packet) {
	t, err := token.Peek(p.Token)
	if err != nil || t.Owner != token.Hash(d.self.Name) || p.Request == 0 {
		return
	}
	for _, c := range d.sim.callers {
		if c.address != address {
			continue
		}
		c.owner = d
		switch {
		case p.Kind == packet.KindPart && p.Part > 0:
			d.sim.reportPoint(pointPart, c, d, "")
		case p.Kind == packet.KindAck && p.Next == p.Count:
			d.sim.reportPoint(pointWhole, c, d, "")
		case p.Kind == packet.KindAsk:
			d.sim.reportPoint(pointAsk, c, d, "")
		case p.Kind == packet.KindAnswer && p.Part+1 == p.Count:
			d.sim.reportPoint(pointLast, c, d, "")
		case p.Kind == packet.KindAnswer:
			d.sim.reportPoint(pointAnswer, c, d, "")
		}
	}
}

func (d *fakeDaemon) sendPacket(a instance.SendPacket) {
	d.observePacket(a.To, a.Packet)
	for _, c := range d.sim.callers {
		if c.address == a.To {
			d.sim.logPacket(c, d.self.Name, c.name, a.Packet)
			d.sim.sendDatagram(d.self.Name, c.name, func() { c.handle(caller.PacketReceived{Packet: a.Packet}) })
		}
	}
}

func (d *fakeDaemon) sendEnvelope(a instance.SendEnvelope) {
	data, err := packet.EncodeEnvelope(a.Envelope)
	require.NoError(d.sim.t, err)
	d.bytesToPeers += len(data)
	to := d.sim.daemonByAddress(a.To.String())
	if to == nil {
		return
	}
	d.sim.sendDatagram(d.self.Name, to.self.Name, func() {
		e, err := packet.DecodeEnvelope(data)
		require.NoError(d.sim.t, err)
		ev := instance.EnvelopeReceived{Envelope: e}
		if len(e.Data) > 0 {
			p, err := packet.Decode(e.Data)
			require.NoError(d.sim.t, err)
			ev.Packet = &p
		}
		to.handle(ev)
	})
}

// daemonByAddress returns the process with a peer or control address, or nil.
func (sm *simulation) daemonByAddress(address string) *fakeDaemon {
	for _, d := range sm.daemons {
		if d.self.PeerAddress == address || d.self.ControlAddress == address {
			return d
		}
	}
	return nil
}

// pendingRun is a run or hand-over in progress at the instance that waits for its result, or
// a call at the instance that must answer it. fakeDaemon.runs holds both, by run or call ID.
type pendingRun struct {
	cancelled bool
	abort     func()
}

func (r *pendingRun) cancel() {
	if !r.cancelled {
		r.cancelled = true
		r.abort()
	}
}

// handOver makes a Twirp call to another instance.
func (d *fakeDaemon) handOver(a instance.HandOver) {
	to := d.sim.daemonByAddress(a.ControlAddress)
	d.sim.logf("%s hands over run %d to %s %.12q", d.self.Name, a.RunID, a.Peer, a.Work.Body)
	finish := func(r instance.Result) {
		d.sim.logf("%s received the result of run %d: %d %s", d.self.Name, a.RunID, r.Outcome, r.Reason)
		if d.runs[a.RunID] != nil {
			delete(d.runs, a.RunID)
			d.handle(instance.HandOverEnded{RunID: a.RunID, Result: r})
		}
	}
	call := uint64(0)
	d.runs[a.RunID] = &pendingRun{abort: func() {
		d.sim.after(linkDelay, func() {
			finish(instance.Result{Outcome: instance.OutcomeUnknown, Silent: true})
			if call != 0 && !d.sim.cutLinks[d.self.Name+">"+to.self.Name] {
				to.handle(instance.HandOverCancelled{CallID: call})
			}
		})
	}}
	if to == nil || to.dead || to.stopped || d.sim.cutLinks[d.self.Name+">"+to.self.Name] {
		d.sim.after(linkDelay, func() { finish(instance.Result{Outcome: instance.OutcomeNotRun, Detail: "dial"}) })
		return
	}
	d.sim.after(linkDelay, func() {
		if to.dead {
			finish(instance.Result{Outcome: instance.OutcomeUnknown, Detail: "reset"})
			return
		}
		to.lastCall++
		call = uint64(len(d.sim.daemons))<<32 | to.lastCall
		to.addPendingCall(call, func(r instance.Result) {
			r.Connected = true
			if !d.sim.cutLinks[to.self.Name+">"+d.self.Name] {
				d.sim.after(linkDelay, func() { finish(r) })
			}
		})
		to.handle(instance.HandOverReceived{CallID: call, Peer: d.self.Name, Work: a.Work})
	})
}

// addPendingCall registers a call from another instance and how to answer it.
func (d *fakeDaemon) addPendingCall(call uint64, answer func(instance.Result)) {
	d.runs[call] = &pendingRun{abort: func() {
		d.sim.after(linkDelay, func() { answer(instance.Result{Outcome: instance.OutcomeUnknown, Detail: "reset"}) })
	}}
	d.sim.store.addReply(d, call, answer)
}

func (d *fakeDaemon) answerHandOver(a instance.AnswerHandOver) {
	delete(d.runs, a.CallID)
	if answer := d.sim.store.takeReply(d, a.CallID); answer != nil {
		answer(a.Result)
	}
}

func (d *fakeDaemon) fetch(a instance.FetchObjects) {
	to := d.sim.daemonByAddress(a.ControlAddress)
	if to == nil || to.dead || to.stopped || to.stalled || d.sim.cutLinks[d.self.Name+">"+to.self.Name] {
		return
	}
	d.sim.after(2*linkDelay, func() {
		objects, revision := to.engine.Objects()
		d.handle(instance.ObjectsReceived{Objects: objects, Revision: revision, Source: a.Peer})
	})
}

// fakeStore is the platform: records with revisions and the instance list.
type fakeStore struct {
	down       bool
	unanswered bool // writes take effect, but their answers are lost
	revision   uint64
	objects    []record.Object
	writtenAt  []clock.Millis // time of each write in objects
	clock      func() clock.Millis
	listed     []record.Instance
	staleList  []record.Instance // if not nil, returned as the instance list
	replies    map[string]func(instance.Result)
}

func (s *fakeStore) put(o record.Object) uint64 {
	s.revision++
	o.Revision = s.revision
	s.objects = append(s.objects, o)
	s.writtenAt = append(s.writtenAt, s.clock())
	return s.revision
}

// newest returns the last revision that was written by a point in time.
func (s *fakeStore) newest(by clock.Millis) uint64 {
	revision := uint64(0)
	for i, at := range s.writtenAt {
		if at <= by {
			revision = s.objects[i].Revision
		}
	}
	return revision
}

// since returns the records whose newest revision up to upTo is higher than revision. A full
// list, from revision 0, leaves out deleted records.
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
	for n, known := range s.listed {
		if known.Name == i.Name {
			s.listed[n] = i
			return
		}
	}
	s.listed = append(s.listed, i)
}

func (s *fakeStore) instances(clock.Millis) []record.Instance {
	if s.staleList != nil {
		return s.staleList
	}
	return append([]record.Instance(nil), s.listed...)
}

func (s *fakeStore) addReply(d *fakeDaemon, call uint64, answer func(instance.Result)) {
	if s.replies == nil {
		s.replies = make(map[string]func(instance.Result))
	}
	s.replies[fmt.Sprint(d.self.Name, d.self.Incarnation, call)] = answer
}

func (s *fakeStore) takeReply(d *fakeDaemon, call uint64) func(instance.Result) {
	key := fmt.Sprint(d.self.Name, d.self.Incarnation, call)
	answer := s.replies[key]
	delete(s.replies, key)
	return answer
}

func (sm *simulation) putJSON(kind record.Kind, name string, schema int, v any) uint64 {
	body, err := json.Marshal(v)
	require.NoError(sm.t, err)
	return sm.store.put(record.Object{Kind: kind, Name: name, Schema: schema, Body: body})
}

// fakeBackend is one endpoint of a backend server.
type fakeBackend struct {
	address           string
	host              string
	slots             int
	runTime           clock.Millis
	runTimeByBody     func(body string) clock.Millis // if nil, all runs take runTime
	running           int
	maxRunning        int             // highest number of concurrent runs
	runs              map[string]int  // number of starts by request body
	lastStart         clock.Millis    // of a run
	openRuns          []*backendRun   // runs in progress
	draining          bool            // rejects requests and answers that it is draining
	shed              bool            // rejects requests as overloaded
	dead              bool            // refuses connections
	silent            bool            // accepts connections, but answers neither requests nor probes
	failing           bool            // resets the connection of each request, whatever its health endpoint answers
	unhealthy         bool            // its health endpoint answers that it is unhealthy
	brokenConnections map[string]bool // by instance name: packets on its open connection are lost until it opens a new one
}

func (sm *simulation) addBackend(name, service, centre, address string, slots int, runTime clock.Millis) *fakeBackend {
	b := &fakeBackend{address: address, host: service, slots: slots, runTime: runTime, runs: make(map[string]int), brokenConnections: make(map[string]bool)}
	sm.backends[address] = b
	sm.putJSON(record.KindBackend, name, record.Schema2, record.Backend{Service: service, Centre: centre, Endpoints: []record.Endpoint{{Address: address, Slots: slots}}})
	return b
}

// kill ends the backend server's process and resets its connections.
func (b *fakeBackend) kill() {
	b.dead = true
	for _, r := range slices.Clone(b.openRuns) {
		r.freeSlot()
		r.sendResult(instance.Result{Outcome: instance.OutcomeUnknown, Connected: true, Detail: "reset"})
	}
}

// runTimeOf returns how long a request runs.
func (b *fakeBackend) runTimeOf(body string) clock.Millis {
	if b.runTimeByBody != nil {
		return b.runTimeByBody(body)
	}
	return b.runTime
}

// backendRun is one HTTP request to a fake backend server.
type backendRun struct {
	sim     *simulation
	daemon  *fakeDaemon
	backend *fakeBackend
	action  instance.RunRequest
	ended   bool
}

// sendResult sends the result to the instance unless the connection or link is broken.
func (r *backendRun) sendResult(result instance.Result) {
	if !r.backend.silent && !r.backend.brokenConnections[r.daemon.self.Name] && !r.sim.cutLinks[r.action.Endpoint+">"+r.daemon.self.Name] {
		r.sim.after(linkDelay, func() { r.receiveResult(result) })
	}
}

func (r *backendRun) receiveResult(result instance.Result) {
	r.sim.logf("%s: run %d ended at %s: %d silent=%v", r.daemon.self.Name, r.action.RunID, r.action.Endpoint, result.Outcome, result.Silent)
	if r.daemon.runs[r.action.RunID] != nil {
		delete(r.daemon.runs, r.action.RunID)
		r.daemon.handle(instance.RunEnded{RunID: r.action.RunID, Result: result})
	}
}

// freeSlot removes the run from the open ones.
func (r *backendRun) freeSlot() {
	if i := slices.Index(r.backend.openRuns, r); i >= 0 {
		r.backend.openRuns = slices.Delete(r.backend.openRuns, i, i+1)
		r.backend.running--
	}
	r.ended = true
}

// abort closes the connection, so that the next run uses a new one.
func (r *backendRun) abort() {
	r.freeSlot()
	delete(r.backend.brokenConnections, r.daemon.self.Name)
	r.sim.after(linkDelay, func() {
		r.receiveResult(instance.Result{Outcome: instance.OutcomeUnknown, Silent: true, Connected: true})
	})
}

// startBackendRun sends one HTTP request to a fake backend server.
func (sm *simulation) startBackendRun(d *fakeDaemon, a instance.RunRequest) {
	sm.logf("%s starts run %d at %s %.12q", d.self.Name, a.RunID, a.Endpoint, a.Work.Body)
	sm.reportPoint(pointDispatched, sm.callersByBody[string(a.Work.Body)], d, a.Endpoint)
	b := sm.backends[a.Endpoint]
	r := &backendRun{sim: sm, daemon: d, backend: b, action: a}
	d.runs[a.RunID] = &pendingRun{abort: r.abort}
	if b.dead || sm.cutLinks[d.self.Name+">"+a.Endpoint] {
		sm.after(linkDelay, func() { r.receiveResult(instance.Result{Outcome: instance.OutcomeNotRun, Detail: "dial"}) })
		return
	}
	sm.after(linkDelay, r.arrive)
}

// arrive processes the request at the backend server.
func (r *backendRun) arrive() {
	b := r.backend
	switch {
	case b.dead:
		r.sendResult(instance.Result{Outcome: instance.OutcomeUnknown, Connected: true, Detail: "reset"})
		return
	case b.silent || b.brokenConnections[r.daemon.self.Name]:
		return
	case b.host != r.action.Host:
		r.sendResult(instance.Result{Outcome: instance.OutcomeMisrouted, Connected: true, Status: 421})
		return
	case b.draining || b.shed:
		r.sendResult(instance.Result{Outcome: instance.OutcomeNotRun, Connected: true, Draining: b.draining, Shed: b.shed})
		return
	}
	key := string(r.action.Work.Body)
	b.runs[key]++
	b.lastStart = r.sim.now
	if b.failing {
		r.sendResult(instance.Result{Outcome: instance.OutcomeUnknown, Connected: true, Detail: "reset"})
		return
	}
	if r.ended {
		return // cancelled before it arrived
	}
	b.openRuns = append(b.openRuns, r)
	b.running++
	b.maxRunning = max(b.maxRunning, b.running)
	r.sim.reportPoint(pointRunning, r.sim.callersByBody[key], r.daemon, b.address)
	r.sim.after(b.runTimeOf(key), func() {
		if r.ended {
			return
		}
		r.freeSlot()
		r.sendResult(instance.Result{Outcome: instance.OutcomeAnswered, Status: 200, Connected: true, Body: []byte("answer to " + key)})
	})
}

func (sm *simulation) probeBackend(d *fakeDaemon, a instance.ProbeEndpoint) {
	b := sm.backends[a.Endpoint]
	sm.after(2*linkDelay, func() {
		if b.dead || b.silent || sm.cutLinks[d.self.Name+">"+a.Endpoint] {
			d.handle(instance.ProbeEnded{Endpoint: a.Endpoint})
			return
		}
		d.handle(instance.ProbeEnded{Endpoint: a.Endpoint, Answered: true, Healthy: !b.unhealthy && b.host == a.Host, Draining: b.draining})
	})
}

// fakeCaller is one flow of a caller.
type fakeCaller struct {
	sim            *simulation
	name           string
	address        netip.AddrPort
	engine         *caller.Engine
	lastCall       uint64
	bodies         map[uint64]string
	results        map[string]caller.RequestEnded // by request body
	endedAt        map[string]clock.Millis        // by request body
	deadlines      map[string]clock.Millis        // by request body
	once           map[string]bool                // by request body
	bodiesByNumber map[uint64]string              // by request number in packets
	checked        map[string]bool                // by request body
	permitted      map[string]bool                // by request body
	service        string
	owner          *fakeDaemon  // instance that last handled a packet of one of its requests
	lastIdleTick   clock.Millis // when it last got a Tick while idle
}

func (sm *simulation) addCaller(service string) *fakeCaller {
	n := len(sm.callers) + 1
	c := &fakeCaller{
		sim: sm, name: fmt.Sprintf("caller-%d", n), address: netip.MustParseAddrPort(fmt.Sprintf("127.2.0.1:%d", 10_000+n)),
		engine: caller.New(caller.Settings{Service: service, Seed: uint64(n) + sm.random.Uint64()}),
		bodies: make(map[uint64]string), results: make(map[string]caller.RequestEnded), endedAt: make(map[string]clock.Millis),
		deadlines: make(map[string]clock.Millis), once: make(map[string]bool), bodiesByNumber: make(map[uint64]string), checked: make(map[string]bool), permitted: make(map[string]bool), service: service,
	}
	sm.callers = append(sm.callers, c)
	c.handle(caller.OpenRequested{})
	sm.after(caller.TickPeriod, c.tick)
	return c
}

func (c *fakeCaller) tick() {
	if c.engine.Busy() || c.sim.now-c.lastIdleTick >= caller.IdleTickPeriod {
		c.lastIdleTick = c.sim.now
		c.handle(caller.Tick{})
	}
	c.sim.after(caller.TickPeriod, c.tick)
}

func (c *fakeCaller) request(body string, once bool, deadline clock.Millis) {
	c.sendRequest(body, caller.Request{Body: []byte(body), Once: once, Deadline: deadline})
}

func (c *fakeCaller) sendRequest(body string, r caller.Request) {
	c.lastCall++
	c.bodies[c.lastCall] = body
	c.deadlines[body], c.once[body] = c.sim.now+r.Deadline, r.Once
	c.sim.callersByBody[body] = c
	c.handle(caller.RequestStarted{CallID: c.lastCall, Request: r})
}

func (c *fakeCaller) handle(ev caller.Event) {
	for _, a := range append([]caller.Action(nil), c.engine.Handle(c.sim.now, ev)...) {
		switch a := a.(type) {
		case caller.SendPacket:
			c.sendPacket(a.Packet)
		case caller.RequestEnded:
			c.results[c.bodies[a.CallID]] = a
			c.endedAt[c.bodies[a.CallID]] = c.sim.now
		}
	}
}

// sendPacket sends a packet to the fabric, which delivers it to a random instance.
func (c *fakeCaller) sendPacket(p packet.Packet) {
	if p.Kind == packet.KindPermit {
		c.permitted[c.bodiesByNumber[p.Request]] = true
	}
	if p.Kind == packet.KindPart && p.Part == 0 {
		for body := range c.deadlines {
			if strings.HasPrefix(body, string(p.Payload)) {
				c.bodiesByNumber[p.Request] = body
			}
		}
	}
	if p.Kind == packet.KindOpen {
		c.sim.reportPoint(pointOpen, c, nil, "")
	}
	var reachable []*fakeDaemon
	for _, d := range c.sim.daemons {
		if !d.dead && !d.stopped && !c.sim.cutLinks[c.name+">"+d.self.Name] {
			reachable = append(reachable, d)
		}
	}
	if len(reachable) == 0 {
		return
	}
	data, err := packet.Encode(p)
	require.NoError(c.sim.t, err)
	to := reachable[c.sim.random.IntN(len(reachable))]
	c.sim.logPacket(c, c.name, to.self.Name, p)
	c.sim.sendDatagram(c.name, to.self.Name, func() {
		got, err := packet.Decode(data)
		require.NoError(c.sim.t, err)
		to.handle(instance.PacketReceived{From: c.address, Packet: got, Data: data})
	})
}

func (c *fakeCaller) allEnded() bool { return len(c.results) == int(c.lastCall) }

// answered reports whether a request ended with its complete answer.
func (c *fakeCaller) answered(body string) bool {
	e, ok := c.results[body]
	return ok && e.Err == nil && string(e.Answer.Body) == "answer to "+body
}

// runsOf returns how often a request was started, at all backend servers together.
func (sm *simulation) runsOf(body string) int {
	sum := 0
	for _, b := range sm.backends {
		sum += b.runs[body]
	}
	return sum
}

// startOrdersService starts instances and endpoints of the service "orders" in one data
// centre.
func (sm *simulation) startOrdersService(instances, endpoints int) {
	sm.putJSON(record.KindService, "orders", record.Schema2, record.Service{})
	for i := range endpoints {
		sm.addBackend(fmt.Sprintf("orders-%d", i), "orders", "riga-1", fmt.Sprintf("127.3.0.%d:80", i+1), 2, 20*clock.Millisecond)
	}
	for i := range instances {
		sm.addInstance(fmt.Sprintf("entry-%d", i+1), "riga-1")
	}
	sm.advance(5 * clock.Second)
}

// Guards against requests that are lost, run twice or exceed the slots when the fabric
// delivers the packets of a flow to different instances.
func TestRequestsAreAnsweredWhicheverInstanceGetsPackets(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.startOrdersService(4, 4)
	for i := range 20 {
		c := sim.addCaller("orders")
		for n := range 5 {
			c.request(fmt.Sprintf("%d/%d %s", i, n, strings.Repeat("x", i*n*300)), n%2 == 0, 5*clock.Second)
		}
	}
	sim.advance(5 * clock.Second)
	for _, c := range sim.callers {
		require.True(t, c.allEnded())
		for _, body := range c.bodies {
			require.True(t, c.answered(body), "%s %.40s %+v", c.name, body, c.results[body].Err)
			require.Equal(t, 1, sim.runsOf(body))
		}
	}
	for _, b := range sim.backends {
		require.LessOrEqual(t, b.maxRunning, b.slots)
	}
}
