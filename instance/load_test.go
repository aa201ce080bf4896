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

// loadTrial is a simulation with an open load, instances of unequal size and endpoints of
// unequal speed.
type loadTrial struct {
	Load     float64      // mean load as a share of capacity
	Swing    float64      // amplitude of the load around the mean, as a share
	Long     bool         // 5 in 100 requests run longFactor times as long
	Slots    int          // of each endpoint
	Span     clock.Millis // measured time
	Deadline clock.Millis // of short requests
}

const (
	trialEndpoints = 14
	trialCallers   = 64
	trialRunTime   = 60.0 // mean run time of a short request at speed 1, in ms
	longShare      = 0.05
	longFactor     = 30.0
	swingPeriod    = 4 * clock.Second
	trialJoinTime  = 5 * clock.Second
	trialWarmUp    = 6 * clock.Second // averages are learned; not measured
	longDeadline   = 20 * clock.Second
)

// loadResult holds the measurements of a trial.
type loadResult struct {
	P50, P99, LongP50, LongP99 float64
	Refused                    float64 // share of requests that ended without an answer
	Goodput                    float64 // share of offered work answered in time
	Rate                       float64 // requests answered in time per second
	Imbalance                  float64 // largest to mean load per capacity
	Excess                     int     // largest number of runs beyond an endpoint's slots
	Bytes                      float64 // sent to other instances, per second and instance
}

type trialRequest struct {
	body    string
	long    bool
	at      clock.Millis
	caller  *fakeCaller
	runTime float64
}

// trialRun is a trial in progress.
type trialRun struct {
	loadTrial
	sim       *simulation
	runTimes  map[string]float64 // by request body, at speed 1, in ms
	workTimes map[string]float64 // sum of run times during the measured time by endpoint, in ms
	callers   []*fakeCaller
	requests  []trialRequest
	rate      float64 // requests per ms
	start     clock.Millis
}

func trialAddress(i int) string { return fmt.Sprintf("127.3.0.%d:80", i+1) }

func (l loadTrial) run(t *testing.T, seed uint64) loadResult {
	r := &trialRun{loadTrial: l, sim: newSimulation(t, seed), runTimes: make(map[string]float64), workTimes: make(map[string]float64)}
	sim := r.sim
	r.setUp()
	sim.advance(trialJoinTime)
	for range trialCallers {
		r.callers = append(r.callers, sim.addCaller("orders"))
	}
	r.start = sim.now
	r.sendNext()
	sim.advance(trialWarmUp)
	for _, d := range sim.daemons {
		d.bytesToPeers = 0
	}
	sim.advance(l.Span)
	bytes := 0
	for _, d := range sim.daemons {
		bytes += d.bytesToPeers
	}
	workTimes := make([]float64, 0, trialEndpoints)
	for i := range trialEndpoints {
		workTimes = append(workTimes, r.workTimes[trialAddress(i)])
	}
	sim.advance(longDeadline + clock.Second)
	return l.result(sim, r.requests, r.start, workTimes, bytes)
}

// setUp starts the endpoints and instances.
func (r *trialRun) setUp() {
	sim := r.sim
	sim.putJSON("service", "orders", 2, map[string]any{"queue": 10_000, "deadline": 30_000})
	capacity := 0.0
	for i := range trialEndpoints {
		speed := float64(1 + i%4)
		capacity += speed * float64(r.Slots)
		address := trialAddress(i)
		b := sim.addBackend(fmt.Sprintf("orders-%d", i), "orders", "riga-1", address, r.Slots, 0)
		b.runTimeByBody = func(body string) clock.Millis {
			span := max(1, clock.Millis(r.runTimes[body]/speed))
			if sim.now > simulationStart+trialJoinTime+trialWarmUp {
				r.workTimes[address] += float64(span)
			}
			return span
		}
	}
	for i, size := range []float64{1, 1, 2, 1, 2, 1, 1, 2} {
		sim.addSizedInstance(fmt.Sprintf("entry-%d", i+1), "riga-1", size)
	}
	r.rate = r.Load * capacity / (trialRunTime * (1 + longShare*(longFactor-1)))
}

// sendNext sends a request and schedules the next one.
func (r *trialRun) sendNext() {
	sim := r.sim
	if sim.now >= r.start+trialWarmUp+r.Span {
		return
	}
	if long := sim.random.Float64() < longShare; !long || r.Long {
		r.send(long)
	}
	phase := 2 * math.Pi * float64((sim.now-r.start)%swingPeriod) / float64(swingPeriod)
	sim.scheduleFraction(sim.random.ExpFloat64()/(r.rate*(1+r.Swing*math.Sin(phase))), r.sendNext)
}

func (r *trialRun) send(long bool) {
	sim := r.sim
	q := trialRequest{long: long, at: sim.now, body: fmt.Sprintf("request %d ", len(r.requests)), runTime: trialRunTime * (2.0/3 + sim.random.Float64()*2/3)}
	class, deadline := packet.ClassShort, r.Deadline
	if long {
		q.runTime *= longFactor
		class, deadline = packet.ClassLong, longDeadline
	}
	r.runTimes[q.body] = q.runTime
	q.caller = r.callers[sim.random.IntN(len(r.callers))]
	r.requests = append(r.requests, q)
	q.caller.lastCall++
	q.caller.bodies[q.caller.lastCall] = q.body
	q.caller.handle(caller.RequestStarted{CallID: q.caller.lastCall, Request: caller.Request{Body: []byte(q.body), Class: class, Deadline: deadline}})
}

// scheduleFraction calls run after a span in ms. The part below a whole ms is carried over to
// the next call.
func (sm *simulation) scheduleFraction(span float64, run func()) {
	sm.fraction += span
	whole := math.Floor(sm.fraction)
	sm.fraction -= whole
	sm.after(clock.Millis(whole), run)
}

func (l loadTrial) result(sim *simulation, requests []trialRequest, start clock.Millis, workTimes []float64, bytes int) loadResult {
	var short, long []float64
	offered, failed, good, answered := 0, 0, 0.0, 0
	total := 0.0
	for _, r := range requests {
		if r.at < start+trialWarmUp {
			continue
		}
		offered++
		total += r.runTime
		if !r.caller.answered(r.body) {
			failed++
			continue
		}
		answered++
		good += r.runTime
		latency := float64(r.caller.endedAt[r.body] - r.at)
		if r.long {
			long = append(long, latency)
		} else {
			short = append(short, latency)
		}
	}
	excess := 0
	for _, b := range sim.backends {
		excess = max(excess, b.maxRunning-b.slots)
	}
	sum := 0.0
	for _, x := range workTimes {
		sum += x
	}
	return loadResult{
		P50: quantile(short, 0.5), P99: quantile(short, 0.99), LongP50: quantile(long, 0.5), LongP99: quantile(long, 0.99),
		Refused: float64(failed) / float64(offered), Goodput: good / total,
		Rate:      float64(answered) / float64(l.Span) * 1000,
		Imbalance: slices.Max(workTimes) / (sum / float64(len(workTimes))), Excess: excess,
		Bytes: float64(bytes) / float64(l.Span) * 1000 / float64(len(sim.daemons)),
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// TestPolicyUnderLoad guards against load balancing that gets worse: it bounds latency,
// imbalance, refusals and goodput under load. With -v it prints the measurements.
func TestPolicyUnderLoad(t *testing.T) {
	var cases []loadCase
	script.Read(t, "testdata/load.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

// loadCase is a trial with the bounds of its measurements; a bound of 0 isn't checked.
type loadCase struct {
	Name            string  `yaml:"name"`
	Load            float64 `yaml:"load"`
	Swing           float64 `yaml:"swing"`
	Slots           int     `yaml:"slots"`
	MaxLatencyRatio float64 `yaml:"cost"`
	MaxImbalance    float64 `yaml:"imbalance"`
	MaxRefused      float64 `yaml:"refused"`
	MinGoodput      float64 `yaml:"goodput"`
	MaxLongP99      float64 `yaml:"long"`
}

func (c loadCase) check(t *testing.T) {
	trial := loadTrial{Load: c.Load, Swing: c.Swing, Slots: c.Slots, Long: true, Span: 24 * clock.Second, Deadline: 2 * clock.Second}
	with := trial.run(t, 1)
	t.Logf("%+v", with)
	require.Zero(t, with.Excess)
	require.LessOrEqual(t, with.Refused, c.MaxRefused)
	require.GreaterOrEqual(t, with.Goodput*c.Load, c.MinGoodput)
	if c.MaxImbalance > 0 {
		require.LessOrEqual(t, with.Imbalance, c.MaxImbalance)
	}
	if c.MaxLongP99 > 0 {
		require.LessOrEqual(t, with.LongP99, c.MaxLongP99)
	}
	if c.MaxLatencyRatio > 0 {
		trial.Long = false
		without := trial.run(t, 1)
		t.Logf("without the long: %+v", without)
		require.LessOrEqual(t, with.P99/without.P99, c.MaxLatencyRatio)
	}
}

// slotsCase is a change of the instances under load, with the bound of runs beyond slots.
type slotsCase struct {
	Name      string `yaml:"name"`
	Change    string `yaml:"change"`
	RunTime   int64  `yaml:"work"`
	MaxExcess int    `yaml:"excess"`
}

// Guards against overloaded endpoints: while an endpoint moves to another instance, both the
// old and the new dispatcher have runs there.
func TestSlotLimitsWhileInstancesChange(t *testing.T) {
	var cases []slotsCase
	script.Read(t, "testdata/slots.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

func (c slotsCase) check(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.startOrdersService(4, 8)
	for _, b := range sim.backends {
		b.runTime = clock.Millis(c.RunTime)
	}
	var flows []*fakeCaller
	for range 16 {
		flows = append(flows, sim.addCaller("orders"))
	}
	stop := sim.now + 8*clock.Second
	number := 0
	var next func()
	next = func() {
		if sim.now < stop {
			number++
			flows[number%len(flows)].request(fmt.Sprintf("request %d ", number), false, 10*clock.Second)
			sim.after(clock.Millis(c.RunTime)/14+1, next)
		}
	}
	next()
	sim.advance(2 * clock.Second)
	for _, b := range sim.backends {
		b.maxRunning = b.running
	}
	switch c.Change {
	case "leave":
		sim.daemon("entry-2").handle(instance.StopRequested{})
	case "join":
		sim.addInstance("entry-5", "riga-1")
	case "kill":
		sim.daemon("entry-2").kill()
	}
	sim.advance(20 * clock.Second)
	excess, total := 0, 0
	for _, b := range sim.backends {
		excess = max(excess, b.maxRunning-b.slots)
		total += max(0, b.maxRunning-b.slots)
	}
	t.Logf("%d runs beyond the slots of one endpoint, %d over all", excess, total)
	require.LessOrEqual(t, excess, c.MaxExcess)
	for _, flow := range flows {
		require.True(t, flow.allEnded())
	}
}
