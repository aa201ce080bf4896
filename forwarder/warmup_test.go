package forwarder

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// An instance that is alone for 8 s after it listed the members owns the endpoints of its data centre,
// counts what it sends to cold ones, and logs that the data centre is cold.
func TestColdEndpointsAreOwnedAndCounted(t *testing.T) {
	var text bytes.Buffer
	s := platform.Settings{Instance: "self", Centre: "here", WarmupLimited: true, WarmupExcess: 1.5, WarmupSlack: 5, ReportPeriod: 1200}
	d := &Daemon{log: newEventLog(&text), watchGate: daemon.NewGate(true)}
	d.engine = steering.NewEngine(steering.Settings{Centre: s.Centre, Instance: s.Instance, Warmup: warmupBounds(&s)})
	start := clock.Now() - 8*clock.Second
	d.fleet = fleet.NewEngine(fleet.Settings{Self: fleet.Member{Name: s.Instance, Centre: s.Centre}, RecordBound: 3 * clock.Second, NotifyMembers: true}, start)
	d.metrics = newDaemonMetrics(d)
	d.metrics.registerWarmup(d)
	d.applyFleet(start, fleet.MembersListed{})
	d.engine.Handle(start, steering.ConfigurationRead{Configuration: &steering.Configuration{
		Version: 1, Revision: 1, Routes: map[steering.AddrPort]steering.Route{}, Services: map[string]steering.Service{"desk": {Warmup: 60 * clock.Second}},
	}})
	d.engine.Handle(start, steering.EndpointsListed{Revision: 2, Endpoints: []steering.Endpoint{
		{ID: "i-1", Number: 1, Revision: 1, Service: "desk", Centre: "here", Slots: 1, Warmup: 60 * clock.Second},
	}})
	require.Zero(t, d.engine.OwnedCold(clock.Now()))
	d.handleFleet(fleet.Ticked{})
	d.handle(steering.Ticked{})
	d.metrics.countDecision(&steering.Decision{Verdict: steering.Forward, Reason: steering.ReasonPlaced, Cold: true})
	d.metrics.countDecision(&steering.Decision{Verdict: steering.Reset, Reason: steering.ReasonWarmingUp})
	var lines bytes.Buffer
	require.NoError(t, d.metrics.write(&lines))
	for _, want := range []string{"endpoints.cold_owned=1\n", "flows.placed_cold=1\n", "packets.reset.warming_up=1\n"} {
		require.Contains(t, lines.String(), want)
	}
	d.log.flush()
	require.Contains(t, text.String(), `"msg":"data centre cold","centre":"here","endpoints":1,"owned":1`)
	require.Nil(t, warmupBounds(&platform.Settings{}))
}
