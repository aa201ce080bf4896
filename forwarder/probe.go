package forwarder

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

const (
	// probeTimeout is the time for a probe: 70 times the round-trip time within a region, and
	// less than the time in which consumers expect the answer to a request. Idle flows of an
	// endpoint that ended wait for two probes, one after the other, at different instances.
	probeTimeout = 210 * clock.Millisecond
	// A probe without an answer opens another connection at this interval. A lost packet, or
	// one that a full queue of new connections dropped, is retransmitted only after a second.
	probeAttemptInterval = 70 * clock.Millisecond
	probeAttempts        = int(probeTimeout / probeAttemptInterval)
)

// probe tests whether a process listens at an endpoint's address, and passes the result to
// the engine. The control endpoint is probed at the same time: unless something comes back
// from it, the cause may be this instance's network, and a timeout is inconclusive.
func (d *Daemon) probe(v steering.Probe) {
	stalls := newStallDetector()
	controlAnswered := make(chan bool, 1)
	go func() {
		if v.Control == (steering.AddrPort{}) {
			controlAnswered <- false
			return
		}
		result, _ := d.probeAddress(v.Control)
		controlAnswered <- result == steering.ProbeAnswered || result == steering.ProbeRefused
	}()
	start := clock.Now()
	result, delay := d.probeAddress(v.Address)
	took := clock.Now() - start
	if result == steering.ProbeTimedOut && !<-controlAnswered {
		result = steering.ProbeInconclusive
	}
	delay = max(delay, stalls.check(), d.reader.wait(clock.Now()))
	d.log.infoLimited("endpoint probed", "endpoint", v.Endpoint, "address", v.Address.String(), "end", result.String(),
		"control", v.Control.String(), "took_ms", int64(took), "late_ms", int64(delay))
	d.handle(steering.ProbeEnded{Endpoint: v.Endpoint, Number: v.Number, Incarnation: v.Incarnation, Result: result, Delay: delay})
}

// prober opens connections to an address until one is accepted or refused.
type prober struct {
	timeout  clock.Millis
	interval clock.Millis // between two attempts
	attempts int
	dial     func(context.Context, steering.AddrPort) steering.ProbeResult
}

var tcpProber = prober{timeout: probeTimeout, interval: probeAttemptInterval, attempts: probeAttempts, dial: dialAddress}

// probeAddress returns the result of a probe, and how late its timers were at most.
func (d *Daemon) probeAddress(to steering.AddrPort) (result steering.ProbeResult, delay clock.Millis) {
	d.metrics.probes.Inc(1)
	return tcpProber.probe(to)
}

func (p *prober) probe(to steering.AddrPort) (result steering.ProbeResult, delay clock.Millis) {
	start := clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout.Duration())
	defer cancel()
	results := make(chan steering.ProbeResult, p.attempts)
	timer := time.NewTimer(0)
	defer timer.Stop()
	attempts, timeouts := 0, 0
	for timeouts < p.attempts {
		select {
		case <-timer.C:
			delay = max(delay, clock.Now()-start-clock.Millis(attempts)*p.interval)
			go func() { results <- p.dial(ctx, to) }()
			if attempts++; attempts < p.attempts {
				timer.Reset((clock.Millis(attempts)*p.interval - (clock.Now() - start)).Duration())
			}
		case result = <-results:
			if result != steering.ProbeTimedOut {
				return result, delay
			}
			timeouts++
		}
	}
	return steering.ProbeTimedOut, max(delay, clock.Now()-start-p.timeout)
}

// dialAddress opens a TCP connection to an address and closes it.
func dialAddress(ctx context.Context, to steering.AddrPort) steering.ProbeResult {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp4", to.String())
	var netError net.Error
	switch {
	case err == nil:
		_ = c.Close() // no data was sent
		return steering.ProbeAnswered
	case errors.Is(err, syscall.ECONNRESET):
		return steering.ProbeAnswered // a reset shows that a process listens, too
	case errors.Is(err, syscall.ECONNREFUSED):
		return steering.ProbeRefused
	case errors.As(err, &netError) && netError.Timeout():
		return steering.ProbeTimedOut
	}
	return steering.ProbeInconclusive // a local fault, such as too few descriptors
}
