package fleet

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Report is what the watcher of a data centre tells operators.
type Report struct {
	Centre     string               `json:"centre"`
	Instance   string               `json:"instance"` // that wrote it
	Version    int64                `json:"version"`  // of the configuration in force
	Revision   uint64               `json:"revision"` // of that in the store
	Members    int                  `json:"members"`  // instances of the data centre that are known
	Endpoints  int                  `json:"endpoints"`
	Conditions []steering.Condition `json:"conditions,omitempty"`
	WrittenAt  clock.Millis         `json:"written"` // Unix time
}

// Pauses between reports, in ms. Each costs a call to the store.
const (
	minReportInterval     = 10 * clock.Second // between two that differ
	reportRefreshInterval = 5 * clock.Minute  // between two that don't, so that readers see it is renewed
)

// reportPacer paces the reportPacer of a watcher.
type reportPacer struct {
	last   Report
	lastAt clock.Millis
}

// takeIfDue reports whether a report should be written now, and takes it as written.
func (s *reportPacer) takeIfDue(now clock.Millis, r Report) bool {
	interval := minReportInterval
	if s.isUnchanged(&r) {
		interval = reportRefreshInterval
	}
	if s.lastAt != 0 && now-s.lastAt < interval {
		return false
	}
	s.last, s.lastAt = r, now
	return true
}

// isUnchanged reports whether r says what the last report said.
func (s *reportPacer) isUnchanged(r *Report) bool {
	return r.Version == s.last.Version && r.Members == s.last.Members && r.Endpoints == s.last.Endpoints &&
		slices.Equal(r.Conditions, s.last.Conditions)
}

// Report returns the report to write now, or nil when none is due or it isn't
// this member's duty.
func (e *Engine) Report(now clock.Millis, version int64, endpoints int, conditions func(clock.Millis) []steering.Condition) *Report {
	if !e.watching || e.reports.lastAt != 0 && now-e.reports.lastAt < minReportInterval {
		return nil
	}
	r := Report{
		Centre: e.settings.Self.Centre, Instance: e.settings.Self.Name, Version: version, Revision: e.state.ConfigurationRevision,
		Members: len(e.peers.list) + 1, Endpoints: endpoints, Conditions: conditions(now), WrittenAt: now,
	}
	if !e.reports.takeIfDue(now, r) {
		return nil
	}
	return &r
}
