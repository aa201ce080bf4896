package main

import (
	"fmt"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
)

// drainAfterHandover restarts the forwarder that watches the store, as a rolling restart does.
// Shortly after, the store removes the entry of an endpoint that it hasn't heard from for three
// intervals, although the endpoint still runs. No flow may be opened at that endpoint later than
// drainBound after the removal, through the forwarders that weren't restarted.
func drainAfterHandover(w *world, trouble bool) (bool, error) {
	w.putConfiguration(deskService)
	for n := uint64(1); n <= 4; n++ {
		if _, err := w.addEndpoint(0xa0+n, deskService); err != nil {
			return false, err
		}
	}
	if err := w.addInstances("edge-riga-a-1", "edge-riga-a-2", "edge-riga-a-3"); err != nil {
		return false, err
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep((10 * clock.Second).Duration())
	stop := make(chan struct{})
	wait, err := w.traffic(12, fullAnswer, 60, stop, deskService)
	if err != nil {
		return false, err
	}
	time.Sleep((8 * clock.Second).Duration())

	// The endpoint writes nothing from here on: its path to the store is cut.
	leaving := w.endpoints[0]
	w.note("endpoint %s last reached the store", leaving.ID())
	time.Sleep((1100 * clock.Millisecond).Duration())
	watcher := w.instance(w.watcher())
	if watcher == nil {
		return false, fmt.Errorf("no instance watches the store")
	}
	w.note("%s watches the store", watcher.name)
	restarted := make(chan error, 1)
	if trouble {
		go func() { restarted <- watcher.restart() }()
	} else {
		restarted <- nil
	}
	time.Sleep((3*heartbeatPeriod - 1100*clock.Millisecond).Duration())
	w.store.UnregisterEndpoint(leaving)
	removedAt := clock.Now()
	w.note("the store removed the entry of %s after three intervals of silence", leaving.ID())
	time.Sleep((10 * clock.Second).Duration())
	close(stop)
	all := wait()
	if err := <-restarted; err != nil {
		return false, err
	}

	failed, late := 0, 0
	for _, r := range all {
		if r.err != nil {
			failed++
			w.note("request %s on flow %s failed: %v", r.id, r.flow, r.err)
		}
		if r.endpoint != 0xa1 || r.openedAt <= removedAt {
			continue
		}
		age := r.openedAt - removedAt
		by := ""
		for _, x := range w.instances {
			if (x != watcher || !trouble) && len(x.lines(r.flow+">", `"endpoint":"`+leaving.ID()+`"`)) > 0 {
				by = x.name
			}
		}
		w.note("request %s: flow %s was opened %d ms after the removal, through %q, and ran at %s; error: %v", r.id, r.flow, age, by, leaving.ID(), r.err)
		if age > drainBound && by != "" {
			late++
		}
	}
	w.note("%d requests, %d failed; %d opened at %s later than %d ms after its removal", len(all), failed, late, leaving.ID(), drainBound)
	for _, x := range w.instances {
		for _, line := range append(x.lines(`"watch"`), x.lines(leaving.ID(), `"msg":"endpoint `)...) {
			w.note("log of %s: %s", x.name, line)
		}
	}
	return late == 0, nil
}
