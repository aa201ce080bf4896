package steering

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
)

// evidenceEngine returns an engine with endpoints i-a1 and i-a2, confirmed at startTime, and a
// flow at i-a1.
func evidenceEngine(t *testing.T) *Engine {
	e := NewEngine(Settings{Centre: "here", StaleAfter: 1650, Seed: 1})
	e.Handle(startTime, configurationEvent(t, e, &configurationStep{Version: 1, Revision: 1, Routes: map[string]map[string]int{"desk": {"desk": 1}}, Idempotent: []string{"desk"}}))
	e.Handle(startTime, listEvent(t, step{List: []string{"a1 desk here", "a2 desk here"}, Revision: 2}))
	e.Handle(startTime, RecordsConfirmed{ConfigurationAt: startTime, EndpointsAt: startTime})
	steerAll(t, e, startTime+10, "c1 ack token=a1")
	return e
}

// steerSmallAnswers makes the flow at i-a1 get small answers, on a route with normal ones.
func steerSmallAnswers(t *testing.T, e *Engine, now clock.Millis) {
	for _, answers := range []string{"c9 a2 20 900", "c1 a1 3 100"} {
		(&step{Answers: answers}).steerAnswers(t, e, answers, now)
	}
}

func steerAll(t *testing.T, e *Engine, now clock.Millis, packets ...string) {
	for _, text := range packets {
		p := parsePacket(t, text)
		e.Steer(now, &p)
	}
}

// confirmUntil confirms the records each second until a time.
func confirmUntil(e *Engine, until clock.Millis) {
	for at := e.directory.confirmedAt; at < until; {
		at = min(at+clock.Second, until)
		e.Handle(at, RecordsConfirmed{ConfigurationAt: at, EndpointsAt: at})
	}
}

func TestEvidenceOfLostEndpoint(t *testing.T) {
	e := evidenceEngine(t)
	steerAll(t, e, startTime+300, "c1 ack token=a1 ack=60", "c2 ack token=a2", "c2 ack token=a2 ack=60")
	e.Handle(startTime+350, FaultReported{Sender: "north", EndpointFault: EndpointFault{Endpoint: "i-a1", Incarnation: 1, Refused: true}})
	e.Handle(startTime+400, ProbeEnded{Endpoint: "i-a1", Number: 1, Incarnation: 1, Result: ProbeTimedOut})
	e.Handle(startTime+700, FaultReported{Sender: "east", EndpointFault: EndpointFault{Endpoint: "i-a1", Incarnation: 1}})
	actions := e.Handle(startTime+1010, FaultReported{Sender: "west", EndpointFault: EndpointFault{Endpoint: "i-a1", Incarnation: 1}})
	require.Contains(t, actions, EndpointLost{Endpoint: "i-a1", Service: "desk", Cause: causeSilent, Evidence: Evidence{
		Probe: "hung", ProbeAge: 610, Voters: []string{"east", "west"}, Reporter: "north", ReportAge: 660, AnswerAge: 710, EntryAge: 1010, RecordsAge: 1010,
	}})
}

func TestEvidenceOfFailingEndpoint(t *testing.T) {
	e := evidenceEngine(t)
	steerAll(t, e, startTime+10, "c2 ack token=a1")
	steerAll(t, e, startTime+5000, "c1 data token=a1 length=10")
	steerAll(t, e, startTime+5900, "c1 abort token=a1 sequence=110")
	token := e.directory.byID["i-a1"].token
	actions := e.Handle(startTime+6000, TalliesReported{Tallies: []Tally{{Token: token, Overdue: 2}}})
	require.Contains(t, actions, EndpointEjected{Endpoint: "i-a1", Service: "desk", Cause: causeOverdue, EjectionTime: minEjectionTime, Evidence: Evidence{
		ProbeAge: -1, ReportAge: -1, AnswerAge: -1, EntryAge: 6000, RecordsAge: 6000, Own: 1, Others: 2,
	}})
}

func TestEvidenceNamesReporter(t *testing.T) {
	e := evidenceEngine(t)
	steerSmallAnswers(t, e, startTime+4900)
	actions := e.Handle(startTime+5000, FaultReported{Sender: "east", EndpointFault: EndpointFault{Endpoint: "i-a1", Incarnation: 1, Failing: true}})
	require.Contains(t, actions, EndpointEjected{Endpoint: "i-a1", Service: "desk", Cause: causeReported, EjectionTime: minEjectionTime, Evidence: Evidence{
		ProbeAge: -1, Reporter: "east", ReportAge: 0, AnswerAge: 100, EntryAge: 5000, RecordsAge: 5000,
	}})
}

// Ejections end no flow, so nothing can contradict them, whatever is answered later.
func TestEjectionsResetNoFlow(t *testing.T) {
	e := evidenceEngine(t)
	token := e.directory.byID["i-a1"].token
	failing := EndpointFault{Endpoint: "i-a1", Incarnation: 1, Failing: true}
	steerSmallAnswers(t, e, startTime+4900)
	actions := e.Handle(startTime+5000, FaultReported{Sender: "east", EndpointFault: failing})
	actions = append(actions, e.Handle(startTime+8200, TalliesReported{Tallies: []Tally{{Token: token, Normal: 5}}})...)
	failing.Probation = true
	second := e.Handle(startTime+8300, FaultReported{Sender: "east", EndpointFault: failing})
	require.Contains(t, second, EndpointEjected{
		Endpoint: "i-a1", Service: "desk", Cause: causeReported, EjectionTime: 2 * minEjectionTime,
		Evidence: Evidence{ProbeAge: -1, Reporter: "east", AnswerAge: 3400, EntryAge: 8300, RecordsAge: 8300},
	})
	actions = append(actions, second...)
	steerAll(t, e, startTime+8600, "c3 data token=a1 length=10")
	steerAll(t, e, startTime+8620, "c3 ack token=a1 sequence=110 ack=900")
	actions = append(actions, e.Handle(startTime+8700, TalliesReported{Tallies: []Tally{{Token: token, Normal: 6}}})...)
	confirmUntil(e, startTime+10700)
	actions = append(actions, e.Handle(startTime+10700, Ticked{})...)
	for _, a := range actions {
		switch a.(type) {
		case ResetFlow, ResetsContradicted:
			require.Fail(t, "an ejection reset a flow", "%+v", a)
		}
	}
}
