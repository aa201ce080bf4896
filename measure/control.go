package measure

import (
	"context"
	"flag"
	"fmt"
	"time"
)

var controlVerb = verb{
	name:    "control",
	summary: "control traffic, platform calls and CPU of an instance",
	usage: `Runs entry daemons side by side without callers, first at rest, then with a
change of configuration every 10 s, then while one of them is killed and started
again every 10 s. Bytes are payload, sent and received; means over the daemons.

  PHASE_bytes_per_s     on the peers and control sockets
  PHASE_platform_calls  calls to the platform a minute
  PHASE_cpu             share of a core
  PHASE_resident        resident memory, in bytes`,
	setUp: func(flags *flag.FlagSet) work {
		var c controlLoad
		bin := binFlag(flags)
		flags.IntVar(&c.entries, "entries", 8, "entry daemons")
		flags.DurationVar(&c.span, "span", 30*time.Second, "time of each phase")
		return func(ctx context.Context, p *printer) error { return c.run(ctx, p, *bin) }
	},
}

// changePeriod is the time between changes, and between restarts.
const changePeriod = 10 * time.Second

type controlLoad struct {
	entries int
	span    time.Duration
	stage   *stage
	changes int
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
	return nil
}

// change writes one record.
func (c *controlLoad) change(ctx context.Context) error {
	c.changes++
	return c.stage.putBackend(ctx, "backend", fmt.Sprintf("127.0.0.1:%d", 1000+c.changes), 1)
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
