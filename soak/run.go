package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Times of users and of the start, in ms.
const (
	userDeadline = 2 * clock.Second       // of a request
	minThinkTime = 20 * clock.Millisecond // between two requests of a user
	maxThinkTime = 300 * clock.Millisecond
	startBound   = 1 * clock.Minute // until all instances are in rotation
)

// Run runs one seed: it starts a deployment, lets users send requests while faults are
// injected, and checks that all services answer again after the last fault. Its error
// reports a deployment that didn't start; violations are in the result.
func Run(s Settings) (*Result, error) {
	d, err := newDeployment(s)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if !d.waitInRotation(startBound) {
		return nil, errors.Errorf("seed %d: not all instances are in rotation after %d ms", s.Seed, startBound)
	}
	stop := make(chan struct{})
	var users sync.WaitGroup
	for c := range s.Centres {
		for n := range s.Users {
			users.Go(func() { d.runUser(c, n, stop) })
		}
	}
	var writer sync.WaitGroup
	stopWriter := make(chan struct{})
	writer.Go(func() { d.runOtherWriter(stopWriter) })
	r := &Result{Seed: s.Seed, Folder: s.Folder}
	d.injectFaults(r)
	close(stopWriter)
	writer.Wait()
	d.checkRecovery()
	d.evacuateInCalm(r)
	d.disturb(r)
	close(stop)
	users.Wait()
	r.Requests, r.Answered, r.Unanswered = d.checker.requests, d.checker.answered, d.checker.unanswered
	r.Violations = d.collectViolations()
	return r, nil
}

// waitInRotation waits until the routers send packets to all instances, and reports
// whether they do so within bound.
func (d *deployment) waitInRotation(bound clock.Millis) bool {
	for until := clock.Now() + bound; clock.Now() < until; time.Sleep((50 * clock.Millisecond).Duration()) {
		n := 0
		for _, r := range d.routers {
			n += r.CountInRotation()
		}
		if n == len(d.instances) {
			return true
		}
	}
	return false
}

// injectFaults starts faults at random intervals for the duration in the settings, and
// returns when each revert function has run.
func (d *deployment) injectFaults(r *Result) {
	var reverts sync.WaitGroup
	start := clock.Now()
	kinds := faults[:cmp.Or(d.settings.FaultKinds, len(faults))]
	nextStoreFaultAt := clock.Millis(0) // later than the end of the current one, as the store has one fault at a time
	for clock.Now()-start < d.settings.Duration {
		f := kinds[d.random.IntN(len(kinds))]
		duration := minFaultDuration + clock.Millis(d.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if !f.ofStore || clock.Now() >= nextStoreFaultAt {
			if description, revert := f.inject(d, duration); revert != nil {
				if f.ofStore {
					nextStoreFaultAt = clock.Now() + duration + minFaultInterval
				}
				r.Faults = append(r.Faults, fmt.Sprintf("%6d ms: %s for %d ms", clock.Now()-start, description, duration))
				reverts.Go(func() {
					time.Sleep(duration.Duration())
					revert()
				})
			}
		}
		time.Sleep((minFaultInterval + clock.Millis(d.random.Int64N(int64(maxFaultInterval-minFaultInterval)))).Duration())
	}
	reverts.Wait()
}

// checkRecovery starts instances that are down, and checks that within a bound all
// instances are in rotation and all services answer.
func (d *deployment) checkRecovery() {
	bound := startBound
	if d.settings.CheckTimings {
		bound = settleBound
	}
	for _, i := range d.instances {
		d.restart(i)
	}
	if !d.waitInRotation(bound) {
		d.checker.addViolation("not all instances are in rotation %d ms after the last fault", bound)
	}
	for until := clock.Now() + bound; ; {
		err := d.requestAll()
		if err == nil {
			return
		}
		if clock.Now() >= until {
			d.checker.addViolation("requests still fail after the last fault: %v", err)
			return
		}
	}
}

// requestAll sends one request to each service from each data centre.
func (d *deployment) requestAll() error {
	for c := range d.consumers {
		for _, service := range services {
			f, err := d.consumers[c].OpenFlow(routeAddress(service))
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

// runUser opens flows and sends requests, one after the other, until stop is closed.
func (d *deployment) runUser(centre, number int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(d.settings.Seed, uint64(100+centre*1000+number)))
	for flow := 0; ; flow++ {
		routeName := []string{"desk", "gallery", extraRoute}[random.IntN(3)]
		requests := 1 + random.IntN(20)
		if !d.runFlow(centre, routeName, fmt.Sprintf("u%d-%d-%d", centre, number, flow), requests, random, stop) {
			return
		}
	}
}

// runFlow opens one flow, sends requests on it and checks how it opens and ends. It
// returns false when stop is closed.
func (d *deployment) runFlow(centre int, routeName, id string, requests int, random *rand.Rand, stop <-chan struct{}) bool {
	service := routeName
	if routeName == extraRoute {
		service = services[0]
	}
	requestedAt := clock.Now()
	f, err := d.consumers[centre].OpenFlow(routeAddress(routeName))
	if err != nil {
		d.checker.mu.Lock()
		published := d.checker.hasExtraRoute
		d.checker.mu.Unlock()
		if routeName != extraRoute || published {
			d.checker.recordRequest(err)
			d.checker.checkRefused(requestedAt, d.settings.Centres)
		}
		return think(random, stop)
	}
	e := d.endpointByNumber(f.EndpointNumber())
	d.checker.checkOpened(e, routeName, requestedAt)
	for n := range requests {
		if f.Ended() {
			d.checker.checkReset(e, routeName, f.ResetBy)
			return true
		}
		body := bytes.Repeat([]byte("x"), random.IntN(5000))
		if e != nil && e.answersShort.Load() {
			body = nil
		}
		err := f.Request(fmt.Sprintf("%s-%d", id, n), body, userDeadline, service)
		d.checker.recordRequest(err)
		if errors.Is(err, standin.ErrFlowReset) {
			d.checker.checkReset(e, routeName, f.ResetBy)
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

// think waits for the random time between two requests of a user. It returns false when
// stop is closed.
func think(random *rand.Rand, stop <-chan struct{}) bool {
	pause := minThinkTime + clock.Millis(random.Int64N(int64(maxThinkTime-minThinkTime)))
	select {
	case <-stop:
		return false
	case <-time.After(pause.Duration()):
		return true
	}
}
