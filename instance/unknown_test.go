package instance_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
)

// unknownLoads are the loads at which the share of unknown outcomes is measured:
// spans between the requests of each of 16 flows, against 8 slots of 50 ms.
var unknownLoads = []struct {
	name  string
	pause clock.Millis
	limit float64 // of the share
}{
	{"half-load", 200, 0.45},
	{"full-load", 105, 0.45},
}

// TestUnknownShareWhenInstanceDies kills one of four instances and counts what
// becomes of the requests in flight that must not be repeated.
func TestUnknownShareWhenInstanceDies(t *testing.T) {
	const seeds = 24
	for _, load := range unknownLoads {
		t.Run(load.name, func(t *testing.T) {
			flying, unknown, idle, refused := 0, 0, 0, 0
			took := clock.Millis(0)
			for seed := range uint64(seeds) {
				a, b, c, d, e := killOne(t, seed, load.pause)
				took += e / seeds
				flying, unknown, idle, refused = flying+a, unknown+b, idle+c, refused+d
			}
			share := float64(unknown) / float64(flying)
			if *printCells {
				fmt.Printf("%s: %d of %d in flight are unknown (%.3f), %d of them never started, %d refused, %d ms a request\n", load.name, unknown, flying, share, idle, refused, took)
			}
			require.LessOrEqual(t, share, load.limit)
		})
	}
}

func killOne(t *testing.T, seed uint64, pause clock.Millis) (flying, unknown, idle, refused int, took clock.Millis) {
	f := newFrame(t, seed)
	f.desk(4, 4)
	for _, b := range f.backends {
		b.work = 50
	}
	for i := range 16 {
		c := f.addCaller("orders")
		for n := range 30 {
			f.after(100+clock.Millis(n)*pause+clock.Millis(f.random.IntN(int(pause))), func() {
				c.request(fmt.Sprintf("%d/%d", i, n), true, 5*clock.Second)
			})
		}
	}
	f.run(1200 + clock.Millis(f.random.IntN(200)))
	for _, c := range f.callers {
		flying += int(c.next) - len(c.ends)
	}
	f.node(fmt.Sprintf("entry-%d", 1+f.random.IntN(4))).kill()
	f.run(10 * clock.Second)
	for _, c := range f.callers {
		require.True(t, c.done())
		for body, ended := range c.ends {
			require.LessOrEqual(t, f.runsOf(body), 1)
			took += c.times[body] - c.due[body] + 5*clock.Second
			switch {
			case errors.Is(ended.Err, caller.ErrNotRun):
				require.Zero(t, f.runsOf(body))
				refused++
			case ended.Err != nil:
				unknown++
				idle += 1 - f.runsOf(body)
			}
		}
	}
	return flying, unknown, idle, refused, took / (16 * 30)
}
