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
platform and a fabric, and sends requests over many flows at a rate that does not
depend on answers. 5 % of requests run 30 times as long as the others.

Policies: learnt (tanagerdock's; its records have no weights), random (in
proportion to capacity) and outstanding (by the instance's own outstanding work);
for the latter two, the records have the true speeds as weights.

Cases: warm (warm-up, not a result), swing (0.7 of capacity on average,
oscillating between 0.6 and 1.4 times that with a period of 4 s), swingshort (the
same without long requests), steady (0.85 of capacity), steadyshort (the same
without long requests), capacity (1.0), over (1.5).

Lines begin with policy_case_:
  short_p50_ms, short_p99_ms, long_p50_ms, long_p99_ms   times of answered requests
  used             mean utilization of the endpoints' slots
  imbalance        utilization of the busiest endpoint relative to the mean
  goodput          answered requests, divided by the seconds of the load
  goodput_work     work of answered requests, as a share of the capacity during the
                   load; answers after it, while queues drain, count in both
  goodput_elapsed  the same as a share of the capacity until the last answer
  refused          share of requests that ended without an answer
  retries          requests sent again by callers and instances, as a share of requests
  beat_bytes, load_bytes   bytes per second and instance: heartbeats, and queue state
                           on forwarded packets
  entry_cpu        processor time of the entry daemons per second, in cores
  machine_load     load average per processor
Then ratios: swing_cost and steady_cost (short p99 with long requests to that without)
and over_ratio (goodput in the case over to that in the case capacity, by requests, by
work and by elapsed time).`,
	defineFlags: func(flags *flag.FlagSet) measureFunc {
		pr := &policyRun{}
		flags.StringVar(&pr.bin, "bin", "bin", "`directory` of the programs")
		flags.DurationVar(&pr.caseDuration, "span", 20*time.Second, "time of each case")
		flags.IntVar(&pr.slots, "slots", 2, "slots of each endpoint")
		flags.IntVar(&pr.flows, "flows", 200, "flows")
		flags.Uint64Var(&pr.seed, "seed", 1, "seed of the load")
		names := flags.String("policies", "learnt,random,outstanding", "policies, separated by commas")
		cases := flags.String("cases", "warm,swing,swingshort,steady,steadyshort,capacity,over", "cases, separated by commas")
		return func(ctx context.Context, p *printer) error {
			pr.cases = strings.Split(*cases, ",")
			return pr.run(ctx, p, strings.Split(*names, ","))
		}
	},
}

// Parameters of the load and the endpoints.
const (
	policyEndpoints   = 14
	policyMaxSpeed    = 4    // endpoints have speeds from 1 to this
	policyMinWork     = 40   // of a short request, in ms at speed 1
	policyMaxWork     = 80   // of a short request, in ms at speed 1
	policyLongFactor  = 30   // work of a long request relative to the mean short one
	policyLongShare   = 0.05 // share of requests that are long
	policySwingPeriod = 4 * clock.Second
	policyDeadline    = 10 * clock.Second
	policyJoinTime    = 6 * time.Second // until every instance places requests at its endpoints
)

var policyEntrySizes = []float64{1, 1, 2, 1, 2, 1, 1, 2}

// policyCase is the load of one case.
type policyCase struct {
	load  float64 // share of capacity
	swing float64 // amplitude around the mean, as a share of it
	long  bool    // whether there are long requests
}

var policyCases = map[string]policyCase{
	"warm": {load: 0.5, long: true}, "swing": {load: 0.7, swing: 0.4, long: true}, "swingshort": {load: 0.7, swing: 0.4},
	"steady": {load: 0.85, long: true}, "steadyshort": {load: 0.85}, "capacity": {load: 1, long: true}, "over": {load: 1.5, long: true},
}

// policyRun measures policies one after the other, with the same cases for each.
type policyRun struct {
	bin          string
	caseDuration time.Duration
	slots, flows int
	seed         uint64
	cases        []string

	testbed  *testbed
	fabric   *process
	backends []*process
	results  map[string]policyResult
}

// policyResult holds the figures of a case that the ratios are computed from.
type policyResult struct{ p99, goodput, goodputWork, goodputElapsed float64 }

func (pr *policyRun) run(ctx context.Context, p *printer, names []string) error {
	for _, name := range names {
		if err := pr.measurePolicy(ctx, p, name); err != nil {
			return errors.Wrapf(err, "policy %s", name)
		}
	}
	return nil
}

func (pr *policyRun) measurePolicy(ctx context.Context, p *printer, name string) error {
	if err := pr.start(ctx, name); err != nil {
		return err
	}
	defer pr.testbed.close()
	pr.results = make(map[string]policyResult)
	for _, c := range pr.cases {
		if err := pr.runCase(ctx, p, name, c); err != nil {
			return errors.Wrapf(err, "case %s", c)
		}
	}
	for ratio, cases := range map[string][2]string{"swing_cost": {"swing", "swingshort"}, "steady_cost": {"steady", "steadyshort"}} {
		p.line(name+"_"+ratio, pr.results[cases[0]].p99/pr.results[cases[1]].p99)
	}
	over, atCapacity := pr.results["over"], pr.results["capacity"]
	p.line(name+"_over_ratio", over.goodput/atCapacity.goodput)
	p.line(name+"_over_ratio_work", over.goodputWork/atCapacity.goodputWork)
	p.line(name+"_over_ratio_elapsed", over.goodputElapsed/atCapacity.goodputElapsed)
	return nil
}

// start starts all processes for one policy.
func (pr *policyRun) start(ctx context.Context, name string) error {
	var err error
	if pr.testbed, err = startTestbed(ctx, pr.bin); err != nil {
		return err
	}
	err = pr.startAll(ctx, name)
	if err != nil {
		pr.testbed.close()
	}
	return err
}

func (pr *policyRun) startAll(ctx context.Context, name string) error {
	o, err := record.EncodeService(record.Service{Name: service, Host: service, Deadline: 2 * policyDeadline}, record.Schema2)
	if err != nil {
		return err
	}
	if _, err := pr.testbed.client.Put(ctx, o, platform.AnyRevision); err != nil {
		return err
	}
	pr.backends = nil
	for i := range policyEndpoints {
		if err := pr.startBackend(ctx, i, name); err != nil {
			return err
		}
	}
	var addresses []string
	for i, size := range policyEntrySizes {
		e, err := pr.testbed.startEntry(ctx, entryName(i+1), fmt.Sprintf("size: %v\npolicy: %s\n", size, name))
		if err != nil {
			return err
		}
		addresses = append(addresses, e.ready["packets"])
	}
	pr.fabric, err = startProcess(ctx, pr.testbed.program("tanagerdock-standin"), "fabric", "-entries", strings.Join(addresses, ","))
	if err != nil {
		return err
	}
	pr.testbed.others = append(pr.testbed.others, pr.fabric)
	time.Sleep(policyJoinTime)
	return nil
}

func policySpeed(i int) float64 { return float64(1 + i%policyMaxSpeed) }

func (pr *policyRun) startBackend(ctx context.Context, i int, name string) error {
	e := record.Endpoint{Slots: pr.slots}
	if name != "learnt" {
		e.Weight = policySpeed(i)
	}
	b, err := startProcess(ctx, pr.testbed.program("tanagerdock-standin"), "backend", "-host", service,
		"-slots", strconv.Itoa(pr.slots), "-speed", fmt.Sprint(policySpeed(i)))
	if err != nil {
		return err
	}
	pr.testbed.others, pr.backends = append(pr.testbed.others, b), append(pr.backends, b)
	e.Address = b.ready["listen"]
	o, err := record.EncodeBackend(record.Backend{
		Name: fmt.Sprintf("backend-%d", i+1), Service: service, Centre: centre, State: record.StateActive, Endpoints: []record.Endpoint{e},
	}, record.Schema2)
	if err != nil {
		return err
	}
	_, err = pr.testbed.client.Put(ctx, o, platform.AnyRevision)
	return err
}

// meanWork returns the mean work of a short request at speed 1, in ms. Package load
// distributes the work log-uniformly.
func meanWork() float64 {
	return (policyMaxWork - policyMinWork) / math.Log(policyMaxWork/policyMinWork)
}

// capacity returns the requests per second that the endpoints can answer.
func (pr *policyRun) capacity() float64 {
	speeds := 0.0
	for i := range policyEndpoints {
		speeds += policySpeed(i)
	}
	mean := meanWork() * (1 + policyLongShare*(policyLongFactor-1))
	return speeds * float64(pr.slots) / mean * 1000
}

// runCase runs one case and prints its figures.
func (pr *policyRun) runCase(ctx context.Context, p *printer, name, caseName string) error {
	c, found := policyCases[caseName]
	if !found {
		return errors.Errorf("case %q does not exist", caseName)
	}
	s := load.Settings{
		Fabric: pr.fabric.ready["listen"], Services: []load.Service{{Name: service, Host: service}}, Sockets: 8, Flows: pr.flows,
		Rate: c.load * pr.capacity(), Swing: c.swing, Period: policySwingPeriod, RequestSizes: load.Range{Min: 100, Max: 800},
		AnswerSizes: load.Range{Min: 100, Max: 800}, ShortWork: load.Range{Min: policyMinWork, Max: policyMaxWork},
		LongWork: int(policyLongFactor * meanWork()), LongShare: policyLongShare, SendClass: true, Deadline: policyDeadline, Seed: pr.seed,
	}
	if !c.long {
		s.Rate, s.LongShare = s.Rate*(1-policyLongShare), 0 // as many short requests as in the case with long ones
	}
	s.Requests = int(s.Rate * pr.caseDuration.Seconds())
	before, err := pr.readCounters()
	if err != nil {
		return err
	}
	t, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	after, err := pr.readCounters()
	if err != nil {
		return err
	}
	pr.printCase(p, name+"_"+caseName+"_", caseName, t, before, after)
	return nil
}

// policyCounters holds totals of the processes' counters since their start.
type policyCounters struct {
	at               time.Time
	busyMillis       []float64 // time that slots worked, by endpoint
	retries          float64
	heartbeatBytes   float64
	forwardedPackets float64
	cpu              time.Duration
}

func (pr *policyRun) readCounters() (policyCounters, error) {
	r := policyCounters{at: time.Now()}
	for _, b := range pr.backends {
		counts, err := b.standinCounters()
		if err != nil {
			return r, err
		}
		r.busyMillis = append(r.busyMillis, counts["busy_ms"])
	}
	for _, e := range pr.testbed.entries {
		values, err := e.metrics()
		if err != nil {
			return r, err
		}
		for metric, value := range values {
			if strings.HasPrefix(metric, "retry.") {
				r.retries += value
			}
		}
		r.heartbeatBytes += values["peers.beat.bytes_out"]
		r.forwardedPackets += values["peers.passed.out"]
		cpu, err := e.cpu()
		if err != nil {
			return r, err
		}
		r.cpu += cpu
	}
	return r, nil
}

// standinCounters returns the counters of a process of tanagerdock-standin.
func (p *process) standinCounters() (map[string]float64, error) {
	resp, err := http.Get("http://" + p.ready["control"] + "/calls")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	values := make(map[string]float64)
	return values, errors.WithStack(json.NewDecoder(resp.Body).Decode(&values))
}

func (pr *policyRun) printCase(p *printer, prefix, caseName string, t *load.Tally, before, after policyCounters) {
	elapsed := after.at.Sub(before.at)
	utilization := make([]float64, len(after.busyMillis))
	sum, work := 0.0, 0.0
	for i := range utilization {
		busy := after.busyMillis[i] - before.busyMillis[i]
		utilization[i] = busy / float64(pr.slots) / float64(elapsed.Milliseconds())
		sum += utilization[i]
		work += busy * policySpeed(i)
	}
	mean := sum / float64(len(utilization))
	quantileMillis := func(times []time.Duration, share float64) float64 {
		return float64(load.Quantile(times, share).Microseconds()) / 1000
	}
	sent := float64(max(1, t.Sent))
	p.line(prefix+"short_p50_ms", quantileMillis(t.ShortLatencies, 0.5))
	p.line(prefix+"short_p99_ms", quantileMillis(t.ShortLatencies, 0.99))
	p.line(prefix+"long_p50_ms", quantileMillis(t.LongLatencies, 0.5))
	p.line(prefix+"long_p99_ms", quantileMillis(t.LongLatencies, 0.99))
	p.line(prefix+"imbalance", slices.Max(utilization)/mean)
	p.line(prefix+"used", mean)
	seconds := pr.caseDuration.Seconds()
	goodputWork := meanWork() * (float64(len(t.ShortLatencies)) + policyLongFactor*float64(len(t.LongLatencies))) / (pr.capacity() * meanWork() * (1 + policyLongShare*(policyLongFactor-1)) * seconds)
	p.line(prefix+"goodput", float64(t.Whole)/seconds)
	p.line(prefix+"goodput_work", goodputWork)
	p.line(prefix+"goodput_elapsed", goodputWork*seconds/elapsed.Seconds())
	p.line(prefix+"refused", float64(t.Sent-t.Whole)/sent)
	p.line(prefix+"retries", (float64(t.Counters.Retries)+after.retries-before.retries)/sent)
	perInstance := elapsed.Seconds() * float64(len(pr.testbed.entries))
	p.line(prefix+"beat_bytes", (after.heartbeatBytes-before.heartbeatBytes)/perInstance)
	p.line(prefix+"load_bytes", (after.forwardedPackets-before.forwardedPackets)*loadSize()/perInstance)
	p.line(prefix+"entry_cpu", (after.cpu-before.cpu).Seconds()/elapsed.Seconds())
	p.line(prefix+"machine_load", machineLoad()/float64(runtime.NumCPU()))
	pr.results[caseName] = policyResult{p99: quantileMillis(t.ShortLatencies, 0.99), goodput: float64(t.Whole) / seconds, goodputWork: goodputWork, goodputElapsed: goodputWork * seconds / elapsed.Seconds()}
}

// loadSize returns the bytes that the queue state of one service adds to an envelope.
func loadSize() float64 {
	without, _ := packet.EncodeEnvelope(packet.Envelope{Sender: 1})
	with, _ := packet.EncodeEnvelope(packet.Envelope{Sender: 1, Loads: []packet.Load{{Service: math.MaxUint64, IdleSlots: 2, QueuedShort: 2, Rate: math.MaxUint32, LongRequests: 2}}})
	return float64(len(with) - len(without))
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
