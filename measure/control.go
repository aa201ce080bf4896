package measure

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

var controlVerb = verb{
	name:    "control",
	summary: "control traffic, platform calls and CPU of an instance",
	usage: `Runs entry daemons side by side without callers, first at rest, then with a
change of configuration every 5 s, then while one of them is killed and started
again every 5 s. Bytes are payload, sent and received; means over the daemons.
At the end the three daemons that called the platform most are killed, and a
change follows at once.

  PHASE_bytes_per_s     on the peers and control sockets
  PHASE_platform_calls  calls to the platform a minute
  PHASE_cpu             share of a core
  PHASE_resident        resident memory, in bytes
  force_ms              from a change's write until it is in force everywhere
  killed_force_ms       the same after the kill, in the daemons left`,
	setUp: func(flags *flag.FlagSet) work {
		var c controlLoad
		bin := binFlag(flags)
		flags.IntVar(&c.entries, "entries", 8, "entry daemons")
		flags.DurationVar(&c.span, "span", 40*time.Second, "time of each phase")
		return func(ctx context.Context, p *printer) error { return c.run(ctx, p, *bin) }
	},
}

// changePeriod is the time between changes, and between restarts.
const changePeriod = 5 * time.Second

type controlLoad struct {
	entries int
	span    time.Duration
	stage   *stage
	changes int
	delays  []float64 // of changes, in ms
}

func (c *controlLoad) run(ctx context.Context, p *printer, bin string) error {
	var err error
	if c.stage, err = openStage(ctx, bin); err != nil {
		return err
	}
	defer c.stage.close()
	if err := c.stage.putService(ctx); err != nil {
		return err
	}
	for range c.entries {
		if _, err := c.stage.addEntry(ctx); err != nil {
			return err
		}
	}
	time.Sleep(settle)
	phases := []struct {
		name string
		step func(ctx context.Context) error
	}{
		{"rest", func(context.Context) error { return nil }},
		{"change", c.change},
		{"restart", c.restart},
	}
	for _, phase := range phases {
		if err := c.phase(ctx, p, phase.name, phase.step); err != nil {
			return err
		}
	}
	p.spread("force_ms", c.delays)
	time.Sleep(settle)
	c.delays = nil
	if err := c.kill(ctx); err != nil {
		return err
	}
	p.spread("killed_force_ms", c.delays)
	return nil
}

// change writes one record and waits until it is in force in every daemon.
func (c *controlLoad) change(ctx context.Context) error {
	before, err := c.accepted()
	if err != nil {
		return err
	}
	c.changes++
	if err := c.stage.putBackend(ctx, "backend", fmt.Sprintf("127.0.0.1:%d", 1000+c.changes), 1); err != nil {
		return err
	}
	start := time.Now()
	for time.Since(start) < forcePatience {
		after, err := c.accepted()
		if err != nil {
			return err
		}
		missing := 0
		for i := range after {
			if after[i] <= before[i] {
				missing++
			}
		}
		if missing == 0 {
			c.delays = append(c.delays, float64(time.Since(start).Milliseconds()))
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.Errorf("change %d was not in force everywhere within %v", c.changes, forcePatience)
}

// forcePatience is how long a change may take to be in force everywhere.
const forcePatience = 60 * time.Second

// accepted returns how many records each daemon has accepted.
func (c *controlLoad) accepted() ([]float64, error) {
	var counts []float64
	for _, e := range c.stage.entries {
		values, err := e.metrics()
		if err != nil {
			return nil, err
		}
		counts = append(counts, values["accept.record"])
	}
	return counts, nil
}

// killed is how many of the daemons that call the platform most are killed.
const killed = 3

// kill ends the daemons that call the platform most, and makes a change.
func (c *controlLoad) kill(ctx context.Context) error {
	type caller struct {
		entry *process
		calls float64
	}
	var callers []caller
	for _, e := range c.stage.entries {
		values, err := e.metrics()
		if err != nil {
			return err
		}
		callers = append(callers, caller{entry: e, calls: values["platform.calls"]})
	}
	slices.SortFunc(callers, func(a, b caller) int { return cmp.Compare(b.calls, a.calls) })
	for _, k := range callers[:min(killed, len(callers)-1)] {
		k.entry.kill()
		c.stage.entries = slices.DeleteFunc(c.stage.entries, func(e *process) bool { return e == k.entry })
	}
	return c.change(ctx)
}

// restart kills the last daemon and starts it again.
func (c *controlLoad) restart(ctx context.Context) error {
	s := c.stage
	last := len(s.entries) - 1
	s.entries[last].kill()
	s.entries = s.entries[:last]
	_, err := s.addEntry(ctx)
	return err
}

// phase takes a step now and then and prints what the daemons that stayed did.
func (c *controlLoad) phase(ctx context.Context, p *printer, name string, step func(context.Context) error) error {
	steady := c.stage.entries[:len(c.stage.entries)-1]
	before, err := totalOf(steady)
	if err != nil {
		return err
	}
	start := time.Now()
	for time.Since(start) < c.span && ctx.Err() == nil {
		if err := step(ctx); err != nil {
			return err
		}
		time.Sleep(min(changePeriod, max(0, c.span-time.Since(start))))
	}
	after, err := totalOf(steady)
	if err != nil {
		return err
	}
	took, n := time.Since(start).Seconds(), float64(len(steady))
	p.line(name+"_bytes_per_s", (after.bytes-before.bytes)/took/n)
	p.line(name+"_platform_calls", (after.calls-before.calls)/took/n*60)
	p.line(name+"_cpu", (after.cpu-before.cpu)/took/n)
	p.line(name+"_resident", after.resident/n)
	return nil
}

// usage is what daemons have used together.
type usage struct{ bytes, calls, cpu, resident float64 }

// controlCounters are the metrics of the bytes on the peers and control sockets.
var controlCounters = []string{
	"peers.beat.bytes_in", "peers.beat.bytes_out", "control.objects.bytes_in", "control.objects.bytes_out",
}

func totalOf(entries []*process) (usage, error) {
	var u usage
	for _, e := range entries {
		values, err := e.metrics()
		if err != nil {
			return u, err
		}
		for _, name := range controlCounters {
			u.bytes += values[name]
		}
		u.calls += values["platform.calls"]
		cpu, err := e.cpu()
		if err != nil {
			return u, err
		}
		u.cpu += cpu.Seconds()
		resident, err := e.resident()
		if err != nil {
			return u, err
		}
		u.resident += float64(resident)
	}
	return u, nil
}
