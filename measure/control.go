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
	usage: `Runs entry daemons side by side without callers: first at rest, then with a
configuration change every 5 s, then while one of them is killed and restarted
every 5 s. At the end the three daemons that called the platform most often are
killed, and the configuration is changed at once.

PHASE is rest, change or restart; its figures are means over all daemons but the
one that is restarted.

  PHASE_bytes_per_s     payload sent and received on the peers and control sockets
  PHASE_platform_calls  calls to the platform per minute
  PHASE_cpu             processor time per second, in cores
  PHASE_resident        resident memory, in bytes
  force_ms              time from writing a change until every daemon has applied it
  killed_force_ms       the same after the kill, in the remaining daemons`,
	defineFlags: func(flags *flag.FlagSet) measureFunc {
		var c controlRun
		bin := binFlag(flags)
		flags.IntVar(&c.entries, "entries", 8, "entry daemons")
		flags.DurationVar(&c.phaseDuration, "span", 40*time.Second, "time of each phase")
		return func(ctx context.Context, p *printer) error { return c.run(ctx, p, *bin) }
	},
}

// changeInterval is the time between changes and between restarts.
const changeInterval = 5 * time.Second

type controlRun struct {
	entries       int
	phaseDuration time.Duration
	testbed       *testbed
	changes       int
	applyDelays   []float64 // from writing a change until all daemons accepted it, in ms
}

func (c *controlRun) run(ctx context.Context, p *printer, bin string) error {
	var err error
	if c.testbed, err = startTestbed(ctx, bin); err != nil {
		return err
	}
	defer c.testbed.close()
	if err := c.testbed.putService(ctx); err != nil {
		return err
	}
	for range c.entries {
		if _, err := c.testbed.addEntry(ctx); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	phases := []struct {
		name string
		step func(ctx context.Context) error
	}{
		{"rest", func(context.Context) error { return nil }},
		{"change", c.changeRecord},
		{"restart", c.restartEntry},
	}
	for _, phase := range phases {
		if err := c.runPhase(ctx, p, phase.name, phase.step); err != nil {
			return err
		}
	}
	p.spread("force_ms", c.applyDelays)
	time.Sleep(settleTime)
	c.applyDelays = nil
	if err := c.killTopCallers(ctx); err != nil {
		return err
	}
	p.spread("killed_force_ms", c.applyDelays)
	return nil
}

// changeRecord writes one record, waits until every daemon has accepted it and adds the
// delay to applyDelays.
func (c *controlRun) changeRecord(ctx context.Context) error {
	before, err := c.acceptedRecords()
	if err != nil {
		return err
	}
	c.changes++
	if err := c.testbed.putBackend(ctx, "backend", fmt.Sprintf("127.0.0.1:%d", 1000+c.changes), 1); err != nil {
		return err
	}
	start := time.Now()
	for time.Since(start) < applyTimeout {
		after, err := c.acceptedRecords()
		if err != nil {
			return err
		}
		pending := 0
		for i := range after {
			if after[i] <= before[i] {
				pending++
			}
		}
		if pending == 0 {
			c.applyDelays = append(c.applyDelays, float64(time.Since(start).Milliseconds()))
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.Errorf("change %d was not applied by every daemon within %v", c.changes, applyTimeout)
}

// applyTimeout is the longest wait until every daemon has applied a change.
const applyTimeout = 60 * time.Second

// acceptedRecords returns the number of records that each daemon has accepted so far.
func (c *controlRun) acceptedRecords() ([]float64, error) {
	var counts []float64
	for _, e := range c.testbed.entries {
		values, err := e.metrics()
		if err != nil {
			return nil, err
		}
		counts = append(counts, values["accept.record"])
	}
	return counts, nil
}

// killedEntries is the number of daemons that are killed at the end.
const killedEntries = 3

// killTopCallers kills the daemons that called the platform most often, and then measures
// one change.
func (c *controlRun) killTopCallers(ctx context.Context) error {
	type caller struct {
		entry *process
		calls float64
	}
	var callers []caller
	for _, e := range c.testbed.entries {
		values, err := e.metrics()
		if err != nil {
			return err
		}
		callers = append(callers, caller{entry: e, calls: values["platform.calls"]})
	}
	slices.SortFunc(callers, func(a, b caller) int { return cmp.Compare(b.calls, a.calls) })
	for _, k := range callers[:min(killedEntries, len(callers)-1)] {
		k.entry.kill()
		c.testbed.entries = slices.DeleteFunc(c.testbed.entries, func(e *process) bool { return e == k.entry })
	}
	return c.changeRecord(ctx)
}

// restartEntry kills the last daemon and starts it again.
func (c *controlRun) restartEntry(ctx context.Context) error {
	t := c.testbed
	last := len(t.entries) - 1
	t.entries[last].kill()
	t.entries = t.entries[:last]
	_, err := t.addEntry(ctx)
	return err
}

// runPhase runs step repeatedly, with changeInterval in between, and prints the resource usage
// of all daemons but the last, which restartEntry replaces.
func (c *controlRun) runPhase(ctx context.Context, p *printer, name string, step func(context.Context) error) error {
	steady := c.testbed.entries[:len(c.testbed.entries)-1]
	before, err := totalUsage(steady)
	if err != nil {
		return err
	}
	start := time.Now()
	for time.Since(start) < c.phaseDuration && ctx.Err() == nil {
		if err := step(ctx); err != nil {
			return err
		}
		time.Sleep(min(changeInterval, max(0, c.phaseDuration-time.Since(start))))
	}
	after, err := totalUsage(steady)
	if err != nil {
		return err
	}
	elapsed, n := time.Since(start).Seconds(), float64(len(steady))
	p.line(name+"_bytes_per_s", (after.bytes-before.bytes)/elapsed/n)
	p.line(name+"_platform_calls", (after.calls-before.calls)/elapsed/n*60)
	p.line(name+"_cpu", (after.cpu-before.cpu)/elapsed/n)
	p.line(name+"_resident", after.resident/n)
	return nil
}

// usage is the total of what several daemons have used.
type usage struct{ bytes, calls, cpu, resident float64 }

// controlCounters are the metrics of the bytes on the peers and control sockets.
var controlCounters = []string{
	"peers.beat.bytes_in", "peers.beat.bytes_out", "control.objects.bytes_in", "control.objects.bytes_out",
}

func totalUsage(entries []*process) (usage, error) {
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
