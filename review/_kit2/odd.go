package main

import (
	"syscall"
	"time"
)

// startTraffic starts the users of all zones, and waits until every machine is in touch. With a
// greater factor there are more users, who send as many requests together.
func startTraffic(w *world, factor int) {
	pause := time.Duration(factor) * time.Millisecond
	for _, z := range zones {
		w.startUsers(z.name, approvalWatch, 12*factor, 40*pause)
		w.startUsers(z.name, scanSubmit, 4*factor, 60*pause)
		w.startUsers(z.name, previewFetch, 3, 80*time.Millisecond)
	}
	time.Sleep((stableTime + 2000).Duration())
}

// stopTraffic ends the users and waits for them.
func stopTraffic(w *world) {
	close(w.done)
	w.users.Wait()
}

// oddService lets another writer leave an entry with fields missing under the id of an endpoint
// of one service, which says that it is of the other service.
func oddService(w *world, trouble bool) bool {
	startTraffic(w, 1)
	e := w.pick("riga-a", charmGallery)
	if trouble {
		w.record.line("another writer replaces entry %s of %s by one of %s without version, warmup_left_ms, seq and born", e.ID(), charmGallery, orderDesk)
		e.overwrite(w.store, map[string]any{
			"service": orderDesk, "address": e.entry()["address"], "zone": e.zone, "capacity": endpointSlots, "lifecycle": "ready",
		})
	}
	time.Sleep(6 * time.Second)
	stopTraffic(w)
	foreign := 0
	for _, o := range w.endpoints {
		for id := range o.RunCounts() {
			if k := requestKinds[kindOf(id)]; k.service != o.service {
				foreign++
				w.record.line("request %s, whose route allows %s only, was run by %s of %s", id, k.service, o.ID(), o.service)
			}
		}
	}
	w.record.line("requests run by a service that no manifest allows: %d", foreign)
	return foreign > 0
}

// oddAddress lets another writer leave an entry with fields missing under the id of an endpoint,
// with an address at which nobody listens.
func oddAddress(w *world, trouble bool) bool {
	startTraffic(w, 5)
	e := w.pick("riga-a", orderDesk)
	from := time.Now()
	if trouble {
		<-e.reported
		<-e.reported // right after a report, so that the next one comes in heartbeat_ms
		from = time.Now()
		w.record.line("another writer replaces entry %s by one without version, warmup_left_ms and seq, with another address", e.ID())
		e.overwrite(w.store, map[string]any{
			"service": orderDesk, "address": w.address(0, 1, 200).String() + ":8080", "zone": e.zone, "capacity": endpointSlots, "lifecycle": "ready",
			"born": time.Now().UnixMilli(),
		})
	}
	time.Sleep(6 * time.Second)
	stopTraffic(w)
	reset := 0
	for _, f := range w.flows {
		o := w.endpointByNumber(f.endpoint)
		if o == nil || f.resetAt.IsZero() {
			continue
		}
		reset++
		w.record.line("flow of %s, opened %.3f s before the entry, at %s, which runs and has no impairment: reset by the system %.3f s after it",
			f.kind, from.Sub(f.openedAt).Seconds(), o.ID(), f.resetAt.Sub(from).Seconds())
	}
	w.record.line("open flows of running endpoints that the system reset: %d", reset)
	return reset > 0
}

// oddLifecycle lets another writer leave an entry with fields missing under the id of an endpoint
// that has been draining for longer than the bound, which says that it is ready.
func oddLifecycle(w *world, trouble bool) bool {
	startTraffic(w, 1)
	e := w.pick("riga-a", orderDesk)
	e.drain(w.store)
	acked := time.Now()
	w.record.line("the store acknowledges that %s is draining", e.ID())
	time.Sleep((recordBound + 2000).Duration())
	if trouble {
		w.record.line("another writer replaces entry %s by one without version, warmup_left_ms, seq and born, with lifecycle ready", e.ID())
		e.overwrite(w.store, map[string]any{
			"service": orderDesk, "address": e.entry()["address"], "zone": e.zone, "capacity": endpointSlots, "lifecycle": "ready",
		})
	}
	time.Sleep(4 * time.Second)
	stopTraffic(w)
	return w.lateFlows(e, acked) > 0
}

// lateFlows counts the flows that opened at a draining endpoint later than the bound after the ack.
func (w *world) lateFlows(e *endpoint, acked time.Time) int {
	late := 0
	for _, f := range w.flows {
		if f.endpoint == e.number && f.openedAt.Sub(acked) > recordBound.Duration() {
			late++
			w.record.line("flow of %s opened at %s %.3f s after the ack", f.kind, e.ID(), f.openedAt.Sub(acked).Seconds())
		}
	}
	w.record.line("flows opened at the draining endpoint later than drain_ms after the ack: %d", late)
	return late
}

// oddBytes lets another writer leave an entry that ends in the middle, under an id of its own. The
// store keeps what was written, and removes the entry when it was silent for three intervals. An
// endpoint drains meanwhile.
func oddBytes(w *world, trouble bool) bool {
	startTraffic(w, 1)
	if trouble {
		const id = "i-7f3a91c2"
		w.record.line("another writer leaves entry %s, which ends in the middle", id)
		w.store.PutRaw("servers", id, `{"meta":{"name":"`+id+`","revision":REVISION},"spec":{"service":"order-desk","address":"127.,"status":null}`)
		time.AfterFunc(3*reportPeriod.Duration(), func() { w.store.Remove("servers", id) })
	}
	time.Sleep(500 * time.Millisecond)
	e := w.pick("riga-a", orderDesk)
	e.drain(w.store)
	acked := time.Now()
	w.record.line("the store acknowledges that %s is draining", e.ID())
	time.Sleep(12 * time.Second)
	stopTraffic(w)
	return w.lateFlows(e, acked) > 0
}

// oddBytesStay is oddBytes with a writer that writes its entry again and again, and with the end of
// all forwarders meanwhile, as in a final fault. It isn't a case of its own.
func oddBytesStay(w *world, trouble bool) bool {
	startTraffic(w, 1)
	ended := make(chan struct{})
	if trouble {
		go func() {
			for {
				const id = "i-7f3a91c2"
				w.store.PutRaw("servers", id, `{"meta":{"name":"`+id+`","revision":REVISION},"spec":{"service":"order-desk","address":"127.,"status":null}`)
				select {
				case <-ended:
					return
				case <-time.After(reportPeriod.Duration()):
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for _, f := range w.forwarders {
		f.signal(syscall.SIGKILL, true)
		<-f.exited
	}
	time.Sleep(time.Second)
	for _, f := range w.forwarders {
		if err := f.start(); err != nil {
			w.record.line("%v", err)
		}
	}
	time.Sleep(recoveryTime.Duration())
	requests, answered := w.counts()
	time.Sleep(10 * time.Second)
	requestsLater, answeredLater := w.counts()
	close(ended)
	stopTraffic(w)
	requests, answered = requestsLater-requests, answeredLater-answered
	w.record.line("in 10 s, later than recovery_s after the machines are back: %d requests, %d answered", requests, answered)
	return 4*answered < requests
}

// counts returns the numbers of requests and of answers so far.
func (w *world) counts() (requests, answered int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests, w.answered
}
