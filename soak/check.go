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
	recoveryTime = 4 * clock.Second // from the end of a fault until the other bounds apply again
	drainBound   = 3 * clock.Second // from the start of draining until an endpoint gets no new flows
	applyBound   = 3 * clock.Second // from publishing a configuration until instances apply it
	// From the order of an evacuation until endpoints of the data centre get no new flows.
	evacuateBound = 3 * clock.Second
	// From the opening of a flow that no endpoint may take until it is refused.
	refuseBound = 500 * clock.Millisecond
	settleBound = 12 * clock.Second // from the end of the last fault until every service answers
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
	disruptedUntil      clock.Millis            // end of the faults of instances, their network or the store
	hasExtraRoute       bool                    // whether the published configuration contains extraRoute
	extraRouteChangedAt clock.Millis            // when extraRoute was last added or removed
	evacuatedAt         map[string]clock.Millis // when the evacuations in force were ordered, by data centre
}

// opening is the time from a consumer's request for a new flow until the flow was open.
type opening struct{ from, to clock.Millis }

func newChecker(checkTimings bool) *checker {
	return &checker{checkTimings: checkTimings, unanswered: map[string]int{}, evacuatedAt: map[string]clock.Millis{}}
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

// recordEvacuation records that the evacuation of a data centre was ordered, or that it will be
// lifted. It reports whether that is a change.
func (c *checker) recordEvacuation(centre string, ordered bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, before := c.evacuatedAt[centre]; before == ordered {
		return false
	}
	delete(c.evacuatedAt, centre)
	if ordered {
		c.evacuatedAt[centre] = clock.Now()
	}
	return true
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

// checkOpened checks that a new flow was neither opened on a removed route nor placed at a draining
// endpoint or in an evacuated data centre, after the time that instances have to apply the change.
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
	if e == nil {
		return
	}
	if at, evacuated := c.evacuatedAt[e.centre]; evacuated && c.timingsApply(requestedAt) && requestedAt > at+evacuateBound {
		c.violations = append(c.violations, fmt.Sprintf("endpoint %s got a new flow %d ms after the evacuation of %s was ordered", e.ID(), now-at, e.centre))
	}
	if now <= e.coldUntil {
		e.coldOpenings = append(e.coldOpenings, opening{from: requestedAt, to: now})
	}
}

// checkRefused checks that a flow that didn't open was refused at once if all data centres are
// evacuated.
func (c *checker) checkRefused(requestedAt clock.Millis, centres int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	took := clock.Now() - requestedAt
	if len(c.evacuatedAt) < centres || !c.timingsApply(requestedAt) || took <= refuseBound {
		return
	}
	for _, at := range c.evacuatedAt {
		if requestedAt <= at+evacuateBound {
			return
		}
	}
	c.violations = append(c.violations, fmt.Sprintf("a new flow was refused only after %d ms, with all data centres evacuated", took))
}

// maxOpenedWithin returns the highest number of openings that were requested and done within a time.
func maxOpenedWithin(list []opening, span clock.Millis) int {
	highest := 0
	for _, first := range list {
		n := 0
		for _, o := range list {
			if o.from >= first.from && o.to < first.from+span {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
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
		if n := maxOpenedWithin(e.coldOpenings, clock.Second); n > coldLimit {
			violations = append(violations, fmt.Sprintf("cold endpoint %s got %d new flows within a second, at most %d are allowed", e.ID(), n, coldLimit))
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
