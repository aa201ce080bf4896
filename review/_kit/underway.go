package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

const (
	uploadBody    = 1300 // bytes of an upload and of its answer
	uploadTime    = 17 * clock.Millisecond
	uploadPause   = 40 * clock.Millisecond
	maxUploaders  = 5
	openedFlows   = 24
	keepPause     = 100 * clock.Millisecond // between two requests on the flows without uploads
	restartRounds = 7
	maxVisits     = 30
	visitPause    = 30 * clock.Millisecond
	// A reset is accepted if its sequence number is that near the consumer's last
	// acknowledgement.
	resetWindow = 76_800
)

// uploader is an open flow on which a partner sends one upload after the other.
type uploader struct {
	name   string
	flow   *standin.ConsumerFlow
	mu     sync.Mutex
	acked  int // bytes of answers since the flow returned to its instance
	cut    bool
	cutID  string
	cutErr error
}

// flowCutUnderWay restarts one forwarder, so that the routers deal its flows to the others and
// back. Then status checks fill the queue of new connections of one endpoint, and opening
// packets to it are lost. No upload on an open flow of that endpoint may be cut.
func flowCutUnderWay(w *world, trouble bool) (bool, error) {
	w.version = 7
	upload := w.routePort(8080)
	w.store.PutConfiguration(w.version, []standin.Route{
		{Name: "approval-watch", Address: w.routeAddress(), Services: []string{deskService}},
		{Name: "scan-submit", Address: upload, Services: []string{deskService}, Once: true},
	})
	for n, z := range []string{"riga-b", "riga-b", "riga-c", "riga-c"} {
		if _, err := w.addEndpointIn(z, 0xc2+uint64(n), deskService); err != nil {
			return false, err
		}
	}
	e, f, err := w.addFrontedEndpoint(0xc1, uploadTime)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := w.addInstances("edge-riga-a-1", "edge-riga-a-2", "edge-riga-a-3"); err != nil {
		return false, err
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	// The restarted instance is the first one. The partners are those whose flows it carries.
	restarted := w.instances[0]
	f.spared = restarted.address
	partner, err := w.addConsumer()
	if err != nil {
		return false, err
	}
	var uploaders []*uploader
	var others []*standin.ConsumerFlow
	for range openedFlows {
		flow, err := partner.OpenFlow(upload)
		if err != nil {
			return false, err
		}
		others = append(others, flow)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond) // until the logs are written
	opened := others
	others = nil
	for n, flow := range opened {
		id := fmt.Sprintf("%s:%d>", w.lastAddress, 1025+n)
		if flow.EndpointNumber() == 0xc1 && len(uploaders) < maxUploaders && len(restarted.lines(id)) > 0 {
			uploaders = append(uploaders, &uploader{name: fmt.Sprintf("u%d", n), flow: flow})
			w.note("partner %d uploads on flow %s", len(uploaders), id)
			continue
		}
		others = append(others, flow)
	}
	if len(uploaders) == 0 {
		return false, fmt.Errorf("no flow to %s through %s", e.ID(), restarted.name)
	}
	w.note("%d partners send uploads to %s through %s", len(uploaders), e.ID(), restarted.name)

	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, u := range uploaders {
		running.Go(func() { u.run(stop) })
	}
	var quiet atomic.Bool
	running.Go(func() { w.keepOpen(others, &quiet, stop) })
	visitor, err := w.addConsumer()
	if err != nil {
		return false, err
	}
	for range restartRounds {
		time.Sleep(3 * time.Second)
		if err := restarted.restart(); err != nil {
			return false, err
		}
		if err := w.waitReady(); err != nil {
			return false, err
		}
		for _, u := range uploaders {
			u.restartCount()
		}
		w.note("%s is in rotation again", restarted.name)
		// A quiet moment, but for the uploads.
		quiet.Store(true)
		time.Sleep(800 * time.Millisecond)
		f.loseSYN.Store(true)
		var full sync.WaitGroup
		if trouble {
			w.note("status checks fill the queue of new connections of %s for %d ms", e.ID(), queueFull)
			full.Go(func() { f.fillQueue(queueFull) })
		}
		time.Sleep(100 * time.Millisecond)
		// Visitors open flows until an opening packet is lost.
		for n, lost := 0, f.lost.Load(); n < maxVisits && f.lost.Load() == lost; n++ {
			go func() { _ = fetchFrom(visitor, w.routeAddress(), fmt.Sprintf("v%d", n), deskService) }() // what counts are the uploads
			time.Sleep(visitPause.Duration())
		}
		full.Wait()
		f.loseSYN.Store(false)
		quiet.Store(false)
	}
	time.Sleep(time.Second)
	close(stop)
	running.Wait()

	cut, runs := 0, e.RunCounts()
	for _, u := range uploaders {
		u.mu.Lock()
		if u.cut {
			w.note("upload %s ran %d time(s) at %s and got no answer: %v; %d bytes were acknowledged since the flow returned", u.cutID, runs[u.cutID], e.ID(), u.cutErr, u.acked)
			if runs[u.cutID] == 1 && u.flow.ResetBy == "instance" && u.acked < resetWindow {
				cut++
			}
		}
		u.mu.Unlock()
	}
	w.note("%d uploads were cut by a forwarder while %s worked on them; %d opening packets were lost", cut, e.ID(), f.lost.Load())
	for _, x := range w.instances {
		for _, line := range append(x.lines(`"msg":"endpoint lost"`), append(x.lines(`"msg":"endpoint failing"`), append(x.lines(`"msg":"flow given up"`), x.lines(`"msg":"resets contradicted"`)...)...)...) {
			w.note("log of %s: %s", x.name, line)
		}
	}
	return cut == 0, nil
}

// keepOpen sends requests on flows in turn, so that none is idle for long.
func (w *world) keepOpen(flows []*standin.ConsumerFlow, quiet *atomic.Bool, stop <-chan struct{}) {
	for i := 0; !isClosed(stop); i++ {
		if f := flows[i%len(flows)]; !quiet.Load() && !f.Ended() {
			_ = f.Request(fmt.Sprintf("k-%d", i), make([]byte, uploadBody), 2000, deskService) // what counts are the uploads
		}
		time.Sleep(keepPause.Duration())
	}
}

// run sends uploads until the flow ends or stop is closed. A flow that is reset between two
// uploads cuts none.
func (u *uploader) run(stop <-chan struct{}) {
	for i := 0; !isClosed(stop) && !u.flow.Ended(); i++ {
		id := fmt.Sprintf("%s-%d", u.name, i)
		err := u.flow.Request(id, make([]byte, uploadBody), 2000, deskService)
		u.mu.Lock()
		u.acked += uploadBody
		if err != nil {
			u.cut, u.cutID, u.cutErr = true, id, err
			u.mu.Unlock()
			return
		}
		u.mu.Unlock()
		time.Sleep(uploadPause.Duration())
	}
}

func (u *uploader) restartCount() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.cut {
		u.acked = 0
	}
}
