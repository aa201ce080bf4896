package forwarder

import (
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// probeTimeout is the time for a probe, in ms: 100 times the round-trip time within a
// region, and a fifth of the time in which consumers expect the answer to a request.
const probeTimeout = 300 * clock.Millisecond

// probe tests whether a process listens at an endpoint's address, and passes the result to
// the engine. The control endpoint is probed at the same time: if neither answers, the
// cause may be this instance's network, and the result is inconclusive.
func (d *Daemon) probe(v steering.Probe) {
	controlAnswered := make(chan bool, 1)
	go func() {
		controlAnswered <- v.Control == steering.AddrPort{} || d.probeAddress(v.Control) == steering.ProbeAnswered
	}()
	start := clock.Now()
	result := d.probeAddress(v.Address)
	took := clock.Now() - start
	if result == steering.ProbeTimedOut && !<-controlAnswered {
		result = steering.ProbeInconclusive
	}
	d.log.infoLimited("endpoint probed", "endpoint", v.Endpoint, "address", v.Address.String(), "end", result.String(),
		"control", v.Control.String(), "took_ms", int64(took))
	d.handle(steering.ProbeEnded{Endpoint: v.Endpoint, Incarnation: v.Incarnation, Result: result})
}

// probeAddress opens a TCP connection to an address and closes it.
func (d *Daemon) probeAddress(to steering.AddrPort) steering.ProbeResult {
	d.metrics.probes.Inc(1)
	c, err := net.DialTimeout("tcp4", to.String(), probeTimeout.Duration())
	switch {
	case err == nil:
		_ = c.Close() // no data was sent
		return steering.ProbeAnswered
	case errors.Is(err, syscall.ECONNRESET):
		return steering.ProbeAnswered // a reset shows that a process listens, too
	case errors.Is(err, syscall.ECONNREFUSED):
		return steering.ProbeRefused
	}
	return steering.ProbeTimedOut
}
