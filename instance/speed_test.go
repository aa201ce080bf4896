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

// speedCase is a service whose endpoints are not as their records say.
type speedCase struct {
	Name      string    `yaml:"name"`
	Instances int       `yaml:"instances"`
	Work      []int64   `yaml:"work"`
	Weights   []float64 `yaml:"weights"`
	Every     int64     `yaml:"every"`
	Shares    []float64 `yaml:"shares"`
	Slow      string    `yaml:"slow"`
}

func TestSpeedIsLearnt(t *testing.T) {
	var cases []speedCase
	script.Read(t, "testdata/speed.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

func (c speedCase) check(t *testing.T) {
	f := newFrame(t, 1)
	f.putJSON(record.KindService, "orders", record.Schema2, record.Service{})
	for i, work := range c.Work {
		address := fmt.Sprintf("127.3.0.%d:80", i+1)
		b := f.addBackend(fmt.Sprintf("orders-%d", i), "orders", "riga-1", address, 2, clock.Millis(work))
		b.unwell = i == 0 // health endpoints are hints
		f.putJSON(record.KindBackend, fmt.Sprintf("orders-%d", i), record.Schema2, record.Backend{
			Service: "orders", Centre: "riga-1", Endpoints: []record.Endpoint{{Address: address, Slots: 2, Weight: c.Weights[i]}},
		})
	}
	for i := range c.Instances {
		f.addNode(fmt.Sprintf("entry-%d", i+1), "riga-1")
	}
	f.run(5 * clock.Second)
	var flows []*fakeCaller
	for range 16 {
		flows = append(flows, f.addCaller("orders"))
	}
	counts := make([]float64, len(c.Work))
	const learn, counted = 1000, 2000
	for n := range learn + counted {
		if n == learn {
			counts = c.started(f)
		}
		flows[n%len(flows)].request(fmt.Sprintf("request %d ", n), false, 5*clock.Second)
		f.run(clock.Millis(c.Every))
	}
	f.run(6 * clock.Second)
	for i, n := range c.started(f) {
		share := (n - counts[i]) / counted
		t.Logf("endpoint %d ran a share of %.3f", i, share)
		require.InDelta(t, c.Shares[i], share, 0.06)
	}
	for _, w := range flows {
		for _, body := range w.bodies {
			require.True(t, w.answered(body), "%s: %v", body, w.ends[body].Err)
		}
	}
	c.checkSlow(t, f)
}

// started returns how many runs each endpoint started.
func (c speedCase) started(f *frame) []float64 {
	counts := make([]float64, len(c.Work))
	for i := range c.Work {
		for _, n := range f.backends[fmt.Sprintf("127.3.0.%d:80", i+1)].runs {
			counts[i] += float64(n)
		}
	}
	return counts
}

// checkSlow checks which endpoint the instances report as slow.
func (c speedCase) checkSlow(t *testing.T, f *frame) {
	var slow []string
	for _, d := range f.nodes {
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
