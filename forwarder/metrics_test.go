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

// Metrics are lines that tell decisions by reason, answers by service and route, and how
// far and how old the records are.
func TestMetrics(t *testing.T) {
	d := &Daemon{journal: newJournal(&bytes.Buffer{}), watching: daemon.NewGate(true), engine: steering.NewEngine(steering.Settings{})}
	d.fleet = fleet.NewEngine(fleet.Settings{RecordBound: 3 * clock.Second}, clock.Now()-700)
	d.counts = newCounts(d)
	d.fleet.Handle(clock.Now()-500, fleet.RecordsRead{IsConfiguration: true, State: fleet.RecordState{ConfigurationRevision: 7, EndpointsRevision: 9}})
	d.counts.decided(&steering.Decision{Verdict: steering.Forward, Reason: steering.ReasonPlaced, OtherCentre: true})
	d.counts.decided(&steering.Decision{Verdict: steering.Reset, Reason: steering.ReasonNoEndpoint})
	d.counts.answered(steering.Answered{Service: "desk", Route: "scans", Latency: 20})
	for i := range maxRoutes + 5 {
		d.counts.answered(steering.Answered{Service: "gallery", Route: fmt.Sprintf("route-%d", i), Latency: 10})
	}
	var text bytes.Buffer
	require.NoError(t, d.counts.write(&text))
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
