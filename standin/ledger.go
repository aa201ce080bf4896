package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// maxLedgerEntries bounds the memory of a ledger.
const maxLedgerEntries = 1 << 20

// LedgerEntry counts the runs of the work with one id for one service.
type LedgerEntry struct {
	ID       string `json:"id"`
	Service  string `json:"service"`  // host of the request
	Once     bool   `json:"once"`     // a request had the header X-Once: it must not be repeated
	Runs     int    `json:"runs"`     // runs started
	Finished int    `json:"finished"` // runs completed
}

// ledger counts the runs of each piece of work, so that package load can find
// requests that ran twice.
type ledger struct {
	mu      sync.Mutex
	entries map[entryKey]*LedgerEntry
}

type entryKey struct{ id, service string }

// start counts the start of a run. It returns nil when the ledger is full.
func (l *ledger) start(id, service string, once bool) *LedgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := entryKey{id, service}
	e := l.entries[key]
	if e == nil {
		if len(l.entries) >= maxLedgerEntries {
			return nil
		}
		e = &LedgerEntry{ID: id, Service: service}
		l.entries[key] = e
	}
	e.Runs++
	e.Once = e.Once || once
	return e
}

// finish counts the completion of a run.
func (l *ledger) finish(e *LedgerEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Finished++
}

// list returns the entries, ordered by id and service.
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

// ServeHTTP responds with the entries, one JSON object per line.
func (l *ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	e := json.NewEncoder(w)
	for _, entry := range l.list() {
		if e.Encode(entry) != nil {
			return
		}
	}
}
