package steering

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Configuration holds the routes that operators configured. Each version is complete and
// replaces all earlier ones.
type Configuration struct {
	Version     int64        // set by operators; increases
	Revision    uint64       // revision of the store
	IdleTimeout clock.Millis `cbor:"Idle"` // after which a flow may be forgotten
	Routes      map[AddrPort]Route
	Services    map[string]Service // by name; nil if they aren't known
}

// Service is what the configuration says of the endpoints of a service.
type Service struct {
	// Open flows that an endpoint holds; 0 if it isn't limited. No decision uses it yet, see
	// docs/design/demand.md.
	MaxFlows int          `cbor:"flows,omitempty"`
	Warmup   clock.Millis `cbor:"warmup,omitempty"` // how long an endpoint is cold after its start; 0 if it never is
	// New requests per second that a cold endpoint bears.
	WarmupRate float64 `cbor:"rate,omitempty"`
}

// Limits of the fields of a service.
const (
	MaxFlows      = 1_000_000
	MaxWarmupRate = 1_000_000.0 // per second
)

// ErrService reports a service with a field that exceeds its limits.
var ErrService = errors.New("service is invalid")

// Check returns an error for the first field that exceeds its limits.
func (s *Service) Check() error {
	switch {
	case s.MaxFlows < 0 || s.MaxFlows > MaxFlows:
		return errors.Wrapf(ErrService, "limit of %d flows is not within 0 to %d", s.MaxFlows, MaxFlows)
	case s.Warmup < 0 || s.Warmup > MaxWarmup:
		return errors.Wrapf(ErrService, "warmup of %d ms is not within 0 to %d", s.Warmup, MaxWarmup)
	case !(s.WarmupRate >= 0 && s.WarmupRate <= MaxWarmupRate):
		return errors.Wrapf(ErrService, "warmup rate of %g is not within 0 to %g", s.WarmupRate, MaxWarmupRate)
	}
	return nil
}

func checkServices(list map[string]Service) error {
	for name, s := range list {
		if err := s.Check(); err != nil {
			return errors.Wrapf(ErrConfiguration, "service %.60q: %v", name, err)
		}
	}
	return nil
}

// Delta is the difference between a configuration and an earlier one.
type Delta struct {
	From        uint64       `cbor:"from"`     // revision of the earlier one; 0 if there was none
	Revision    uint64       `cbor:"revision"` // of the newer one
	Version     int64        `cbor:"version"`
	IdleTimeout clock.Millis `cbor:"idle"`
	Set         []RouteEntry `cbor:"set,omitempty"`   // new and changed routes
	Unset       []AddrPort   `cbor:"unset,omitempty"` // removed routes
	// All services, if one of them changed or there was no earlier configuration; nil otherwise.
	Services   map[string]Service `cbor:"services,omitempty"`
	NoServices bool               `cbor:"bare,omitempty"` // the newer configuration has no services, unlike the earlier one
}

// RouteEntry is a route and the address that consumers send to.
type RouteEntry struct {
	Destination AddrPort `cbor:"at"`
	Route       Route    `cbor:"route"`
}

// DeltaFrom returns the changes from an earlier configuration, which may be nil, to c.
func (c *Configuration) DeltaFrom(earlier *Configuration) Delta {
	d := Delta{Revision: c.Revision, Version: c.Version, IdleTimeout: c.IdleTimeout}
	var old map[AddrPort]Route
	if earlier != nil {
		d.From, old = earlier.Revision, earlier.Routes
	}
	if earlier == nil || !maps.Equal(earlier.Services, c.Services) {
		d.Services = c.Services
		d.NoServices = earlier != nil && c.Services != nil && len(c.Services) == 0
	}
	for at, r := range c.Routes {
		if was, found := old[at]; !found || !r.equal(&was) {
			d.Set = append(d.Set, RouteEntry{Destination: at, Route: r})
		}
	}
	for at := range old {
		if _, kept := c.Routes[at]; !kept {
			d.Unset = append(d.Unset, at)
		}
	}
	return d
}

// Apply returns a copy of c with the changes of d.
func (c *Configuration) Apply(d *Delta) *Configuration {
	n := &Configuration{Version: d.Version, Revision: d.Revision, IdleTimeout: d.IdleTimeout, Routes: maps.Clone(c.Routes), Services: c.Services}
	switch {
	case d.NoServices:
		n.Services = map[string]Service{}
	case d.Services != nil:
		n.Services = d.Services
	}
	for _, at := range d.Unset {
		delete(n.Routes, at)
	}
	for _, p := range d.Set {
		n.Routes[p.Destination] = p.Route
	}
	return n
}

// Route maps an address to the services that get the new flows to it.
type Route struct {
	Name        string       `cbor:"name"`
	Shares      []Share      `cbor:"shares"`               // at least one; sorted by service
	Idempotent  bool         `cbor:"repeatable,omitempty"` // requests are idempotent
	Priority    int          `cbor:"priority,omitempty"`   // 0 is the highest
	LatencyGoal clock.Millis `cbor:"goal,omitempty"`       // latency that answers should have
	Timeout     clock.Millis `cbor:"timeout,omitempty"`
}

// Share is the weight of a service in the new flows of a route.
type Share struct {
	Service string `cbor:"service"`
	Weight  int    `cbor:"weight"`
}

// ErrConfiguration reports a configuration that can't be used.
var ErrConfiguration = errors.New("configuration is invalid")

// Check returns an error if c is nil or has an invalid route.
func (c *Configuration) Check() error {
	if c == nil || c.Routes == nil {
		return errors.Wrap(ErrConfiguration, "it is missing, or its routes are")
	}
	if c.IdleTimeout < 0 || c.IdleTimeout > MaxTimeout {
		return errors.Wrapf(ErrConfiguration, "idle timeout of %d ms is not within 0 to %d", c.IdleTimeout, MaxTimeout)
	}
	for _, r := range c.Routes {
		if err := r.Check(); err != nil {
			return errors.Wrapf(ErrConfiguration, "route %.60q: %v", r.Name, err)
		}
	}
	return checkServices(c.Services)
}

// Check returns an error if d has an invalid route.
func (d *Delta) Check() error {
	if d.IdleTimeout < 0 || d.IdleTimeout > MaxTimeout {
		return errors.Wrapf(ErrConfiguration, "idle timeout of %d ms is not within 0 to %d", d.IdleTimeout, MaxTimeout)
	}
	for i := range d.Set {
		if err := d.Set[i].Route.Check(); err != nil {
			return errors.Wrapf(ErrConfiguration, "route %.60q: %v", d.Set[i].Route.Name, err)
		}
	}
	return checkServices(d.Services)
}

// Limits of the fields of a configuration.
const (
	MaxTimeout = 24 * clock.Hour // of a flow or a request
	MaxWeight  = 1_000_000       // of a share
	MaxShares  = 1000            // of a route
)

// ErrRoute reports a route with a field that exceeds its limits.
var ErrRoute = errors.New("route is invalid")

// Check returns an error for the first field that exceeds its limits.
func (r *Route) Check() error {
	switch {
	case len(r.Name) > MaxNameBytes:
		return errors.Wrapf(ErrRoute, "name has more than %d bytes", MaxNameBytes)
	case len(r.Shares) == 0 || len(r.Shares) > MaxShares:
		return errors.Wrapf(ErrRoute, "%d shares are not within 1 to %d", len(r.Shares), MaxShares)
	case r.LatencyGoal < 0 || r.LatencyGoal > MaxTimeout:
		return errors.Wrapf(ErrRoute, "latency goal of %d ms is not within 0 to %d", r.LatencyGoal, MaxTimeout)
	case r.Timeout < 0 || r.Timeout > MaxTimeout:
		return errors.Wrapf(ErrRoute, "timeout of %d ms is not within 0 to %d", r.Timeout, MaxTimeout)
	}
	for _, s := range r.Shares {
		if s.Service == "" || len(s.Service) > MaxNameBytes || s.Weight < 0 || s.Weight > MaxWeight {
			return errors.Wrapf(ErrRoute, "share of %.60q: weight %d is not within 0 to %d, or the name is not 1 to %d bytes", s.Service, s.Weight, MaxWeight, MaxNameBytes)
		}
	}
	return nil
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && slices.Equal(r.Shares, o.Shares) && r.Idempotent == o.Idempotent &&
		r.Priority == o.Priority && r.LatencyGoal == o.LatencyGoal && r.Timeout == o.Timeout
}

// choose returns the service for a new flow. It is the same for all copies of an opening
// packet, since these have the same hash.
func (r *Route) choose(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(hash % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// allows reports whether new flows of the route may be placed at a service.
func (r *Route) allows(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
