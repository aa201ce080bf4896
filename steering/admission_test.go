package steering

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// AdmissionLoad has the fields of a loadCase whose users have requests of two priorities.
type AdmissionLoad struct {
	HigherShare float64      `yaml:"higher"` // share of users whose requests have the higher priority; 0 for one priority
	Greedy      int          `yaml:"greedy"` // users of the lower priority that share one address
	BurstAt     clock.Millis `yaml:"burst"`  // start of a burst of requests
	BurstUntil  clock.Millis `yaml:"calm"`   // its end
	BurstFactor float64      `yaml:"times"`  // of the rate of requests in the burst; 0 for none

	MaxLost      float64      `yaml:"lost"`    // of the share of lost requests of higher priority over that without the part
	MinTotal     float64      `yaml:"total"`   // of the answered requests over those without the part
	MinWorth     float64      `yaml:"worth"`   // the same, with those of higher priority counted twice
	MaxRefused   *int         `yaml:"refused"` // nil for any
	RefusedUntil clock.Millis `yaml:"until"`   // by which 19 of 20 refusals are over; 0 for any time
	MaxOthers    float64      `yaml:"others"`  // of the share of lost requests of lower priority of the other addresses over that without the part; 0 for any
}

// admissionSimulation counts requests by group: higher priority, lower priority, greedy address.
type admissionSimulation struct {
	on                bool
	started, answered [3]int
	refusedAt         []clock.Millis
}

const (
	groupHigher = iota
	groupLower
	groupGreedy
)

const greedyAddress = 5000

var higherDestination = AddrPort{3, 443}

// addRoutes adds a route of higher priority to the same service.
func (l *loadSimulation) addRoutes(routes map[AddrPort]Route) {
	if l.c.HigherShare == 0 {
		return
	}
	r := routes[routeAddresses[""]]
	r.LatencyGoal, r.Timeout = 500, loadDeadline
	higher := r
	higher.Name = "urgent"
	if l.admission.on {
		r.Priority, higher.Priority = 2, 1
	}
	routes[routeAddresses[""]], routes[higherDestination] = r, higher
}

func (c *AdmissionLoad) groupOf(user int) int {
	switch {
	case user < c.Greedy:
		return groupGreedy
	case float64(user%100) < 100*c.HigherShare:
		return groupHigher
	}
	return groupLower
}

func (c *AdmissionLoad) consumer(user int, port uint16) AddrPort {
	if c.groupOf(user) == groupGreedy {
		return AddrPort{greedyAddress, port}
	}
	return AddrPort{uint32(user + 1), port}
}

func (c *AdmissionLoad) destination(consumer AddrPort) AddrPort {
	if c.HigherShare > 0 && consumer.Address != greedyAddress && c.groupOf(int(consumer.Address)-1) == groupHigher {
		return higherDestination
	}
	return routeAddresses[""]
}

// burst returns the factor of a user's pauses. If an address is greedy, only it has the burst.
func (l *loadSimulation) burst(user int) float64 {
	if l.c.Greedy > 0 && l.c.groupOf(user) != groupGreedy {
		return 1
	}
	if at := l.now - startTime; l.c.BurstFactor > 0 && at >= l.c.BurstAt && at < l.c.BurstUntil {
		return 1 / l.c.BurstFactor
	}
	return 1
}

func (l *loadSimulation) countStarted(r *userRequest) { l.admission.started[l.c.groupOf(r.user)]++ }

func (l *loadSimulation) countAnswered(r *userRequest) { l.admission.answered[l.c.groupOf(r.user)]++ }

func (l *loadSimulation) countRefusal(d *Decision) {
	if d.Reason == ReasonRefused && l.now-startTime >= l.c.From {
		l.admission.refusedAt = append(l.admission.refusedAt, l.now-startTime)
	}
}

// lost returns the share of lost requests of a group.
func (a *admissionSimulation) lost(group int) float64 {
	return 1 - float64(a.answered[group])/float64(max(a.started[group], 1))
}

func (a *admissionSimulation) total() int { return a.answered[0] + a.answered[1] + a.answered[2] }

func (a *admissionSimulation) worth() int { return a.total() + a.answered[groupHigher] }

func playAdmission(t *testing.T, c loadCase, on bool, seed uint64, change func(*loadSimulation)) *loadSimulation {
	c.Endpoints = slices.Clone(c.Endpoints)
	l := newLoadSimulation(t, c, func(l *loadSimulation) { l.admission.on = on })
	l.random = rand.New(rand.NewPCG(seed, 1))
	l.centre.sums = true
	if change != nil {
		change(l)
	}
	l.run()
	return l
}

// TestAdmission plays loads of callers who compete for too little room, without the part and
// with it, with several series of random numbers.
func TestAdmission(t *testing.T) {
	var cases []loadCase
	script.Read(t, "testdata/load/admission.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			var sums [2]admissionSimulation
			for i, on := range []bool{false, true} {
				shed := 0
				var state AdmissionState
				for seed := range uint64(admissionSeeds) {
					l := playAdmission(t, c, on, seed+1, nil)
					sums[i].add(&l.admission)
					shed += l.centre.rejected
					for _, e := range l.engines {
						v := e.AdmissionState()
						state.WrongRefusals += v.WrongRefusals
						state.WrongAdmissions += v.WrongAdmissions
					}
				}
				a := &sums[i]
				t.Logf("part %t: lost %.4f higher, %.4f lower, %.4f greedy; %d answered, worth %d, %d refused (%d wrong), %d wrong admissions, %d shed", on,
					a.lost(groupHigher), a.lost(groupLower), a.lost(groupGreedy), a.total(), a.worth(), len(a.refusedAt), state.WrongRefusals, state.WrongAdmissions, shed)
			}
			c.checkAdmission(t, &sums[0], &sums[1])
		})
	}
}

const admissionSeeds = 4

// maxRefusalTail is the time in which the last refusals end.
const maxRefusalTail = 1500

func (a *admissionSimulation) add(o *admissionSimulation) {
	for i := range a.started {
		a.started[i] += o.started[i]
		a.answered[i] += o.answered[i]
	}
	a.refusedAt = append(a.refusedAt, o.refusedAt...)
}

func (c *AdmissionLoad) checkAdmission(t *testing.T, without, with *admissionSimulation) {
	require.Empty(t, without.refusedAt)
	if c.MaxRefused != nil {
		require.LessOrEqual(t, len(with.refusedAt), *c.MaxRefused, "refused flows")
	} else {
		require.NotEmpty(t, with.refusedAt)
	}
	if c.RefusedUntil > 0 {
		slices.Sort(with.refusedAt)
		n := len(with.refusedAt)
		t.Logf("refused from %d to %d, 19 of 20 by %d", with.refusedAt[0], with.refusedAt[n-1], with.refusedAt[n*19/20])
		require.Greater(t, with.refusedAt[0], c.BurstAt, "time of the first refusal")
		require.LessOrEqual(t, with.refusedAt[n*19/20], c.RefusedUntil, "time of most refusals")
		require.LessOrEqual(t, with.refusedAt[n-1], c.RefusedUntil+maxRefusalTail, "time of the last refusal")
	}
	require.LessOrEqual(t, with.lost(groupHigher), c.MaxLost*without.lost(groupHigher), "lost requests of higher priority")
	require.GreaterOrEqual(t, float64(with.total()), c.MinTotal*float64(without.total()), "answered requests")
	require.GreaterOrEqual(t, float64(with.worth()), c.MinWorth*float64(without.worth()), "worth of the answered requests")
	if c.MaxOthers > 0 {
		require.LessOrEqual(t, with.lost(groupLower), c.MaxOthers*without.lost(groupLower), "lost requests of other addresses")
	}
}

// TestAdmissionOff checks that nothing changes without goals, with sums of few members or while
// instances are stalled: the first case refuses many flows otherwise.
func TestAdmissionOff(t *testing.T) {
	var cases []loadCase
	script.Read(t, "testdata/load/admission.yaml", &cases)
	for name, change := range map[string]func(*loadSimulation){
		"no goals": func(l *loadSimulation) {
			for at, r := range l.engines[0].configuration.Routes {
				r.LatencyGoal = 0
				l.engines[0].configuration.Routes[at] = r // all engines have the same one
			}
		},
		"few members": func(l *loadSimulation) { l.engines = l.engines[:MinDemandMembers-1] },
		"stalled": func(l *loadSimulation) {
			for _, e := range l.engines {
				e.stalledUntil = startTime + l.c.Span
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := cases[0]
			c.From = 0
			without, with := playAdmission(t, c, false, 1, change), playAdmission(t, c, true, 1, change)
			require.Empty(t, with.admission.refusedAt)
			require.NotEmpty(t, with.centre.placed)
			require.Equal(t, without.centre.placed, with.centre.placed)
		})
	}
}

// TestRefusedOpening checks that an instance that refuses a flow forwards a copy of its opening
// packet, since the flow may be open by then.
func TestRefusedOpening(t *testing.T) {
	var cases []loadCase
	script.Read(t, "testdata/load/admission.yaml", &cases)
	c := cases[1]
	c.Span = 9000
	l := playAdmission(t, c, true, 1, nil)
	e := l.engines[slices.IndexFunc(l.engines, func(e *Engine) bool { return e.isShort("desk") })]
	refused := 0
	for address := range uint32(200) {
		p := Packet{Consumer: AddrPort{90_000 + address, 1}, Destination: routeAddresses[""], Flags: Open}
		d := e.Steer(l.now, &p)
		if d.Reason != ReasonRefused {
			continue
		}
		refused++
		require.Equal(t, Reset, d.Verdict)
		p.Ack = 1
		require.Equal(t, Forward, e.Steer(l.now, &p).Verdict)
		p.Ack, p.Consumer.Port, p.Waited = 0, 2, openingCopyDelay
		require.Equal(t, Forward, e.Steer(l.now, &p).Verdict)
		p.Waited, p.Consumer.Port, p.Destination = 0, 3, higherDestination
		require.Equal(t, Forward, e.Steer(l.now, &p).Verdict)
	}
	require.Positive(t, refused)
}
