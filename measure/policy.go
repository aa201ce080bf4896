package measure

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/load"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

var policyVerb = verb{
	name:    "policy",
	summary: "decisions under load, against simpler policies",
	usage: `Starts 8 entry daemons of unequal size, 14 backend servers of speed 1 to 4, a
platform and a fabric, and drives requests over many flows at a rate that does
not wait for answers. 5 in 100 requests run 30 times as long as the others.

Policies: learnt (tanagerdock's; its records hold no weights), random (by
capacity) and outstanding (each instance by its own outstanding work); the latter
two are told the true speeds as weights. Cases: warm (not a result), swing (mean
0.7 of capacity, 0.6 to 1.4 of it every 4 s), swingshort (the same without the
long), steady (0.85), steadyshort, capacity (1.0), over (1.5).

Lines begin with policy_case_:
  short_p50_ms, short_p99_ms, long_p50_ms, long_p99_ms   times of answered requests
  imbalance        largest to mean share of its slots' time that an endpoint worked
  used             mean of that share
  goodput          requests answered a second; goodput_work: the share of capacity;
                   both by the time of the load, while queues drain after it;
                   goodput_elapsed: goodput_work by the time until the last answer
  refused          share of requests that ended without their answer
  retries          share of requests sent again, by callers and by instances
  beat_bytes, load_bytes   heartbeats, and queue state on packets passed on: bytes
                           a second an instance
  entry_cpu        processors the entry daemons used; machine_load: load average
Then ratios: swing_cost and steady_cost (short p99 with the long to without) and
over_ratio (goodput over capacity to at capacity, by requests and by work).`,
	setUp: func(flags *flag.FlagSet) work {
		m := &policyRun{}
		flags.StringVar(&m.bin, "bin", "bin", "`directory` of the programs")
		flags.DurationVar(&m.span, "span", 20*time.Second, "time of each case")
		flags.IntVar(&m.slots, "slots", 2, "slots of each endpoint")
		flags.IntVar(&m.flows, "flows", 200, "flows")
		flags.Uint64Var(&m.seed, "seed", 1, "seed of the load")
		names := flags.String("policies", "learnt,random,outstanding", "policies, separated by commas")
		cases := flags.String("cases", "warm,swing,swingshort,steady,steadyshort,capacity,over", "cases, separated by commas")
		return func(ctx context.Context, p *printer) error {
			m.cases = strings.Split(*cases, ",")
			return m.run(ctx, p, strings.Split(*names, ","))
		}
	},
}

// Sizes of the policy measurement.
const (
	policyEndpoints = 14
	policySpeeds    = 4  // endpoints have speeds 1 to this
	policyLeast     = 40 // ms of work of the shortest short request at speed 1
	policyMost      = 80
	policyLong      = 30   // work of a long request in mean short ones
	policyShare     = 0.05 // of requests that are long
	policyPeriod    = 4 * clock.Second
	policyDeadline  = 10 * clock.Second
	policyJoin      = 6 * time.Second // until every instance dispatches its endpoints
)

var policySizes = []float64{1, 1, 2, 1, 2, 1, 1, 2}

// policyCase is one load.
type policyCase struct {
	load  float64 // share of capacity
	swing float64
	long  bool
}

var policyCases = map[string]policyCase{
	"warm": {load: 0.5, long: true}, "swing": {load: 0.7, swing: 0.4, long: true}, "swingshort": {load: 0.7, swing: 0.4},
	"steady": {load: 0.85, long: true}, "steadyshort": {load: 0.85}, "capacity": {load: 1, long: true}, "over": {load: 1.5, long: true},
}

// policyRun measures policies one after the other.
type policyRun struct {
	bin          string
	span         time.Duration
	slots, flows int
	seed         uint64
	cases        []string

	stage    *stage
	fabric   *process
	backends []*process
	results  map[string]policyResult
}

// policyResult is what the ratios are made of.
type policyResult struct{ p99, goodput, work, elapsed float64 }

func (m *policyRun) run(ctx context.Context, p *printer, names []string) error {
	for _, name := range names {
		if err := m.measure(ctx, p, name); err != nil {
			return errors.Wrapf(err, "policy %s", name)
		}
	}
	return nil
}

func (m *policyRun) measure(ctx context.Context, p *printer, name string) error {
	if err := m.start(ctx, name); err != nil {
		return err
	}
	defer m.stage.close()
	m.results = make(map[string]policyResult)
	for _, c := range m.cases {
		if err := m.drive(ctx, p, name, c); err != nil {
			return errors.Wrapf(err, "case %s", c)
		}
	}
	for ratio, of := range map[string][2]string{"swing_cost": {"swing", "swingshort"}, "steady_cost": {"steady", "steadyshort"}} {
		p.line(name+"_"+ratio, m.results[of[0]].p99/m.results[of[1]].p99)
	}
	over, full := m.results["over"], m.results["capacity"]
	p.line(name+"_over_ratio", over.goodput/full.goodput)
	p.line(name+"_over_ratio_work", over.work/full.work)
	p.line(name+"_over_ratio_elapsed", over.elapsed/full.elapsed)
	return nil
}

// start starts every process of one policy.
func (m *policyRun) start(ctx context.Context, name string) error {
	var err error
	if m.stage, err = openStage(ctx, m.bin); err != nil {
		return err
	}
	err = m.startAll(ctx, name)
	if err != nil {
		m.stage.close()
	}
	return err
}

func (m *policyRun) startAll(ctx context.Context, name string) error {
	o, err := record.EncodeService(record.Service{Name: service, Host: service, Deadline: 2 * policyDeadline}, record.Schema2)
	if err != nil {
		return err
	}
	if _, err := m.stage.client.Put(ctx, o, platform.AnyRevision); err != nil {
		return err
	}
	m.backends = nil
	for i := range policyEndpoints {
		if err := m.startBackend(ctx, i, name); err != nil {
			return err
		}
	}
	var addresses []string
	for i, size := range policySizes {
		e, err := m.stage.startEntry(ctx, entryName(i+1), fmt.Sprintf("size: %v\npolicy: %s\n", size, name))
		if err != nil {
			return err
		}
		addresses = append(addresses, e.ready["packets"])
	}
	m.fabric, err = startProcess(ctx, m.stage.program("tanagerdock-standin"), "fabric", "-entries", strings.Join(addresses, ","))
	if err != nil {
		return err
	}
	m.stage.others = append(m.stage.others, m.fabric)
	time.Sleep(policyJoin)
	return nil
}

func policySpeed(i int) float64 { return float64(1 + i%policySpeeds) }

func (m *policyRun) startBackend(ctx context.Context, i int, name string) error {
	e := record.Endpoint{Slots: m.slots}
	if name != "learnt" {
		e.Weight = policySpeed(i)
	}
	b, err := startProcess(ctx, m.stage.program("tanagerdock-standin"), "backend", "-host", service,
		"-slots", strconv.Itoa(m.slots), "-speed", fmt.Sprint(policySpeed(i)))
	if err != nil {
		return err
	}
	m.stage.others, m.backends = append(m.stage.others, b), append(m.backends, b)
	e.Address = b.ready["listen"]
	o, err := record.EncodeBackend(record.Backend{
		Name: fmt.Sprintf("backend-%d", i+1), Service: service, Centre: centre, State: record.StateActive, Endpoints: []record.Endpoint{e},
	}, record.Schema2)
	if err != nil {
		return err
	}
	_, err = m.stage.client.Put(ctx, o, platform.AnyRevision)
	return err
}

// meanWork returns the mean work of a short request at speed 1, in ms.
func meanWork() float64 { return (policyMost - policyLeast) / math.Log(policyMost/policyLeast) }

// capacity returns the requests a second that the endpoints can answer.
func (m *policyRun) capacity() float64 {
	speeds := 0.0
	for i := range policyEndpoints {
		speeds += policySpeed(i)
	}
	mean := meanWork() * (1 + policyShare*(policyLong-1))
	return speeds * float64(m.slots) / mean * 1000
}

// drive runs one case and prints its lines.
func (m *policyRun) drive(ctx context.Context, p *printer, name, caseName string) error {
	c, known := policyCases[caseName]
	if !known {
		return errors.Errorf("case %q does not exist", caseName)
	}
	s := load.Settings{
		Fabric: m.fabric.ready["listen"], Services: []load.Service{{Name: service, Host: service}}, Sockets: 8, Flows: m.flows,
		Rate: c.load * m.capacity(), Swing: c.swing, Period: policyPeriod, RequestSizes: load.Range{Min: 100, Max: 800},
		AnswerSizes: load.Range{Min: 100, Max: 800}, ShortWork: load.Range{Min: policyLeast, Max: policyMost},
		LongWork: int(policyLong * meanWork()), LongShare: policyShare, SendClass: true, Deadline: policyDeadline, Seed: m.seed,
	}
	if !c.long {
		s.Rate, s.LongShare = s.Rate*(1-policyShare), 0
	}
	s.Requests = int(s.Rate * m.span.Seconds())
	before, err := m.read()
	if err != nil {
		return err
	}
	t, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	after, err := m.read()
	if err != nil {
		return err
	}
	m.print(p, name+"_"+caseName+"_", caseName, t, before, after)
	return nil
}

// policyReading is what the processes counted so far.
type policyReading struct {
	at      time.Time
	busy    []float64 // ms of work by endpoint
	retries float64
	beats   float64 // bytes
	passed  float64 // packets
	cpu     time.Duration
}

func (m *policyRun) read() (policyReading, error) {
	r := policyReading{at: time.Now()}
	for _, b := range m.backends {
		counts, err := b.calls()
		if err != nil {
			return r, err
		}
		r.busy = append(r.busy, counts["busy_ms"])
	}
	for _, e := range m.stage.entries {
		values, err := e.metrics()
		if err != nil {
			return r, err
		}
		for metric, value := range values {
			if strings.HasPrefix(metric, "retry.") {
				r.retries += value
			}
		}
		r.beats += values["peers.beat.bytes_out"]
		r.passed += values["peers.passed.out"]
		used, err := e.cpu()
		if err != nil {
			return r, err
		}
		r.cpu += used
	}
	return r, nil
}

// calls returns what a stand-in counted.
func (p *process) calls() (map[string]float64, error) {
	resp, err := http.Get("http://" + p.ready["control"] + "/calls")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	values := make(map[string]float64)
	return values, errors.WithStack(json.NewDecoder(resp.Body).Decode(&values))
}

func (m *policyRun) print(p *printer, prefix, caseName string, t *load.Tally, before, after policyReading) {
	took := after.at.Sub(before.at)
	used := make([]float64, len(after.busy))
	sum, work := 0.0, 0.0
	for i := range used {
		spent := after.busy[i] - before.busy[i]
		used[i] = spent / float64(m.slots) / float64(took.Milliseconds())
		sum += used[i]
		work += spent * policySpeed(i)
	}
	mean := sum / float64(len(used))
	ms := func(times []time.Duration, share float64) float64 {
		return float64(load.Quantile(times, share).Microseconds()) / 1000
	}
	sent := float64(max(1, t.Sent))
	p.line(prefix+"short_p50_ms", ms(t.ShortLatencies, 0.5))
	p.line(prefix+"short_p99_ms", ms(t.ShortLatencies, 0.99))
	p.line(prefix+"long_p50_ms", ms(t.LongLatencies, 0.5))
	p.line(prefix+"long_p99_ms", ms(t.LongLatencies, 0.99))
	p.line(prefix+"imbalance", slices.Max(used)/mean)
	p.line(prefix+"used", mean)
	seconds := m.span.Seconds()
	goodWork := meanWork() * (float64(len(t.ShortLatencies)) + policyLong*float64(len(t.LongLatencies))) / (m.capacity() * meanWork() * (1 + policyShare*(policyLong-1)) * seconds)
	p.line(prefix+"goodput", float64(t.Whole)/seconds)
	p.line(prefix+"goodput_work", goodWork)
	p.line(prefix+"goodput_elapsed", goodWork*seconds/took.Seconds())
	p.line(prefix+"refused", float64(t.Sent-t.Whole)/sent)
	p.line(prefix+"retries", (float64(t.Counters.Retries)+after.retries-before.retries)/sent)
	perInstance := took.Seconds() * float64(len(m.stage.entries))
	p.line(prefix+"beat_bytes", (after.beats-before.beats)/perInstance)
	p.line(prefix+"load_bytes", (after.passed-before.passed)*loadSize()/perInstance)
	p.line(prefix+"entry_cpu", (after.cpu-before.cpu).Seconds()/took.Seconds())
	p.line(prefix+"machine_load", machineLoad()/float64(runtime.NumCPU()))
	m.results[caseName] = policyResult{p99: ms(t.ShortLatencies, 0.99), goodput: float64(t.Whole) / seconds, work: goodWork, elapsed: goodWork * seconds / took.Seconds()}
}

// loadSize returns the bytes that queue state adds to an envelope.
func loadSize() float64 {
	bare, _ := packet.EncodeEnvelope(packet.Envelope{Sender: 1})
	full, _ := packet.EncodeEnvelope(packet.Envelope{Sender: 1, Loads: []packet.Load{{Service: math.MaxUint64, IdleSlots: 2, QueuedShort: 2, Rate: math.MaxUint32, LongRequests: 2}}})
	return float64(len(full) - len(bare))
}

// machineLoad returns the machine's load average of the last minute.
func machineLoad() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return math.NaN()
	}
	value, err := strconv.ParseFloat(strings.Fields(string(data))[0], 64)
	if err != nil {
		return math.NaN()
	}
	return value
}
