package fleet

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Settings are what an engine is told at its start.
type Settings struct {
	Self        Member
	RecordBound clock.Millis // within which a change of records has to be in force
}

// Times of members, in ms.
const (
	// Losing a message costs a fetch, so a fetch is not asked for more often than
	// a few beats.
	fetchPause = 500 * clock.Millisecond
	// A member that was replaced leaves its object behind. A watcher asks each one
	// for a sign of life at this pace, and forgets it after the second time.
	signPeriod   = 1 * clock.Minute
	forgetPeriod = 10 * clock.Minute
	// Members told to a newcomer; a message holds some twenty.
	maxIntroduced = 10
)

// Engine decides for one member. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	members  members

	state           RecordState
	configurationAt clock.Millis // when the store last confirmed the configuration
	endpointsAt     clock.Millis // when the store last confirmed the endpoints
	readAt          clock.Millis // when this member last read the store itself
	returnedAt      clock.Millis // when the store answered again; 0 when it never failed

	watching bool
	leaving  bool
	beatAt   clock.Millis // of the latest own beat
	fetchAt  clock.Millis // of the latest fetch
	helper   *Member      // the latest one that was heard, of any data centre
	reports  reports
	signsAt  clock.Millis // when signs of life were last asked for
}

// NewEngine returns an engine that knows no other member.
func NewEngine(s Settings, now clock.Millis) *Engine {
	return &Engine{settings: s, configurationAt: now, endpointsAt: now, readAt: now, signsAt: now}
}

// Watching reports whether this member watches the store.
func (e *Engine) Watching() bool { return e.watching }

// MemberCount returns the number of other members known.
func (e *Engine) MemberCount() int { return len(e.members.list) }

// RecordState returns how far the own records go, with their age.
func (e *Engine) RecordState(now clock.Millis) RecordState {
	s := e.state
	s.ConfigurationAge, s.EndpointsAge = now-e.configurationAt, now-e.endpointsAt
	if e.returnedAt != 0 {
		s.RecoveredAge = max(now-e.returnedAt, 1)
	}
	return s
}

// LastHeard returns the member that was heard last, to fetch records from.
func (e *Engine) LastHeard() (Member, bool) {
	if e.helper == nil {
		return Member{}, false
	}
	return *e.helper, true
}

// Handle takes an event and returns what to do.
func (e *Engine) Handle(now clock.Millis, event Event) []Action {
	switch v := event.(type) {
	case MembersListed:
		return e.listMembers(now, v)
	case MessageReceived:
		return e.receive(now, v)
	case RecordsRead:
		return e.read(now, v)
	case RecordsFetched:
		e.fetched(now, v)
	case EndpointFindingMade:
		return e.tell(EndpointFinding{v.Finding})
	case EndpointTalliesTaken:
		return e.share(v.Tallies)
	case FlowQueryRequested:
		return e.tell(FlowQuery(v))
	case FlowReplyRequested:
		if p := e.members.find(v.To); p != nil {
			return []Action{Send{To: []netip.AddrPort{p.Address}, Message: FlowReply{Flows: v.Flows}}}
		}
	case Stopping:
		return e.stop(now)
	case Ticked:
		return e.tick(now)
	}
	return nil
}

// tell sends a message to all members of the data centre.
func (e *Engine) tell(m Message) []Action {
	if len(e.members.list) == 0 {
		return nil
	}
	return []Action{Send{To: addresses(e.members.list), Message: m}}
}

// known reports whether a member is worth keeping: another one of this data centre.
func (e *Engine) known(m *Member) bool {
	return m.Name != e.settings.Self.Name && m.Centre == e.settings.Self.Centre && m.Check() == nil
}

func (e *Engine) listMembers(now clock.Millis, v MembersListed) []Action {
	var fresh []netip.AddrPort
	for _, m := range v.Members {
		if !e.known(&m) {
			continue
		}
		if p, isNew := e.members.put(m); isNew {
			fresh = append(fresh, p.Address)
		}
	}
	if len(fresh) == 0 {
		return e.watch(now)
	}
	return append([]Action{Send{To: fresh, Message: Hello{}}}, e.watch(now)...)
}

func (e *Engine) receive(now clock.Millis, v MessageReceived) []Action {
	var p *peer
	if v.From.Name != e.settings.Self.Name {
		e.helper = &v.From
	}
	if e.known(&v.From) {
		p, _ = e.members.put(v.From)
		p.heard, p.asked = now, 0
	}
	switch m := v.Message.(type) {
	case Hello:
		return e.greeted(&v.From, m)
	case Heartbeat:
		return e.beaten(now, p, m)
	case RelayedHeartbeat:
		return e.relayed(now, m)
	case HeartbeatMissed:
		if p != nil {
			p.direct = now + directHold
		}
	case EndpointChanges:
		return e.news(now, p, m)
	case ConfigurationChange:
		return e.revised(now, p, m)
	case EndpointTallies:
		return []Action{NotifySteering{Event: steering.TalliesReported{Tallies: m.Tallies}}}
	case EndpointFinding:
		return []Action{NotifySteering{Event: steering.FaultReported{Sender: v.From.Name, EndpointFault: m.EndpointFault}}}
	case FlowQuery:
		return []Action{NotifySteering{Event: steering.FlowsQueried{Sender: v.From.Name, Flows: m.Flows}}}
	case FlowReply:
		return []Action{NotifySteering{Event: steering.FlowsReported{Flows: m.Flows}}}
	}
	return nil
}

func (e *Engine) greeted(from *Member, m Hello) []Action {
	for _, o := range m.Members {
		if e.known(&o) {
			e.members.put(o)
		}
	}
	if !m.WantReply {
		return nil
	}
	answer := Hello{}
	for _, p := range e.members.list {
		if len(answer.Members) == maxIntroduced {
			break
		}
		answer.Members = append(answer.Members, p.Member)
	}
	return []Action{Send{To: []netip.AddrPort{from.Address}, Message: answer}}
}

// hear takes the state of a watcher in.
func (e *Engine) hear(now clock.Millis, p *peer, s RecordState, leaving bool) []Action {
	p.beat, p.state, p.leaving = now, s, leaving
	if s.RecoveredAge != 0 {
		e.returnedAt = max(e.returnedAt, now-s.RecoveredAge)
	}
	if s.ConfigurationRevision == e.state.ConfigurationRevision {
		e.state.ConfirmedRevision = max(e.state.ConfirmedRevision, s.ConfirmedRevision)
		e.configurationAt = max(e.configurationAt, now-s.ConfigurationAge)
	}
	if e.state.EndpointsRevision >= s.ChangeRevision && s.EndpointsRevision >= e.state.EndpointsRevision {
		e.state.EndpointsRevision = s.EndpointsRevision
		e.state.ChangeRevision = max(e.state.ChangeRevision, s.ChangeRevision)
		e.endpointsAt = max(e.endpointsAt, now-s.EndpointsAge)
	}
	actions := append([]Action{NotifySteering{Event: e.Confirmation()}}, e.watch(now)...)
	if s.ConfigurationRevision <= e.state.ConfigurationRevision && s.ChangeRevision <= e.state.EndpointsRevision {
		return actions
	}
	if now-e.fetchAt < fetchPause || e.watching && !e.turnedAway(now) {
		return actions // the fetch under way brings it, or the own watch
	}
	e.fetchAt = now
	return append(actions, FetchRecords{
		Peer: p.Member, Configuration: s.ConfigurationRevision > e.state.ConfigurationRevision, Endpoints: s.ChangeRevision > e.state.EndpointsRevision,
	})
}

// Confirmation tells steering how fresh its records are.
func (e *Engine) Confirmation() steering.RecordsConfirmed {
	return steering.RecordsConfirmed{ConfigurationAt: e.configurationAt, EndpointsAt: e.endpointsAt, StoreReturnedAt: e.returnedAt}
}

func (e *Engine) beaten(now clock.Millis, p *peer, m Heartbeat) []Action {
	if p == nil {
		return nil
	}
	actions := e.hear(now, p, m.State, m.Leaving)
	if m.Relay {
		actions = append(actions, e.relay(p, m.State)...)
	}
	return actions
}

// relayed takes in a watcher's beat that another member passed on.
func (e *Engine) relayed(now clock.Millis, m RelayedHeartbeat) []Action {
	if !e.known(&m.Watcher) {
		return nil
	}
	p, _ := e.members.put(m.Watcher)
	return e.hear(now, p, m.State, false)
}

func (e *Engine) news(now clock.Millis, p *peer, m EndpointChanges) []Action {
	if p == nil {
		return nil
	}
	if e.state.EndpointsRevision < m.Since {
		return e.hear(now, p, m.State, false)
	}
	actions := []Action{NotifySteering{Event: steering.EndpointsChanged{Changes: m.Changes, Revision: m.State.EndpointsRevision}}}
	e.state.EndpointsRevision = max(e.state.EndpointsRevision, m.State.EndpointsRevision)
	e.state.ChangeRevision = max(e.state.ChangeRevision, m.State.ChangeRevision)
	return append(actions, e.hear(now, p, m.State, false)...)
}

func (e *Engine) revised(now clock.Millis, p *peer, m ConfigurationChange) []Action {
	if p == nil {
		return nil
	}
	if e.state.ConfigurationRevision != m.Delta.From {
		return e.hear(now, p, m.State, false)
	}
	e.state.ConfigurationRevision = m.Delta.Revision
	actions := []Action{NotifySteering{Event: steering.ConfigurationRevised{Delta: m.Delta}}}
	return append(actions, e.hear(now, p, m.State, false)...)
}

// read takes what the store said, and tells the others.
func (e *Engine) read(now clock.Millis, v RecordsRead) []Action {
	e.state = v.State
	e.readAt = now
	if v.StoreRecovered {
		e.returnedAt = now
	}
	if v.IsConfiguration {
		e.configurationAt = now
	} else {
		e.endpointsAt = now
	}
	actions := e.watch(now)
	if !e.watching {
		return actions
	}
	if v.Delta != nil {
		return append(actions, e.tell(ConfigurationChange{Delta: *v.Delta, State: e.RecordState(now)})...)
	}
	if !v.FullList {
		actions = append(actions, e.tellChanges(now, v.Since, v.Changes)...)
	}
	return actions
}

func (e *Engine) fetched(now clock.Millis, v RecordsFetched) {
	if v.State.ConfigurationRevision >= e.state.ConfigurationRevision {
		e.state.ConfigurationRevision = v.State.ConfigurationRevision
		e.configurationAt = max(e.configurationAt, now-v.State.ConfigurationAge)
	}
	if v.State.EndpointsRevision >= e.state.EndpointsRevision {
		e.state.EndpointsRevision, e.state.ChangeRevision = v.State.EndpointsRevision, max(v.State.ChangeRevision, e.state.ChangeRevision)
		e.endpointsAt = max(e.endpointsAt, now-v.State.EndpointsAge)
	}
}

func (e *Engine) stop(now clock.Millis) []Action {
	e.leaving = true
	wasWatching := e.watching
	actions := e.watch(now)
	if wasWatching {
		actions = append(actions, e.tell(Heartbeat{State: e.RecordState(now), Leaving: true})...)
	}
	return actions
}

// watch follows the decision on the duty.
func (e *Engine) watch(now clock.Millis) []Action {
	on := e.duty(now)
	if on == e.watching {
		return nil
	}
	e.watching = on
	return []Action{SetWatching{On: on}}
}

func (e *Engine) tick(now clock.Millis) []Action {
	actions := append(e.watch(now), e.askBeats(now)...)
	if !e.watching {
		return actions
	}
	if now-e.beatAt >= e.beatPeriod() {
		e.beatAt = now
		actions = append(actions, e.sendBeat(now)...)
	}
	if now-e.signsAt >= signPeriod {
		e.signsAt = now
		actions = append(actions, e.askSigns(now)...)
	}
	return actions
}
