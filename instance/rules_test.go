package instance_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

type rulesCase struct {
	Name  string `yaml:"name"`
	Rules []struct {
		Name     string   `yaml:"name"`
		Class    string   `yaml:"class"`
		Backends []string `yaml:"backends"`
		Pin      bool     `yaml:"pin"`
	} `yaml:"rules"`
	Drain   string   `yaml:"drain"`
	Short   []string `yaml:"short"`
	Long    []string `yaml:"long"`
	Pinned  bool     `yaml:"pinned"`
	Refused bool     `yaml:"refused"`
}

// Guards against requests that run at backend servers which the rules don't allow.
func TestRulesSelectEndpoints(t *testing.T) {
	var cases []rulesCase
	script.Read(t, "testdata/steer.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

func (c rulesCase) check(t *testing.T) {
	sim := newSimulation(t, 1)
	for _, r := range c.Rules {
		sim.putJSON(record.KindRule, r.Name, record.Schema2, record.Rule{Service: "orders", Class: r.Class, Backends: r.Backends, Pin: r.Pin})
	}
	sim.startOrdersService(3, 4)
	flows := []*fakeCaller{}
	for range 12 {
		flows = append(flows, sim.addCaller("orders"))
	}
	c.sendRequests(sim, flows, "first")
	if c.Drain != "" {
		for i := range 4 {
			if fmt.Sprintf("orders-%d", i) == c.Drain {
				sim.backends[fmt.Sprintf("127.3.0.%d:80", i+1)].draining = true
			}
		}
	}
	c.sendRequests(sim, flows, "second")
	for _, flow := range flows {
		c.checkFlow(t, sim, flow)
	}
}

// sendRequests sends 4 short and 4 long requests on each flow.
func (c rulesCase) sendRequests(sim *simulation, flows []*fakeCaller, part string) {
	for i, flow := range flows {
		for n := range 8 {
			class := []packet.Class{packet.ClassShort, packet.ClassLong}[n%2]
			body := fmt.Sprintf("%s %s %d %d", class, part, i, n)
			flow.sendRequest(body, caller.Request{Body: []byte(body), Class: class, Deadline: 10 * clock.Second})
		}
	}
	sim.advance(5 * clock.Second)
}

func (c rulesCase) checkFlow(t *testing.T, sim *simulation, flow *fakeCaller) {
	require.True(t, flow.allEnded())
	ran := make(map[string]bool)
	for _, body := range flow.bodies {
		require.Equal(t, !c.Refused, flow.answered(body), "%s: %v", body, flow.results[body].Err)
		for i := range 4 {
			name := fmt.Sprintf("orders-%d", i)
			if sim.backends[fmt.Sprintf("127.3.0.%d:80", i+1)].runs[body] == 0 {
				continue
			}
			ran[name] = true
			allowed := c.Short
			if body[0] == 'l' {
				allowed = c.Long
			}
			require.True(t, slices.Contains(allowed, name), "%s ran at %s", body, name)
		}
	}
	if c.Pinned {
		require.Len(t, ran, 1)
	}
}
