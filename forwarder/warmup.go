package forwarder

import (
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// warmupBounds returns the bounds of the new flows of cold endpoints, or nil if the settings have none.
func warmupBounds(s *platform.Settings) *steering.WarmupBounds {
	if !s.WarmupLimited {
		return nil
	}
	return &steering.WarmupBounds{Excess: s.WarmupExcess, Slack: s.WarmupSlack, ReportPeriod: s.ReportPeriod}
}

// registerWarmup adds the metrics of the warm-up, which only instances with its bounds have.
func (m *daemonMetrics) registerWarmup(d *Daemon) {
	m.placedCold = m.counter("flows.placed_cold")
	metrics.NewRegisteredFunctionalGauge("endpoints.cold_owned", m.registry, func() int64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return int64(d.engine.OwnedCold(clock.Now()))
	})
}

func (d *Daemon) logCentreWarmup(v steering.CentreWarmup) {
	if v.Cold {
		d.log.info("data centre cold", "centre", v.Centre, "endpoints", v.Endpoints, "owned", v.Owned)
		return
	}
	d.log.info("data centre warm", "centre", v.Centre)
}
