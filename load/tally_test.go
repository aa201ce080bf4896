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

// verdict is one case of testdata/verdicts.yaml: how a request to the service
// orders ended, what the ledgers say of it, and how it must be counted.
type verdict struct {
	Name   string   `yaml:"name"`
	Once   bool     `yaml:"once"`
	Ended  string   `yaml:"ended"`  // whole, flipped, cut, longer, other, empty, not-run, unknown or strange
	Ledger []string `yaml:"ledger"` // JSON lines, one server each; ID stands for the request's
	Want   []string `yaml:"want"`   // counters that are 1; sent always is
}

func TestVerdicts(t *testing.T) {
	data, err := os.ReadFile("testdata/verdicts.yaml")
	require.NoError(t, err)
	var verdicts []verdict
	require.NoError(t, yaml.UnmarshalWithOptions(data, &verdicts, yaml.Strict()))
	for _, v := range verdicts {
		t.Run(v.Name, func(t *testing.T) { runVerdict(t, v) })
	}
}

func runVerdict(t *testing.T, v verdict) {
	q := requestFor(Service{Name: "orders", Host: "orders"})
	q.once = v.Once
	tally := newTally()
	body, err := endOf(t, q, v.Ended)
	tally.add(q, caller.Answer{Status: http.StatusOK, Body: body}, err, time.Millisecond)
	var urls []string
	for _, line := range v.Ledger {
		urls = append(urls, serveLedger(t, strings.ReplaceAll(line, "ID", q.id)))
	}
	require.NoError(t, tally.ReadLedgers(context.Background(), urls))

	counted := map[string]int{
		"whole": tally.Whole, "refused": tally.Refused, "unknown": tally.Unknown, "broken": tally.Broken,
		"doubled": tally.Doubled, "misdelivered": tally.Misdelivered, "false": tally.False,
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

func requestFor(s Service) request {
	return newPlan(Settings{Seed: 7, Sizes: Span{100, 100}, Answers: Span{200, 200}, Work: Span{1, 1}}).next(s)
}

// endOf returns the answer or the error by which a request ended.
func endOf(t *testing.T, q request, ended string) ([]byte, error) {
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
	require.Fail(t, "unknown end", ended)
	return nil, nil
}

func serveLedger(t *testing.T, lines string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, lines)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func TestUnreadableLedgers(t *testing.T) {
	tally := newTally()
	require.ErrorIs(t, tally.ReadLedgers(context.Background(), []string{serveLedger(t, "{broken")}), ErrLedger)
	absent := httptest.NewServer(http.NotFoundHandler())
	defer absent.Close()
	require.ErrorIs(t, tally.ReadLedgers(context.Background(), []string{absent.URL}), ErrLedger)
}

func TestLostFlowsAreBroken(t *testing.T) {
	tally := newTally()
	tally.addCounters(caller.Counters{Reopens: 2})
	require.Equal(t, 2, tally.Broken)
	require.False(t, tally.Clean())
}

// A class without answers has no times in the report.
func TestReportLeavesOutWhatWasNotMeasured(t *testing.T) {
	tally := &Tally{Short: []time.Duration{20 * time.Millisecond}}
	require.Contains(t, tally.Values(), "short_p50_ms=20.0\n")
	require.NotContains(t, tally.Values(), "long_")
	tally.Long = []time.Duration{time.Second}
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
