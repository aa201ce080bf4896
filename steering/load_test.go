package steering

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// loadCase is a case of testdata/load: users with long flows, who send requests to the
// endpoints of a service through one instance, and the limits that the result must keep.
type loadCase struct {
	Name           string         `yaml:"name"`
	Span           clock.Millis   `yaml:"span"`
	Users          int            `yaml:"users"`
	Think          clock.Millis   `yaml:"think"` // mean pause between two requests of a user
	Work           clock.Millis   `yaml:"work"`  // mean processing time of a request at an endpoint of speed 1
	NotIdempotent  bool           `yaml:"once"`  // requests aren't idempotent, so users don't retry them
	FlowPerRequest bool           `yaml:"fresh"` // users open a flow for each request
	Endpoints      []loadEndpoint `yaml:"endpoints"`

	MaxFailed           int          `yaml:"failed"`  // maximum number of failed requests
	LateAfter           clock.Millis `yaml:"late"`    // a request with a longer latency is late
	MaxLateShare        float64      `yaml:"lates"`   // maximum share of late requests
	MaxImbalance        float64      `yaml:"spread"`  // maximum of the highest utilization of an endpoint over the mean; 0 for any
	LeastLoaded         []string     `yaml:"least"`   // endpoints that must get fewer requests than all others
	WantResets          *int         `yaml:"resets"`  // exact number of flows that the instance resets; nil for any
	MaxOtherCentreShare float64      `yaml:"foreign"` // maximum share of requests served in another data centre
	MinServed           []int        `yaml:"served"`  // minimum number of requests served per endpoint; nil for any

	CentreLoad    `yaml:",inline"`
	AdmissionLoad `yaml:",inline"`
}

// loadEndpoint is an endpoint and its fault.
type loadEndpoint struct {
	ID              string       `yaml:"id"`
	Centre          string       `yaml:"centre"` // "here" by default
	Slots           int          `yaml:"slots"`
	Speed           float64      `yaml:"speed"` // 1 by default
	From            clock.Millis `yaml:"from"`  // start of the fault
	Until           clock.Millis `yaml:"until"` // end of the fault; 0 for none
	Unreachable     bool         `yaml:"dark"`  // no packet is answered, and connections time out
	Ended           bool         `yaml:"ended"` // flows are reset and connections refused
	Errors          bool         `yaml:"errors"`
	UnansweredShare float64      `yaml:"mute"` // share of requests that are never answered
	QueueLimit      int          `yaml:"room"` // pending requests beyond which requests are rejected; 0 for no limit
	SlowFactor      float64      `yaml:"slow"` // factor of the processing time

	busy     int
	queue    []func()
	busyTime clock.Millis
	served   int
}

func TestLoads(t *testing.T) {
	var cases []loadCase
	script.Read(t, "testdata/load/load.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			l := newLoadSimulation(t, c)
			l.run()
			l.check()
		})
	}
}

// Times of the simulation in ms, and sizes of answers in bytes, as on the users' platform.
const (
	loadDelay    = 4 // delay from a user to an endpoint
	loadDeadline = 2000
	loadMaxTries = 3
	normalSize   = 900
	errorSize    = 156
)

// loadEvent is a function that is called at a simulated time.
type loadEvent struct {
	at    clock.Millis
	order int
	call  func()
}

type loadQueue []loadEvent

func (q loadQueue) Len() int { return len(q) }
func (q loadQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q loadQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *loadQueue) Push(x any)   { *q = append(*q, x.(loadEvent)) }
func (q *loadQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type loadSimulation struct {
	t           *testing.T
	c           loadCase
	engines     []*Engine // by the consumers' addresses and ports
	centre      centreSimulation
	admission   admissionSimulation
	now         clock.Millis
	queue       loadQueue
	order       int
	random      *rand.Rand
	byID        map[string]*loadEndpoint
	flows       map[AddrPort]*userFlow // by consumer
	port        uint16
	requests    int
	failed      int
	late        int
	resets      int
	otherCentre int
}

// userFlow is a flow of a user and the present request on it.
type userFlow struct {
	consumer AddrPort
	endpoint *loadEndpoint
	token    Token
	sequence uint32
	ack      uint32
	ended    bool
	request  *userRequest
	requests int
}

// userRequest is a request with all its tries.
type userRequest struct {
	user  int
	since clock.Millis
	tries int
	done  bool
	flow  *userFlow // of the latest try
	// An answer was an error. The request then counts as failed, also if a further try isn't.
	gotError bool
}

func newLoadSimulation(t *testing.T, c loadCase, options ...func(*loadSimulation)) *loadSimulation {
	l := &loadSimulation{
		t: t, c: c, now: startTime,
		random: rand.New(rand.NewPCG(1, 1)), byID: map[string]*loadEndpoint{}, flows: map[AddrPort]*userFlow{}, port: 1000,
	}
	for _, set := range options {
		set(l)
	}
	route := Route{Name: "desk", Shares: []Share{{Service: "desk", Weight: 1}}, Idempotent: !c.NotIdempotent}
	configuration := &Configuration{
		Version: 1, Revision: 1, IdleTimeout: 15000, Routes: map[AddrPort]Route{routeAddresses[""]: route}, Services: c.services(),
	}
	l.addRoutes(configuration.Routes)
	list := EndpointsListed{Revision: 2}
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		if e.Centre == "" {
			e.Centre = "here"
		}
		if e.Speed == 0 {
			e.Speed = 1
		}
		e.Slots = max(e.Slots, 1)
		p := parseEndpoint(t, []string{e.ID, "desk", e.Centre})
		p.Slots = e.Slots
		list.Endpoints = append(list.Endpoints, p)
		l.byID[p.ID] = e
	}
	for i := range max(c.Instances, 1) {
		e := NewEngine(Settings{Centre: "here", StaleAfter: 1650, Seed: uint64(i + 1)})
		e.Handle(l.now, ConfigurationRead{Configuration: configuration})
		e.Handle(l.now, list)
		l.engines = append(l.engines, e)
	}
	return l
}

func (l *loadSimulation) schedule(delay clock.Millis, do func()) {
	l.order++
	heap.Push(&l.queue, loadEvent{l.now + delay, l.order, do})
}

func (l *loadSimulation) run() {
	for u := range l.c.Users {
		l.schedule(clock.Millis(l.random.Int64N(int64(l.c.Think))), func() { l.startRequest(u, nil) })
	}
	l.schedule(tickInterval, l.tick)
	l.startCentre()
	for l.queue.Len() > 0 {
		v := heap.Pop(&l.queue).(loadEvent)
		if v.at > startTime+l.c.Span {
			return
		}
		l.now = v.at
		v.call()
		for _, e := range l.engines {
			l.perform(e, e.TakeActions())
		}
	}
}

// tickInterval is the tick interval of the daemon, in ms.
const tickInterval = 100

func (l *loadSimulation) tick() {
	for _, e := range l.engines {
		l.perform(e, e.Handle(l.now, RecordsConfirmed{ConfigurationAt: l.now, EndpointsAt: l.now}))
		l.perform(e, e.Handle(l.now, Ticked{}))
		e.TakeTallies(l.now)
	}
	l.schedule(tickInterval, l.tick)
}

func (l *loadSimulation) faulty(e *loadEndpoint) bool {
	return l.now >= startTime+e.From && (e.Until == 0 || l.now < startTime+e.Until)
}

// engineOf returns the engine of the instance that gets the packets of a consumer.
func (l *loadSimulation) engineOf(consumer AddrPort) *Engine {
	return l.engines[key{consumer, l.c.destination(consumer)}.hash()%uint64(len(l.engines))]
}

func (l *loadSimulation) perform(engine *Engine, actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Probe:
			e := l.byID[v.Endpoint]
			result, delay := ProbeAnswered, clock.Millis(1)
			if e.Unreachable && l.faulty(e) {
				result, delay = ProbeTimedOut, 300
			}
			if e.Ended && l.faulty(e) {
				result = ProbeRefused
			}
			l.schedule(delay, func() {
				l.perform(engine, engine.Handle(l.now, ProbeEnded{Endpoint: v.Endpoint, Number: v.Number, Incarnation: v.Incarnation, Result: result}))
			})
		case ResetFlow:
			l.resets++
			l.schedule(loadDelay/2, func() { l.reset(v.Consumer) })
		case ReportFault:
			l.reportFault(engine, v)
		}
	}
}

// reset ends a flow at its user, who retries a pending request.
func (l *loadSimulation) reset(consumer AddrPort) {
	f := l.flows[consumer]
	if f == nil || f.ended {
		return
	}
	f.ended = true
	if r := f.request; r != nil && !r.done {
		l.retry(r)
	}
}

// retry sends a request again on a new flow, or fails it if it isn't idempotent or has used
// up its tries or time.
func (l *loadSimulation) retry(r *userRequest) {
	if l.c.NotIdempotent || r.tries >= loadMaxTries || l.now-r.since >= loadDeadline {
		l.failRequest(r, nil)
		return
	}
	l.openFlow(r)
}

// startRequest starts a request of a user, on the given flow if it is still open.
func (l *loadSimulation) startRequest(user int, f *userFlow) {
	r := &userRequest{user: user, since: l.now}
	l.requests++
	l.countStarted(r)
	l.schedule(loadDeadline, func() {
		if !r.done {
			l.failRequest(r, r.flow)
		}
	})
	if f != nil && !f.ended && l.c.endsFlow(f) {
		l.abortFlow(f)
	}
	if f != nil && !f.ended && !l.c.FlowPerRequest {
		l.sendRequest(f, r)
		return
	}
	l.openFlow(r)
}

// openFlow opens a flow for a request.
func (l *loadSimulation) openFlow(r *userRequest) {
	r.tries++
	l.port++
	f := &userFlow{consumer: l.c.consumer(r.user, l.port), sequence: 100, ack: 50, request: r}
	l.flows[f.consumer], r.flow = f, f
	for n, at := range []clock.Millis{0, 200, 600} {
		l.schedule(at, func() { l.sendOpening(f, r, uint32(n)) })
	}
}

// sendOpening sends one copy of an opening packet.
func (l *loadSimulation) sendOpening(f *userFlow, r *userRequest, earlierCopies uint32) {
	if f.endpoint != nil || f.ended || r.done {
		return
	}
	p := Packet{Consumer: f.consumer, Destination: l.c.destination(f.consumer), Flags: Open, Sequence: 99, Ack: earlierCopies}
	d := l.engineOf(f.consumer).Steer(l.now, &p)
	l.countRefusal(&d)
	if d.Verdict != Forward {
		l.schedule(loadDelay, func() { l.reset(f.consumer) })
		return
	}
	l.centre.placed = append(l.centre.placed, d.Endpoint.ID)
	e := l.byID[d.Endpoint.ID]
	if l.faulty(e) && e.Unreachable {
		return
	}
	if l.faulty(e) && e.Ended {
		l.schedule(2*loadDelay, func() { l.reset(f.consumer) })
		return
	}
	l.schedule(2*loadDelay, func() {
		if f.endpoint == nil && !f.ended {
			f.endpoint, f.token = e, d.Endpoint.Token
			l.sendPacket(f, 0)
			l.sendRequest(f, r)
		}
	})
}

// sendPacket sends a packet of a flow, and reports whether it was forwarded.
func (l *loadSimulation) sendPacket(f *userFlow, length int) bool {
	p := Packet{
		Consumer: f.consumer, Destination: l.c.destination(f.consumer), Flags: Acknowledge, Sequence: f.sequence, Ack: f.ack, Length: length, Token: f.token,
	}
	d := l.engineOf(f.consumer).Steer(l.now, &p)
	if d.Verdict == Reset {
		l.schedule(loadDelay/2, func() { l.reset(f.consumer) })
	}
	return d.Verdict == Forward
}

// sendRequest sends a request on a flow, and retransmits it if it doesn't reach the endpoint.
func (l *loadSimulation) sendRequest(f *userFlow, r *userRequest) {
	f.request, r.flow = r, f
	f.requests++
	if r.tries == 0 {
		r.tries = 1
	}
	e := f.endpoint
	if e.Centre != "here" {
		l.otherCentre++
	}
	reached := l.sendPacket(f, 100)
	if reached && l.faulty(e) && e.Ended {
		l.schedule(loadDelay, func() { l.reset(f.consumer) })
		return
	}
	if reached && !(l.faulty(e) && e.Unreachable) {
		l.schedule(loadDelay, func() { l.process(e, f, r) })
		return
	}
	for _, at := range []clock.Millis{200, 600, 1400} {
		l.schedule(at, func() {
			if !r.done && !f.ended && f.request == r {
				l.sendPacket(f, 100)
			}
		})
	}
}

// process makes an endpoint process a request when a slot is free. At its queue limit the
// endpoint rejects the request.
func (l *loadSimulation) process(e *loadEndpoint, f *userFlow, r *userRequest) {
	if e.QueueLimit > 0 && len(e.queue) >= e.QueueLimit && e.busy >= e.Slots {
		l.centre.rejected++
		l.schedule(loadDelay, func() { l.receiveRejection(f, r) })
		return
	}
	if e.busy >= e.Slots {
		e.queue = append(e.queue, func() { l.process(e, f, r) })
		return
	}
	e.busy++
	e.served++
	workTime := clock.Millis(float64(l.c.Work) * (0.5 + l.random.Float64()) / e.Speed)
	size := normalSize/2 + l.random.IntN(normalSize)
	if l.faulty(e) && e.Errors {
		workTime, size = 1, errorSize
	}
	if l.faulty(e) && e.SlowFactor > 0 {
		workTime = clock.Millis(float64(workTime) * e.SlowFactor)
	}
	mute := l.faulty(e) && l.random.Float64() < e.UnansweredShare
	e.busyTime += workTime
	l.schedule(workTime, func() {
		e.busy--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next()
		}
		if !mute && !(l.faulty(e) && e.Unreachable) {
			l.schedule(loadDelay, func() { l.receiveAnswer(f, r, size, l.faulty(e) && e.Errors) })
		}
	})
}

// receiveRejection handles the rejection of a request by an endpoint at capacity. The
// request was not processed, so the user retries it on a new flow.
func (l *loadSimulation) receiveRejection(f *userFlow, r *userRequest) {
	if r.done || f.ended {
		return
	}
	f.sequence += 100
	f.ack += errorSize
	l.sendPacket(f, 0)
	l.abortFlow(f)
	if r.tries >= loadMaxTries {
		l.failRequest(r, nil)
		return
	}
	l.openFlow(r)
}

// receiveAnswer handles an answer at its user, whose next packet acknowledges it.
func (l *loadSimulation) receiveAnswer(f *userFlow, r *userRequest, size int, isError bool) {
	if r.done || f.ended {
		return
	}
	f.sequence += 100
	f.ack += uint32(size)
	l.sendPacket(f, 0)
	r.done = true
	l.countAnswered(r)
	if isError {
		if !r.gotError {
			r.gotError = true
			l.failed++
		}
		if !l.c.NotIdempotent && r.tries < loadMaxTries {
			r.done = false
			l.abortFlow(f)
			l.openFlow(r) // each further try uses a new flow
			return
		}
	} else if l.now-r.since > l.c.LateAfter {
		l.late++
	}
	if l.c.FlowPerRequest {
		l.abortFlow(f)
	}
	l.schedule(l.think(r.user), func() { l.startRequest(r.user, f) })
}

func (l *loadSimulation) think(user int) clock.Millis {
	return 1 + clock.Millis(l.random.ExpFloat64()*float64(l.c.Think)*l.wave()*l.burst(user))
}

// failRequest ends a request without an answer. Its user aborts the flow.
func (l *loadSimulation) failRequest(r *userRequest, f *userFlow) {
	r.done = true
	if !r.gotError {
		l.failed++
	}
	if f != nil && !f.ended {
		l.abortFlow(f)
	}
	l.schedule(l.think(r.user), func() { l.startRequest(r.user, nil) })
}

// abortFlow makes the user of a flow abort it.
func (l *loadSimulation) abortFlow(f *userFlow) {
	f.ended = true
	p := Packet{Consumer: f.consumer, Destination: l.c.destination(f.consumer), Flags: Abort, Sequence: f.sequence, Ack: f.ack, Token: f.token}
	l.engineOf(f.consumer).Steer(l.now, &p)
}

func (l *loadSimulation) check() {
	c := l.c
	require.Positive(l.t, l.requests)
	l.t.Logf("%d requests, %d failed, %d late, %d flows reset, %d in other data centres, %d served by %s", l.requests, l.failed, l.late, l.resets, l.otherCentre, c.Endpoints[0].served, c.Endpoints[0].ID)
	require.LessOrEqual(l.t, l.failed, c.MaxFailed, "failed requests")
	require.LessOrEqual(l.t, float64(l.late)/float64(l.requests), c.MaxLateShare, "share of late requests")
	require.LessOrEqual(l.t, float64(l.otherCentre)/float64(l.requests), c.MaxOtherCentreShare, "share of requests in other data centres")
	if c.WantResets != nil {
		require.Equal(l.t, *c.WantResets, l.resets, "flows reset")
	}
	if c.MaxImbalance > 0 {
		sum, highest := 0.0, 0.0
		for i := range c.Endpoints {
			share := float64(c.Endpoints[i].busyTime) / float64(c.Endpoints[i].Slots)
			sum += share
			highest = max(highest, share)
		}
		require.LessOrEqual(l.t, highest*float64(len(c.Endpoints))/sum, c.MaxImbalance, "imbalance")
	}
	for i, least := range c.MinServed {
		require.GreaterOrEqual(l.t, c.Endpoints[i].served, least, "served by %s", c.Endpoints[i].ID)
	}
	for _, id := range c.LeastLoaded {
		for i := range c.Endpoints {
			if o := &c.Endpoints[i]; o.ID != id {
				require.Less(l.t, l.byID["i-"+id].served, o.served, "requests served by %s and %s", id, o.ID)
			}
		}
	}
}
