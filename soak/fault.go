package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Times of faults, in ms.
const (
	leastFault   = 300 * clock.Millisecond
	mostFault    = 5 * clock.Second
	leastPause   = 100 * clock.Millisecond // between the starts of two faults, which overlap
	mostPause    = 2 * clock.Second
	restartDelay = 500 * clock.Millisecond
	// An endpoint that was seen to be silent or unlisted may be given up until it
	// is well again for this long.
	lapseTime = 2 * clock.Second
)

// fault is one thing that is done to the world for some time. It returns what it
// did, and a function that ends it, or nothing when it doesn't fit now.
type fault func(w *world, span clock.Millis) (done string, end func())

// faults are all that can be done, planned work among them. Those of the store, of
// which there is one at a time, say so.
var faults = []struct {
	store bool
	do    fault
}{
	{do: stopInstance},
	{do: killInstance},
	{do: pauseInstance},
	{do: reloadInstance},
	{do: harmConnections},
	{store: true, do: refuseCalls},
	{store: true, do: loseWrites},
	{store: true, do: forgetHistory},
	{do: losePackets},
	{do: drainEndpoint},
	{do: crashEndpoint},
	{do: muteEndpoint},
	{do: unlistEndpoint},
	{do: addEndpoint},
	{do: changeRoute},
}

func (w *world) someInstance() *instance { return w.all[w.random.IntN(len(w.all))] }

func stopInstance(w *world, _ clock.Millis) (string, func()) {
	i := w.someInstance()
	go func() {
		i.stop()
		time.Sleep(restartDelay.Duration())
		w.restart(i)
	}()
	return "stop " + i.name, func() {}
}

func (w *world) restart(i *instance) {
	if err := i.start(); err != nil {
		w.ledger.fault("%v", err)
	}
}

func killInstance(w *world, span clock.Millis) (string, func()) {
	i := w.someInstance()
	w.ledger.trouble(span)
	go i.kill()
	return "kill " + i.name, func() {
		i.kill() // in case it was started again meanwhile
		w.restart(i)
	}
}

func pauseInstance(w *world, span clock.Millis) (string, func()) {
	i := w.someInstance()
	w.ledger.trouble(span)
	i.signal(syscall.SIGSTOP, false)
	return "pause " + i.name, func() { i.signal(syscall.SIGCONT, false) }
}

func reloadInstance(w *world, _ clock.Millis) (string, func()) {
	i := w.someInstance()
	i.signal(syscall.SIGHUP, false)
	return "reload " + i.name, func() {}
}

func harmConnections(w *world, span clock.Millis) (string, func()) {
	i := w.someInstance()
	t := treatments[w.random.IntN(len(treatments))]
	w.ledger.trouble(span)
	i.proxy.treat(t)
	return fmt.Sprintf("%s connections of %s", t, i.name), func() { i.proxy.treat(pass) }
}

func refuseCalls(w *world, span clock.Millis) (string, func()) {
	f := standin.MetastoreFaults{RefuseMode: []string{
		standin.RefuseUnavailable, standin.RefuseTooManyRequests, standin.RefuseReset, standin.RefuseSilent,
	}[w.random.IntN(4)]}
	if w.random.IntN(2) == 0 {
		f.RefusedCallers = []string{w.someInstance().name}
	}
	return w.harmStore(span, f, fmt.Sprintf("store refuses, %s %v", f.RefuseMode, f.RefusedCallers))
}

func loseWrites(w *world, span clock.Millis) (string, func()) {
	f := standin.MetastoreFaults{AnswerLoss: 0.5, LateWriteDelay: clock.Millis(w.random.IntN(3000)), Delay: clock.Millis(w.random.IntN(300))}
	return w.harmStore(span, f, "store loses writes and is slow")
}

func forgetHistory(w *world, span clock.Millis) (string, func()) {
	done, end := w.harmStore(span, standin.MetastoreFaults{FreezeWatches: true}, "store is deaf and forgets")
	return done, func() {
		w.store.Compact()
		end()
	}
}

func (w *world) harmStore(span clock.Millis, f standin.MetastoreFaults, done string) (string, func()) {
	w.ledger.trouble(span)
	if err := w.store.SetFaults(f); err != nil {
		w.ledger.fault("%v", err)
	}
	return done, func() {
		if err := w.store.SetFaults(standin.MetastoreFaults{}); err != nil {
			w.ledger.fault("%v", err)
		}
	}
}

func losePackets(w *world, span clock.Millis) (string, func()) {
	r := w.routers[w.random.IntN(len(w.routers))]
	w.ledger.trouble(span)
	random := rand.New(rand.NewPCG(w.settings.Seed, 2))
	r.SetPacketLoss(func() bool { return random.Float64() < 0.05 })
	return "routers lose packets", func() { r.SetPacketLoss(nil) }
}

func drainEndpoint(w *world, _ clock.Millis) (string, func()) {
	e := w.pick()
	if e == nil {
		return "", nil
	}
	w.mu.Lock()
	e.draining = true
	w.mu.Unlock()
	e.Drain()
	w.store.RegisterEndpoint(e.FlowEndpoint)
	w.mu.Lock()
	e.drained = clock.Now()
	w.mu.Unlock()
	go func() { // it leaves when its time is over
		time.Sleep((drainBound + lingerTime).Duration())
		w.end(e)
		w.store.UnregisterEndpoint(e.FlowEndpoint)
	}()
	return "drain " + e.ID(), func() {}
}

// lingerTime is how much longer than it must an endpoint serves on, in ms.
const lingerTime = 500 * clock.Millisecond

func (w *world) end(e *endpoint) {
	w.mu.Lock()
	e.ended = true
	w.mu.Unlock()
	e.Close()
}

func crashEndpoint(w *world, _ clock.Millis) (string, func()) {
	e := w.pick()
	if e == nil {
		return "", nil
	}
	w.end(e)
	go func() { // its entry lapses after some reports are missing
		time.Sleep((3 * clock.Second).Duration())
		w.store.UnregisterEndpoint(e.FlowEndpoint)
	}()
	return "crash " + e.ID(), func() {}
}

// harm marks an endpoint as harmed for some time.
func (w *world) harm(e *endpoint, span clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.until = clock.Now() + span + lapseTime
}

func muteEndpoint(w *world, span clock.Millis) (string, func()) {
	e := w.pick()
	if e == nil {
		return "", nil
	}
	w.harm(e, span)
	e.SetSilent(true)
	return "mute " + e.ID(), func() { e.SetSilent(false) }
}

func unlistEndpoint(w *world, span clock.Millis) (string, func()) {
	e := w.pick()
	if e == nil {
		return "", nil
	}
	w.harm(e, span)
	w.store.UnregisterEndpoint(e.FlowEndpoint)
	return "unlist " + e.ID(), func() { w.store.RegisterEndpoint(e.FlowEndpoint) }
}

func addEndpoint(w *world, _ clock.Millis) (string, func()) {
	like := w.endpoints[w.random.IntN(len(w.endpoints))]
	e, err := w.addEndpoint(like.centre, like.service)
	if err != nil {
		w.ledger.fault("%v", err)
		return "", nil
	}
	return "add " + e.ID(), func() {}
}

func changeRoute(w *world, _ clock.Millis) (string, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extra = !w.extra
	w.publish()
	return fmt.Sprintf("publish version %d, extra route %t", w.version, w.extra), func() {}
}
