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
	d.counts.probes.Inc(1)
	c, err := net.DialTimeout("tcp4", v.Address.String(), probeTimeout.Duration())
	end := steering.ProbeHung
	switch {
	case err == nil:
		_ = c.Close() // nothing was sent on it
		end = steering.ProbeAnswered
	case errors.Is(err, syscall.ECONNRESET):
		end = steering.ProbeAnswered // by whoever reset it
	case errors.Is(err, syscall.ECONNREFUSED):
		end = steering.ProbeRefused
	}
	d.journal.limited("endpoint probed", "endpoint", v.Endpoint, "address", v.Address, "end", end.String(), "error", text(err))
	d.handle(steering.Probed{Endpoint: v.Endpoint, Born: v.Born, End: end})
}
