package forwarder

import (
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// probeTimeout bounds a probe, in ms: many times the way between data centres,
// and less than the consumers' time for a request.
const probeTimeout = 500 * clock.Millisecond

// probe asks whether anything listens at an endpoint's address. A connection
// that is refused at once says that nothing does; any other end says nothing.
func (d *Daemon) probe(v steering.Probe) {
	d.counts.probes.Inc(1)
	c, err := net.DialTimeout("tcp4", v.Address.String(), probeTimeout.Duration())
	if err == nil {
		c.Close()
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	d.journal.say("endpoint probed", "endpoint", v.Endpoint, "address", v.Address, "refused", refused, "error", text(err))
	d.handle(steering.Probed{Endpoint: v.Endpoint, Born: v.Born, Refused: refused})
}
