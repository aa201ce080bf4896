package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Durations and intervals of faults, in ms.
const (
	minFaultDuration = 300 * clock.Millisecond
	maxFaultDuration = 5 * clock.Second
	minFaultInterval = 100 * clock.Millisecond // between the starts of two faults, which may overlap
	maxFaultInterval = 2 * clock.Second
	restartDelay     = 500 * clock.Millisecond // from the exit of a stopped instance until its restart
	// After an endpoint was silent or unregistered, no other fault affects it for this long.
	endpointRecoveryTime = 2 * clock.Second
)

// injector starts a fault that lasts for the given time. It returns a description for
// the output and a function that ends the fault, which the caller runs after that time.
// If the fault isn't possible now, it starts nothing and returns an empty description and nil.
type injector func(d *deployment, duration clock.Millis) (description string, revert func())

// faults are the faults to choose from, including planned operations such as a restart or
// a drain. A seed's random numbers are indexes into the list, so its order must not change.
var faults = []struct {
	ofStore bool // of the store, which has at most one fault at a time
	inject  injector
}{
	{inject: stopInstance},
	{inject: killInstance},
	{inject: pauseInstance},
	{inject: reloadInstance},
	{inject: disruptConnections},
	{ofStore: true, inject: refuseStoreCalls},
	{ofStore: true, inject: loseStoreWrites},
	{ofStore: true, inject: compactStoreHistory},
	{inject: dropPackets},
	{inject: drainEndpoint},
	{inject: crashEndpoint},
	{inject: silenceEndpoint},
	{inject: unregisterEndpoint},
	{inject: addEndpoint},
	{inject: changeRoute},
	{inject: evacuate},
	{inject: returnCold},
	{inject: burst},
}

func (d *deployment) randomInstance() *instance { return d.instances[d.random.IntN(len(d.instances))] }

func stopInstance(d *deployment, _ clock.Millis) (string, func()) {
	i := d.randomInstance()
	go func() {
		i.stop()
		time.Sleep(restartDelay.Duration())
		d.restart(i)
	}()
	return "stop " + i.name, func() {}
}

func (d *deployment) restart(i *instance) {
	if err := i.start(); err != nil {
		d.checker.addViolation("%v", err)
	}
}

func killInstance(d *deployment, duration clock.Millis) (string, func()) {
	i := d.randomInstance()
	d.checker.markDisrupted(duration)
	go i.kill()
	return "kill " + i.name, func() {
		i.kill() // another fault may have restarted it meanwhile
		d.restart(i)
	}
}

func pauseInstance(d *deployment, duration clock.Millis) (string, func()) {
	i := d.randomInstance()
	d.checker.markDisrupted(duration)
	i.signal(syscall.SIGSTOP, false)
	return "pause " + i.name, func() { i.signal(syscall.SIGCONT, false) }
}

func reloadInstance(d *deployment, _ clock.Millis) (string, func()) {
	i := d.randomInstance()
	i.signal(syscall.SIGHUP, false)
	return "reload " + i.name, func() {}
}

func disruptConnections(d *deployment, duration clock.Millis) (string, func()) {
	i := d.randomInstance()
	m := disruptiveModes[d.random.IntN(len(disruptiveModes))]
	d.checker.markDisrupted(duration)
	i.proxy.setMode(m)
	return fmt.Sprintf("%s connections of %s", m, i.name), func() { i.proxy.setMode(modePass) }
}

func refuseStoreCalls(d *deployment, duration clock.Millis) (string, func()) {
	f := standin.MetastoreFaults{RefuseMode: []string{
		standin.RefuseUnavailable, standin.RefuseTooManyRequests, standin.RefuseReset, standin.RefuseSilent,
	}[d.random.IntN(4)]}
	if d.random.IntN(2) == 0 {
		f.RefusedCallers = []string{d.randomInstance().name}
	}
	return d.injectStoreFaults(duration, f, fmt.Sprintf("store refuses, %s %v", f.RefuseMode, f.RefusedCallers))
}

func loseStoreWrites(d *deployment, duration clock.Millis) (string, func()) {
	f := standin.MetastoreFaults{AnswerLoss: 0.5, LateWriteDelay: clock.Millis(d.random.IntN(3000)), Delay: clock.Millis(d.random.IntN(300))}
	return d.injectStoreFaults(duration, f, "store loses writes and is slow")
}

func compactStoreHistory(d *deployment, duration clock.Millis) (string, func()) {
	description, revert := d.injectStoreFaults(duration, standin.MetastoreFaults{FreezeWatches: true}, "store sends no watch events and compacts its history")
	return description, func() {
		d.store.Compact()
		revert()
	}
}

func (d *deployment) injectStoreFaults(duration clock.Millis, f standin.MetastoreFaults, description string) (string, func()) {
	d.checker.markDisrupted(duration)
	if err := d.store.SetFaults(f); err != nil {
		d.checker.addViolation("%v", err)
	}
	return description, func() {
		if err := d.store.SetFaults(standin.MetastoreFaults{}); err != nil {
			d.checker.addViolation("%v", err)
		}
	}
}

func dropPackets(d *deployment, duration clock.Millis) (string, func()) {
	r := d.routers[d.random.IntN(len(d.routers))]
	d.checker.markDisrupted(duration)
	random := rand.New(rand.NewPCG(d.settings.Seed, 2))
	r.SetPacketLoss(func() bool { return random.Float64() < 0.05 })
	return "routers lose packets", func() { r.SetPacketLoss(nil) }
}

func drainEndpoint(d *deployment, _ clock.Millis) (string, func()) {
	e := d.pickSpareEndpoint()
	if e == nil {
		return "", nil
	}
	d.mu.Lock()
	e.draining = true
	d.mu.Unlock()
	e.Drain()
	d.store.RegisterEndpoint(e.FlowEndpoint)
	d.mu.Lock()
	e.drainPublishedAt = clock.Now()
	d.mu.Unlock()
	go func() { // serves on while instances apply the change, then leaves
		time.Sleep((drainBound + drainMargin).Duration())
		d.closeEndpoint(e)
		d.store.UnregisterEndpoint(e.FlowEndpoint)
	}()
	return "drain " + e.ID(), func() {}
}

// drainMargin is the time that a draining endpoint serves longer than drainBound, in ms.
const drainMargin = 500 * clock.Millisecond

func (d *deployment) closeEndpoint(e *endpoint) {
	d.mu.Lock()
	e.closed = true
	d.mu.Unlock()
	e.Close()
}

// entryLifetime is the time until the store removes the entry of an endpoint that has ended, after
// several missed reports, in ms.
const entryLifetime = 3 * clock.Second

func crashEndpoint(d *deployment, _ clock.Millis) (string, func()) {
	e := d.pickSpareEndpoint()
	if e == nil {
		return "", nil
	}
	d.closeEndpoint(e)
	go func() {
		time.Sleep(entryLifetime.Duration())
		d.store.UnregisterEndpoint(e.FlowEndpoint)
	}()
	return "crash " + e.ID(), func() {}
}

// markEndpointDisrupted records that a fault of an endpoint lasts for the given time.
// Until endpointRecoveryTime after it, the endpoint gets no other fault and checkReset
// allows resets of its flows.
func (d *deployment) markEndpointDisrupted(e *endpoint, duration clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.disruptedUntil = clock.Now() + duration + endpointRecoveryTime
}

func silenceEndpoint(d *deployment, duration clock.Millis) (string, func()) {
	e := d.pickSpareEndpoint()
	if e == nil {
		return "", nil
	}
	d.markEndpointDisrupted(e, duration)
	e.SetSilent(true)
	return "mute " + e.ID(), func() { e.SetSilent(false) }
}

func unregisterEndpoint(d *deployment, duration clock.Millis) (string, func()) {
	e := d.pickSpareEndpoint()
	if e == nil {
		return "", nil
	}
	d.markEndpointDisrupted(e, duration)
	d.store.UnregisterEndpoint(e.FlowEndpoint)
	return "unlist " + e.ID(), func() { d.store.RegisterEndpoint(e.FlowEndpoint) }
}

func addEndpoint(d *deployment, _ clock.Millis) (string, func()) {
	existing := d.endpoints[d.random.IntN(len(d.endpoints))]
	e, err := d.addEndpoint(existing.centre, existing.service, 0)
	if err != nil {
		d.checker.addViolation("%v", err)
		return "", nil
	}
	return "add " + e.ID(), func() {}
}

func changeRoute(d *deployment, _ clock.Millis) (string, func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasExtraRoute = !d.hasExtraRoute
	d.publishConfiguration()
	return fmt.Sprintf("publish version %d, extra route %t", d.configurationVersion, d.hasExtraRoute), func() {}
}
