package instance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

// Engine makes every decision of one entry instance. It has no goroutines,
// sockets or clock: the same events at the same times give the same actions.
// It is not safe for concurrent use.
type Engine struct {
	board    *EngineState
	records  recordController
	members  memberController
	packets  packetController
	requests requestController
	answers  answerController
	place    placeController
	dispatch dispatchController
	health   healthController
	silence  silenceController
	report   reportController
	stop     stopController
}

// New returns an engine that holds no records and knows no other instance.
func New(s Settings, now clock.Millis) *Engine {
	b := newBoard(s, now)
	e := &Engine{
		board: b, records: recordController{b}, members: memberController{b},
		requests: requestController{b}, answers: answerController{b}, place: placeController{b},
		dispatch: dispatchController{b}, health: healthController{b}, silence: silenceController{b}, report: reportController{b},
	}
	e.packets = packetController{b: b, requests: e.requests, answers: e.answers}
	e.stop = stopController{b: b, members: e.members, state: &stopState{}}
	return e
}

// Handle takes in one event and returns what is to be done, in order. The
// returned slice is valid until the next call.
func (e *Engine) Handle(now clock.Millis, ev Event) []Action {
	e.board.Now = max(now, e.board.Now)
	e.board.actions = e.board.actions[:0]
	e.take(ev)
	e.settle()
	return e.board.actions
}

// take gives the event to the controller it concerns.
func (e *Engine) take(ev Event) {
	switch ev := ev.(type) {
	case PacketReceived:
		e.packets.receive(arrival{caller: ev.From, packet: ev.Packet, data: ev.Data})
	case EnvelopeReceived:
		e.envelope(ev)
	case Tick:
		e.tick()
	case ObjectsReceived:
		e.records.receive(ev)
	case InstancesListed:
		e.members.listed(ev)
	case PlatformCalled:
		e.board.Members.watch.answered = ev.Answered
		e.report.platform(ev)
	case RunEnded:
		e.dispatch.runEnded(ev)
	case HandOverReceived:
		e.dispatch.peerCalled(ev)
	case HandOverCancelled:
		e.dispatch.peerCancelled(ev)
	case HandOverEnded:
		e.place.handOverEnded(ev)
	case ProbeEnded:
		e.health.probeEnded(ev)
	case StopRequested:
		e.stop.request()
	}
}

// Objects returns the newest records seen, deleted ones included, and the newest
// revision among them: what another instance may fetch.
func (e *Engine) Objects() ([]record.Object, uint64) {
	r := &e.board.Records
	objects := slices.Collect(maps.Values(r.Objects))
	slices.SortFunc(objects, func(x, y record.Object) int { return cmp.Compare(x.Revision, y.Revision) })
	return objects, r.Revision
}

func (e *Engine) envelope(ev EnvelopeReceived) {
	m := e.members.heard(ev)
	if m == nil || ev.Packet == nil {
		return
	}
	e.packets.receive(arrival{
		caller: ev.Envelope.Caller, packet: *ev.Packet, data: ev.Envelope.Data, hops: ev.Envelope.Hops, via: m,
	})
}

func (e *Engine) tick() {
	e.members.tick()
	watchController{e.board}.tick()
	for r := e.board.timers.next(e.board.Now); r != nil; r = e.board.timers.next(e.board.Now) {
		e.requests.timer(r)
	}
	e.dispatch.tick()
	e.health.tick()
	e.silence.tick()
	e.stop.tick()
	e.report.tick()
	e.board.Flows.expire(e.board.Now)
}

// settle runs the controllers that work from the board's lists until those are
// empty.
func (e *Engine) settle() {
	for {
		if e.board.Members.changed {
			e.members.derive()
		}
		busy := e.place.run()
		busy = e.dispatch.run() || busy
		busy = e.answers.run() || busy
		if !busy {
			break
		}
	}
	if e.board.Members.moved {
		e.members.publish()
	}
	for _, m := range e.board.used {
		e.members.used(m)
	}
	for _, m := range e.board.doubted {
		e.members.doubt(m)
	}
	e.board.used, e.board.doubted = e.board.used[:0], e.board.doubted[:0]
}
