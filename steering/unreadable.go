package steering

import (
	"maps"
	"slices"
)

// maxUnreadable is the number of unreadable entries of endpoints that are remembered for
// status reports.
const maxUnreadable = 64

// unreadableEntries holds the entries of endpoints that can't be decoded, by name.
type unreadableEntries map[string]EndpointChange

// add remembers an entry and returns the action that reports it, unless it was reported
// before. An entry without a name is reported whenever it is read.
func (u unreadableEntries) add(c EndpointChange, actions []Action) []Action {
	id := c.Endpoint.ID
	if known, found := u[id]; id != "" && found && known.Endpoint.Revision >= c.Endpoint.Revision {
		return actions
	}
	if _, found := u[id]; id != "" && (found || len(u) < maxUnreadable) {
		u[id] = c
	}
	return append(actions, EndpointUnreadable{Endpoint: id, Revision: c.Endpoint.Revision, Cause: c.Cause})
}

func (u unreadableEntries) remove(id string) { delete(u, id) }

// retain forgets the entries that a complete list doesn't contain.
func (u unreadableEntries) retain(list []EndpointChange) {
	for id := range u {
		if !slices.ContainsFunc(list, func(c EndpointChange) bool { return c.Endpoint.ID == id }) {
			delete(u, id)
		}
	}
}

// Unreadable returns the entries of endpoints that can't be decoded, as far as they are
// remembered.
func (e *Engine) Unreadable() []EndpointChange {
	list := make([]EndpointChange, 0, len(e.directory.unreadable))
	for _, c := range e.directory.unreadable {
		list = append(list, c)
	}
	return list
}

// unreadableConditions returns a condition for each entry, route or configuration that can't
// be decoded.
func (e *Engine) unreadableConditions() (list []Condition) {
	for id, c := range e.directory.unreadable {
		list = append(list, Condition{Type: ConditionUnreadable, Subject: "endpoint/" + id, Reason: c.Cause, Action: "it gets no new flows"})
	}
	for _, f := range e.configurationFaults {
		c := Condition{Type: ConditionUnreadable, Subject: "route/" + f.Route, Reason: f.Cause, Action: "the earlier route of that name stays"}
		switch {
		case f.Service != "":
			c.Subject, c.Action = "service/"+f.Service, "the earlier service of that name stays"
		case f.Route == "":
			c.Subject, c.Action = "configuration", "what can be read of it is used"
		}
		list = append(list, c)
	}
	return list
}

// readConfiguration applies a configuration that was read, and reports its faults once.
func (e *Engine) readConfiguration(v ConfigurationRead) (actions []Action) {
	for _, f := range v.Faults {
		if !slices.Contains(e.configurationFaults, f) {
			actions = append(actions, ConfigurationUnreadable{f})
		}
	}
	if v.Configuration != nil || len(v.Faults) > 0 {
		e.configurationFaults = v.Faults[:min(len(v.Faults), maxUnreadable)]
	}
	if v.Configuration != nil && e.configuration != nil {
		e.keepReadable(v)
	}
	return append(actions, e.applyConfiguration(v.Configuration)...)
}

// keepReadable adds the present routes and services of the names that are unreadable in a newer
// configuration, and all services if it has none that are known. Leaving routes out would reset
// their open flows.
func (e *Engine) keepReadable(v ConfigurationRead) {
	c := v.Configuration
	if c.Services == nil {
		c.Services = maps.Clone(e.configuration.Services)
	}
	for _, f := range v.Faults {
		s, known := e.configuration.Services[f.Service]
		if _, taken := c.Services[f.Service]; known && !taken {
			c.Services[f.Service] = s
		}
		for at, r := range e.configuration.Routes {
			if _, taken := c.Routes[at]; f.Route != "" && r.Name == f.Route && !taken {
				c.Routes[at] = r
			}
		}
	}
}
