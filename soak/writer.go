package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Times of the other writer, in ms.
const (
	maxWriteInterval = 1 * clock.Second
	// How long an endpoint's entry stays odd until the endpoint writes it again.
	oddEntryTime = 500 * clock.Millisecond
)

// maxOddObjects is the number of odd objects of a kind that exist at the same time.
const maxOddObjects = 4

// runOtherWriter writes odd objects among those of the deployment until stop is closed, as a
// program does that doesn't keep to the format. It has random numbers of its own, so that a
// seed's series of faults doesn't depend on it.
func (d *deployment) runOtherWriter(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(d.settings.Seed, 3))
	faults := standin.OddFaults()
	for {
		select {
		case <-stop:
			return
		case <-time.After(clock.Millis(random.Int64N(int64(maxWriteInterval))).Duration()):
		}
		fault := faults[random.IntN(len(faults))]
		name := fmt.Sprintf("odd-%d", random.IntN(maxOddObjects))
		switch random.IntN(4) {
		case 0:
			d.overwriteEntry(random, fault)
		case 1:
			d.store.Remove("servers", name)
		default:
			kind := []string{"servers", "servers", "instances", "reports", "config"}[random.IntN(5)]
			d.store.PutOdd(kind, name, fault)
		}
	}
}

// overwriteEntry replaces the entry of an endpoint by an odd one, until the endpoint writes its
// own again.
func (d *deployment) overwriteEntry(random *rand.Rand, fault string) {
	e := d.randomEndpoint(random)
	if e == nil {
		return
	}
	d.store.PutOdd("servers", e.ID(), fault)
	time.AfterFunc(oddEntryTime.Duration(), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !e.closed {
			d.store.RegisterEndpoint(e.FlowEndpoint)
		}
	})
}
