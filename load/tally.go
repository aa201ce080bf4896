package load

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Tally counts the outcomes of requests. The counters are printed under the same
// names; see report.go.
type Tally struct {
	Sent           int // all requests that have ended
	Whole          int // answered, and every byte of the answer is correct
	Refused        int // the caller was told that the request was not run
	Unknown        int // the caller was told that the outcome is unknown
	Broken         int // wrong answer, other error, or flow lost
	Doubled        int // started more than once although it must not be repeated
	Misdelivered   int // run or answered by another service
	FalseRefusals  int // started although the caller was told that it was not run
	Elapsed        clock.Millis
	ShortLatencies []time.Duration // of short requests with a correct answer
	LongLatencies  []time.Duration // of long requests with a correct answer
	Reasons        map[string]int  // number of refusals and unknown outcomes by reason
	Problems       []string        // descriptions of the first maxProblems wrong outcomes
	Counters       caller.Counters

	mu       sync.Mutex
	outcomes map[string]requestOutcome
}

// requestOutcome is what is kept of a request to compare it with the ledgers.
type requestOutcome struct {
	host   string // of the service that the request was sent to
	once   bool   // it must not be run more than once
	notRun bool   // the caller was told that it was not run
}

// maxProblems limits how many problems a report lists.
const maxProblems = 20

func newTally() *Tally {
	return &Tally{Reasons: make(map[string]int), outcomes: make(map[string]requestOutcome)}
}

// add checks the answer or error of a request and counts its outcome.
func (t *Tally) add(q request, a caller.Answer, err error, latency time.Duration) {
	correct := err == nil && standin.CheckAnswer(q.work, q.service.Host, q.body, a.Body)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Sent++
	t.outcomes[q.id] = requestOutcome{host: q.service.Host, once: q.once, notRun: errors.Is(err, caller.ErrNotRun)}
	switch {
	case correct:
		t.Whole++
		t.addLatency(q, latency)
	case err == nil:
		t.addWrongAnswer(q, a)
	case errors.Is(err, caller.ErrNotRun):
		t.Refused++
		t.addReason("refused", err)
	case errors.Is(err, caller.ErrOutcomeUnknown):
		t.Unknown++
		t.addReason("unknown", err)
	default:
		t.Broken++
		t.addProblem("%s: %v", q.id, err)
	}
}

func (t *Tally) addLatency(q request, latency time.Duration) {
	if q.long {
		t.LongLatencies = append(t.LongLatencies, latency)
	} else {
		t.ShortLatencies = append(t.ShortLatencies, latency)
	}
}

// addWrongAnswer counts a wrong answer: as misdelivered when another service gave it,
// else as broken.
func (t *Tally) addWrongAnswer(q request, a caller.Answer) {
	if expected := []byte("service=" + q.service.Host + " "); bytes.HasPrefix(a.Body, []byte("service=")) && !bytes.HasPrefix(a.Body, expected) {
		t.Misdelivered++
	} else {
		t.Broken++
	}
	t.addProblem("%s: wrong answer with status %d and %d bytes: %.80q", q.id, a.Status, len(a.Body), a.Body)
}

func (t *Tally) addReason(outcome string, err error) {
	reason := packet.ReasonNone
	var notRun *caller.NotRunError
	var unknown *caller.OutcomeUnknownError
	switch {
	case errors.As(err, &notRun):
		reason = notRun.Reason
	case errors.As(err, &unknown):
		reason = unknown.Reason
	}
	t.Reasons[fmt.Sprintf("%s.%s", outcome, reason)]++
}

func (t *Tally) addProblem(format string, args ...any) {
	if len(t.Problems) < maxProblems {
		t.Problems = append(t.Problems, fmt.Sprintf(format, args...))
	}
}

// addCounters adds the counters of a connection. A flow that had to be opened again,
// because its token was refused, counts as broken although its requests moved to
// the new flow.
func (t *Tally) addCounters(c caller.Counters) {
	if c.Reopens > 0 {
		t.Broken += int(c.Reopens)
		t.addProblem("%d flows were lost and opened again", c.Reopens)
	}
	t.Counters.Retries += c.Retries
	t.Counters.Exhausted += c.Exhausted
	t.Counters.Repeats += c.Repeats
	t.Counters.Reopens += c.Reopens
	t.Counters.Owners += c.Owners
	t.Counters.Contested += c.Contested
}

// Clean reports whether no request was broken, doubled, misdelivered or falsely
// refused.
func (t *Tally) Clean() bool {
	return t.Broken == 0 && t.Doubled == 0 && t.Misdelivered == 0 && t.FalseRefusals == 0
}

// Quantile returns the latency at a quantile from 0 to 1, or 0 when there are no
// latencies. It sorts its argument.
func Quantile(latencies []time.Duration, share float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(int(share*float64(len(latencies))), len(latencies)-1)]
}
