package instance_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/packet"
)

// loadTrial drives an open load through instances of unequal size and endpoints
// of unequal speed, on the fake clock.
type loadTrial struct {
	Load     float64      // mean load as a share of capacity
	Swing    float64      // share by which demand swings around the mean
	Long     bool         // 5 in 100 requests run longFactor times as long
	Slots    int          // of each endpoint
	Span     clock.Millis // time measured
	Deadline clock.Millis // of short requests
}

const (
	trialEndpoints = 14
	trialCallers   = 64
	trialWork      = 60.0 // ms of a short request at speed 1, on average
	longShare      = 0.05
	longFactor     = 30.0
	swingPeriod    = 4 * clock.Second
	trialJoin      = 5 * clock.Second
	trialWarm      = 6 * clock.Second // learning, not counted
	longDeadline   = 20 * clock.Second
)

// loadFigures is what a trial brought.
type loadFigures struct {
	P50, P99, LongP50, LongP99 float64
	Refused                    float64 // share of requests that ended without an answer
	Goodput                    float64 // share of offered work answered in time
	Rate                       float64 // requests answered in time a second
	Imbalance                  float64 // largest to mean load per capacity
	Excess                     int     // largest number of runs beyond an endpoint's slots
	Bytes                      float64 // to other instances, a second and instance
}

type trialRequest struct {
	body string
	long bool
	at   clock.Millis
	c    *fakeCaller
	cost float64
}

// trialRun is a trial under way.
type trialRun struct {
	loadTrial
	f       *frame
	costs   map[string]float64 // ms at speed 1, by request body
	work    map[string]float64 // ms worked while measured, by endpoint
	callers []*fakeCaller
	all     []trialRequest
	rate    float64 // requests a ms
	start   clock.Millis
}

func trialAddress(i int) string { return fmt.Sprintf("127.3.0.%d:80", i+1) }

func (l loadTrial) run(t *testing.T, seed uint64) loadFigures {
	r := &trialRun{loadTrial: l, f: newFrame(t, seed), costs: make(map[string]float64), work: make(map[string]float64)}
	f := r.f
	r.desk()
	f.run(trialJoin)
	for range trialCallers {
		r.callers = append(r.callers, f.addCaller("orders"))
	}
	r.start = f.now
	r.next()
	f.run(trialWarm)
	for _, d := range f.nodes {
		d.bytes = 0
	}
	f.run(l.Span)
	bytes := 0
	for _, d := range f.nodes {
		bytes += d.bytes
	}
	busy := make([]float64, 0, trialEndpoints)
	for i := range trialEndpoints {
		busy = append(busy, r.work[trialAddress(i)])
	}
	f.run(longDeadline + clock.Second)
	return l.figures(f, r.all, r.start, busy, bytes)
}

// desk starts the endpoints and instances.
func (r *trialRun) desk() {
	f := r.f
	f.putJSON("service", "orders", 2, map[string]any{"queue": 10_000, "deadline": 30_000})
	capacity := 0.0
	for i := range trialEndpoints {
		speed := float64(1 + i%4)
		capacity += speed * float64(r.Slots)
		address := trialAddress(i)
		b := f.addBackend(fmt.Sprintf("orders-%d", i), "orders", "riga-1", address, r.Slots, 0)
		b.cost = func(body string) clock.Millis {
			span := max(1, clock.Millis(r.costs[body]/speed))
			if f.now > frameStart+trialJoin+trialWarm {
				r.work[address] += float64(span)
			}
			return span
		}
	}
	for i, size := range []float64{1, 1, 2, 1, 2, 1, 1, 2} {
		f.addSized(fmt.Sprintf("entry-%d", i+1), "riga-1", size)
	}
	r.rate = r.Load * capacity / (trialWork * (1 + longShare*(longFactor-1)))
}

// next sends a request and waits for the next one's time.
func (r *trialRun) next() {
	f := r.f
	if f.now >= r.start+trialWarm+r.Span {
		return
	}
	if long := f.random.Float64() < longShare; !long || r.Long {
		r.send(long)
	}
	phase := 2 * math.Pi * float64((f.now-r.start)%swingPeriod) / float64(swingPeriod)
	f.trialNext(f.random.ExpFloat64()/(r.rate*(1+r.Swing*math.Sin(phase))), r.next)
}

func (r *trialRun) send(long bool) {
	f := r.f
	q := trialRequest{long: long, at: f.now, body: fmt.Sprintf("request %d ", len(r.all)), cost: trialWork * (2.0/3 + f.random.Float64()*2/3)}
	class, deadline := packet.ClassShort, r.Deadline
	if long {
		q.cost *= longFactor
		class, deadline = packet.ClassLong, longDeadline
	}
	r.costs[q.body] = q.cost
	q.c = r.callers[f.random.IntN(len(r.callers))]
	r.all = append(r.all, q)
	q.c.next++
	q.c.bodies[q.c.next] = q.body
	q.c.handle(caller.RequestStarted{CallID: q.c.next, Request: caller.Request{Body: []byte(q.body), Class: class, Deadline: deadline}})
}

// trialNext calls run after a span in parts of a ms, which are carried over.
func (f *frame) trialNext(span float64, run func()) {
	f.carry += span
	whole := math.Floor(f.carry)
	f.carry -= whole
	f.after(clock.Millis(whole), run)
}

func (l loadTrial) figures(f *frame, all []trialRequest, start clock.Millis, busy []float64, bytes int) loadFigures {
	var short, long []float64
	offered, failed, good, answered := 0, 0, 0.0, 0
	total := 0.0
	for _, r := range all {
		if r.at < start+trialWarm {
			continue
		}
		offered++
		total += r.cost
		if !r.c.answered(r.body) {
			failed++
			continue
		}
		answered++
		good += r.cost
		took := float64(r.c.times[r.body] - r.at)
		if r.long {
			long = append(long, took)
		} else {
			short = append(short, took)
		}
	}
	excess := 0
	for _, b := range f.backends {
		excess = max(excess, b.peak-b.slots)
	}
	sum := 0.0
	for _, x := range busy {
		sum += x
	}
	return loadFigures{
		P50: quantile(short, 0.5), P99: quantile(short, 0.99), LongP50: quantile(long, 0.5), LongP99: quantile(long, 0.99),
		Refused: float64(failed) / float64(offered), Goodput: good / total,
		Rate:      float64(answered) / float64(l.Span) * 1000,
		Imbalance: slices.Max(busy) / (sum / float64(len(busy))), Excess: excess,
		Bytes: float64(bytes) / float64(l.Span) * 1000 / float64(len(f.nodes)),
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// TestPolicyUnderLoad bounds the figures of the policy on the fake clock; run it
// with -v to see them.
func TestPolicyUnderLoad(t *testing.T) {
	var cases []loadCase
	script.Read(t, "testdata/load.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

// loadCase is a trial with the bounds of its figures; a bound of 0 is not checked.
type loadCase struct {
	Name      string  `yaml:"name"`
	Load      float64 `yaml:"load"`
	Swing     float64 `yaml:"swing"`
	Slots     int     `yaml:"slots"`
	Cost      float64 `yaml:"cost"`
	Imbalance float64 `yaml:"imbalance"`
	Refused   float64 `yaml:"refused"`
	Goodput   float64 `yaml:"goodput"`
	Long      float64 `yaml:"long"`
}

func (c loadCase) check(t *testing.T) {
	trial := loadTrial{Load: c.Load, Swing: c.Swing, Slots: c.Slots, Long: true, Span: 24 * clock.Second, Deadline: 2 * clock.Second}
	with := trial.run(t, 1)
	t.Logf("%+v", with)
	require.Zero(t, with.Excess)
	require.LessOrEqual(t, with.Refused, c.Refused)
	require.GreaterOrEqual(t, with.Goodput*c.Load, c.Goodput)
	if c.Imbalance > 0 {
		require.LessOrEqual(t, with.Imbalance, c.Imbalance)
	}
	if c.Long > 0 {
		require.LessOrEqual(t, with.LongP99, c.Long)
	}
	if c.Cost > 0 {
		trial.Long = false
		without := trial.run(t, 1)
		t.Logf("without the long: %+v", without)
		require.LessOrEqual(t, with.P99/without.P99, c.Cost)
	}
}

// slotsCase changes the instances under load and bounds what runs beyond slots.
type slotsCase struct {
	Name   string `yaml:"name"`
	Change string `yaml:"change"`
	Work   int64  `yaml:"work"`
	Excess int    `yaml:"excess"`
}

func TestSlotsHoldWhileInstancesChange(t *testing.T) {
	var cases []slotsCase
	script.Read(t, "testdata/slots.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

func (c slotsCase) check(t *testing.T) {
	f := newFrame(t, 1)
	f.desk(4, 8)
	for _, b := range f.backends {
		b.work = clock.Millis(c.Work)
	}
	var flows []*fakeCaller
	for range 16 {
		flows = append(flows, f.addCaller("orders"))
	}
	stop := f.now + 8*clock.Second
	number := 0
	var next func()
	next = func() {
		if f.now < stop {
			number++
			flows[number%len(flows)].request(fmt.Sprintf("request %d ", number), false, 10*clock.Second)
			f.after(clock.Millis(c.Work)/14+1, next)
		}
	}
	next()
	f.run(2 * clock.Second)
	for _, b := range f.backends {
		b.peak = b.busy
	}
	switch c.Change {
	case "leave":
		f.node("entry-2").handle(instance.StopRequested{})
	case "join":
		f.addNode("entry-5", "riga-1")
	case "kill":
		f.node("entry-2").kill()
	}
	f.run(20 * clock.Second)
	excess, over := 0, 0
	for _, b := range f.backends {
		excess = max(excess, b.peak-b.slots)
		over += max(0, b.peak-b.slots)
	}
	t.Logf("%d runs beyond the slots of one endpoint, %d over all", excess, over)
	require.LessOrEqual(t, excess, c.Excess)
	for _, w := range flows {
		require.True(t, w.done())
	}
}
