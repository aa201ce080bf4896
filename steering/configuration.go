package steering

import (
	"maps"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Configuration is what operators wrote about routes and services. Each is
// whole: the newest version replaces all earlier ones.
type Configuration struct {
	Version     int64        // by operators; grows
	Revision    uint64       // in the store
	IdleTimeout clock.Millis `cbor:"Idle"` // after which a flow may be forgotten
	Routes      map[AddrPort]Route
}

// Delta is what a configuration changes of an earlier one.
type Delta struct {
	From        uint64       `cbor:"from"`     // revision of the earlier one; 0 when there was none
	Revision    uint64       `cbor:"revision"` // of the newer one
	Version     int64        `cbor:"version"`
	IdleTimeout clock.Millis `cbor:"idle"`
	Set         []RouteEntry `cbor:"set,omitempty"`   // routes that are new or changed
	Unset       []AddrPort   `cbor:"unset,omitempty"` // routes that are no more
}

// RouteEntry is a route with its address.
type RouteEntry struct {
	Destination AddrPort `cbor:"at"`
	Route       Route    `cbor:"route"`
}

// DeltaFrom returns what c changes of an earlier configuration, which may be nil.
func (c *Configuration) DeltaFrom(earlier *Configuration) Delta {
	d := Delta{Revision: c.Revision, Version: c.Version, IdleTimeout: c.IdleTimeout}
	var old map[AddrPort]Route
	if earlier != nil {
		d.From, old = earlier.Revision, earlier.Routes
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

// Apply returns the configuration that d makes of c, which stays as it is.
func (c *Configuration) Apply(d *Delta) *Configuration {
	n := &Configuration{Version: d.Version, Revision: d.Revision, IdleTimeout: d.IdleTimeout, Routes: maps.Clone(c.Routes)}
	for _, at := range d.Unset {
		delete(n.Routes, at)
	}
	for _, p := range d.Set {
		n.Routes[p.Destination] = p.Route
	}
	return n
}

// Route says where new flows to an address go.
type Route struct {
	Name        string       `cbor:"name"`
	Shares      []Share      `cbor:"shares"`               // sorted by service; at least one
	Idempotent  bool         `cbor:"repeatable,omitempty"` // requests are idempotent
	Priority    int          `cbor:"priority,omitempty"`   // 0 is highest
	LatencyGoal clock.Millis `cbor:"goal,omitempty"`       // for an answer
	Timeout     clock.Millis `cbor:"timeout,omitempty"`
}

// Share is a service's part of a route's new flows.
type Share struct {
	Service string `cbor:"service"`
	Weight  int    `cbor:"weight"`
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && slices.Equal(r.Shares, o.Shares) && r.Idempotent == o.Idempotent &&
		r.Priority == o.Priority && r.LatencyGoal == o.LatencyGoal && r.Timeout == o.Timeout
}

// choose returns the service of a new flow, the same for each copy of its
// opening packet.
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

// allows reports whether new flows may go to a service.
func (r *Route) allows(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
