package instance_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/record"
)

// speedCase is a service whose endpoints have other speeds than their records state.
type speedCase struct {
	Name      string    `yaml:"name"`
	Instances int       `yaml:"instances"`
	RunTimes  []int64   `yaml:"work"`
	Weights   []float64 `yaml:"weights"`
	Interval  int64     `yaml:"every"`
	Shares    []float64 `yaml:"shares"`
	Slow      string    `yaml:"slow"`
}

// Guards against work that is distributed by wrong records instead of the measured speed.
func TestWorkFollowsMeasuredSpeed(t *testing.T) {
	var cases []speedCase
	script.Read(t, "testdata/speed.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

func (c speedCase) check(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.putJSON(record.KindService, "orders", record.Schema2, record.Service{})
	for i, work := range c.RunTimes {
		address := fmt.Sprintf("127.3.0.%d:80", i+1)
		b := sim.addBackend(fmt.Sprintf("orders-%d", i), "orders", "riga-1", address, 2, clock.Millis(work))
		b.unhealthy = i == 0 // must not affect the share of work
		sim.putJSON(record.KindBackend, fmt.Sprintf("orders-%d", i), record.Schema2, record.Backend{
			Service: "orders", Centre: "riga-1", Endpoints: []record.Endpoint{{Address: address, Slots: 2, Weight: c.Weights[i]}},
		})
	}
	for i := range c.Instances {
		sim.addInstance(fmt.Sprintf("entry-%d", i+1), "riga-1")
	}
	sim.advance(5 * clock.Second)
	var flows []*fakeCaller
	for range 16 {
		flows = append(flows, sim.addCaller("orders"))
	}
	counts := make([]float64, len(c.RunTimes))
	const warmUp, counted = 1000, 2000
	for n := range warmUp + counted {
		if n == warmUp {
			counts = c.started(sim)
		}
		flows[n%len(flows)].request(fmt.Sprintf("request %d ", n), false, 5*clock.Second)
		sim.advance(clock.Millis(c.Interval))
	}
	sim.advance(6 * clock.Second)
	for i, n := range c.started(sim) {
		share := (n - counts[i]) / counted
		t.Logf("endpoint %d ran a share of %.3f", i, share)
		require.InDelta(t, c.Shares[i], share, 0.06)
	}
	for _, flow := range flows {
		for _, body := range flow.bodies {
			require.True(t, flow.answered(body), "%s: %v", body, flow.results[body].Err)
		}
	}
	c.checkSlow(t, sim)
}

// started returns the number of runs that each endpoint has started.
func (c speedCase) started(sim *simulation) []float64 {
	counts := make([]float64, len(c.RunTimes))
	for i := range c.RunTimes {
		for _, n := range sim.backends[fmt.Sprintf("127.3.0.%d:80", i+1)].runs {
			counts[i] += float64(n)
		}
	}
	return counts
}

// checkSlow checks that the instances report the expected endpoint as slow, or none.
func (c speedCase) checkSlow(t *testing.T, sim *simulation) {
	var slow []string
	for _, d := range sim.daemons {
		for _, x := range d.status.Conditions {
			if x.Type == "BackendSlow" {
				slow = append(slow, x.Subject)
			}
		}
	}
	if c.Slow == "" {
		require.Empty(t, slow)
		return
	}
	require.True(t, slices.Contains(slow, c.Slow), "%v", slow)
}
