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
	reportPause  = 10 * clock.Second // between two that differ
	reportPeriod = 5 * clock.Minute  // between two that don't, so that readers see it is renewed
)

// reports paces the reports of a watcher.
type reports struct {
	last Report
	at   clock.Millis
}

// due reports whether a report should be written now, and takes it as written.
func (s *reports) due(now clock.Millis, r Report) bool {
	pause := reportPause
	if s.same(&r) {
		pause = reportPeriod
	}
	if s.at != 0 && now-s.at < pause {
		return false
	}
	s.last, s.at = r, now
	return true
}

// same reports whether r says what the last report said.
func (s *reports) same(r *Report) bool {
	return r.Version == s.last.Version && r.Members == s.last.Members && r.Endpoints == s.last.Endpoints &&
		slices.Equal(r.Conditions, s.last.Conditions)
}

// Report returns the report to write now, or nil when none is due or it isn't
// this member's duty.
func (e *Engine) Report(now clock.Millis, version int64, endpoints int, conditions func(clock.Millis) []steering.Condition) *Report {
	if !e.watching || e.reports.at != 0 && now-e.reports.at < reportPause {
		return nil
	}
	r := Report{
		Centre: e.settings.Self.Centre, Instance: e.settings.Self.Name, Version: version, Revision: e.state.ConfigurationRevision,
		Members: len(e.members.list) + 1, Endpoints: endpoints, Conditions: conditions(now), WrittenAt: now,
	}
	if !e.reports.due(now, r) {
		return nil
	}
	return &r
}
