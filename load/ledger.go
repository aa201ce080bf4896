package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/standin"
)

// ErrLedger reports that the ledger of a backend server could not be read.
var ErrLedger = errors.New("cannot read ledger")

// ReadLedgers compares the requests that the backend servers ran with the outcomes
// that the callers got. Each URL is that of a stand-in backend server's control
// address, without a path.
func (t *Tally) ReadLedgers(ctx context.Context, urls []string) error {
	runs := make(map[string]int)
	for _, url := range urls {
		entries, err := readLedger(ctx, url+"/ledger")
		if err != nil {
			return err
		}
		for _, e := range entries {
			t.checkService(e)
			runs[e.ID] += e.Runs
		}
	}
	for id, n := range runs {
		t.checkRuns(id, n)
	}
	return nil
}

// readLedger reads a ledger: JSON objects, one per request and service.
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

// checkService counts a request that reached a backend server of another service.
func (t *Tally) checkService(e standin.LedgerEntry) {
	outcome, found := t.outcomes[e.ID]
	if found && outcome.host != e.Service {
		t.Misdelivered++
		t.addProblem("%s: run by service %q", e.ID, e.Service)
	}
}

// checkRuns counts a request that was started more than once although it must not be
// repeated, or started although the caller was told that it was not run. Requests of
// other callers are ignored.
func (t *Tally) checkRuns(id string, runs int) {
	outcome, found := t.outcomes[id]
	if !found {
		return
	}
	if outcome.once && runs > 1 {
		t.Doubled++
		t.addProblem("%s: must not be repeated, but was started %d times", id, runs)
	}
	if outcome.notRun && runs > 0 {
		t.FalseRefusals++
		t.addProblem("%s: reported as not run, but was started %d times", id, runs)
	}
}
