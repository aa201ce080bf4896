package steering

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
)

// Settings are the settings of an engine.
type Settings struct {
	Centre string // name of the data centre
	// Age of the last confirmation from which on the store counts as unreachable.
	StaleAfter clock.Millis
	TickPeriod clock.Millis // time between two Ticked events; 0 if they need not come in time
	Seed       uint64       // of random choices
	// Operators may order evacuations. The engine is ready only when it knows the orders.
	Evacuations bool
}

// Engine makes the decisions of one instance. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	random   *rand.Rand

	configuration            *Configuration
	configurationFaults      []ConfigurationFault
	configurationConfirmedAt clock.Millis      // when the store last confirmed the configuration
	removedRoutes            map[AddrPort]bool // routes of earlier configurations that aren't in the present one
	evacuations              evacuation.Orders
	directory                directory
	flows                    flows
	baselines                map[AddrPort]*baseline
	latencies                map[string]*serviceLatency // by service
	demand                   dataCentreDemand
	admissions               admissions
	stalledUntil             clock.Millis // end of stallRecovery; until then, missing answers are no evidence
	tickedAt                 clock.Millis // last Ticked event
	recent                   [recentOpenings]recentOpening
	recentIndex              int              // index of the oldest entry of recent
	flowsToQuery             []FlowProgress   // flows for the next query
	queriedAt                clock.Millis     // time of the last query
	reprobedAt               clock.Millis     // last run of reprobe
	lastProbe                uint64           // number of the last probe
	wasIsolated              bool             // isolated at the latest tick
	sendTallies              bool             // the next tick sends the tallies
	contradicted             []*endpointState // endpoints whose contradiction may not be reported yet

	pendingActions []Action // until TakeActions
	answers        []Answered
}

// recentOpenings is the number of new flows that checkReopening compares with. About 100
// new flows per second at the design size make four within openingProbeDelay, and a burst
// makes more.
const recentOpenings = 32

// recentOpening is a flow that was placed recently.
type recentOpening struct {
	key key
	at  clock.Millis
}

// NewEngine returns an engine without configuration and endpoints.
func NewEngine(s Settings) *Engine {
	return &Engine{
		settings:      s,
		random:        rand.New(rand.NewPCG(s.Seed, 0)),
		removedRoutes: map[AddrPort]bool{},
		directory:     newDirectory(s.StaleAfter),
		flows:         newFlows(),
		baselines:     map[AddrPort]*baseline{},
		latencies:     map[string]*serviceLatency{},
	}
}

// checkDelay notices a stall by a tick that is overdue. Packets and messages that waited
// for the process may be handled before the tick itself.
func (e *Engine) checkDelay(now clock.Millis) {
	if e.settings.TickPeriod != 0 && e.tickedAt != 0 && now-e.tickedAt-e.settings.TickPeriod >= minStall {
		e.stalledUntil = now + stallRecovery
	}
}

// recordWait records that packets may have waited for this instance, in its socket or for its
// timers. A long wait is a stall, since answers may wait unread as well.
func (e *Engine) recordWait(now, wait clock.Millis) {
	if wait >= minStall {
		e.stalledUntil = now + stallRecovery
	}
}

// Steer decides on one packet. Actions that result from it are returned by TakeActions.
func (e *Engine) Steer(now clock.Millis, p *Packet) Decision {
	e.checkDelay(now)
	e.recordWait(now, p.Waited)
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

// Ready reports whether the engine has a configuration and some endpoints, so that it can
// place flows. Packets for unknown endpoints get ReasonNoRecords until it is complete.
func (e *Engine) Ready() bool {
	return e.configuration != nil && (e.directory.listed || e.directory.partlyListed)
}

// Complete reports whether the engine has a configuration and all endpoints.
func (e *Engine) Complete() bool { return e.configuration != nil && e.directory.listed }

// FlowCount returns the number of flows in the flow table.
func (e *Engine) FlowCount() int { return len(e.flows.byKey) }

// TakeActions returns the actions that resulted from packets since the last call. The
// caller owns the slice.
func (e *Engine) TakeActions() []Action {
	actions := e.pendingActions
	e.pendingActions = nil
	return actions
}

// TakeAnswers appends the requests answered since the last call to a list.
func (e *Engine) TakeAnswers(list []Answered) []Answered {
	list = append(list, e.answers...)
	e.answers = e.answers[:0]
	return list
}

// Handle handles an event and returns the resulting actions.
func (e *Engine) Handle(now clock.Millis, event Event) []Action {
	e.checkDelay(now)
	switch v := event.(type) {
	case ConfigurationRead:
		return e.readConfiguration(v)
	case ConfigurationRevised:
		if e.configuration == nil || e.configuration.Revision != v.Delta.From {
			return nil
		}
		return e.applyConfiguration(e.configuration.Apply(&v.Delta))
	case RecordsConfirmed:
		e.configurationConfirmedAt = max(e.configurationConfirmedAt, v.ConfigurationAt)
		e.directory.endOutage(now, v.StoreRecoveredAt)
		e.directory.confirm(v.EndpointsAt)
	case TalliesReported:
		return e.applyTallies(now, v)
	case FlowsQueried:
		return e.reportFlows(v)
	case FlowsReported:
		e.removeReported(v.Flows)
	case FaultReported:
		return e.handleFault(now, v)
	case EvacuationsRead:
		if v.Orders.Revision > e.evacuations.Revision {
			e.evacuations = v.Orders
		}
	case DemandSummed:
		e.applySums(now, &v.Summary)
	case EndpointsPageRead:
		e.applyPage(now, v)
	case EndpointsListed:
		return e.applyList(now, v)
	case EndpointsChanged:
		return e.applyChanges(now, v)
	case ProcessStalled:
		// The records may have changed while the process was suspended.
		e.configurationConfirmedAt = 0
		e.stalledUntil = now + stallRecovery
		e.directory.suspend(now)
		// The clock doesn't count the suspension, so evidence is older than it seems.
		for _, s := range e.directory.byID {
			s.silence.expire()
		}
	case ProbeEnded:
		return e.handleProbeEnded(now, v)
	case Ticked:
		e.tickedAt = now
		e.recordWait(now, max(v.Delay, v.Unread))
		return e.tick(now)
	}
	return nil
}

// Configuration returns the configuration in force, or nil. It is never modified.
func (e *Engine) Configuration() *Configuration { return e.configuration }

// Evacuations returns the evacuation orders in force. The caller must not modify them.
func (e *Engine) Evacuations() evacuation.Orders { return e.evacuations }

// Condition is a problem of an endpoint, for status reports.
type Condition struct {
	Type    string `json:"type"`
	Subject string `json:"subject"`
	Reason  string `json:"reason"`
	Action  string `json:"action"` // what the instance did about it
}

// The types of conditions.
const (
	ConditionLost    = "EndpointLost"
	ConditionLapsed  = "EndpointLapsed"
	ConditionRefused = "EndpointRefused"
	ConditionFailing = "EndpointFailing"
	// An entry of an endpoint, the configuration or one of its routes can't be decoded.
	ConditionUnreadable = "Unreadable"
)

// Conditions returns the problems of all endpoints and of the configuration, sorted by
// subject.
func (e *Engine) Conditions(now clock.Millis) []Condition {
	list := e.unreadableConditions()
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
	slices.SortStableFunc(list, func(a, b Condition) int { return strings.Compare(a.Subject, b.Subject) })
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
		for destination := range e.configuration.Routes {
			if _, kept := c.Routes[destination]; !kept {
				e.removedRoutes[destination] = true
				removed++
			}
		}
	}
	for destination := range c.Routes {
		delete(e.removedRoutes, destination)
	}
	e.configuration = c
	if c.IdleTimeout > 0 {
		e.flows.idleTimeout = c.IdleTimeout
	}
	return []Action{ConfigurationAccepted{Version: c.Version, Revision: c.Revision, Routes: len(c.Routes), RemovedRoutes: removed}}
}

// applyPage stores the endpoints of a page. Endpoints that it doesn't contain are kept,
// since they may follow on another page.
func (e *Engine) applyPage(now clock.Millis, v EndpointsPageRead) {
	e.directory.partlyListed = true
	for _, p := range v.Endpoints {
		e.put(now, p, nil)
	}
}

func (e *Engine) applyList(now clock.Millis, v EndpointsListed) (actions []Action) {
	if e.directory.listed && v.Revision < e.directory.revision {
		return nil
	}
	firstList := !e.directory.listed
	present := make(map[string]bool, len(v.Endpoints))
	e.directory.unreadable.retain(v.Unreadable)
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
	// Which entries changed since an earlier list isn't known.
	e.directory.forgottenRevision = v.Revision
	e.directory.listed = true
	e.directory.revision = v.Revision
	if firstList {
		actions = slices.DeleteFunc(actions, func(a Action) bool { _, ok := a.(EndpointStateChanged); return ok })
		return append(actions, EndpointsLoaded{Count: len(v.Endpoints), Revision: v.Revision})
	}
	return actions
}

func (e *Engine) applyChanges(now clock.Millis, v EndpointsChanged) (actions []Action) {
	known := uint64(0) // changes up to this revision are known, also of endpoints that have left since
	if e.directory.listed {
		known = e.directory.revision
	}
	for _, c := range v.Changes {
		switch {
		case c.Removed: // its revision may be that of the entry's last change
			actions = e.remove(now, c.Endpoint.ID, c.Endpoint.Revision, actions)
		case c.Endpoint.Revision <= known:
			continue // sent by an instance that stalled meanwhile
		case c.Unreadable:
			actions = e.markUnreadable(now, c, actions)
		default:
			actions = e.put(now, c.Endpoint, actions)
		}
	}
	e.directory.revision = max(e.directory.revision, v.Revision)
	e.directory.recordRevision(v.Changes, v.Revision)
	return actions
}

func (e *Engine) put(now clock.Millis, p Endpoint, actions []Action) []Action {
	old := e.directory.byID[p.ID]
	if old != nil && old.Address != p.Address && (p.Incarnation == old.Incarnation || p.Incarnation == 0) {
		return e.markUnreadable(now, p.Unreadable(errors.Wrapf(ErrEndpoint, "address %s is not that of its process", p.Address)), actions)
	}
	sameProcess := old != nil && old.Incarnation == p.Incarnation && old.Address == p.Address
	unchanged := sameProcess && old.entryState == listed && old.Draining == p.Draining
	if !e.directory.put(now, p) {
		return actions
	}
	if old != nil && !sameProcess {
		e.flows.detachAll(old)
	}
	e.directory.unreadable.remove(p.ID)
	e.compareEntry(now, e.directory.byID[p.ID])
	if unchanged {
		return actions
	}
	return append(actions, e.directory.byID[p.ID].stateChanged())
}

func (e *Engine) remove(now clock.Millis, id string, revision uint64, actions []Action) []Action {
	e.directory.unreadable.remove(id)
	if !e.directory.remove(now, id, revision) {
		return actions
	}
	return append(actions, e.directory.byID[id].stateChanged())
}

func (e *Engine) markUnreadable(now clock.Millis, c EndpointChange, actions []Action) []Action {
	if s := e.directory.byID[c.Endpoint.ID]; s != nil && c.Endpoint.Revision <= max(s.Revision, s.removedRevision) {
		return actions // a newer entry is known
	}
	actions = e.directory.unreadable.add(c, actions)
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
	e.wasIsolated = e.isolated(now)
	e.flows.expire(now, func(k key, w *flow) { e.checkWaiting(now, k, w) })
	for _, s := range e.directory.byID {
		e.confirmRefusal(now, s)
	}
	for _, s := range e.directory.expire(now) {
		actions = append(actions, s.stateChanged())
		if s.load.flows > 0 {
			e.checkGone(now, s)
		}
	}
	e.reprobe(now)
	actions = append(actions, e.TakeActions()...)
	actions = e.reportContradictions(actions)
	if e.sendTallies {
		e.sendTallies = false
		actions = append(actions, SendTallies{})
	}
	return e.queryFlows(now, actions)
}
