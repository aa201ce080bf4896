package steering

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Settings are what an engine is told at its start.
type Settings struct {
	Centre string // name of the data centre
	// How old records are when the store is taken to be away.
	StaleAfter clock.Millis
	Seed       uint64 // of choices among equals
}

// Engine decides for one daemon. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	random   *rand.Rand

	configuration            *Configuration
	configurationConfirmedAt clock.Millis      // when the store last confirmed the configuration
	removedRoutes            map[AddrPort]bool // of earlier configurations, and not in force
	directory                directory
	flows                    flows
	baselines                map[AddrPort]*baseline
	latencies                map[string]*serviceLatency // by service
	stalledUntil             clock.Millis               // until when this process judges nobody
	recent                   [recentOpenings]recentOpening
	recentIndex              int            // where the next one goes
	flowsToQuery             []FlowProgress // flows to ask the other instances for
	queriedAt                clock.Millis   // when they were last asked
	reprobedAt               clock.Millis   // when endpoints that had ended were last looked at
	sendTallies              bool           // others should be told of tallies now

	pendingActions []Action // of packets, until the daemon takes them
	answers        []Answered
}

// recentOpenings is how many new flows are looked at when a consumer comes back: some
// 100 a second at the size designed for are four in the time that counts, a crowd more.
const recentOpenings = 32

// recentOpening is a new flow that was placed.
type recentOpening struct {
	key key
	at  clock.Millis
}

// NewEngine returns an engine without records.
func NewEngine(s Settings) *Engine {
	return &Engine{
		settings:      s,
		random:        rand.New(rand.NewPCG(s.Seed, 0)),
		removedRoutes: map[AddrPort]bool{},
		directory:     newDirectory(),
		flows:         newFlows(),
		baselines:     map[AddrPort]*baseline{},
		latencies:     map[string]*serviceLatency{},
	}
}

// Steer decides on one packet.
func (e *Engine) Steer(now clock.Millis, p *Packet) Decision {
	var d Decision
	if p.Opening() {
		d = e.steerOpening(now, p)
	} else {
		d = e.steerEstablished(now, p)
	}
	if e.configuration != nil {
		d.ConfigurationVersion = e.configuration.Version
	}
	d.EndpointsAge = now - e.directory.confirmedAt
	return d
}

// Ready reports whether the engine knows what it takes to place flows. Flows whose
// endpoints it doesn't know yet have to wait until it is complete.
func (e *Engine) Ready() bool {
	return e.configuration != nil && (e.directory.listed || e.directory.partlyListed)
}

// Complete reports whether the engine knows all endpoints.
func (e *Engine) Complete() bool { return e.configuration != nil && e.directory.listed }

// FlowCount returns the number of flows remembered.
func (e *Engine) FlowCount() int { return len(e.flows.byKey) }

// TakeActions returns what packets led to since the last call. The daemon owns it.
func (e *Engine) TakeActions() []Action {
	notes := e.pendingActions
	e.pendingActions = nil
	return notes
}

// TakeAnswers appends the answers seen since the last call to a list.
func (e *Engine) TakeAnswers(list []Answered) []Answered {
	list = append(list, e.answers...)
	e.answers = e.answers[:0]
	return list
}

// Handle takes an event and returns what to do.
func (e *Engine) Handle(now clock.Millis, event Event) []Action {
	switch v := event.(type) {
	case ConfigurationRead:
		return e.applyConfiguration(v.Configuration)
	case ConfigurationRevised:
		if e.configuration == nil || e.configuration.Revision != v.Delta.From {
			return nil
		}
		return e.applyConfiguration(e.configuration.Apply(&v.Delta))
	case RecordsConfirmed:
		e.configurationConfirmedAt = max(e.configurationConfirmedAt, v.ConfigurationAt)
		e.directory.storeRecoveredAt = max(e.directory.storeRecoveredAt, v.StoreRecoveredAt)
		e.directory.confirm(v.EndpointsAt, e.settings.StaleAfter)
	case TalliesReported:
		return e.applyTallies(now, v.Tallies)
	case FlowsQueried:
		return e.reportFlows(v)
	case FlowsReported:
		e.removeReported(v.Flows)
	case FaultReported:
		return e.handleFault(now, v)
	case EndpointsPageRead:
		e.applyPage(now, v)
	case EndpointsListed:
		return e.applyList(now, v)
	case EndpointsChanged:
		return e.applyChanges(now, v)
	case ProcessStalled:
		// What the store said before the sleep may have changed since.
		e.configurationConfirmedAt = 0
		e.stalledUntil = now + stallRecovery
		e.directory.storeRecoveredAt = now
	case ProbeEnded:
		return e.handleProbeEnded(now, v)
	case Ticked:
		if v.Delay >= minStall {
			e.stalledUntil = now + stallRecovery
		}
		return e.tick(now)
	}
	return nil
}

// Configuration returns the configuration in force, nil when there is none. It is
// never changed.
func (e *Engine) Configuration() *Configuration { return e.configuration }

// Condition is one thing that is wrong with an endpoint.
type Condition struct {
	Type    string `json:"type"`
	Subject string `json:"subject"`
	Reason  string `json:"reason"`
	Action  string `json:"action"` // what was done about it
}

// The types of conditions.
const (
	ConditionLost    = "EndpointLost"
	ConditionLapsed  = "EndpointLapsed"
	ConditionRefused = "EndpointRefused"
	ConditionFailing = "EndpointFailing"
)

// Conditions returns what is wrong, sorted by subject.
func (e *Engine) Conditions(now clock.Millis) []Condition {
	var list []Condition
	for id, s := range e.directory.byID {
		c := Condition{Subject: "endpoint/" + id, Action: "it gets no new flows"}
		switch {
		case s.entryState == gone:
			continue
		case s.silence.refused:
			c.Type, c.Reason = ConditionRefused, "its address refuses connections"
		case s.silence.lost:
			c.Type, c.Reason = ConditionLost, "it answers neither flows nor connections"
		case s.failures.ejected(now):
			c.Type, c.Reason = ConditionFailing, "its answers are errors by their size, or don't come"
		case s.entryState == lapsed:
			c.Type, c.Reason = ConditionLapsed, "its entry left the store"
		default:
			continue
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Condition) int { return strings.Compare(a.Subject, b.Subject) })
	return list
}

// EndpointCount returns the number of endpoints whose entries are in the store.
func (e *Engine) EndpointCount() int {
	n := 0
	for _, s := range e.directory.byID {
		if s.entryState == listed {
			n++
		}
	}
	return n
}

// Endpoints returns the endpoints whose entries are in the store.
func (e *Engine) Endpoints() []Endpoint { return e.directory.listedEndpoints() }

func (e *Engine) applyConfiguration(c *Configuration) []Action {
	if c == nil || e.configuration != nil && (c.Version <= e.configuration.Version || c.Revision <= e.configuration.Revision) {
		return nil
	}
	removed := 0
	if e.configuration != nil {
		for end := range e.configuration.Routes {
			if _, kept := c.Routes[end]; !kept {
				e.removedRoutes[end] = true
				removed++
			}
		}
	}
	for end := range c.Routes {
		delete(e.removedRoutes, end)
	}
	e.configuration = c
	if c.IdleTimeout > 0 {
		e.flows.idleTimeout = c.IdleTimeout
	}
	return []Action{ConfigurationAccepted{Version: c.Version, Revision: c.Revision, Routes: len(c.Routes), RemovedRoutes: removed}}
}

// applyPage takes in a part of a list. Until the list is complete it says nothing of
// endpoints that aren't in it.
func (e *Engine) applyPage(now clock.Millis, v EndpointsPageRead) {
	e.directory.partlyListed = true
	for _, p := range v.Endpoints {
		e.directory.put(now, p)
	}
}

func (e *Engine) applyList(now clock.Millis, v EndpointsListed) (actions []Action) {
	if e.directory.listed && v.Revision < e.directory.revision {
		return nil
	}
	first := !e.directory.listed
	present := make(map[string]bool, len(v.Endpoints))
	for _, p := range v.Endpoints {
		present[p.ID] = true
		actions = e.put(now, p, actions)
	}
	for _, c := range v.Unreadable {
		present[c.Endpoint.ID] = true
		actions = e.markUnreadable(now, c, actions)
	}
	for id, s := range e.directory.byID {
		if !present[id] && s.entryState == listed {
			actions = e.remove(now, id, v.Revision, actions)
		}
	}
	e.directory.listed = true
	e.directory.revision = v.Revision
	if first {
		return []Action{EndpointsLoaded{Count: len(v.Endpoints), Revision: v.Revision}}
	}
	return actions
}

func (e *Engine) applyChanges(now clock.Millis, v EndpointsChanged) (actions []Action) {
	for _, c := range v.Changes {
		switch {
		case c.Removed:
			actions = e.remove(now, c.Endpoint.ID, c.Endpoint.Revision, actions)
		case c.Unreadable:
			actions = e.markUnreadable(now, c, actions)
		default:
			actions = e.put(now, c.Endpoint, actions)
		}
	}
	e.directory.revision = max(e.directory.revision, v.Revision)
	return actions
}

func (e *Engine) put(now clock.Millis, p Endpoint, actions []Action) []Action {
	old := e.directory.byID[p.ID]
	quiet := old != nil && old.entryState == listed && old.Draining == p.Draining && old.Incarnation == p.Incarnation && old.Address == p.Address
	if !e.directory.put(now, p) || quiet {
		return actions
	}
	return append(actions, e.directory.byID[p.ID].stateChanged())
}

func (e *Engine) remove(now clock.Millis, id string, revision uint64, actions []Action) []Action {
	if !e.directory.remove(now, id, revision) {
		return actions
	}
	return append(actions, e.directory.byID[id].stateChanged())
}

func (e *Engine) markUnreadable(now clock.Millis, c EndpointChange, actions []Action) []Action {
	if !e.directory.markUnreadable(now, c.Endpoint.ID, c.Endpoint.Revision) {
		return actions
	}
	return append(actions, e.directory.byID[c.Endpoint.ID].stateChanged())
}

func (s *endpointState) stateChanged() EndpointStateChanged {
	return EndpointStateChanged{Endpoint: s.ID, Service: s.Service, Address: s.Address, State: s.stateName(), Revision: max(s.Revision, s.removedRevision)}
}

func (s *endpointState) stateName() string {
	switch {
	case s.entryState == lapsed:
		return "lapsed"
	case s.entryState == gone:
		return "gone"
	case s.Draining:
		return "draining"
	}
	return "ready"
}

func (e *Engine) tick(now clock.Millis) (actions []Action) {
	e.flows.expire(now, func(k key, w *flow) { e.checkWaiting(now, k, w) })
	for _, s := range e.directory.expire(now) {
		actions = append(actions, s.stateChanged())
		if s.silence.answeredAt < s.entryChangedAt {
			e.resetFlows(s, "gone")
		}
	}
	e.reprobeEnded(now)
	actions = append(actions, e.TakeActions()...)
	if e.sendTallies {
		e.sendTallies = false
		actions = append(actions, SendTallies{})
	}
	return e.queryFlows(now, actions)
}
