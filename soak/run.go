package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Times of users, in ms.
const (
	userDeadline = 2 * clock.Second
	leastThink   = 20 * clock.Millisecond
	mostThink    = 300 * clock.Millisecond
	startBound   = 1 * clock.Minute // until all instances are in rotation
)

// Run plays one seed.
func Run(s Settings) (*Result, error) {
	w, err := newWorld(s)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if !w.inRotation(startBound) {
		return nil, errors.Errorf("seed %d: not all instances are in rotation after %d ms", s.Seed, startBound)
	}
	stop := make(chan struct{})
	var users sync.WaitGroup
	for c := range s.Centres {
		for n := range s.Users {
			users.Go(func() { w.user(c, n, stop) })
		}
	}
	r := &Result{Seed: s.Seed, Folder: s.Folder}
	w.play(r)
	w.settle()
	close(stop)
	users.Wait()
	r.Asked, r.Answered, r.Failed = w.ledger.asked, w.ledger.answered, w.ledger.failed
	r.Wrong = w.judge()
	return r, nil
}

// inRotation waits until all instances get packets.
func (w *world) inRotation(bound clock.Millis) bool {
	for until := clock.Now() + bound; clock.Now() < until; time.Sleep((50 * clock.Millisecond).Duration()) {
		n := 0
		for _, r := range w.routers {
			n += r.CountInRotation()
		}
		if n == len(w.all) {
			return true
		}
	}
	return false
}

// play does things to the world until its time is over, and ends them all.
func (w *world) play(r *Result) {
	var ends sync.WaitGroup
	start := clock.Now()
	storeBusy := clock.Millis(0) // one fault of the store at a time
	for clock.Now()-start < w.settings.Span {
		f := faults[w.random.IntN(len(faults))]
		span := leastFault + clock.Millis(w.random.Int64N(int64(mostFault-leastFault)))
		if !f.store || clock.Now() >= storeBusy {
			if done, end := f.do(w, span); end != nil {
				if f.store {
					storeBusy = clock.Now() + span + leastPause
				}
				r.Faults = append(r.Faults, fmt.Sprintf("%6d ms: %s for %d ms", clock.Now()-start, done, span))
				ends.Go(func() {
					time.Sleep(span.Duration())
					end()
				})
			}
		}
		time.Sleep((leastPause + clock.Millis(w.random.Int64N(int64(mostPause-leastPause)))).Duration())
	}
	ends.Wait()
}

// settle waits until the world is whole again, and checks that it serves.
func (w *world) settle() {
	bound := startBound
	if w.settings.Timed {
		bound = settleBound
	}
	for _, i := range w.all {
		w.restart(i)
	}
	if !w.inRotation(bound) {
		w.ledger.fault("not all instances are in rotation %d ms after the last fault", bound)
	}
	for until := clock.Now() + bound; ; {
		err := w.askAll()
		if err == nil {
			return
		}
		if clock.Now() >= until {
			w.ledger.fault("after the last fault: %v", err)
			return
		}
	}
}

// askAll sends one request to each service from each data centre.
func (w *world) askAll() error {
	for c := range w.callers {
		for _, service := range services {
			f, err := w.callers[c].OpenFlow(route(service))
			if err == nil {
				err = f.Request(fmt.Sprintf("settled-%d-%s-%d", c, service, clock.Now()), nil, userDeadline, service)
				f.Finish()
			}
			if err != nil {
				return errors.Wrapf(err, "data centre %d, service %s", c, service)
			}
		}
	}
	return nil
}

// user opens flows and sends requests until told to stop.
func (w *world) user(centre, number int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(w.settings.Seed, uint64(100+centre*1000+number)))
	for flow := 0; ; flow++ {
		name := []string{"desk", "gallery", extraRoute}[random.IntN(3)]
		requests := 1 + random.IntN(20)
		if !w.flow(centre, name, fmt.Sprintf("u%d-%d-%d", centre, number, flow), requests, random, stop) {
			return
		}
	}
}

// flow opens one flow and uses it. It returns false when told to stop.
func (w *world) flow(centre int, name, id string, requests int, random *rand.Rand, stop <-chan struct{}) bool {
	service := name
	if name == extraRoute {
		service = services[0]
	}
	asked := clock.Now()
	f, err := w.callers[centre].OpenFlow(route(name))
	if err != nil {
		w.ledger.mu.Lock()
		there := w.ledger.extra
		w.ledger.mu.Unlock()
		if name != extraRoute || there {
			w.ledger.served(err)
		}
		return think(random, stop)
	}
	e := w.endpointOf(f.EndpointNumber())
	w.ledger.opened(e, name, asked)
	for n := range requests {
		if f.Ended() {
			w.ledger.ended(e, name, f.ResetBy)
			return true
		}
		body := bytes.Repeat([]byte("x"), random.IntN(5000))
		err := f.Request(fmt.Sprintf("%s-%d", id, n), body, userDeadline, service)
		w.ledger.served(err)
		if errors.Is(err, standin.ErrFlowReset) {
			w.ledger.ended(e, name, f.ResetBy)
		}
		if err != nil {
			return think(random, stop)
		}
		if !think(random, stop) {
			f.Finish()
			return false
		}
	}
	f.Finish()
	return true
}

// think waits a while, and returns false when told to stop.
func think(random *rand.Rand, stop <-chan struct{}) bool {
	pause := leastThink + clock.Millis(random.Int64N(int64(mostThink-leastThink)))
	select {
	case <-stop:
		return false
	case <-time.After(pause.Duration()):
		return true
	}
}
