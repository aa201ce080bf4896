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

// Tally counts the ends of requests.
type Tally struct {
	Sent         int // requests
	Whole        int // answered, and the answer is whole and right
	Refused      int // said not to have run
	Unknown      int // outcome unknown
	Broken       int // answered wrongly, ended by another error, or flow lost
	Doubled      int // must not be repeated, and was started more than once
	Misdelivered int // run by, or answered by, another service
	False        int // said not to have run, but was started
	Span         clock.Millis
	Short        []time.Duration // times of short requests answered
	Long         []time.Duration
	Reasons      map[string]int // refusals and unknown outcomes by reason
	Problems     []string       // the first few, for people
	Counters     caller.Counters

	mu       sync.Mutex
	requests map[string]ending
}

// ending is what the ledgers are compared with.
type ending struct {
	host   string
	once   bool
	notRun bool
}

// maxProblems bounds the problems kept for people.
const maxProblems = 20

func newTally() *Tally {
	return &Tally{Reasons: make(map[string]int), requests: make(map[string]ending)}
}

// add takes in the end of one request.
func (t *Tally) add(q request, a caller.Answer, err error, took time.Duration) {
	whole := err == nil && standin.CheckAnswer(q.work, q.service.Host, q.body, a.Body)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Sent++
	t.requests[q.id] = ending{host: q.service.Host, once: q.once, notRun: errors.Is(err, caller.ErrNotRun)}
	switch {
	case whole:
		t.Whole++
		t.addTime(q, took)
	case err == nil:
		t.addWrong(q, a)
	case errors.Is(err, caller.ErrNotRun):
		t.Refused++
		t.addReason("refused", err)
	case errors.Is(err, caller.ErrOutcomeUnknown):
		t.Unknown++
		t.addReason("unknown", err)
	default:
		t.Broken++
		t.problem("%s: %v", q.id, err)
	}
}

func (t *Tally) addTime(q request, took time.Duration) {
	if q.long {
		t.Long = append(t.Long, took)
	} else {
		t.Short = append(t.Short, took)
	}
}

// addWrong takes in an answer that is not the right one.
func (t *Tally) addWrong(q request, a caller.Answer) {
	if own := []byte("service=" + q.service.Host + " "); bytes.HasPrefix(a.Body, []byte("service=")) && !bytes.HasPrefix(a.Body, own) {
		t.Misdelivered++
	} else {
		t.Broken++
	}
	t.problem("%s: status %d with %d bytes is not its answer: %.80q", q.id, a.Status, len(a.Body), a.Body)
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

func (t *Tally) problem(format string, args ...any) {
	if len(t.Problems) < maxProblems {
		t.Problems = append(t.Problems, fmt.Sprintf(format, args...))
	}
}

// addCounters takes in what a connection counted. A flow whose token was refused
// was lost, although its requests moved to a new one.
func (t *Tally) addCounters(c caller.Counters) {
	if c.Reopens > 0 {
		t.Broken += int(c.Reopens)
		t.problem("%d flows were lost and opened again", c.Reopens)
	}
	t.Counters.Retries += c.Retries
	t.Counters.Exhausted += c.Exhausted
	t.Counters.Repeats += c.Repeats
	t.Counters.Reopens += c.Reopens
	t.Counters.Owners += c.Owners
	t.Counters.Contested += c.Contested
}

// Clean reports whether nothing was broken, doubled, misdelivered or falsely
// refused.
func (t *Tally) Clean() bool {
	return t.Broken == 0 && t.Doubled == 0 && t.Misdelivered == 0 && t.False == 0
}

// Quantile returns the time that a share of the requests stayed within. It sorts
// times.
func Quantile(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(share*float64(len(times))), len(times)-1)]
}
