package instance_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
)

// unknownShareCases are the loads at which the share of unknown outcomes is measured. pause is
// the time between the requests of each of 16 flows; there are 8 slots and runs take 50 ms.
var unknownShareCases = []struct {
	name  string
	pause clock.Millis
	limit float64 // upper bound of the share
}{
	{"half-load", 200, 0.45},
	{"full-load", 105, 0.45},
}

// TestUnknownShareWhenInstanceDies guards against needless unknown outcomes: it kills one of four
// instances and counts the outcomes of the requests in flight that must not be repeated. They end
// as unknown if the instance had their permit.
func TestUnknownShareWhenInstanceDies(t *testing.T) {
	const seeds = 24
	for _, load := range unknownShareCases {
		t.Run(load.name, func(t *testing.T) {
			inFlight, unknown, neverStarted, refused := 0, 0, 0, 0
			meanTime := clock.Millis(0)
			for seed := range uint64(seeds) {
				a, b, c, d, e := runKillTrial(t, seed, load.pause)
				meanTime += e / seeds
				inFlight, unknown, neverStarted, refused = inFlight+a, unknown+b, neverStarted+c, refused+d
			}
			share := float64(unknown) / float64(inFlight)
			if *printCells {
				fmt.Printf("%s: %d of %d in flight are unknown (%.3f), %d of them never started, %d refused, %d ms a request\n", load.name, unknown, inFlight, share, neverStarted, refused, meanTime)
			}
			require.LessOrEqual(t, share, load.limit)
		})
	}
}

func runKillTrial(t *testing.T, seed uint64, pause clock.Millis) (inFlight, unknown, neverStarted, refused int, meanTime clock.Millis) {
	sim := newSimulation(t, seed)
	sim.startOrdersService(4, 4)
	for _, b := range sim.backends {
		b.runTime = 50
	}
	for i := range 16 {
		c := sim.addCaller("orders")
		for n := range 30 {
			sim.after(100+clock.Millis(n)*pause+clock.Millis(sim.random.IntN(int(pause))), func() {
				c.request(fmt.Sprintf("%d/%d", i, n), true, 5*clock.Second)
			})
		}
	}
	sim.advance(1200 + clock.Millis(sim.random.IntN(200)))
	for _, c := range sim.callers {
		inFlight += int(c.lastCall) - len(c.results)
	}
	sim.daemon(fmt.Sprintf("entry-%d", 1+sim.random.IntN(4))).kill()
	sim.advance(10 * clock.Second)
	for _, c := range sim.callers {
		require.True(t, c.allEnded())
		for body, ended := range c.results {
			require.LessOrEqual(t, sim.runsOf(body), 1)
			meanTime += c.endedAt[body] - c.deadlines[body] + 5*clock.Second
			switch {
			case errors.Is(ended.Err, caller.ErrNotRun):
				require.Zero(t, sim.runsOf(body))
				refused++
			case ended.Err != nil:
				unknown++
				neverStarted += 1 - sim.runsOf(body)
			}
		}
	}
	return inFlight, unknown, neverStarted, refused, meanTime / (16 * 30)
}
