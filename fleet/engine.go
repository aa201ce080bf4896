package fleet

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Settings are the parameters of an engine.
type Settings struct {
	Self        Member
	RecordBound clock.Millis // time within which every instance has to apply a change of records
	Evacuations bool         // operators order evacuations, which are then watched like the other records
	// Steering is told the members of the data centre.
	NotifyMembers bool
}

const (
	// Minimum time between two fetches by a member. A lost message causes a fetch, and
	// the following heartbeats, every 300 ms at a record bound of 3 s, request it again
	// until the records are current. The limit spares the store, which is read first.
	minFetchInterval = 500 * clock.Millisecond
	// An instance that was replaced leaves its object in the store. The watcher probes
	// members that sent nothing for probePeriod, and removes a member that hasn't
	// answered probes for probeTimeout.
	probePeriod  = 1 * clock.Minute
	probeTimeout = 10 * clock.Minute
	// Members listed in a reply to Hello; a message has room for about twenty.
	maxHelloMembers = 10
	// Greatest age of records in messages, also of those that were never confirmed. It takes
	// as many bytes as that of an outage of minutes.
	maxRecordAge = 24 * clock.Hour
	// This time without a tick counts as a stall of the process. Messages and answers of the
	// store that are handled until stallRecovery has passed may have waited since its start.
	minStall = 500 * clock.Millisecond
	// Bounds of RetryPauses, and their part for each other member.
	minRetryPause = 100 * clock.Millisecond
	minRetryLimit = 1 * clock.Second
	maxRetryLimit = 3 * clock.Second
	retryShare    = 100 * clock.Millisecond
	stallRecovery = 1 * clock.Second
)

// Engine decides when its member watches the store, and what it sends to other members.
// It is not safe for concurrent use.
type Engine struct {
	settings Settings
	peers    peerList

	startedAt                clock.Millis
	listedAt                 clock.Millis // when the members were first listed; 0 before
	tickedAt                 clock.Millis // last Ticked event; 0 before the first
	stalledAt                clock.Millis // last Ticked event before the latest stall
	stalledUntil             clock.Millis // end of stallRecovery
	state                    RecordState
	configurationConfirmedAt clock.Millis // when the store last confirmed the configuration; 0 if it hasn't
	endpointsConfirmedAt     clock.Millis // when the store last confirmed the endpoints; 0 if it hasn't
	evacuations              evacuations
	readAt                   clock.Millis // when this member last read the store itself
	outages                  outages

	watching      bool
	watchingSince clock.Millis // when watching last changed
	leaving       bool
	heartbeatAt   clock.Millis // when this member sent its latest heartbeat
	fetchedAt     clock.Millis // when this member requested its latest fetch
	lastHeard     *Member      // sender of the latest message, from any data centre; nil before the first one
	reports       reportPacer
	demand        demandSums
	probedAt      clock.Millis // when this member last probed silent members
}

// NewEngine returns an engine that knows no other members and has no records.
func NewEngine(s Settings, now clock.Millis) *Engine {
	return &Engine{settings: s, peers: peerList{changed: true}, startedAt: now, readAt: now, probedAt: now}
}

// Watching reports whether this member watches the store.
func (e *Engine) Watching() bool { return e.watching }

// RetryPauses returns the bounds of the pause between two attempts of this member to reach the
// store while it doesn't answer. In a large data centre all members try, since the store may
// serve some of them, so each tries less often: one that reaches it tells the others.
func (e *Engine) RetryPauses() (shortest, longest clock.Millis) {
	n := clock.Millis(len(e.peers.list))
	longest = min(max(n*retryShare, minRetryLimit), maxRetryLimit)
	return min(max(n*retryShare/4, minRetryPause), longest/2), longest
}

// MemberCount returns the number of other members of the data centre that are known.
func (e *Engine) MemberCount() int { return len(e.peers.list) }

// RecordState returns the revisions and ages of this member's records.
func (e *Engine) RecordState(now clock.Millis) RecordState {
	s := e.state
	s.ConfigurationAge, s.EndpointsAge = min(now-e.configurationConfirmedAt, maxRecordAge), min(now-e.endpointsConfirmedAt, maxRecordAge)
	if at := e.outages.endedAt; at != 0 {
		s.RecoveredAge = min(max(now-at, 1), maxRecordAge)
	}
	return s
}

// LastHeard returns the sender of the latest message. An instance without records
// fetches them from it.
func (e *Engine) LastHeard() (Member, bool) {
	if e.lastHeard == nil {
		return Member{}, false
	}
	return *e.lastHeard, true
}

// Handle processes an event and returns the actions to perform, in order.
func (e *Engine) Handle(now clock.Millis, event Event) []Action {
	e.checkDelay(now)
	switch v := event.(type) {
	case MembersListed:
		return e.handleMembersListed(now, v)
	case MessageReceived:
		return e.handleMessage(now, v)
	case StoreCallFailed:
		e.recordStoreFailure(now)
	case RecordsRead:
		return e.handleRecordsRead(now, v)
	case EvacuationsRead:
		return e.handleEvacuationsRead(now, v)
	case RecordsFetched:
		return e.handleRecordsFetched(now, v)
	case EndpointFaultFound:
		return e.broadcast(EndpointFault{v.Fault})
	case EndpointTalliesTaken:
		return e.shareTallies(v.Tallies)
	case DemandTaken:
		return e.handleDemandTaken(now, v)
	case FlowQueryRequested:
		return e.broadcast(FlowQuery(v))
	case FlowReplyRequested:
		if p := e.peers.find(v.To); p != nil {
			return []Action{Send{To: []netip.AddrPort{p.Address}, Message: FlowReply{Flows: v.Flows}}}
		}
	case Stopping:
		return e.handleStopping(now)
	case ProcessSuspended:
		e.handleSuspended(now, v.Duration)
	case Ticked:
		e.tickedAt = now
		return append(e.handleTick(now), e.notifyMembers(now)...)
	}
	return nil
}

// checkDelay notices a stall by a tick that is overdue.
func (e *Engine) checkDelay(now clock.Millis) {
	if e.tickedAt == 0 || now-e.tickedAt < minStall {
		return
	}
	if now >= e.stalledUntil {
		e.stalledAt = e.tickedAt
	}
	e.stalledUntil = now + stallRecovery
	e.peers.forgetProbes()
	e.outages.forgetFailures()
}

// handleSuspended makes the records older by a suspension. Until stallRecovery has passed,
// messages and answers may have waited since its start.
func (e *Engine) handleSuspended(now, duration clock.Millis) {
	if e.configurationConfirmedAt != 0 {
		e.configurationConfirmedAt -= duration
	}
	if e.endpointsConfirmedAt != 0 {
		e.endpointsConfirmedAt -= duration
	}
	if e.evacuations.confirmedAt != 0 {
		e.evacuations.confirmedAt -= duration
	}
	e.stalledAt, e.stalledUntil = e.tickedAt-duration, now+stallRecovery
	e.peers.forgetProbes()
	e.outages.suspend(duration)
}

// sentAt returns when a message or an answer of the store that is handled now was sent at
// the latest, as far as is certain.
func (e *Engine) sentAt(now clock.Millis) clock.Millis {
	if now < e.stalledUntil {
		return e.stalledAt
	}
	return now
}

// readSince returns the time since when records that are handled now may have been read.
func (e *Engine) readSince(now, requestedAt clock.Millis) clock.Millis {
	if requestedAt == 0 {
		return e.sentAt(now)
	}
	return min(e.sentAt(now), requestedAt)
}

// broadcast sends a message to all other members of the data centre.
func (e *Engine) broadcast(m Message) []Action {
	if len(e.peers.list) == 0 {
		return nil
	}
	return []Action{Send{To: addresses(e.peers.list), Message: m}}
}

// isPeer reports whether m is valid and another member of this data centre.
func (e *Engine) isPeer(m *Member) bool {
	return m.Name != e.settings.Self.Name && m.Centre == e.settings.Self.Centre && m.Check() == nil
}

func (e *Engine) handleMembersListed(now clock.Millis, v MembersListed) []Action {
	if e.listedAt == 0 {
		e.listedAt = now
	}
	var added []netip.AddrPort
	for _, m := range v.Members {
		if !e.isPeer(&m) {
			continue
		}
		if p, isNew := e.peers.put(m); isNew {
			added = append(added, p.Address)
		}
	}
	if len(added) == 0 {
		return e.updateWatching(now)
	}
	return append([]Action{Send{To: added, Message: Hello{}}}, e.updateWatching(now)...)
}

func (e *Engine) handleMessage(now clock.Millis, v MessageReceived) []Action {
	var p *peer
	if v.From.Name != e.settings.Self.Name {
		e.lastHeard = &v.From
	}
	if e.isPeer(&v.From) {
		p, _ = e.peers.put(v.From)
		p.heardAt, p.probedSince = now, 0
	}
	switch m := v.Message.(type) {
	case Hello:
		return e.handleHello(&v.From, m)
	case Heartbeat:
		return e.handleHeartbeat(now, p, m)
	case RelayedHeartbeat:
		return e.handleRelayedHeartbeat(now, v.From, m)
	case HeartbeatMissed:
		if p != nil {
			p.directUntil = now + directPeriod
		}
	case EndpointChanges:
		return e.handleEndpointChanges(now, p, m)
	case ConfigurationChange:
		return e.handleConfigurationChange(now, p, m)
	case DemandReport:
		e.handleDemandReport(now, p, m)
	case EndpointTallies:
		return []Action{NotifySteering{Event: steering.TalliesReported{Tallies: m.Tallies}}}
	case EndpointFault:
		return []Action{NotifySteering{Event: steering.FaultReported{Sender: v.From.Name, EndpointFault: m.EndpointFault}}}
	case FlowQuery:
		return []Action{NotifySteering{Event: steering.FlowsQueried{Sender: v.From.Name, Flows: m.Flows}}}
	case FlowReply:
		return []Action{NotifySteering{Event: steering.FlowsReported{Flows: m.Flows}}}
	}
	return nil
}

func (e *Engine) handleHello(from *Member, m Hello) []Action {
	for _, o := range m.Members {
		if e.isPeer(&o) {
			e.peers.put(o)
		}
	}
	if !m.WantReply {
		return nil
	}
	reply := Hello{}
	for _, p := range e.peers.list {
		if len(reply.Members) == maxHelloMembers {
			break
		}
		reply.Members = append(reply.Members, p.Member)
	}
	return []Action{Send{To: []netip.AddrPort{from.Address}, Message: reply}}
}

// handleWatcherState processes the record state of a watcher that the watcher or a relay sent.
// It confirms records that are as new as the watcher's, and requests a fetch for those that are
// older.
func (e *Engine) handleWatcherState(now clock.Millis, p *peer, sender Member, s RecordState, leaving bool) []Action {
	p.heartbeatAt, p.state, p.leaving = now, s, leaving
	if s.ConfigurationRevision == e.state.ConfigurationRevision {
		e.state.ConfirmedRevision = max(e.state.ConfirmedRevision, s.ConfirmedRevision)
		e.configurationConfirmedAt = max(e.configurationConfirmedAt, e.sentAt(now)-s.ConfigurationAge)
	}
	if e.state.EndpointsRevision >= s.ChangeRevision && s.EndpointsRevision >= e.state.EndpointsRevision {
		e.state.EndpointsRevision = s.EndpointsRevision
		e.state.ChangeRevision = max(e.state.ChangeRevision, s.ChangeRevision)
		e.endpointsConfirmedAt = max(e.endpointsConfirmedAt, e.sentAt(now)-s.EndpointsAge)
	}
	e.recordAnswers()
	e.recordReport(e.sentAt(now), s.RecoveredAge)
	actions := append([]Action{NotifySteering{Event: e.Confirmation()}}, e.updateWatching(now)...)
	if s.ConfigurationRevision <= e.state.ConfigurationRevision && s.ChangeRevision <= e.state.EndpointsRevision {
		return actions
	}
	if now-e.fetchedAt < minFetchInterval || e.watching && !e.storeUnreachable(now) {
		return actions // the fetch in progress or this member's own watch brings the records
	}
	e.fetchedAt = now
	return append(actions, FetchRecords{
		Peer: sender, Configuration: s.ConfigurationRevision > e.state.ConfigurationRevision,
		Endpoints: s.ChangeRevision > e.state.EndpointsRevision, EndpointsRevision: s.ChangeRevision,
	})
}

// Confirmation returns the event that tells steering when the store last confirmed the
// records.
func (e *Engine) Confirmation() steering.RecordsConfirmed {
	return steering.RecordsConfirmed{ConfigurationAt: e.configurationConfirmedAt, EndpointsAt: e.endpointsConfirmedAt, StoreRecoveredAt: e.outages.endedAt}
}

func (e *Engine) handleHeartbeat(now clock.Millis, p *peer, m Heartbeat) []Action {
	if p == nil {
		return nil
	}
	actions := e.handleWatcherEvacuations(now, p, m.Evacuations)
	actions = append(actions, e.handleWatcherState(now, p, p.Member, m.State, m.Leaving)...)
	actions = append(actions, e.handleSums(now, p, m.Demand)...)
	if m.Relay {
		actions = append(actions, e.relayHeartbeat(now, p, m)...)
	}
	return actions
}

// handleRelayedHeartbeat processes a watcher's heartbeat that another member relayed.
func (e *Engine) handleRelayedHeartbeat(now clock.Millis, relay Member, m RelayedHeartbeat) []Action {
	if !e.isPeer(&m.Watcher) {
		return nil
	}
	p, _ := e.peers.put(m.Watcher)
	actions := e.handleWatcherEvacuations(now, p, m.Evacuations)
	actions = append(actions, e.handleWatcherState(now, p, relay, m.State, false)...)
	return append(actions, e.handleSums(now, p, m.Demand)...)
}

func (e *Engine) handleEndpointChanges(now clock.Millis, p *peer, m EndpointChanges) []Action {
	if p == nil {
		return nil
	}
	if e.state.EndpointsRevision < m.Since {
		return e.handleWatcherState(now, p, p.Member, m.State, false)
	}
	actions := []Action{NotifySteering{Event: steering.EndpointsChanged{Changes: m.Changes, Revision: m.State.EndpointsRevision}}}
	e.state.EndpointsRevision = max(e.state.EndpointsRevision, m.State.EndpointsRevision)
	e.state.ChangeRevision = max(e.state.ChangeRevision, m.State.ChangeRevision)
	return append(actions, e.handleWatcherState(now, p, p.Member, m.State, false)...)
}

func (e *Engine) handleConfigurationChange(now clock.Millis, p *peer, m ConfigurationChange) []Action {
	if p == nil {
		return nil
	}
	if e.state.ConfigurationRevision != m.Delta.From {
		return e.handleWatcherState(now, p, p.Member, m.State, false)
	}
	e.state.ConfigurationRevision = m.Delta.Revision
	actions := []Action{NotifySteering{Event: steering.ConfigurationRevised{Delta: m.Delta}}}
	return append(actions, e.handleWatcherState(now, p, p.Member, m.State, false)...)
}

// handleRecordsRead processes records read from the store. The watcher broadcasts the
// changes to the other members.
func (e *Engine) handleRecordsRead(now clock.Millis, v RecordsRead) []Action {
	stale, before := e.recordsStale(now), e.RecordState(now)
	e.state = v.State
	e.readAt = now
	if v.IsConfiguration {
		e.configurationConfirmedAt = max(e.configurationConfirmedAt, e.readSince(now, v.RequestedAt))
	} else {
		e.endpointsConfirmedAt = max(e.endpointsConfirmedAt, e.readSince(now, v.RequestedAt))
	}
	e.recordAnswers()
	actions := e.updateWatching(now)
	if !e.watching {
		return actions
	}
	if stale && !e.recordsStale(now) {
		// The members of lower rank are about to watch the store as well.
		actions = append(actions, e.sendHeartbeat(now)...)
	}
	if v.Delta != nil {
		return append(actions, e.broadcast(ConfigurationChange{Delta: *v.Delta, State: e.RecordState(now)})...)
	}
	if !v.FullList {
		actions = append(actions, e.pushChanges(now, v.Since, v.Changes, before)...)
	}
	return actions
}

func (e *Engine) handleRecordsFetched(now clock.Millis, v RecordsFetched) (actions []Action) {
	if !v.EndpointsOnly && v.State.ConfigurationRevision >= e.state.ConfigurationRevision {
		e.state.ConfigurationRevision = v.State.ConfigurationRevision
		e.configurationConfirmedAt = max(e.configurationConfirmedAt, e.readSince(now, v.RequestedAt)-v.State.ConfigurationAge)
	}
	if v.State.EndpointsRevision >= e.state.EndpointsRevision {
		e.state.EndpointsRevision, e.state.ChangeRevision = v.State.EndpointsRevision, max(v.State.ChangeRevision, e.state.ChangeRevision)
		e.endpointsConfirmedAt = max(e.endpointsConfirmedAt, e.readSince(now, v.RequestedAt)-v.State.EndpointsAge)
	}
	if s := v.Evacuations; s != nil {
		actions = e.applyEvacuations(s.Orders, e.readSince(now, v.RequestedAt)-s.Age)
	}
	e.recordAnswers()
	e.recordReport(e.readSince(now, v.RequestedAt), v.State.RecoveredAge)
	return actions
}

func (e *Engine) handleStopping(now clock.Millis) []Action {
	e.leaving = true
	wasWatching := e.watching
	actions := e.updateWatching(now)
	if wasWatching {
		actions = append(actions, e.broadcast(Heartbeat{State: e.RecordState(now), Evacuations: e.EvacuationState(now), Leaving: true})...)
	}
	return actions
}

// updateWatching starts or stops watching the store if shouldWatch changed its result.
func (e *Engine) updateWatching(now clock.Millis) []Action {
	watching := e.shouldWatch(now)
	if watching == e.watching {
		return nil
	}
	e.watching, e.watchingSince = watching, now
	return []Action{SetWatching{On: watching, Stale: watching && e.recordsStale(now)}}
}

func (e *Engine) handleTick(now clock.Millis) []Action {
	actions := append(e.updateWatching(now), e.reportMissedHeartbeats(now)...)
	if !e.watching {
		return actions
	}
	if now-e.heartbeatAt >= e.heartbeatPeriod() {
		e.heartbeatAt = now
		actions = append(actions, e.sendHeartbeat(now)...)
	}
	if now-e.probedAt >= probePeriod {
		e.probedAt = now
		actions = append(actions, e.probeSilentPeers(now)...)
	}
	return actions
}
