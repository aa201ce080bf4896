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

type steerCase struct {
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

func TestRulesSteerRequests(t *testing.T) {
	var cases []steerCase
	script.Read(t, "testdata/steer.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

func (c steerCase) check(t *testing.T) {
	f := newFrame(t, 1)
	for _, r := range c.Rules {
		f.putJSON(record.KindRule, r.Name, record.Schema2, record.Rule{Service: "orders", Class: r.Class, Backends: r.Backends, Pin: r.Pin})
	}
	f.desk(3, 4)
	flows := []*fakeCaller{}
	for range 12 {
		flows = append(flows, f.addCaller("orders"))
	}
	c.send(f, flows, "first")
	if c.Drain != "" {
		for i := range 4 {
			if fmt.Sprintf("orders-%d", i) == c.Drain {
				f.backends[fmt.Sprintf("127.3.0.%d:80", i+1)].draining = true
			}
		}
	}
	c.send(f, flows, "second")
	for _, w := range flows {
		c.judge(t, f, w)
	}
}

// send sends 4 short and 4 long requests on each flow.
func (c steerCase) send(f *frame, flows []*fakeCaller, part string) {
	for i, w := range flows {
		for n := range 8 {
			class := []packet.Class{packet.ClassShort, packet.ClassLong}[n%2]
			body := fmt.Sprintf("%s %s %d %d", class, part, i, n)
			w.ask(body, caller.Request{Body: []byte(body), Class: class, Deadline: 10 * clock.Second})
		}
	}
	f.run(5 * clock.Second)
}

func (c steerCase) judge(t *testing.T, f *frame, w *fakeCaller) {
	require.True(t, w.done())
	ran := make(map[string]bool)
	for _, body := range w.bodies {
		require.Equal(t, !c.Refused, w.answered(body), "%s: %v", body, w.ends[body].Err)
		for i := range 4 {
			name := fmt.Sprintf("orders-%d", i)
			if f.backends[fmt.Sprintf("127.3.0.%d:80", i+1)].runs[body] == 0 {
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
