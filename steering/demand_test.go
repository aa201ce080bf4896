package steering

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/demand"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// CentreLoad has the fields of a loadCase for a data centre of many instances, of which each
// gets the flows of some consumers.
type CentreLoad struct {
	Members         int          `yaml:"members"`   // instances
	MaxFlows        int          `yaml:"maxFlows"`  // of an endpoint, by the configuration
	RequestsPerFlow int          `yaml:"life"`      // after which a user opens another flow; 0 for no limit
	Wave            float64      `yaml:"wave"`      // swing of the load, in waves of 13 s
	ReconnectAt     clock.Millis `yaml:"reconnect"` // when all flows end and all users open another; 0 for never
	SumDelay        clock.Millis `yaml:"delay"`     // from the watcher to the instances
	From            clock.Millis `yaml:"since"`     // start of the time that counts
	MaxShare        float64      `yaml:"share"`     // of the excess of the busiest endpoint with sums over that without
	MostFlows       int          `yaml:"most"`      // at the busiest endpoint with sums
	Refused         float64      `yaml:"refused"`   // maximum of the requests that met a full endpoint with sums over those without; 0 for any
	Local           bool         `yaml:"local"`     // no flow is placed in another data centre with sums
}

// centreSimulation is the part of a loadSimulation that passes sums between instances.
type centreSimulation struct {
	sums     bool // instances use sums
	ledger   demand.Ledger
	excess   float64 // sum over samples of the share by which the busiest endpoint exceeds the mean
	samples  int
	most     int      // flows at any endpoint at any time
	placed   []string // endpoints of new flows, in order
	rejected int      // requests that met a full endpoint
}

// addMembers adds the instances of the data centre.
func (l *loadSimulation) addMembers() {
	if l.c.Members == 0 {
		return
	}
	l.configuration.Services = map[string]Service{"desk": {MaxFlows: l.c.MaxFlows}}
	for range l.c.Members {
		l.instances = append(l.instances, &loadInstance{Centre: "here"})
	}
}

// endsFlow reports whether a flow has had all its requests. Flows differ in their length.
func (c *CentreLoad) endsFlow(f *userFlow) bool {
	return c.RequestsPerFlow > 0 && f.requests >= c.RequestsPerFlow/2+int(f.consumer.Port)%c.RequestsPerFlow
}

func (l *loadSimulation) wave() float64 {
	if l.c.Wave == 0 {
		return 1
	}
	return 1 / (1 + l.c.Wave*math.Sin(2*math.Pi*float64(l.now-startTime)/13_000))
}

// startCentre starts what many instances do among themselves.
func (l *loadSimulation) startCentre() {
	if l.c.Members == 0 {
		return
	}
	for i, n := range l.instances {
		if l.centre.sums {
			l.schedule(clock.Millis(i)*demand.Period/clock.Millis(len(l.instances)), func() { l.sendDigest(i, n.engine) })
		}
	}
	l.schedule(demand.Period, l.sendSums)
	l.schedule(l.c.From, l.sample)
	if l.c.ReconnectAt > 0 {
		l.schedule(l.c.ReconnectAt, l.reconnect)
	}
}

func (l *loadSimulation) sendDigest(i int, e *Engine) {
	for _, d := range e.TakeDemand(l.now) {
		l.centre.ledger.Add(l.now, string(rune('A'+i)), 1, d)
	}
	l.schedule(demand.Period, func() { l.sendDigest(i, e) })
}

func (l *loadSimulation) sendSums() {
	for _, s := range l.centre.ledger.Summaries(l.now) {
		s.Age += l.c.SumDelay
		l.schedule(l.c.SumDelay, func() {
			for _, n := range l.instances {
				n.engine.Handle(l.now, DemandSummed{Summary: s})
			}
		})
	}
	l.schedule(demand.Period, l.sendSums)
}

// reconnect ends all flows. Their users send their next requests at once, on new ones.
func (l *loadSimulation) reconnect() {
	for _, f := range l.flows {
		if !f.ended {
			l.abortFlow(f)
		}
	}
}

// reportFault passes what an instance found to the others.
func (l *loadSimulation) reportFault(n *loadInstance, v ReportFault) {
	for _, o := range l.instances {
		if o != n && l.c.Members > 0 {
			l.perform(o, o.engine.Handle(l.now, FaultReported{Sender: "another", EndpointFault: v.EndpointFault}))
		}
	}
}

// sample compares the flows at the endpoints that serve.
func (l *loadSimulation) sample() {
	flows := map[*loadEndpoint]int{}
	for _, f := range l.flows {
		if f.endpoint != nil && !f.ended {
			flows[f.endpoint]++
		}
	}
	total, n, highest := 0, 0, 0
	for i := range l.c.Endpoints {
		if e := &l.c.Endpoints[i]; !(l.faulty(e) && e.Unreachable) {
			total, n, highest = total+flows[e], n+1, max(highest, flows[e])
		}
	}
	l.centre.most = max(l.centre.most, highest)
	if total > n {
		l.centre.excess += float64(highest*n)/float64(total) - 1
		l.centre.samples++
	}
	l.schedule(tickInterval, l.sample)
}

// TestDemand plays loads of a data centre with sums and without, with several series of random
// numbers, and compares by how much the busiest endpoint exceeds the mean.
func TestDemand(t *testing.T) {
	var cases []loadCase
	script.Read(t, "testdata/load/demand.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			var excess, rejected [2]float64
			for seed := range uint64(3) {
				for i, sums := range []bool{false, true} {
					l := playCentre(t, c, sums, seed+1)
					excess[i] += l.centre.excess / float64(l.centre.samples)
					rejected[i] += float64(l.centre.rejected)
					t.Logf("sums %t: %d requests, excess %.3f, most flows %d, %d rejected, %d failed, %d late", sums, l.requests,
						l.centre.excess/float64(l.centre.samples), l.centre.most, l.centre.rejected, l.failed, l.late)
					if sums {
						require.False(t, c.Local && slices.ContainsFunc(l.centre.placed, func(id string) bool { return l.byID[id].Centre != "here" }), "a flow went to another data centre")
						state := l.instances[0].engine.DemandState(l.now)
						require.True(t, state.InUse)
						require.Equal(t, c.Members, state.Members)
						require.Positive(t, state.Placed)
						require.LessOrEqual(t, l.centre.most, c.MostFlows, "flows at the busiest endpoint")
					}
					require.Zero(t, l.misplaced, "flows opened in the evacuated data centre")
				}
			}
			t.Logf("excess of the busiest endpoint: %.3f with sums, %.3f without", excess[1]/3, excess[0]/3)
			if c.Refused > 0 {
				require.Less(t, rejected[1], c.Refused*rejected[0], "requests that met a full endpoint")
			}
			require.Less(t, excess[1], c.MaxShare*excess[0], "excess of the busiest endpoint")
		})
	}
}

func playCentre(t *testing.T, c loadCase, sums bool, seed uint64) *loadSimulation {
	c.Endpoints = slices.Clone(c.Endpoints)
	l := newLoadSimulation(t, c, false)
	l.random = rand.New(rand.NewPCG(seed, 1))
	l.centre.sums = sums
	l.run()
	return l
}

// TestUnusableSums checks that sums of few members, old ones and those of a configuration without
// limits of flows change no decision.
func TestUnusableSums(t *testing.T) {
	var cases []loadCase
	script.Read(t, "testdata/load/demand.yaml", &cases)
	for name, change := range map[string]func(*loadCase){
		"few members": func(c *loadCase) { c.Members = MinDemandMembers - 1 },
		"old":         func(c *loadCase) { c.SumDelay = maxSumAge },
		"no limits":   func(c *loadCase) { c.MaxFlows = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			c := cases[0]
			change(&c)
			without, with := playCentre(t, c, false, 1), playCentre(t, c, true, 1)
			require.Equal(t, without.centre.placed, with.centre.placed)
			require.NotEmpty(t, with.centre.placed)
			require.Zero(t, with.instances[0].engine.DemandState(with.now).Placed)
		})
	}
}

// BenchmarkSumsWithoutRoom measures openings while all of 600 endpoints are at their limit of flows.
func BenchmarkSumsWithoutRoom(b *testing.B) {
	c := loadCase{CentreLoad: CentreLoad{Members: 1, MaxFlows: 1}}
	for i := range 600 {
		c.Endpoints = append(c.Endpoints, loadEndpoint{ID: fmt.Sprintf("%x", i+1)})
	}
	l := newLoadSimulation(&testing.T{}, c, false)
	e, sum := l.instances[0].engine, demand.Summary{Parts: 1, Members: 38}
	for t := range e.directory.byToken {
		sum.Loads = append(sum.Loads, demand.Load{Token: uint32(t), Flows: 1})
	}
	e.Handle(l.now, DemandSummed{Summary: sum})
	require.True(b, e.sumsRecent(l.now))
	for b.Loop() {
		e.place(l.now, "desk", nil)
	}
}

// TestSumsSpare checks which endpoints aren't chosen by sums, though they have the most room, and that
// openings are counted for the limits of cold ones.
func TestSumsSpare(t *testing.T) {
	for name, spare := range map[string]func(now clock.Millis, s *endpointState){
		"cold":    func(now clock.Millis, s *endpointState) { s.warmedUpAt = now + clock.Minute },
		"silent":  func(_ clock.Millis, s *endpointState) { s.silence.suspected = true },
		"ejected": func(now clock.Millis, s *endpointState) { s.failures.ejectedUntil = now + clock.Minute },
		"on probation": func(now clock.Millis, s *endpointState) {
			s.failures.answersNeeded, s.failures.nextProbationAt = 1, now+1
		},
		"tried": func(clock.Millis, *endpointState) {},
	} {
		c := loadCase{ColdLimit: 10, Endpoints: []loadEndpoint{{ID: "a1"}, {ID: "a2"}, {ID: "a3"}}}
		l := newLoadSimulation(t, c, false)
		l.configuration.Services = map[string]Service{"desk": {MaxFlows: 1000, Warmup: coldTime, WarmupRate: coldRate}}
		e, sum := l.instances[0].engine, demand.Summary{Parts: 1, Members: MinDemandMembers}
		spared, counted := e.directory.byID["i-a1"], 0
		for _, s := range e.directory.byID {
			if s != spared {
				sum.Loads = append(sum.Loads, demand.Load{Token: uint32(s.token), Flows: 3})
			}
		}
		e.Handle(l.now, DemandSummed{Summary: sum})
		spare(l.now, spared)
		tried := spared
		if name != "tried" {
			tried = nil
		}
		for range 100 {
			require.NotSame(t, spared, e.place(l.now, "desk", tried), name)
		}
		require.Equal(t, int64(100), e.DemandState(l.now).Placed, name)
		for _, s := range e.directory.byID {
			counted += s.warmup.window.Count(l.now)
		}
		require.Equal(t, 100, counted, name)
	}
}
