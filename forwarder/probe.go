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
	control := make(chan bool, 1)
	go func() {
		control <- v.Control == steering.AddrPort{} || d.dial(v.Control) == steering.ProbeAnswered
	}()
	end := d.dial(v.Address)
	if end == steering.ProbeTimedOut && !<-control {
		end = steering.ProbeInconclusive
	}
	d.journal.limited("endpoint probed", "endpoint", v.Endpoint, "address", v.Address.String(), "end", end.String(),
		"control", v.Control.String())
	d.handle(steering.ProbeEnded{Endpoint: v.Endpoint, Incarnation: v.Incarnation, Result: end})
}

// dial opens a connection and closes it.
func (d *Daemon) dial(to steering.AddrPort) steering.ProbeResult {
	d.counts.probes.Inc(1)
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
