package steering

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// loadInstance is an instance of a loadCase, with its faults.
type loadInstance struct {
	Name        string       `yaml:"name"`
	Centre      string       `yaml:"centre"`
	Knows       []string     `yaml:"knows"`  // members that it knows; nil for all of its data centre
	Late        clock.Millis `yaml:"late"`   // how much later than others it knows of entries, and that an evacuation was lifted
	DeadFrom    clock.Millis `yaml:"dead"`   // when its process ends; 0 if it doesn't
	StartsAgain clock.Millis `yaml:"again"`  // when the next process starts; 0 for never
	FrozenFrom  clock.Millis `yaml:"frozen"` // packets wait from here on; 0 for never
	ThawedAt    clock.Millis `yaml:"thawed"`

	engine *Engine
}

// Times and limits of the platform's services with a warm-up.
const (
	coldTime     = 2 * clock.Second
	coldSlow     = 1.6
	coldExcess   = 1.5
	reportPeriod = 1200
)

func (n *loadInstance) runs(now clock.Millis) bool {
	dead := n.DeadFrom != 0 && now >= startTime+n.DeadFrom && (n.StartsAgain == 0 || now < startTime+n.StartsAgain)
	return !dead && n.thaw(now) == 0
}

// thaw returns how long packets have to wait while the instance is frozen.
func (n *loadInstance) thaw(now clock.Millis) clock.Millis {
	if n.FrozenFrom != 0 && now >= startTime+n.FrozenFrom && now < startTime+n.ThawedAt {
		return startTime + n.ThawedAt - now
	}
	return 0
}

// startInstance starts the process of an instance with the present records.
func (l *loadSimulation) startInstance(n *loadInstance, seed uint64) {
	s := Settings{Centre: n.Centre, Instance: n.Name, StaleAfter: 1650, Seed: seed, Evacuations: l.c.Evacuated != ""}
	if l.c.ColdLimit > 0 && !l.unlimited {
		s.Warmup = &WarmupBounds{Excess: coldExcess, Slack: float64(l.c.ColdLimit), ReportPeriod: reportPeriod}
	}
	n.engine = NewEngine(s)
	n.engine.Handle(l.now, ConfigurationRead{Configuration: l.configuration})
	n.engine.Handle(l.now, EndpointsListed{Endpoints: l.entries, Revision: 2})
	n.engine.Handle(l.now, EvacuationsRead{Orders: evacuation.Orders{Revision: 2}})
	names := n.Knows
	if names == nil {
		for _, o := range l.instances {
			if o.Centre == n.Centre {
				names = append(names, o.Name)
			}
		}
	}
	n.engine.Handle(l.now, MembersKnown{Names: names})
}

// instanceFor returns the instance to which the routers send the packets of a consumer: one of
// the data centre of its user, nil if none runs.
func (l *loadSimulation) instanceFor(consumer AddrPort) *loadInstance {
	if l.c.Members > 0 {
		return l.instances[key{consumer, routeAddresses[""]}.hash()%uint64(l.c.Members)]
	}
	var list []*loadInstance
	centre := l.instances[int(consumer.Address)%len(l.instances)].Centre
	for _, n := range l.instances {
		if n.Centre == centre && (n.runs(l.now) || n.thaw(l.now) > 0) {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[int(consumer.Port)%len(list)]
}

// tell gives an event to all instances that run, to late ones later unless it is an order.
func (l *loadSimulation) tell(delay clock.Millis, event Event) {
	v, isOrders := event.(EvacuationsRead)
	for _, n := range l.instances {
		late := n.Late
		if isOrders && len(v.Orders.List) > 0 {
			late = 0
		}
		l.schedule(delay+late, func() {
			if wait := n.thaw(l.now); wait > 0 {
				l.schedule(wait, func() { l.perform(n, n.engine.Handle(l.now, event)) })
			} else if n.runs(l.now) {
				l.perform(n, n.engine.Handle(l.now, event))
			}
		})
	}
}

// scheduleColdStarts schedules the starts of endpoints and instances.
func (l *loadSimulation) scheduleColdStarts() {
	for i := range l.c.Endpoints {
		if e := &l.c.Endpoints[i]; e.ColdFrom != 0 {
			l.schedule(e.ColdFrom+e.EntryDelay, func() { l.writeCold(&l.entries[i], uint64(100+i), e) })
		}
	}
	for i, n := range l.instances {
		if n.StartsAgain != 0 {
			l.schedule(n.StartsAgain, func() { l.startInstance(n, uint64(100+i)) })
		}
	}
}

// writeCold writes the entry of an endpoint that started again.
func (l *loadSimulation) writeCold(p *Endpoint, revision uint64, e *loadEndpoint) {
	p.Revision, p.Incarnation, p.Warmup = revision, p.Incarnation+1, coldTime-e.EntryDelay
	l.tell(0, EndpointsChanged{Changes: []EndpointChange{{Endpoint: *p}}, Revision: revision})
}

func (l *loadSimulation) isCold(e *loadEndpoint, at clock.Millis) bool {
	return e.ColdFrom != 0 && at >= startTime+e.ColdFrom && at < startTime+e.ColdFrom+coldTime
}

// recordOpening records an opening packet that arrives at an endpoint, at a cold one up to 20 ms
// after the decision.
func (l *loadSimulation) recordOpening(e *loadEndpoint) {
	if l.c.ColdLimit == 0 {
		return
	}
	l.schedule(1+clock.Millis(l.random.Int64N(20)), func() {
		if l.isCold(e, l.now) {
			e.openings = append(e.openings, l.now)
		}
	})
}

// mostInASecond returns the largest number of openings that reached a cold endpoint within
// any second, and the number of all.
func (l *loadSimulation) mostInASecond() (most, all int) {
	for i := range l.c.Endpoints {
		at := l.c.Endpoints[i].openings
		all += len(at)
		for first := range at {
			n := first
			for n < len(at) && at[n] < at[first]+clock.Second {
				n++
			}
			most = max(most, n-first)
		}
	}
	return most, all
}

// checkCold checks the limit of cold endpoints, and that the load would exceed it without the part.
func (l *loadSimulation) checkCold() {
	if l.c.ColdLimit == 0 {
		return
	}
	most, all := l.mostInASecond()
	l.t.Logf("%d openings at cold endpoints, at most %d in a second, %d held back", all, most, l.heldBack)
	require.LessOrEqual(l.t, most, l.c.ColdLimit, "openings at a cold endpoint within a second")
	require.True(l.t, all >= l.c.ColdUse[0] && all <= l.c.ColdUse[1], "openings at cold endpoints")
}

// TestWarmupLoads plays loads on endpoints that come back cold. Each of them would exceed the
// limit without the part.
func TestWarmupLoads(t *testing.T) {
	read := func() (cases []loadCase) {
		script.Read(t, "testdata/load/warmup.yaml", &cases)
		return cases
	}
	require.NotEmpty(t, read())
	for i, c := range read() {
		t.Run(c.Name, func(t *testing.T) {
			l := newLoadSimulation(t, c, false)
			l.run()
			l.check()
			l.checkCold()
			l = newLoadSimulation(t, read()[i], true)
			l.run()
			most, _ := l.mostInASecond()
			require.Greater(t, most, c.ColdLimit, "the load doesn't exceed the limit without the part")
		})
	}
}
