package instance

import (
	"math"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// rule returns the rule for requests of a class, or nil. A rule for the class takes
// precedence over one for any class; among equal ones the first by name applies.
func (s *Service) rule(class packet.Class) *record.Rule {
	name := record.ClassShort
	if class == packet.ClassLong {
		name = record.ClassLong
	}
	var general *record.Rule
	for i := range s.Rules {
		r := &s.Rules[i]
		if r.Class == name {
			return r
		}
		if general == nil && r.Class == record.ClassAny {
			general = r
		}
	}
	return general
}

// allows reports whether the rules let requests of a class run at an endpoint.
func (s *Service) allows(class packet.Class, ep *Endpoint) bool {
	r := s.rule(class)
	return r == nil || len(r.Backends) == 0 || slices.Contains(r.Backends, ep.Backend.Name)
}

// hasEndpointFor reports whether any endpoint dispatched here may get a job of a class now.
func (s *Service) hasEndpointFor(class packet.Class, now clock.Millis) bool {
	return slices.ContainsFunc(s.Dispatched, func(ep *Endpoint) bool { return ep.Usable(now) && s.allows(class, ep) })
}

// allowedEndpoints returns the endpoints that a job may run at: those of the backend server
// that its flow is pinned to if any is usable, else all that the rules allow.
func (s *Service) allowedEndpoints(j *Job, endpoints []*Endpoint, now clock.Millis) []*Endpoint {
	if len(s.Rules) == 0 {
		return endpoints
	}
	var allowed, pinned []*Endpoint
	for _, ep := range endpoints {
		if !s.allows(j.Work.Class, ep) {
			continue
		}
		allowed = append(allowed, ep)
		if j.Work.PinnedBackend != 0 && token.Hash(ep.Backend.Name) == j.Work.PinnedBackend && ep.Usable(now) {
			pinned = append(pinned, ep)
		}
	}
	if len(pinned) > 0 {
		return pinned
	}
	return allowed
}

// allowedDispatchers returns the dispatchers that a job may go to: those with endpoints of
// the backend server that its flow is pinned to, else those with any that the rules allow.
func (s *Service) allowedDispatchers(j *Job, dispatchers []Dispatcher) []Dispatcher {
	if len(s.Rules) == 0 {
		return dispatchers
	}
	var allowed, pinned []Dispatcher
	for _, d := range dispatchers {
		if !slices.ContainsFunc(d.Endpoints, func(ep *Endpoint) bool { return s.allows(j.Work.Class, ep) }) {
			continue
		}
		allowed = append(allowed, d)
		if d.hasEndpointOf(j.Work.PinnedBackend) {
			pinned = append(pinned, d)
		}
	}
	if len(pinned) > 0 {
		return pinned
	}
	return allowed
}

// hasEndpointOf reports whether a dispatcher dispatches an endpoint of a backend server,
// given as token.Hash of its name.
func (d *Dispatcher) hasEndpointOf(backend uint64) bool {
	return slices.ContainsFunc(d.Endpoints, func(ep *Endpoint) bool { return token.Hash(ep.Backend.Name) == backend })
}

// pinFlow pins a flow to one backend server if a rule requires it, and returns token.Hash of its
// name, or 0. The backend server is chosen by a hash of the flow, weighted by capacity, and
// stored in the flow's token. One that was deleted or drains by its record is replaced.
func (st *EngineState) pinFlow(f *Flow, s *Service, class packet.Class) uint64 {
	r := s.rule(class)
	if r == nil || !r.Pin {
		return 0
	}
	best, bestScore := uint64(0), math.Inf(-1)
	for _, ep := range s.Endpoints {
		if ep.Backend.State != record.StateActive || ep.Backend.Centre != st.Self.Instance.Centre || !s.allows(class, ep) {
			continue
		}
		hash := token.Hash(ep.Backend.Name)
		if hash == f.PinnedBackend {
			return hash
		}
		if score := weightedScore(f.ID, hash, ep.Capacity()); score > bestScore {
			best, bestScore = hash, score
		}
	}
	if best != 0 {
		f.PinnedBackend = best
		st.sealToken(f, max(st.Now, f.TokenIssued+clock.Millisecond))
	}
	return best
}
