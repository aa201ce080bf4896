package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Sizes of answers, in bytes, and times of the traffic of a quiet hour.
const (
	fullAnswer    = 1150
	missingAnswer = 20  // a preview that doesn't exist
	usualPreviews = 260 // fetched between two pages
	previewCount  = 48  // on a page of the gallery
	browserFlows  = 16
	previewPause  = 10 * clock.Millisecond // between an answer and the next request
	watchers      = 10                     // consumers with a long flow
	pages         = 4
)

// flowSmallAnswers plays a quiet hour without any disruption of machines, endpoints or the
// store. A customer opens a page of the gallery whose previews don't exist, so that the
// endpoint of the zone gives short answers for a second. No open flow may be reset.
func flowSmallAnswers(w *world, trouble bool) (bool, error) {
	w.version = 7
	preview, watch := w.routePort(8443), w.routePort(443)
	w.store.PutConfiguration(w.version, []standin.Route{
		{Name: "preview-fetch", Address: preview, Services: []string{galleryService}},
		{Name: "approval-watch", Address: watch, Services: []string{deskService, galleryService}},
	})
	number := uint64(0xb0)
	for _, s := range []struct {
		service string
		zones   []string
	}{
		{galleryService, []string{zone, "riga-b", "riga-c", "riga-c"}},
		{deskService, []string{zone, zone, zone, zone, "riga-b", "riga-b", "riga-c"}},
	} {
		for _, z := range s.zones {
			number++
			if _, err := w.addEndpointIn(z, number, s.service); err != nil {
				return false, err
			}
		}
	}
	if err := w.addInstances("edge-riga-a-1", "edge-riga-a-2"); err != nil {
		return false, err
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var running sync.WaitGroup
	resets := make(chan string, 1000)
	var polls []chan struct{}
	for n := range watchers {
		poll := make(chan struct{}, 1)
		polls = append(polls, poll)
		c, err := w.addConsumer()
		if err != nil {
			return false, err
		}
		running.Go(func() {
			for !isClosed(stop) {
				w.keepFlow(c, watch, n, poll, stop, resets)
			}
		})
	}
	browser, err := w.addConsumer()
	if err != nil {
		return false, err
	}
	for page := range pages {
		// The route's usual answers, before the hour gets quiet.
		for n := range usualPreviews {
			if err := fetch(browser, preview, fmt.Sprintf("full%d-%d", page, n), fullAnswer); err != nil {
				w.note("preview full%d-%d failed: %v", page, n, err)
			}
			time.Sleep((30 * clock.Millisecond).Duration())
		}
		size := fullAnswer
		if trouble {
			size = missingAnswer
		}
		ask(polls)
		sleep(stop, 2*clock.Second)
		if err := w.showPage(browser, preview, page, size); err != nil {
			return false, err
		}
		sleep(stop, clock.Second)
		ask(polls)
		sleep(stop, 2*clock.Second)
	}
	close(stop)
	running.Wait()
	close(resets)
	count := 0
	for text := range resets {
		count++
		w.note("%s", text)
	}
	w.note("%d open flows were reset by a forwarder, with all endpoints sound", count)
	for _, x := range w.instances {
		for _, line := range append(x.lines(`"msg":"endpoint failing"`), x.lines(`"msg":"resets contradicted"`)...) {
			w.note("log of %s: %s", x.name, line)
		}
	}
	return count == 0, nil
}

// showPage fetches the previews of a page on browserFlows flows, which have served another
// page before.
func (w *world) showPage(c *standin.FlowConsumer, route netip.AddrPort, page, size int) error {
	var flows []*standin.ConsumerFlow
	for n := range browserFlows {
		f, err := c.OpenFlow(route)
		if err != nil {
			return err
		}
		if err := f.Request(fmt.Sprintf("q%d-%d", page+1, n), make([]byte, fullAnswer), 2000, galleryService); err != nil {
			return err
		}
		flows = append(flows, f)
	}
	time.Sleep(time.Second)
	w.note("page %d of the gallery: %d previews with answers of %d bytes", page+1, previewCount, size)
	for n := range previewCount {
		f := flows[n%len(flows)]
		if err := f.Request(fmt.Sprintf("p%d-%d", page+1, n), make([]byte, size), 2000, galleryService); err != nil {
			w.note("preview %d of page %d failed: %v, reset by %q", n, page+1, err, f.ResetBy)
		}
		time.Sleep(previewPause.Duration())
	}
	for _, f := range flows {
		f.Finish()
	}
	return nil
}

// ask makes all consumers with a long flow send a request.
func ask(polls []chan struct{}) {
	for _, p := range polls {
		select {
		case p <- struct{}{}:
		default: // the consumer has not sent the previous one
		}
	}
}

// keepFlow opens a flow and sends a request on it at each poll, until it ends or stop is
// closed.
func (w *world) keepFlow(c *standin.FlowConsumer, route netip.AddrPort, n int, poll, stop <-chan struct{}, resets chan<- string) {
	f, err := c.OpenFlow(route)
	if err != nil {
		w.note("consumer %d: %v", n, err)
		sleep(stop, clock.Second)
		return
	}
	opened := clock.Now()
	for i := 0; !isClosed(stop); i++ {
		err := f.Request(fmt.Sprintf("w%d-%d-%d", n, opened, i), make([]byte, fullAnswer), 1500, deskService, galleryService)
		for asked := false; err == nil && !asked && !f.Ended() && !isClosed(stop); {
			select {
			case <-poll:
				asked = true
			case <-time.After(20 * time.Millisecond):
			}
		}
		if err != nil || f.Ended() {
			if f.ResetBy == "instance" {
				resets <- fmt.Sprintf("at %.3f: the flow of consumer %d to endpoint i-%x, open for %d ms, was reset by a forwarder; request: %v",
					float64(clock.Now()-w.start)/1000, n, f.EndpointNumber(), clock.Now()-opened, err)
			} else {
				w.note("consumer %d: flow ended by %q, request: %v", n, f.ResetBy, err)
			}
			return
		}
	}
	f.Finish()
}

// fetch sends one request on a flow of its own. The answer is as long as the request.
func fetch(c *standin.FlowConsumer, route netip.AddrPort, id string, size int) error {
	return fetchBody(c, route, id, make([]byte, size), galleryService)
}

func fetchFrom(c *standin.FlowConsumer, route netip.AddrPort, id, service string) error {
	return fetchBody(c, route, id, []byte("a visit"), service)
}

func fetchBody(c *standin.FlowConsumer, route netip.AddrPort, id string, body []byte, service string) error {
	f, err := c.OpenFlow(route)
	if err != nil {
		return err
	}
	if err := f.Request(id, body, 2000, service); err != nil {
		return err
	}
	f.Finish()
	return nil
}

func sleep(stop <-chan struct{}, duration clock.Millis) {
	select {
	case <-stop:
	case <-time.After(duration.Duration()):
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
