package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
)

// burstFactor is the number of users that a burst adds to a data centre, in units of those that
// are always there.
const burstFactor = 2

// evacuate orders the evacuation of a data centre or of all of them.
func evacuate(d *deployment, _ clock.Millis) (string, func()) {
	var centres []string
	for c := range d.settings.Centres {
		centres = append(centres, centreName(c))
	}
	if n := d.random.IntN(len(centres) + 1); n < len(centres) {
		centres = centres[n : n+1]
	}
	centres = slices.DeleteFunc(centres, func(c string) bool { return !d.checker.recordEvacuation(c, true) })
	if len(centres) == 0 {
		return "", nil // another order is in force
	}
	for _, c := range centres {
		d.store.Evacuate(c)
	}
	return "evacuate " + strings.Join(centres, ", "), func() {
		for _, c := range centres {
			d.checker.recordEvacuation(c, false)
			d.store.Lift(c)
		}
	}
}

// calmTime is the time for which an evacuation in calm stays in force after its bound, in ms.
const calmTime = 1 * clock.Second

// evacuateInCalm orders an evacuation while there are no faults. Among faults, the bounds of time
// seldom apply for as long as an order is in force.
func (d *deployment) evacuateInCalm(r *Result) {
	if !d.settings.CheckTimings {
		return
	}
	time.Sleep(recoveryTime.Duration())
	description, lift := evacuate(d, 0)
	r.Faults = append(r.Faults, "in calm: "+description)
	time.Sleep((evacuateBound + calmTime).Duration())
	lift()
}

// returnCold ends the endpoints of a data centre together. As many cold ones replace them.
func returnCold(d *deployment, _ clock.Millis) (string, func()) {
	centre := centreName(d.random.IntN(d.settings.Centres))
	var ended []*endpoint
	d.mu.Lock()
	for _, e := range d.endpoints {
		if e.centre == centre && !e.disrupted() {
			ended = append(ended, e)
		}
	}
	d.mu.Unlock()
	for _, e := range ended {
		d.closeEndpoint(e)
	}
	go func() {
		time.Sleep(entryLifetime.Duration())
		for _, e := range ended {
			d.store.UnregisterEndpoint(e.FlowEndpoint)
		}
	}()
	return fmt.Sprintf("end %d endpoints of %s, which come back cold,", len(ended), centre), func() {
		for _, e := range ended {
			if _, err := d.addEndpoint(e.centre, e.service, warmupTime); err != nil {
				d.checker.addViolation("%v", err)
			}
		}
	}
}

// burst adds users to a data centre.
func burst(d *deployment, _ clock.Millis) (string, func()) {
	centre := d.random.IntN(d.settings.Centres)
	d.burstCount++
	first := 1000 * d.burstCount // other numbers than those of other users
	stop := make(chan struct{})
	var users sync.WaitGroup
	for n := range burstFactor * d.settings.Users {
		users.Go(func() { d.runUser(centre, first+n, stop) })
	}
	return "burst of users in " + centreName(centre), func() {
		close(stop)
		users.Wait()
	}
}
