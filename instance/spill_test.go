package instance_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

type spillCase struct {
	Name     string `yaml:"name"`
	Spill    bool   `yaml:"spill"`
	Requests int    `yaml:"requests"`
	Cut      bool   `yaml:"cut"`
	MinFar   int    `yaml:"least"`
	MaxFar   int    `yaml:"most"`
}

// Guards against work that goes to another data centre without need, permission or a link, and
// against local queues when it could go there.
func TestWorkSpillsToAnotherDataCentre(t *testing.T) {
	var cases []spillCase
	script.Read(t, "testdata/spill.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

func (c spillCase) check(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.putJSON(record.KindRule, "orders", record.Schema2, record.Rule{Service: "orders", Spill: c.Spill})
	sim.startOrdersService(2, 2)
	for i := range 4 {
		sim.addBackend(fmt.Sprintf("far-%d", i), "orders", "riga-2", fmt.Sprintf("127.4.0.%d:80", i+1), 4, 20*clock.Millisecond)
	}
	sim.addInstance("far-1", "riga-2")
	sim.advance(5 * clock.Second)
	if c.Cut {
		sim.setCut("entry-1", "far-1", true)
		sim.setCut("entry-2", "far-1", true)
	}
	flow := sim.addCaller("orders")
	sim.cutLinks[flow.name+">far-1"] = true
	for i := range 20 { // so that run times are known
		body := fmt.Sprintf("first %d", i)
		flow.sendRequest(body, caller.Request{Body: []byte(body), Class: packet.ClassShort, Deadline: 5 * clock.Second})
		sim.advance(100 * clock.Millisecond)
	}
	for i := range c.Requests {
		body := fmt.Sprintf("request %d", i)
		flow.sendRequest(body, caller.Request{Body: []byte(body), Class: packet.ClassShort, Deadline: 5 * clock.Second})
		sim.advance(clock.Millisecond)
	}
	sim.advance(6 * clock.Second)
	far := 0
	for _, body := range flow.bodies {
		require.True(t, flow.answered(body), "%s: %v", body, flow.results[body].Err)
		for i := range 4 {
			far += sim.backends[fmt.Sprintf("127.4.0.%d:80", i+1)].runs[body]
		}
	}
	t.Logf("%d of %d requests ran in the other data centre", far, len(flow.bodies))
	require.GreaterOrEqual(t, far, c.MinFar)
	require.LessOrEqual(t, far, c.MaxFar)
}
