package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/standin"
)

// outcomeCase is a case of testdata/outcomes.yaml: how a request to the service orders
// ended, the ledger of each backend server, and which counters must be 1.
type outcomeCase struct {
	Name   string   `yaml:"name"`
	Once   bool     `yaml:"once"`
	Ended  string   `yaml:"ended"`  // whole, flipped, cut, longer, other, empty, not-run, unknown or strange
	Ledger []string `yaml:"ledger"` // one per backend server, a JSON line; ID stands for the id of the request
	Want   []string `yaml:"want"`   // counters that must be 1, besides sent
}

func TestOutcomesAreCounted(t *testing.T) {
	data, err := os.ReadFile("testdata/outcomes.yaml")
	require.NoError(t, err)
	var cases []outcomeCase
	require.NoError(t, yaml.UnmarshalWithOptions(data, &cases, yaml.Strict()))
	for _, v := range cases {
		t.Run(v.Name, func(t *testing.T) { runOutcomeCase(t, v) })
	}
}

func runOutcomeCase(t *testing.T, v outcomeCase) {
	q := newRequest(Service{Name: "orders", Host: "orders"})
	q.once = v.Once
	tally := newTally()
	body, err := simulateEnd(t, q, v.Ended)
	tally.add(q, caller.Answer{Status: http.StatusOK, Body: body}, err, time.Millisecond)
	var urls []string
	for _, line := range v.Ledger {
		urls = append(urls, serveLedger(t, strings.ReplaceAll(line, "ID", q.id)))
	}
	require.NoError(t, tally.ReadLedgers(context.Background(), urls))

	counted := map[string]int{
		"whole": tally.Whole, "refused": tally.Refused, "unknown": tally.Unknown, "broken": tally.Broken,
		"doubled": tally.Doubled, "misdelivered": tally.Misdelivered, "false": tally.FalseRefusals,
	}
	var got []string
	for _, name := range []string{"whole", "refused", "unknown", "broken", "doubled", "misdelivered", "false"} {
		if counted[name] > 0 {
			got = append(got, name)
		}
	}
	require.Equal(t, v.Want, got)
	require.Equal(t, 1, tally.Sent)
	harmless := map[string]bool{"whole": true, "refused": true, "unknown": true}
	clean := true
	for _, name := range got {
		clean = clean && harmless[name]
	}
	require.Equal(t, clean, tally.Clean())
}

func newRequest(s Service) request {
	return newPlan(Settings{Seed: 7, RequestSizes: Range{100, 100}, AnswerSizes: Range{200, 200}, ShortWork: Range{1, 1}}).next(s)
}

// simulateEnd returns the answer or the error of a request that ended in a given way.
func simulateEnd(t *testing.T, q request, ended string) ([]byte, error) {
	right := standin.BuildAnswer(q.work, q.service.Host, q.body)
	switch ended {
	case "whole":
		return right, nil
	case "flipped":
		right[len(right)-1] ^= 1
		return right, nil
	case "cut":
		return right[:len(right)-1], nil
	case "longer":
		return append(right, 0), nil
	case "other":
		return standin.BuildAnswer(q.work, "gallery", q.body), nil
	case "empty":
		return nil, nil
	case "not-run":
		return nil, errors.WithStack(&caller.NotRunError{Reason: packet.ReasonBusy})
	case "unknown":
		return nil, errors.WithStack(&caller.OutcomeUnknownError{Reason: packet.ReasonDeadline})
	case "strange":
		return nil, errors.New("strange error")
	}
	require.Fail(t, "unknown way to end", ended)
	return nil, nil
}

func serveLedger(t *testing.T, lines string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, lines)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func TestUnreadableLedgerIsError(t *testing.T) {
	tally := newTally()
	require.ErrorIs(t, tally.ReadLedgers(context.Background(), []string{serveLedger(t, "{broken")}), ErrLedger)
	absent := httptest.NewServer(http.NotFoundHandler())
	defer absent.Close()
	require.ErrorIs(t, tally.ReadLedgers(context.Background(), []string{absent.URL}), ErrLedger)
}

// TestReopenedFlowsCountAsBroken checks that a flow that was lost and opened again is
// counted even when all its requests were answered.
func TestReopenedFlowsCountAsBroken(t *testing.T) {
	tally := newTally()
	tally.addCounters(caller.Counters{Reopens: 2})
	require.Equal(t, 2, tally.Broken)
	require.False(t, tally.Clean())
}

// TestReportOmitsClassWithoutAnswers checks that the report has no latencies of a class
// without correct answers.
func TestReportOmitsClassWithoutAnswers(t *testing.T) {
	tally := &Tally{ShortLatencies: []time.Duration{20 * time.Millisecond}}
	require.Contains(t, tally.Values(), "short_p50_ms=20.0\n")
	require.NotContains(t, tally.Values(), "long_")
	tally.LongLatencies = []time.Duration{time.Second}
	require.Contains(t, tally.Values(), "long_p99_ms=1000.0\n")
}

func TestQuantiles(t *testing.T) {
	var times []time.Duration
	for i := range 100 {
		times = append(times, time.Duration(99-i))
	}
	require.EqualValues(t, 50, Quantile(times, 0.5))
	require.EqualValues(t, 99, Quantile(times, 0.99))
	require.EqualValues(t, 99, Quantile(times, 1))
	require.Zero(t, Quantile(nil, 0.5))
}
