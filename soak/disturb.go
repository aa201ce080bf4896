package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Times of disturbances, in ms.
const (
	minDisturbance  = 300 * clock.Millisecond
	maxDisturbance  = 2 * clock.Second // of an endpoint
	maxInstanceStop = 1 * clock.Second
	maxCalm         = 500 * clock.Millisecond // between two disturbances of a kind
	slowRunTime     = 800 * clock.Millisecond
)

// lossDuringDisturbances is the share of packets that routers lose then.
const lossDuringDisturbances = 0.01

// disturbances are the kinds of disturbances. Each begins one and returns a description for the
// output and a function that ends it, or nil if it isn't possible now.
var disturbances = []struct {
	longest clock.Millis
	begin   func(d *deployment, random *rand.Rand) (description string, end func())
}{
	{longest: maxDisturbance, begin: disturbEndpoint},
	{longest: maxInstanceStop, begin: stopBriefly},
	{longest: maxDisturbance, begin: loseSinglePackets},
}

// disturb runs disturbances of each kind, one after the other, for the duration in the
// settings. Each kind has random numbers of its own, so that its series doesn't depend on the
// timing of the others.
func (d *deployment) disturb(r *Result) {
	start := clock.Now()
	var kinds sync.WaitGroup
	for n, k := range disturbances {
		random := rand.New(rand.NewPCG(d.settings.Seed, uint64(10+n)))
		kinds.Go(func() {
			for clock.Now()-start < d.settings.Disturbed {
				duration := minDisturbance + clock.Millis(random.Int64N(int64(k.longest-minDisturbance)))
				if description, end := k.begin(d, random); end != nil {
					d.mu.Lock()
					r.Faults = append(r.Faults, fmt.Sprintf("%s: %s for %d ms", clock.Now().Time().Format("15:04:05.000"), description, duration))
					d.mu.Unlock()
					time.Sleep(duration.Duration())
					end()
				}
				time.Sleep(clock.Millis(random.Int64N(int64(maxCalm))).Duration())
			}
		})
	}
	kinds.Wait()
}

// disturbEndpoint fills the queue of new connections of an endpoint, makes its answers short or
// its requests slow, or several of these at once.
func disturbEndpoint(d *deployment, random *rand.Rand) (string, func()) {
	ways := 1 + random.IntN(7)
	full, short, slow := ways&1 != 0, ways&2 != 0, ways&4 != 0
	e := d.randomEndpoint(random)
	if e == nil {
		return "", nil
	}
	setFull := func(on bool) {
		if err := e.SetQueueFull(on); err != nil {
			d.checker.addViolation("%v", err)
		}
	}
	var parts []string
	if full {
		parts = append(parts, "full queue of new connections")
		setFull(true)
	}
	if short {
		parts = append(parts, "short answers")
		e.answersShort.Store(true)
	}
	if slow {
		parts = append(parts, "slow requests")
		e.SetRunTime(slowRunTime)
	}
	return strings.Join(parts, ", ") + " at " + e.ID(), func() {
		setFull(false)
		e.answersShort.Store(false)
		e.SetRunTime(runTime)
	}
}

func stopBriefly(d *deployment, random *rand.Rand) (string, func()) {
	i := d.instances[random.IntN(len(d.instances))]
	i.signal(syscall.SIGSTOP, false)
	return "stop and continue " + i.name, func() { i.signal(syscall.SIGCONT, false) }
}

func loseSinglePackets(d *deployment, random *rand.Rand) (string, func()) {
	r := d.routers[random.IntN(len(d.routers))]
	lost := rand.New(rand.NewPCG(random.Uint64(), 0))
	r.SetPacketLoss(func() bool { return lost.Float64() < lossDuringDisturbances })
	return "routers lose single packets", func() { r.SetPacketLoss(nil) }
}
