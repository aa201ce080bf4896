package admission

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// gateCase is a case of testdata/gate.yaml: what a gate sees in order, and the openings that it must refuse.
type gateCase struct {
	Name  string     `yaml:"name"`
	Steps []gateStep `yaml:"steps"`
}

type gateStep struct {
	At       clock.Millis  `yaml:"at"`
	Sums     *Sums         `yaml:"sums"`    // of 10 endpoints with 2 slots unless it says otherwise
	Normal   int           `yaml:"normal"`  // answers that this instance saw
	Refusal  bool          `yaml:"refusal"` // the same, one
	Openings *gateOpenings `yaml:"openings"`
}

// gateOpenings are openings of consumers with different addresses, or of one address.
type gateOpenings struct {
	Count    int          `yaml:"count"`
	Address  uint32       `yaml:"address"` // 0 for different ones, the same in each step
	Priority int          `yaml:"priority"`
	Wait     clock.Millis `yaml:"wait"`
	NoSums   bool         `yaml:"blind"`
	Refused  [2]int       `yaml:"refused"` // least and most
}

func TestGate(t *testing.T) {
	var cases []gateCase
	script.Read(t, "testdata/gate.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var g Gate
			for i, s := range c.Steps {
				s.run(t, &g, fmt.Sprintf("step %d at %d", i+1, s.At))
			}
		})
	}
}

func (s *gateStep) run(t *testing.T, g *Gate, name string) {
	if s.Sums != nil {
		g.Observe(s.At, s.Sums)
	}
	for range s.Normal {
		g.RecordAnswer(false)
	}
	if s.Refusal {
		g.RecordAnswer(true)
	}
	o := s.Openings
	if o == nil {
		return
	}
	refused := 0
	for i := range o.Count {
		v := Opening{Address: o.Address, Flow: xxhash.Sum64String(fmt.Sprint(i)), Priority: o.Priority, Timeout: 2000, Wait: o.Wait, Usable: !o.NoSums}
		if o.Address == 0 {
			v.Address = uint32(1000 + i)
		}
		if !g.Admit(s.At, &v) {
			refused++
		}
	}
	require.GreaterOrEqual(t, refused, o.Refused[0], name)
	require.LessOrEqual(t, refused, o.Refused[1], name)
}
