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
