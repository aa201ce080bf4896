package fleet

import (
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Report is the state of a data centre that its watcher writes to the store for operators.
type Report struct {
	Centre      string               `json:"centre"`
	Instance    string               `json:"instance"` // the watcher that wrote the report
	Version     int64                `json:"version"`  // of the configuration in use
	Revision    uint64               `json:"revision"` // of that configuration in the store
	Members     int                  `json:"members"`  // known instances of the data centre, including the watcher
	Endpoints   int                  `json:"endpoints"`
	Conditions  []steering.Condition `json:"conditions,omitempty"`
	Evacuations []ReportedEvacuation `json:"evacuations,omitempty"` // orders in force
	WrittenAt   clock.Millis         `json:"written"`               // Unix time
}

// Each report costs a call to the store, so they are limited.
const (
	minReportInterval     = 10 * clock.Second // between reports that differ
	reportDelay           = 5 * clock.Second  // from the start of watching; many members watch for a moment only
	reportRefreshInterval = 5 * clock.Minute  // between equal reports; a newer time shows readers that the watcher is alive
)

// reportPacer limits how often a watcher writes reports.
type reportPacer struct {
	last   Report
	lastAt clock.Millis
}

// takeIfDue reports whether r should be written now, and if so records it as written.
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

// isUnchanged reports whether r equals the last report apart from its writer, its
// revision and its time.
func (s *reportPacer) isUnchanged(r *Report) bool {
	return r.Version == s.last.Version && r.Members == s.last.Members && r.Endpoints == s.last.Endpoints &&
		slices.Equal(r.Conditions, s.last.Conditions) && slices.Equal(r.Evacuations, s.last.Evacuations)
}

// Report returns the report to write now, or nil if none is due or this member isn't the
// watcher.
func (e *Engine) Report(now clock.Millis, version int64, endpoints int, conditions func(clock.Millis) []steering.Condition) *Report {
	if !e.watching || now-e.watchingSince < reportDelay || e.reports.lastAt != 0 && now-e.reports.lastAt < minReportInterval {
		return nil
	}
	r := Report{
		Centre: e.settings.Self.Centre, Instance: e.settings.Self.Name, Version: version, Revision: e.state.ConfigurationRevision,
		Members: len(e.peers.list) + 1, Endpoints: endpoints, Conditions: conditions(now), WrittenAt: now,
		Evacuations: reportedEvacuations(e.evacuations.orders),
	}
	if !e.reports.takeIfDue(now, r) {
		return nil
	}
	return &r
}
