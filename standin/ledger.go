package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// maxEntries is the largest number of entries in a ledger.
const maxEntries = 1 << 20

// LedgerEntry is what a ledger holds about the work of one id for one service.
type LedgerEntry struct {
	ID       string `json:"id"`
	Service  string `json:"service"`  // the Host asked for
	Once     bool   `json:"once"`     // a request said that it must not be repeated
	Runs     int    `json:"runs"`     // how often it was started
	Finished int    `json:"finished"` // how often it ran to its end
}

// ledger counts the runs of work.
type ledger struct {
	mu      sync.Mutex
	entries map[entryKey]*LedgerEntry
}

type entryKey struct{ id, service string }

// start counts a run. It returns nil when the ledger is full.
func (l *ledger) start(id, service string, once bool) *LedgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := entryKey{id, service}
	e := l.entries[key]
	if e == nil {
		if len(l.entries) >= maxEntries {
			return nil
		}
		e = &LedgerEntry{ID: id, Service: service}
		l.entries[key] = e
	}
	e.Runs++
	e.Once = e.Once || once
	return e
}

// finish counts the end of a run.
func (l *ledger) finish(e *LedgerEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Finished++
}

// list returns the entries by id and service.
func (l *ledger) list() []LedgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]LedgerEntry, 0, len(l.entries))
	for _, e := range l.entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b LedgerEntry) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// ServeHTTP answers with the entries, one JSON object a line.
func (l *ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	e := json.NewEncoder(w)
	for _, entry := range l.list() {
		if e.Encode(entry) != nil {
			return
		}
	}
}
