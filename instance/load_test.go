package instance_test

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
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
	body  string
	long  bool
	at    clock.Millis
	c     *fakeCaller
	cost  float64
	limit clock.Millis
}

func (l loadTrial) run(t *testing.T, seed uint64) loadFigures {
	f := newFrame(t, seed)
	f.putJSON("service", "orders", 2, map[string]any{"queue": 10_000, "deadline": 30_000})
	costs := make(map[string]float64)
	work := make(map[string]float64)
	capacity := 0.0
	for i := range trialEndpoints {
		speed := float64(1 + i%4)
		capacity += speed * float64(l.Slots)
		address := fmt.Sprintf("127.3.0.%d:80", i+1)
		b := f.addBackend(fmt.Sprintf("orders-%d", i), "orders", "riga-1", address, l.Slots, 0)
		b.cost = func(body string) clock.Millis {
			span := max(1, clock.Millis(costs[body]/speed))
			if f.now > frameStart+5*clock.Second+trialWarm {
				work[address] += float64(span)
			}
			return span
		}
	}
	sizes := []float64{1, 1, 2, 1, 2, 1, 1, 2}
	for i, size := range sizes {
		f.addSized(fmt.Sprintf("entry-%d", i+1), "riga-1", size)
	}
	f.run(5 * clock.Second)
	var callers []*fakeCaller
	for range trialCallers {
		callers = append(callers, f.addCaller("orders"))
	}
	mean := trialWork * (1 + longShare*(longFactor-1))
	rate := l.Load * capacity / mean // requests a ms, with the long
	var all []trialRequest
	start := f.now
	end := start + trialWarm + l.Span
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		long := f.random.Float64() < longShare
		if !long || l.Long {
			cost := trialWork * (2.0/3 + f.random.Float64()*2/3)
			r := trialRequest{long: long, at: f.now, limit: l.Deadline, body: fmt.Sprintf("request %d ", len(all))}
			class := packet.ClassShort
			if long {
				cost *= longFactor
				class = packet.ClassLong
				r.limit = longDeadline
			}
			r.cost = cost
			costs[r.body] = cost
			r.c = callers[f.random.IntN(len(callers))]
			all = append(all, r)
			r.c.next++
			r.c.bodies[r.c.next] = r.body
			r.c.handle(caller.RequestStarted{Call: r.c.next, Request: caller.Request{Body: []byte(r.body), Class: class, Deadline: r.limit}})
		}
		phase := 2 * math.Pi * float64((f.now-start)%swingPeriod) / float64(swingPeriod)
		now := rate * (1 + l.Swing*math.Sin(phase))
		f.trialNext(f.random.ExpFloat64()/now, next)
	}
	next()
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
		busy = append(busy, work[fmt.Sprintf("127.3.0.%d:80", i+1)])
	}
	f.run(longDeadline + clock.Second)
	return l.figures(f, all, start, busy, bytes)
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
	if os.Getenv("TRIAL") == "all" {
		for i := range trialEndpoints {
			b := f.backends[fmt.Sprintf("127.3.0.%d:80", i+1)]
			f.t.Logf("endpoint %s of %s speed %d used %.3f", b.address, b.last, 1+i%4, busy[i]/float64(l.Span)/float64(l.Slots))
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

// TestLoadTrial prints the figures of the policy under load; run it with -v.
func TestLoadTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	cases := []loadTrial{
		{Load: 0.7, Swing: 0.4, Long: true, Slots: 2},
		{Load: 0.7, Swing: 0.4, Long: false, Slots: 2},
		{Load: 0.85, Long: true, Slots: 2},
		{Load: 0.85, Long: false, Slots: 2},
		{Load: 1, Long: true, Slots: 2},
		{Load: 1.5, Long: true, Slots: 2},
		{Load: 0.85, Long: true, Slots: 3},
	}
	for i, c := range cases {
		if only := os.Getenv("CASES"); only != "" && !strings.Contains(only, strconv.Itoa(i)) {
			continue
		}
		c.Span, c.Deadline = 32*clock.Second, 2*clock.Second
		g := c.run(t, 1)
		t.Logf("load=%v swing=%v long=%v slots=%d: %+v", c.Load, c.Swing, c.Long, c.Slots, g)
		require.Zero(t, 0)
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
