package soak

import (
	"fmt"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Bounds that the users' pages state, in ms.
const (
	stableTime  = 4 * clock.Second  // after a fault, until bounds hold again
	drainBound  = 3 * clock.Second  // until a draining endpoint gets no new flow
	applyBound  = 3 * clock.Second  // until a configuration is in force
	settleBound = 12 * clock.Second // until all is served again after the last fault
)

// ledger keeps what consumers saw, and what must not be.
type ledger struct {
	timed bool

	mu        sync.Mutex
	asked     int
	answered  int
	failed    map[string]int
	wrong     []string
	troubled  clock.Millis // until when instances or the store are harmed
	extra     bool         // the changing route is there
	changedAt clock.Millis // when it last came or went
}

func newLedger(timed bool) *ledger { return &ledger{timed: timed, failed: map[string]int{}} }

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = append(l.wrong, fmt.Sprintf("%s: ", clock.Now().Time().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// trouble notes that instances or the store are harmed for some time.
func (l *ledger) trouble(span clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.troubled = max(l.troubled, clock.Now()+span)
}

// published notes whether the changing route is in the configuration.
func (l *ledger) published(extra bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if extra != l.extra {
		l.extra, l.changedAt = extra, clock.Now()
	}
}

// calm reports whether bounds of time hold: they are checked, and instances and
// store have been unharmed for long enough at a moment.
func (l *ledger) calm(at clock.Millis) bool { return l.timed && at >= l.troubled+stableTime }

// served notes the end of a request.
func (l *ledger) served(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	switch {
	case err == nil:
		l.answered++
	case errors.Is(err, standin.ErrFlowNotOpened):
		l.failed["unopened"]++
	case errors.Is(err, standin.ErrFlowReset):
		l.failed["reset"]++
	case errors.Is(err, standin.ErrRequestTimedOut):
		l.failed["late"]++
	default:
		l.wrong = append(l.wrong, err.Error())
	}
}

// opened checks that a new flow was allowed to go where it went.
func (l *ledger) opened(e *endpoint, name string, asked clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	if name == extraRoute && !l.extra && l.calm(asked) && asked > l.changedAt+applyBound {
		l.wrong = append(l.wrong, fmt.Sprintf("a flow to a route removed %d ms ago opened", now-l.changedAt))
	}
	if e != nil && e.drained != 0 && l.calm(asked) && asked > e.drained+drainBound {
		l.wrong = append(l.wrong, fmt.Sprintf("endpoint %s got a new flow %d ms after it was drained", e.ID(), now-e.drained))
	}
}

// ended checks the end of an open flow that its consumer did not want.
func (l *ledger) ended(e *endpoint, name, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if by != "instance" || e == nil || name == extraRoute && !l.extra {
		return
	}
	if e.ended || e.draining || clock.Now() < e.until+stableTime {
		return
	}
	l.wrong = append(l.wrong, fmt.Sprintf("an instance reset an open flow of endpoint %s, to which nothing was done", e.ID()))
}

// Result is what came of one run.
type Result struct {
	Seed     uint64
	Asked    int
	Answered int
	Failed   map[string]int // requests without an answer, by why
	Faults   []string       // what was done, in order
	Wrong    []string       // what must not be
	Folder   string
}

// String writes a result on one line.
func (r *Result) String() string {
	verdict := "passed"
	if len(r.Wrong) > 0 {
		verdict = "FAILED"
	}
	return fmt.Sprintf("seed %d %s: %d of %d requests answered, not answered %v, %d faults", r.Seed, verdict, r.Answered, r.Asked, r.Failed, len(r.Faults))
}

// judge adds what endpoints, consumers and processes saw to the ledger's own.
func (w *world) judge() []string {
	wrong := slices.Clone(w.ledger.wrong)
	runs := map[string]int{}
	for _, e := range w.endpoints {
		for _, f := range e.ProtocolErrors() {
			wrong = append(wrong, fmt.Sprintf("endpoint %s: %s", e.ID(), f))
		}
		for id, n := range e.RunCounts() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			wrong = append(wrong, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	for _, c := range w.callers {
		wrong = append(wrong, c.ProtocolErrors()...)
	}
	for _, i := range w.all {
		wrong = append(wrong, i.faults()...)
	}
	return wrong
}
