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
	Least    int    `yaml:"least"`
	Most     int    `yaml:"most"`
}

func TestWorkSpillsToAnotherDataCentre(t *testing.T) {
	var cases []spillCase
	script.Read(t, "testdata/spill.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

func (c spillCase) check(t *testing.T) {
	f := newFrame(t, 1)
	f.putJSON(record.KindRule, "orders", record.Schema2, record.Rule{Service: "orders", Spill: c.Spill})
	f.desk(2, 2)
	for i := range 4 {
		f.addBackend(fmt.Sprintf("far-%d", i), "orders", "riga-2", fmt.Sprintf("127.4.0.%d:80", i+1), 4, 20*clock.Millisecond)
	}
	f.addNode("far-1", "riga-2")
	f.run(5 * clock.Second)
	if c.Cut {
		f.cut("entry-1", "far-1", true)
		f.cut("entry-2", "far-1", true)
	}
	w := f.addCaller("orders")
	f.links[w.name+">far-1"] = true
	for i := range 20 { // run times are learnt first
		body := fmt.Sprintf("first %d", i)
		w.ask(body, caller.Request{Body: []byte(body), Class: packet.ClassShort, Deadline: 5 * clock.Second})
		f.run(100 * clock.Millisecond)
	}
	for i := range c.Requests {
		body := fmt.Sprintf("request %d", i)
		w.ask(body, caller.Request{Body: []byte(body), Class: packet.ClassShort, Deadline: 5 * clock.Second})
		f.run(clock.Millisecond)
	}
	f.run(6 * clock.Second)
	far := 0
	for _, body := range w.bodies {
		require.True(t, w.answered(body), "%s: %v", body, w.ends[body].Err)
		for i := range 4 {
			far += f.backends[fmt.Sprintf("127.4.0.%d:80", i+1)].runs[body]
		}
	}
	t.Logf("%d of %d requests ran in the other data centre", far, len(w.bodies))
	require.GreaterOrEqual(t, far, c.Least)
	require.LessOrEqual(t, far, c.Most)
}
