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

	configuration *Configuration
	confirmed     clock.Millis      // when the store last confirmed the configuration
	removedRoutes map[AddrPort]bool // of earlier configurations, and not in force
	directory     directory
	flows         flows
	baselines     map[AddrPort]*baseline
	usual         map[string]*mean // by service
	stalled       clock.Millis     // until when this process judges nobody
	recent        [recentOpenings]opening
	recentAt      int            // where the next one goes
	doubts        []FlowProgress // flows to ask the other instances for
	doubtAt       clock.Millis   // when they were last asked
	againAt       clock.Millis   // when endpoints that had ended were last looked at
	sharing       bool           // others should be told of tallies now

	notes   []Action // of packets, until the daemon takes them
	answers []Answered
}

// recentOpenings is how many new flows are looked at when a consumer comes back: some
// 100 a second at the size designed for are four in the time that counts, a crowd more.
const recentOpenings = 32

// opening is a new flow that was placed.
type opening struct {
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
		usual:         map[string]*mean{},
	}
}

// Steer decides on one packet.
func (e *Engine) Steer(now clock.Millis, p *Packet) Decision {
	var d Decision
	if p.Opening() {
		d = e.open(now, p)
	} else {
		d = e.established(now, p)
	}
	if e.configuration != nil {
		d.ConfigurationVersion = e.configuration.Version
	}
	d.EndpointsAge = now - e.directory.confirmed
	return d
}

// Ready reports whether the engine knows what it takes to place flows. Flows whose
// endpoints it doesn't know yet have to wait until it is complete.
func (e *Engine) Ready() bool {
	return e.configuration != nil && (e.directory.listed || e.directory.begun)
}

// Complete reports whether the engine knows all endpoints.
func (e *Engine) Complete() bool { return e.configuration != nil && e.directory.listed }

// FlowCount returns the number of flows remembered.
func (e *Engine) FlowCount() int { return len(e.flows.byKey) }

// TakeActions returns what packets led to since the last call. The daemon owns it.
func (e *Engine) TakeActions() []Action {
	notes := e.notes
	e.notes = nil
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
		return e.configure(v.Configuration)
	case ConfigurationRevised:
		if e.configuration == nil || e.configuration.Revision != v.Delta.From {
			return nil
		}
		return e.configure(e.configuration.Apply(&v.Delta))
	case RecordsConfirmed:
		e.confirmed = max(e.confirmed, v.ConfigurationAt)
		e.directory.returned = max(e.directory.returned, v.StoreReturnedAt)
		e.directory.confirm(v.EndpointsAt, e.settings.StaleAfter)
	case TalliesReported:
		return e.seen(now, v.Tallies)
	case FlowsQueried:
		return e.asked(v)
	case FlowsReported:
		e.seenElsewhere(v.Flows)
	case FaultReported:
		return e.reported(now, v)
	case EndpointsPageRead:
		e.find(now, v)
	case EndpointsListed:
		return e.list(now, v)
	case EndpointsChanged:
		return e.change(now, v)
	case ProcessStalled:
		// What the store said before the sleep may have changed since.
		e.confirmed = 0
		e.stalled = now + stalledHold
		e.directory.returned = now
	case ProbeEnded:
		return e.probed(now, v)
	case Ticked:
		if v.Delay >= stalledAfter {
			e.stalled = now + stalledHold
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
		case s.standing == gone:
			continue
		case s.silence.refused:
			c.Type, c.Reason = ConditionRefused, "its address refuses connections"
		case s.silence.lost:
			c.Type, c.Reason = ConditionLost, "it answers neither flows nor connections"
		case s.judgement.failing(now):
			c.Type, c.Reason = ConditionFailing, "its answers are errors by their size, or don't come"
		case s.standing == lapsed:
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
		if s.standing == listed {
			n++
		}
	}
	return n
}

// Endpoints returns the endpoints whose entries are in the store.
func (e *Engine) Endpoints() []Endpoint { return e.directory.list() }

func (e *Engine) configure(c *Configuration) []Action {
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
		e.flows.idle = c.IdleTimeout
	}
	return []Action{ConfigurationAccepted{Version: c.Version, Revision: c.Revision, Routes: len(c.Routes), RemovedRoutes: removed}}
}

// find takes in a part of a list. Until the list is complete it says nothing of
// endpoints that aren't in it.
func (e *Engine) find(now clock.Millis, v EndpointsPageRead) {
	e.directory.begun = true
	for _, p := range v.Endpoints {
		e.directory.put(now, p)
	}
}

func (e *Engine) list(now clock.Millis, v EndpointsListed) (actions []Action) {
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
		actions = e.spoil(now, c, actions)
	}
	for id, s := range e.directory.byID {
		if !present[id] && s.standing == listed {
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

func (e *Engine) change(now clock.Millis, v EndpointsChanged) (actions []Action) {
	for _, c := range v.Changes {
		switch {
		case c.Removed:
			actions = e.remove(now, c.Endpoint.ID, c.Endpoint.Revision, actions)
		case c.Unreadable:
			actions = e.spoil(now, c, actions)
		default:
			actions = e.put(now, c.Endpoint, actions)
		}
	}
	e.directory.revision = max(e.directory.revision, v.Revision)
	return actions
}

func (e *Engine) put(now clock.Millis, p Endpoint, actions []Action) []Action {
	old := e.directory.byID[p.ID]
	quiet := old != nil && old.standing == listed && old.Draining == p.Draining && old.Incarnation == p.Incarnation && old.Address == p.Address
	if !e.directory.put(now, p) || quiet {
		return actions
	}
	return append(actions, e.directory.byID[p.ID].changed())
}

func (e *Engine) remove(now clock.Millis, id string, revision uint64, actions []Action) []Action {
	if !e.directory.remove(now, id, revision) {
		return actions
	}
	return append(actions, e.directory.byID[id].changed())
}

func (e *Engine) spoil(now clock.Millis, c EndpointChange, actions []Action) []Action {
	if !e.directory.spoil(now, c.Endpoint.ID, c.Endpoint.Revision) {
		return actions
	}
	return append(actions, e.directory.byID[c.Endpoint.ID].changed())
}

func (s *server) changed() EndpointStateChanged {
	return EndpointStateChanged{Endpoint: s.ID, Service: s.Service, Address: s.Address, State: s.state(), Revision: max(s.Revision, s.removed)}
}

func (s *server) state() string {
	switch {
	case s.standing == lapsed:
		return "lapsed"
	case s.standing == gone:
		return "gone"
	case s.Draining:
		return "draining"
	}
	return "ready"
}

func (e *Engine) tick(now clock.Millis) (actions []Action) {
	e.flows.expire(now, func(k key, w *flow) { e.waits(now, k, w) })
	for _, s := range e.directory.expire(now) {
		actions = append(actions, s.changed())
		if s.silence.progress < s.since {
			e.giveUp(s, "gone")
		}
	}
	e.probeAgain(now)
	actions = append(actions, e.TakeActions()...)
	if e.sharing {
		e.sharing = false
		actions = append(actions, SendTallies{})
	}
	return e.askOthers(now, actions)
}
