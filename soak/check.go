package soak

import (
	"fmt"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Time bounds that the user documentation promises, in ms.
const (
	recoveryTime = 4 * clock.Second  // from the end of a fault until the other bounds apply again
	drainBound   = 3 * clock.Second  // from the start of draining until an endpoint gets no new flows
	applyBound   = 3 * clock.Second  // from publishing a configuration until instances apply it
	settleBound  = 12 * clock.Second // from the end of the last fault until every service answers
)

// checker counts the outcomes of consumers' requests and records violations of the
// properties that must hold.
type checker struct {
	checkTimings bool // whether time bounds are checked

	mu                  sync.Mutex
	requests            int
	answered            int
	unanswered          map[string]int // by reason
	violations          []string
	disruptedUntil      clock.Millis // end of the faults of instances, their network or the store
	hasExtraRoute       bool         // whether the published configuration contains extraRoute
	extraRouteChangedAt clock.Millis // when extraRoute was last added or removed
}

func newChecker(checkTimings bool) *checker {
	return &checker{checkTimings: checkTimings, unanswered: map[string]int{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf("%s: ", clock.Now().Time().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// markDisrupted records that a fault of instances, their network or the store lasts for
// the given time.
func (c *checker) markDisrupted(duration clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disruptedUntil = max(c.disruptedUntil, clock.Now()+duration)
}

// recordConfiguration records whether the published configuration contains extraRoute.
func (c *checker) recordConfiguration(hasExtraRoute bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hasExtraRoute != c.hasExtraRoute {
		c.hasExtraRoute, c.extraRouteChangedAt = hasExtraRoute, clock.Now()
	}
}

// timingsApply reports whether time bounds apply to a request sent at the given time:
// they are checked at all, and the last fault of instances, their network or the store
// had ended at least recoveryTime before.
func (c *checker) timingsApply(at clock.Millis) bool {
	return c.checkTimings && at >= c.disruptedUntil+recoveryTime
}

// recordRequest counts the outcome of a request. An error other than the three expected
// ones is a violation, such as a wrong answer.
func (c *checker) recordRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	switch {
	case err == nil:
		c.answered++
	case errors.Is(err, standin.ErrFlowNotOpened):
		c.unanswered["unopened"]++
	case errors.Is(err, standin.ErrFlowReset):
		c.unanswered["reset"]++
	case errors.Is(err, standin.ErrRequestTimedOut):
		c.unanswered["late"]++
	default:
		c.violations = append(c.violations, err.Error())
	}
}

// checkOpened checks that a new flow was neither opened on a removed route nor placed at
// a draining endpoint, after the time that instances have to apply the change.
func (c *checker) checkOpened(e *endpoint, routeName string, requestedAt clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if routeName == extraRoute && !c.hasExtraRoute && c.timingsApply(requestedAt) && requestedAt > c.extraRouteChangedAt+applyBound {
		c.violations = append(c.violations, fmt.Sprintf("a flow opened on a route that was removed %d ms ago", now-c.extraRouteChangedAt))
	}
	if e != nil && e.drainPublishedAt != 0 && c.timingsApply(requestedAt) && requestedAt > e.drainPublishedAt+drainBound {
		c.violations = append(c.violations, fmt.Sprintf("endpoint %s got a new flow %d ms after it published that it is draining", e.ID(), now-e.drainPublishedAt))
	}
}

// checkReset checks a reset of an open flow. An instance may reset it only if the route was
// removed or the endpoint was closed. Faults that an endpoint survives end none of its flows.
func (c *checker) checkReset(e *endpoint, routeName, resetBy string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if resetBy != "instance" || e == nil || routeName == extraRoute && !c.hasExtraRoute {
		return
	}
	if !e.closed {
		c.violations = append(c.violations, fmt.Sprintf("an instance reset an open flow of endpoint %s, which runs", e.ID()))
	}
}

// Result is the outcome of one run.
type Result struct {
	Seed       uint64
	Requests   int
	Answered   int
	Unanswered map[string]int // requests without an answer, by reason
	Faults     []string       // the injected faults, in order
	Violations []string       // the run passed if there are none
	Folder     string         // settings and logs
}

// String returns a summary on one line.
func (r *Result) String() string {
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = "FAILED"
	}
	return fmt.Sprintf("seed %d %s: %d of %d requests answered, not answered %v, %d faults", r.Seed, verdict, r.Answered, r.Requests, r.Unanswered, len(r.Faults))
}

// collectViolations returns the violations that the checker, endpoints, consumers and
// processes have recorded.
func (d *deployment) collectViolations() []string {
	violations := slices.Clone(d.checker.violations)
	runs := map[string]int{}
	for _, e := range d.endpoints {
		for _, f := range e.ProtocolErrors() {
			violations = append(violations, fmt.Sprintf("endpoint %s: %s", e.ID(), f))
		}
		for id, n := range e.RunCounts() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	for _, c := range d.consumers {
		violations = append(violations, c.ProtocolErrors()...)
	}
	for _, i := range d.instances {
		violations = append(violations, i.violations()...)
	}
	return violations
}
