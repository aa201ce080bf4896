package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Configuration is what operators wrote about routes and services. Each is
// whole: the newest version replaces all earlier ones.
type Configuration struct {
	Version  int64  // by operators; grows
	Revision uint64 // in the store
	Routes   map[End]Route
	Idle     clock.Millis // after which a flow may be forgotten
	Services map[string]Service
}

// Route says where new flows to an address go.
type Route struct {
	Name       string
	Shares     []Share // sorted by service; at least one
	Repeatable bool    // requests are idempotent
	Priority   int     // 0 is highest
	Goal       clock.Millis
	Timeout    clock.Millis
}

// Share is a service's part of a route's new flows.
type Share struct {
	Service string
	Weight  int
}

// Service describes a service.
type Service struct {
	Health      string // path that answers whether an endpoint is healthy
	Connections int    // flows that one endpoint holds; 0 for no limit
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
