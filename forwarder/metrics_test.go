package forwarder

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/steering"
)

// The metrics must contain decisions by verdict and reason, latencies by service and route,
// and the revisions and ages of the records.
func TestMetrics(t *testing.T) {
	d := &Daemon{log: newEventLog(&bytes.Buffer{}), watchGate: daemon.NewGate(true), engine: steering.NewEngine(steering.Settings{})}
	d.fleet = fleet.NewEngine(fleet.Settings{RecordBound: 3 * clock.Second}, clock.Now()-700)
	d.metrics = newDaemonMetrics(d)
	d.fleet.Handle(clock.Now()-500, fleet.RecordsRead{IsConfiguration: true, State: fleet.RecordState{ConfigurationRevision: 7, EndpointsRevision: 9}})
	d.metrics.countDecision(&steering.Decision{Verdict: steering.Forward, Reason: steering.ReasonPlaced, OtherCentre: true})
	d.metrics.countDecision(&steering.Decision{Verdict: steering.Reset, Reason: steering.ReasonNoEndpoint})
	d.metrics.recordLatency(steering.Answered{Service: "desk", Route: "scans", Latency: 20})
	for i := range maxRouteHistograms + 5 {
		d.metrics.recordLatency(steering.Answered{Service: "gallery", Route: fmt.Sprintf("route-%d", i), Latency: 10})
	}
	var text bytes.Buffer
	require.NoError(t, d.metrics.write(&text))
	lines := strings.Split(text.String(), "\n")
	for _, want := range []string{
		"packets.forward.placed=1", "packets.reset.no_endpoint=1", "flows.placed_away=1", "answers.desk.scans.max=20",
		"answers.gallery.others.count=6", "records.configuration_revision=7", "records.endpoints_revision=9", "records.watching=1",
		"admission.refused_wrongly=0", "admission.admitted_wrongly=0", "packets.reset.refused=0",
	} {
		require.Contains(t, lines, want)
	}
	for _, name := range []string{"records.configuration_age_ms=", "records.endpoints_age_ms="} {
		at := strings.Index(text.String(), name)
		require.NotEqual(t, -1, at, name)
		var age int
		_, err := fmt.Sscanf(text.String()[at+len(name):], "%d", &age)
		require.NoError(t, err)
		require.GreaterOrEqual(t, age, 500, name)
	}
}

// Resets must be counted by cause, and the lines about them must have the evidence.
func TestResetLinesAndCounters(t *testing.T) {
	var text bytes.Buffer
	d := &Daemon{log: newEventLog(&text), watchGate: daemon.NewGate(true), engine: steering.NewEngine(steering.Settings{})}
	d.fleet = fleet.NewEngine(fleet.Settings{RecordBound: 3 * clock.Second}, clock.Now())
	d.metrics = newDaemonMetrics(d)
	d.metrics.flowsGivenUpBy["refused"].Inc(2)
	d.perform([]steering.Action{
		steering.EndpointLost{Endpoint: "i-1", Service: "desk", Cause: "refused", ResetFlows: 2, Evidence: steering.Evidence{
			Probe: "answered", ProbeAge: 40, Voters: []string{"east", "west"}, ReportAge: -1, UnansweredFlows: 1, AnswerAge: 700, EntryAge: 9000, RecordsAge: 300,
		}},
		steering.EndpointEjected{Endpoint: "i-2", Service: "desk", Cause: "reported by another instance", EjectionTime: 3000, Evidence: steering.Evidence{
			ProbeAge: -1, Reporter: "east", AnswerAge: -1, EntryAge: 9000, RecordsAge: 300, Own: 1, Others: 7,
		}},
		steering.ResetsContradicted{Endpoint: "i-2", Service: "desk", Cause: "refused", ResetFlows: 4, Delay: 4100, By: "answer", State: "ready"},
	})
	d.log.flush()
	for _, want := range []string{
		`"msg":"endpoint lost","endpoint":"i-1","service":"desk","why":"refused","reset":2,"probe":"answered","probe_age_ms":40,"votes":2,"voters":"east west","reporter":"","report_age_ms":-1,"missed":1,"answer_age_ms":700,"entry_age_ms":9000,"age_ms":300,"waited_ms":0}`,
		`"msg":"endpoint failing","endpoint":"i-2","service":"desk","why":"reported by another instance","ban_ms":3000,"own":1,"others":7,"probe":"","probe_age_ms":-1,"votes":0,"voters":"","reporter":"east","report_age_ms":0,`,
		`"msg":"resets contradicted","endpoint":"i-2","service":"desk","why":"refused","reset":4,"by":"answer","after_ms":4100,"state":"ready"}`,
	} {
		require.Contains(t, text.String(), want)
	}
	var counters bytes.Buffer
	require.NoError(t, d.metrics.write(&counters))
	lines := strings.Split(counters.String(), "\n")
	for _, want := range []string{"flows.given_up.refused=2", "flows.contradicted.refused=4", "flows.contradicted.endpoint_gone=0"} {
		require.Contains(t, lines, want)
	}
}

// Every call to the store must be counted, by subject and reason. The store's own counts tell
// how many there were.
func TestStoreCallsAreCounted(t *testing.T) {
	s, d := newReadyDeployment(t, 92)
	s.waitReport([]string{"here"})
	require.NoError(t, d.fetchFromStore(t.Context(), fleet.FetchRecords{Configuration: true, Endpoints: true}))
	s.eventually(func() bool { c := s.store.Counts(); return c["WATCH config"] > 1 && c["WATCH servers"] > 1 })
	s.kill([]string{"f1"})
	made := int64(0)
	for _, n := range s.store.Counts() {
		made += n
	}
	counted := int64(0)
	for _, n := range d.metrics.storeCalls.counts {
		counted += n
	}
	require.Equal(t, made, counted)
	require.Equal(t, made, d.metrics.storeCalls.total.Count())
	for _, name := range []string{
		"configuration.start", "configuration.missed", "configuration.watch", "endpoints.start", "endpoints.missed", "endpoints.watch",
		"members.members", "members.register", "reports.report",
	} {
		require.Positive(t, d.metrics.storeCalls.counts[name], name)
	}
	d.log.flush()
	require.Contains(t, s.daemons["f1"].log.String(), `"msg":"store calls","configuration.missed":1,`)
	d.metrics.storeCalls.attributes() // with the watches that ended after the line
	require.Nil(t, d.metrics.storeCalls.attributes(), "nothing is new")
}
