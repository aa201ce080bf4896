package instance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

// Engine makes all decisions of one entry instance. It has no goroutines, sockets or
// clock, and random choices follow Settings.RandomSeed: the same events at the same
// times give the same actions. It isn't safe for concurrent use.
type Engine struct {
	state     *EngineState
	records   recordController
	members   memberController
	packets   packetController
	requests  requestController
	answers   answerController
	placement placementController
	dispatch  dispatchController
	health    healthController
	silence   silenceController
	report    reportController
	shutdown  shutdownController
}

// New returns an engine without records that knows no other instance.
func New(s Settings, now clock.Millis) *Engine {
	st := newEngineState(s, now)
	e := &Engine{
		state: st, records: recordController{st}, members: memberController{st},
		requests: requestController{st}, answers: answerController{st}, placement: placementController{st},
		dispatch: dispatchController{st}, health: healthController{st}, silence: silenceController{st}, report: reportController{st},
	}
	e.packets = packetController{state: st, requests: e.requests, answers: e.answers}
	e.shutdown = shutdownController{state: st, members: e.members, progress: &shutdownProgress{}}
	return e
}

// Handle processes one event and returns the actions to carry out, in order. The slice
// is valid until the next call.
func (e *Engine) Handle(now clock.Millis, ev Event) []Action {
	e.state.Now = max(now, e.state.Now)
	e.state.actions = e.state.actions[:0]
	e.handleEvent(ev)
	e.runControllers()
	return e.state.actions
}

// handleEvent passes an event to the controller that processes it.
func (e *Engine) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case PacketReceived:
		e.packets.receive(receivedPacket{caller: ev.From, packet: ev.Packet, data: ev.Data})
	case EnvelopeReceived:
		e.receiveEnvelope(ev)
	case Tick:
		e.tick()
	case ObjectsReceived:
		e.records.receive(ev)
	case InstancesListed:
		e.members.listed(ev)
	case PlatformCalled:
		e.state.Members.watch.platformAnswers = ev.Answered
		e.report.platformCalled(ev)
	case RunEnded:
		e.dispatch.runEnded(ev)
	case HandOverReceived:
		e.dispatch.handOverReceived(ev)
	case HandOverCancelled:
		e.dispatch.handOverCancelled(ev)
	case HandOverEnded:
		e.placement.handOverEnded(ev)
	case ProbeEnded:
		e.health.probeEnded(ev)
	case StopRequested:
		e.shutdown.begin()
	}
}

// Objects returns the newest revision of each record, including deleted ones, and the
// highest revision among them. The daemon serves them to other instances.
func (e *Engine) Objects() ([]record.Object, uint64) {
	r := &e.state.Records
	objects := slices.Collect(maps.Values(r.Objects))
	slices.SortFunc(objects, func(x, y record.Object) int { return cmp.Compare(x.Revision, y.Revision) })
	return objects, r.Revision
}

func (e *Engine) receiveEnvelope(ev EnvelopeReceived) {
	m := e.members.receive(ev)
	if m == nil || ev.Packet == nil {
		return
	}
	e.packets.receive(receivedPacket{
		caller: ev.Envelope.Caller, packet: *ev.Packet, data: ev.Envelope.Data, hops: ev.Envelope.Hops, via: m,
	})
}

func (e *Engine) tick() {
	e.members.tick()
	watchController{e.state}.tick()
	for r := e.state.timers.next(e.state.Now); r != nil; r = e.state.timers.next(e.state.Now) {
		e.requests.handleTimer(r)
	}
	e.dispatch.tick()
	e.health.tick()
	e.silence.tick()
	e.shutdown.tick()
	e.report.tick()
	e.state.Flows.expire(e.state.Now)
}

// runControllers runs the controllers that process the lists in EngineState until the
// lists are empty.
func (e *Engine) runControllers() {
	for {
		if e.state.Members.dirty {
			e.members.derive()
		}
		busy := e.placement.placeJobs()
		busy = e.dispatch.fillServices() || busy
		busy = e.answers.deliverResults() || busy
		if !busy {
			break
		}
	}
	if e.state.Members.routerDirty {
		e.members.publishRouter()
	}
	for _, m := range e.state.forwardedTo {
		e.members.checkQuiet(m)
	}
	for _, m := range e.state.unreachable {
		e.members.checkUnreachable(m)
	}
	e.state.forwardedTo, e.state.unreachable = e.state.forwardedTo[:0], e.state.unreachable[:0]
}
