package steering

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// loadCase is one load of testdata/load: users with long flows, who send requests to
// endpoints of a service through one instance, and what they have to get.
type loadCase struct {
	Name      string         `yaml:"name"`
	Span      clock.Millis   `yaml:"span"`
	Users     int            `yaml:"users"`
	Think     clock.Millis   `yaml:"think"` // mean pause between two requests of a user
	Work      clock.Millis   `yaml:"work"`  // mean time of a request at an endpoint of speed 1
	Once      bool           `yaml:"once"`  // requests must not be repeated
	Fresh     bool           `yaml:"fresh"` // a flow for each request
	Endpoints []loadEndpoint `yaml:"endpoints"`

	Failed  int          `yaml:"failed"`  // requests that fail, at most
	Late    clock.Millis `yaml:"late"`    // a request that takes longer is late
	Lates   float64      `yaml:"lates"`   // share of them, at most
	Spread  float64      `yaml:"spread"`  // largest share of time busy over the mean, at most; 0 for any
	Least   []string     `yaml:"least"`   // endpoints that get fewer requests than any other
	Resets  *int         `yaml:"resets"`  // flows reset by the instance, exactly; nil for any
	Foreign float64      `yaml:"foreign"` // share of requests that leave the data centre, at most
	Served  []int        `yaml:"served"`  // requests that each endpoint works on, at least; nil for any
}

// loadEndpoint is one endpoint and what goes wrong with it.
type loadEndpoint struct {
	ID     string       `yaml:"id"`
	Centre string       `yaml:"centre"` // default here
	Slots  int          `yaml:"slots"`
	Speed  float64      `yaml:"speed"` // default 1
	From   clock.Millis `yaml:"from"`  // when the trouble starts
	Until  clock.Millis `yaml:"until"` // when it ends; 0 for never
	Dark   bool         `yaml:"dark"`  // answers nothing, not even connections
	Ended  bool         `yaml:"ended"` // resets what comes and refuses connections
	Errors bool         `yaml:"errors"`
	Mute   float64      `yaml:"mute"` // share of requests that it never answers
	Room   int          `yaml:"room"` // requests that may wait; more are turned away; 0 for any number
	Slow   float64      `yaml:"slow"` // how many times longer its work takes

	busy   int
	queue  []func()
	spent  clock.Millis
	served int
}

func TestLoads(t *testing.T) {
	var cases []loadCase
	script.Read(t, "testdata/load/load.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			l := newLoadPlay(t, c)
			l.run()
			l.check()
		})
	}
}

// Times of the played load, in ms. They are those of the users' platform.
const (
	loadTrip     = 4 // from a user to an endpoint
	loadDeadline = 2000
	loadTries    = 3
	normalSize   = 900
	errorSize    = 156
)

// event is something that happens at a time.
type loadEvent struct {
	at    clock.Millis
	order int
	do    func()
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

type loadPlay struct {
	t       *testing.T
	c       loadCase
	engine  *Engine
	now     clock.Millis
	queue   loadQueue
	order   int
	random  *rand.Rand
	byID    map[string]*loadEndpoint
	flows   map[AddrPort]*userFlow // by consumer
	port    uint16
	asked   int
	failed  int
	late    int
	resets  int
	foreign int
}

// userFlow is a flow of a user, and the request on it.
type userFlow struct {
	consumer AddrPort
	endpoint *loadEndpoint
	token    Token
	sequence uint32
	ack      uint32
	over     bool
	request  *userRequest
}

// userRequest is one request over its tries.
type userRequest struct {
	user  int
	since clock.Millis
	tries int
	done  bool
	flow  *userFlow // of the latest try
}

func newLoadPlay(t *testing.T, c loadCase) *loadPlay {
	l := &loadPlay{
		t: t, c: c, engine: NewEngine(Settings{Centre: "here", StaleAfter: 1650, Seed: 1}), now: start,
		random: rand.New(rand.NewPCG(1, 1)), byID: map[string]*loadEndpoint{}, flows: map[AddrPort]*userFlow{}, port: 1000,
	}
	route := Route{Name: "desk", Shares: []Share{{Service: "desk", Weight: 1}}, Idempotent: !c.Once}
	l.engine.Handle(l.now, ConfigurationRead{Configuration: &Configuration{
		Version: 1, Revision: 1, IdleTimeout: 15000, Routes: map[AddrPort]Route{routeEnds[""]: route},
	}})
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
	l.engine.Handle(l.now, list)
	return l
}

func (l *loadPlay) after(span clock.Millis, do func()) {
	l.order++
	heap.Push(&l.queue, loadEvent{l.now + span, l.order, do})
}

func (l *loadPlay) run() {
	for u := range l.c.Users {
		l.after(clock.Millis(l.random.Int64N(int64(l.c.Think))), func() { l.ask(u, nil) })
	}
	l.after(tickEvery, l.tick)
	for l.queue.Len() > 0 {
		v := heap.Pop(&l.queue).(loadEvent)
		if v.at > start+l.c.Span {
			return
		}
		l.now = v.at
		v.do()
		l.perform(l.engine.TakeActions())
	}
}

// tickEvery is the daemon's period.
const tickEvery = 100

func (l *loadPlay) tick() {
	l.perform(l.engine.Handle(l.now, RecordsConfirmed{ConfigurationAt: l.now, EndpointsAt: l.now}))
	l.perform(l.engine.Handle(l.now, Ticked{}))
	l.engine.TakeTallies(l.now)
	l.after(tickEvery, l.tick)
}

func (l *loadPlay) troubled(e *loadEndpoint) bool {
	return l.now >= start+e.From && (e.Until == 0 || l.now < start+e.Until)
}

func (l *loadPlay) perform(actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Probe:
			e := l.byID[v.Endpoint]
			end, span := ProbeAnswered, clock.Millis(1)
			if e.Dark && l.troubled(e) {
				end, span = ProbeTimedOut, 300
			}
			if e.Ended && l.troubled(e) {
				end = ProbeRefused
			}
			l.after(span, func() {
				l.perform(l.engine.Handle(l.now, ProbeEnded{Endpoint: v.Endpoint, Incarnation: v.Incarnation, Result: end}))
			})
		case ResetFlow:
			l.resets++
			l.after(loadTrip/2, func() { l.reset(v.Consumer) })
		}
	}
}

// reset ends a flow at its user, who tries a request under way again.
func (l *loadPlay) reset(consumer AddrPort) {
	f := l.flows[consumer]
	if f == nil || f.over {
		return
	}
	f.over = true
	if r := f.request; r != nil && !r.done {
		l.again(r)
	}
}

// again lets a user try once more, on a new flow, if the request may be repeated.
func (l *loadPlay) again(r *userRequest) {
	if l.c.Once || r.tries >= loadTries || l.now-r.since >= loadDeadline {
		l.finish(r, nil)
		return
	}
	l.open(r)
}

// ask starts a request of a user, on a flow if there is one.
func (l *loadPlay) ask(user int, f *userFlow) {
	r := &userRequest{user: user, since: l.now}
	l.asked++
	l.after(loadDeadline, func() {
		if !r.done {
			l.finish(r, r.flow)
		}
	})
	if f != nil && !f.over && !l.c.Fresh {
		l.send(f, r)
		return
	}
	l.open(r)
}

// open opens a flow for a request.
func (l *loadPlay) open(r *userRequest) {
	r.tries++
	l.port++
	f := &userFlow{consumer: AddrPort{uint32(r.user + 1), l.port}, sequence: 100, ack: 50, request: r}
	l.flows[f.consumer], r.flow = f, f
	for n, at := range []clock.Millis{0, 200, 600} {
		l.after(at, func() { l.opening(f, r, uint32(n)) })
	}
}

// opening sends one copy of an opening packet.
func (l *loadPlay) opening(f *userFlow, r *userRequest, copied uint32) {
	if f.endpoint != nil || f.over || r.done {
		return
	}
	p := Packet{Consumer: f.consumer, Destination: routeEnds[""], Flags: Open, Sequence: 99, Ack: copied}
	d := l.engine.Steer(l.now, &p)
	if d.Verdict != Forward {
		l.after(loadTrip, func() { l.reset(f.consumer) })
		return
	}
	e := l.byID[d.Endpoint.ID]
	if l.troubled(e) && e.Dark {
		return
	}
	if l.troubled(e) && e.Ended {
		l.after(2*loadTrip, func() { l.reset(f.consumer) })
		return
	}
	l.after(2*loadTrip, func() {
		if f.endpoint == nil && !f.over {
			f.endpoint, f.token = e, d.Endpoint.Token
			l.packet(f, 0)
			l.send(f, r)
		}
	})
}

// packet sends a packet of a flow, and reports whether it reached its endpoint.
func (l *loadPlay) packet(f *userFlow, length int) bool {
	p := Packet{
		Consumer: f.consumer, Destination: routeEnds[""], Flags: Acknowledge, Sequence: f.sequence, Ack: f.ack, Length: length, Token: f.token,
	}
	d := l.engine.Steer(l.now, &p)
	if d.Verdict == Reset {
		l.after(loadTrip/2, func() { l.reset(f.consumer) })
	}
	return d.Verdict == Forward
}

// send sends a request on a flow, and repeats it while nothing comes back.
func (l *loadPlay) send(f *userFlow, r *userRequest) {
	f.request, r.flow = r, f
	if r.tries == 0 {
		r.tries = 1
	}
	e := f.endpoint
	if e.Centre != "here" {
		l.foreign++
	}
	reached := l.packet(f, 100)
	if reached && l.troubled(e) && e.Ended {
		l.after(loadTrip, func() { l.reset(f.consumer) })
		return
	}
	if reached && !(l.troubled(e) && e.Dark) {
		l.after(loadTrip, func() { l.work(e, f, r) })
		return
	}
	for _, at := range []clock.Millis{200, 600, 1400} {
		l.after(at, func() {
			if !r.done && !f.over && f.request == r {
				l.packet(f, 100)
			}
		})
	}
}

// work lets an endpoint work on a request when a slot is free.
func (l *loadPlay) work(e *loadEndpoint, f *userFlow, r *userRequest) {
	if e.Room > 0 && len(e.queue) >= e.Room && e.busy >= e.Slots {
		l.after(loadTrip, func() { l.turnedAway(f, r) })
		return
	}
	if e.busy >= e.Slots {
		e.queue = append(e.queue, func() { l.work(e, f, r) })
		return
	}
	e.busy++
	e.served++
	span := clock.Millis(float64(l.c.Work) * (0.5 + l.random.Float64()) / e.Speed)
	size := normalSize/2 + l.random.IntN(normalSize)
	if l.troubled(e) && e.Errors {
		span, size = 1, errorSize
	}
	if l.troubled(e) && e.Slow > 0 {
		span = clock.Millis(float64(span) * e.Slow)
	}
	mute := l.troubled(e) && l.random.Float64() < e.Mute
	e.spent += span
	l.after(span, func() {
		e.busy--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next()
		}
		if !mute && !(l.troubled(e) && e.Dark) {
			l.after(loadTrip, func() { l.answer(f, r, size, l.troubled(e) && e.Errors) })
		}
	})
}

// turnedAway brings the answer of an endpoint without room. Nothing has run, so the
// user tries again elsewhere.
func (l *loadPlay) turnedAway(f *userFlow, r *userRequest) {
	if r.done || f.over {
		return
	}
	f.sequence += 100
	f.ack += errorSize
	l.packet(f, 0)
	l.leave(f)
	if r.tries >= loadTries {
		l.finish(r, nil)
		return
	}
	l.open(r)
}

// answer brings an answer to its user, whose next packet acknowledges it.
func (l *loadPlay) answer(f *userFlow, r *userRequest, size int, isError bool) {
	if r.done || f.over {
		return
	}
	f.sequence += 100
	f.ack += uint32(size)
	l.packet(f, 0)
	r.done = true
	if isError {
		l.failed++
	} else if l.now-r.since > l.c.Late {
		l.late++
	}
	if l.c.Fresh {
		l.leave(f)
	}
	l.after(l.think(), func() { l.ask(r.user, f) })
}

func (l *loadPlay) think() clock.Millis {
	return 1 + clock.Millis(l.random.ExpFloat64()*float64(l.c.Think))
}

// finish ends a request that got no answer. Its user leaves the flow.
func (l *loadPlay) finish(r *userRequest, f *userFlow) {
	r.done = true
	l.failed++
	if f != nil && !f.over {
		l.leave(f)
	}
	l.after(l.think(), func() { l.ask(r.user, nil) })
}

// leave lets a user end a flow at once.
func (l *loadPlay) leave(f *userFlow) {
	f.over = true
	p := Packet{Consumer: f.consumer, Destination: routeEnds[""], Flags: Abort, Sequence: f.sequence, Ack: f.ack, Token: f.token}
	l.engine.Steer(l.now, &p)
}

func (l *loadPlay) check() {
	c := l.c
	require.Positive(l.t, l.asked)
	l.t.Logf("%d asked, %d failed, %d late, %d reset, %d foreign, %d served by %s", l.asked, l.failed, l.late, l.resets, l.foreign, c.Endpoints[0].served, c.Endpoints[0].ID)
	require.LessOrEqual(l.t, l.failed, c.Failed, "failed")
	require.LessOrEqual(l.t, float64(l.late)/float64(l.asked), c.Lates, "late")
	require.LessOrEqual(l.t, float64(l.foreign)/float64(l.asked), c.Foreign, "foreign")
	if c.Resets != nil {
		require.Equal(l.t, *c.Resets, l.resets, "resets")
	}
	if c.Spread > 0 {
		sum, most := 0.0, 0.0
		for i := range c.Endpoints {
			share := float64(c.Endpoints[i].spent) / float64(c.Endpoints[i].Slots)
			sum += share
			most = max(most, share)
		}
		require.LessOrEqual(l.t, most*float64(len(c.Endpoints))/sum, c.Spread, "spread")
	}
	for i, least := range c.Served {
		require.GreaterOrEqual(l.t, c.Endpoints[i].served, least, "served by %s", c.Endpoints[i].ID)
	}
	for _, id := range c.Least {
		for i := range c.Endpoints {
			if o := &c.Endpoints[i]; o.ID != id {
				require.Less(l.t, l.byID["i-"+id].served, o.served, "%s against %s", id, o.ID)
			}
		}
	}
}
