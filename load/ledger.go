package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/standin"
)

// ErrLedger reports a ledger that cannot be read.
var ErrLedger = errors.New("ledger cannot be read")

// ReadLedgers compares what the backend servers ran with what callers were told.
// Each URL is the base of a stand-in backend server's control address.
func (t *Tally) ReadLedgers(ctx context.Context, urls []string) error {
	runs := make(map[string]int)
	for _, url := range urls {
		entries, err := readLedger(ctx, url+"/ledger")
		if err != nil {
			return err
		}
		for _, e := range entries {
			t.compare(e)
			runs[e.ID] += e.Runs
		}
	}
	for id, n := range runs {
		t.judge(id, n)
	}
	return nil
}

func readLedger(ctx context.Context, url string) ([]standin.LedgerEntry, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrLedger, "%s: %v", url, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(ErrLedger, "%s: %v", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrLedger, "%s: status %d", url, response.StatusCode)
	}
	var entries []standin.LedgerEntry
	for d := json.NewDecoder(response.Body); ; {
		var e standin.LedgerEntry
		err := d.Decode(&e)
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, errors.Wrapf(ErrLedger, "%s: %v", url, err)
		}
		entries = append(entries, e)
	}
}

// compare finds work that was asked of another service's backend server.
func (t *Tally) compare(e standin.LedgerEntry) {
	known, ours := t.requests[e.ID]
	if ours && known.host != e.Service {
		t.Misdelivered++
		t.problem("%s: run as service %q", e.ID, e.Service)
	}
}

// judge finds work that was started too often, or although a caller was told
// that it was not run.
func (t *Tally) judge(id string, runs int) {
	known, ours := t.requests[id]
	if !ours {
		return
	}
	if known.once && runs > 1 {
		t.Doubled++
		t.problem("%s: must not be repeated, and was started %d times", id, runs)
	}
	if known.notRun && runs > 0 {
		t.False++
		t.problem("%s: said not to have run, and was started %d times", id, runs)
	}
}
