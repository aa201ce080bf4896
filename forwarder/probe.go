package forwarder

import (
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// probeTimeout bounds a probe, in ms: a hundred times the way there and back
// within a region, and a fifth of the consumers' time for a request.
const probeTimeout = 300 * clock.Millisecond

// probe asks whether anything listens at an endpoint's address.
func (d *Daemon) probe(v steering.Probe) {
	controlAnswered := make(chan bool, 1)
	go func() {
		controlAnswered <- v.Control == steering.AddrPort{} || d.probeAddress(v.Control) == steering.ProbeAnswered
	}()
	result := d.probeAddress(v.Address)
	if result == steering.ProbeTimedOut && !<-controlAnswered {
		result = steering.ProbeInconclusive
	}
	d.log.infoLimited("endpoint probed", "endpoint", v.Endpoint, "address", v.Address.String(), "end", result.String(),
		"control", v.Control.String())
	d.handle(steering.ProbeEnded{Endpoint: v.Endpoint, Incarnation: v.Incarnation, Result: result})
}

// dial opens a connection and closes it.
func (d *Daemon) probeAddress(to steering.AddrPort) steering.ProbeResult {
	d.metrics.probes.Inc(1)
	c, err := net.DialTimeout("tcp4", to.String(), probeTimeout.Duration())
	switch {
	case err == nil:
		_ = c.Close() // nothing was sent on it
		return steering.ProbeAnswered
	case errors.Is(err, syscall.ECONNRESET):
		return steering.ProbeAnswered // by whoever reset it
	case errors.Is(err, syscall.ECONNREFUSED):
		return steering.ProbeRefused
	}
	return steering.ProbeTimedOut
}
