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
	recoveryTime = 4 * clock.Second  // after a fault, until bounds hold again
	drainBound   = 3 * clock.Second  // until a draining endpoint gets no new flow
	applyBound   = 3 * clock.Second  // until a configuration is in force
	settleBound  = 12 * clock.Second // until all is served again after the last fault
)

// checker keeps what consumers saw, and what must not be.
type checker struct {
	checkTimings bool

	mu                  sync.Mutex
	requests            int
	answered            int
	unanswered          map[string]int
	violations          []string
	disruptedUntil      clock.Millis // until when instances or the store are harmed
	hasExtraRoute       bool         // the changing route is there
	extraRouteChangedAt clock.Millis // when it last came or went
}

func newChecker(timed bool) *checker {
	return &checker{checkTimings: timed, unanswered: map[string]int{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf("%s: ", clock.Now().Time().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// markDisrupted notes that instances or the store are harmed for some time.
func (c *checker) markDisrupted(duration clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disruptedUntil = max(c.disruptedUntil, clock.Now()+duration)
}

// recordConfiguration notes whether the changing route is in the configuration.
func (c *checker) recordConfiguration(hasExtraRoute bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hasExtraRoute != c.hasExtraRoute {
		c.hasExtraRoute, c.extraRouteChangedAt = hasExtraRoute, clock.Now()
	}
}

// timingsApply reports whether bounds of time hold: they are checked, and instances and
// store have been unharmed for long enough at a moment.
func (c *checker) timingsApply(at clock.Millis) bool {
	return c.checkTimings && at >= c.disruptedUntil+recoveryTime
}

// recordRequest notes the end of a request.
func (c *checker) recordRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	switch {
	case err == nil:
		c.answered++
	case errors.Is(err, standin.ErrUnopened):
		c.unanswered["unopened"]++
	case errors.Is(err, standin.ErrReset):
		c.unanswered["reset"]++
	case errors.Is(err, standin.ErrLate):
		c.unanswered["late"]++
	default:
		c.violations = append(c.violations, err.Error())
	}
}

// checkOpened checks that a new flow was allowed to go where it went.
func (c *checker) checkOpened(e *endpoint, routeName string, requestedAt clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if routeName == extraRoute && !c.hasExtraRoute && c.timingsApply(requestedAt) && requestedAt > c.extraRouteChangedAt+applyBound {
		c.violations = append(c.violations, fmt.Sprintf("a flow to a route removed %d ms ago opened", now-c.extraRouteChangedAt))
	}
	if e != nil && e.drainPublishedAt != 0 && c.timingsApply(requestedAt) && requestedAt > e.drainPublishedAt+drainBound {
		c.violations = append(c.violations, fmt.Sprintf("endpoint %s got a new flow %d ms after it was drained", e.ID(), now-e.drainPublishedAt))
	}
}

// checkReset checks the end of an open flow that its consumer did not want.
func (c *checker) checkReset(e *endpoint, routeName, resetBy string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if resetBy != "instance" || e == nil || routeName == extraRoute && !c.hasExtraRoute {
		return
	}
	if e.closed || e.draining || clock.Now() < e.disruptedUntil+recoveryTime {
		return
	}
	c.violations = append(c.violations, fmt.Sprintf("an instance reset an open flow of endpoint %s, to which nothing was done", e.ID()))
}

// Result is what came of one run.
type Result struct {
	Seed       uint64
	Requests   int
	Answered   int
	Unanswered map[string]int // requests without an answer, by why
	Faults     []string       // what was done, in order
	Violations []string       // what must not be
	Folder     string
}

// String writes a result on one line.
func (r *Result) String() string {
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = "FAILED"
	}
	return fmt.Sprintf("seed %d %s: %d of %d requests answered, not answered %v, %d faults", r.Seed, verdict, r.Answered, r.Requests, r.Unanswered, len(r.Faults))
}

// collectViolations adds what endpoints, consumers and processes saw to the ledger's own.
func (d *deployment) collectViolations() []string {
	violations := slices.Clone(d.checker.violations)
	runs := map[string]int{}
	for _, e := range d.endpoints {
		for _, f := range e.Faults() {
			violations = append(violations, fmt.Sprintf("endpoint %s: %s", e.ID(), f))
		}
		for id, n := range e.Runs() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	for _, c := range d.callers {
		violations = append(violations, c.Faults()...)
	}
	for _, i := range d.instances {
		violations = append(violations, i.violations()...)
	}
	return violations
}
