package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Limits of outlier detection, which ejects endpoints that fail requests although they
// accept connections and report no problem. The instance sees no packets of endpoints,
// but consumers acknowledge the bytes of answers: an error is much smaller than a normal
// answer, and an unanswered request is never acknowledged.
const (
	// Bytes of an answer that are counted. Consumers acknowledge longer answers in several
	// parts, so sizes beyond one packet can't be compared.
	maxAnswerSize        = 1200
	smallAnswerRatio     = 0.35                     // an answer below this share of the mean size on its route is small
	sizeWeight           = 0.01                     // weight of one answer in the moving averages of a route
	serviceLatencyWeight = 0.01                     // weight of one answer in the average latency of its service
	minBaselineAnswers   = 20                       // answers of a route before its mean size is used
	maxSmallShare        = 0.05                     // on routes with a higher share of small answers, these are no evidence
	smallAnswersToEject  = 8                        // consecutive small answers, seen by all instances together
	maxStreakGap         = 1500 * clock.Millisecond // a longer pause between small answers ends the streak
	// Minimum length of a streak. An endpoint at capacity also rejects requests with small
	// answers, but answers others normally. Instances that see those answers report them
	// twice a second, which ends the streak.
	minStreakTime          = 700 * clock.Millisecond
	maxSmallAnswersPerFlow = 3 // small answers of one flow that count in a streak
	// A request is overdue when its consumer gives it up after more than overdueFactor times
	// the expected latency and at least minOverdueTime. The longest requests on the platform
	// take 11 times the mean, on the slowest endpoints 18 times.
	overdueFactor  = 18
	minOverdueTime = 600 * clock.Millisecond
	// Requests that an endpoint accepted while it was warming up may take longer, so none
	// is overdue until this long after the warm-up.
	warmupOverdueDelay = 1 * clock.Second
	// Requests sent longer ago than this don't show the present state of the endpoint.
	maxOverdueAge     = 2500 * clock.Millisecond
	overdueToEject    = 3                              // overdue requests within overdueWindow, seen by all instances together
	overdueWindow     = 3 * clock.Second               // how long an overdue request counts
	maxFailureAge     = overdueWindow + minOverdueTime // how long a request without an answer counts since it was sent
	maxAffectedShare  = 0.25                           // if a larger share of a service's endpoints fails requests, the cause is the service or overload
	trustReportsAfter = 500 * clock.Millisecond        // reports are ignored until this long after a normal answer
)

// failures is the evidence that an endpoint fails requests, and its ejection.
type failures struct {
	normalAt        clock.Millis   // last normal answer that this instance saw
	streak          int            // consecutive small answers
	streakStartedAt clock.Millis   // first answer of the streak
	streakGrewAt    clock.Millis   // latest answer of the streak
	streakNumber    uint32         // identifies the streak, for the limit per flow
	overdueAt       []clock.Millis // when requests became overdue, within overdueWindow
	// When unanswered requests were sent, within maxFailureAge.
	unansweredAt    []clock.Millis
	ejectionTime    clock.Millis // length of the latest ejection
	ejectedUntil    clock.Millis // end of the latest ejection
	nextProbationAt clock.Millis // when this instance may send the next flow on probation
	answersNeeded   int          // normal answers until probation ends
	tally           Tally        // counts since the last TakeTallies
	tallyPending    bool         // the other instances need the tally
}

// Causes of ejections, as they appear in the log.
const (
	causeSmall      = "small answers"
	causeOverdue    = "overdue requests"
	causeUnanswered = "unanswered requests"
	causeReported   = "reported by another instance"
)

// baseline holds moving averages over the answers on a route.
type baseline struct {
	answers    int
	size       float64 // mean bytes of answers, up to maxAnswerSize each
	smallShare float64 // share of small answers
}

// classifyAnswer counts an answer as normal or small by its size, and reports whether it
// is normal.
func (e *Engine) classifyAnswer(now clock.Millis, destination AddrPort, w *flow, s *endpointState, size int) bool {
	size = min(size, maxAnswerSize)
	b := e.baselines[destination]
	if b == nil {
		b = &baseline{size: float64(size)}
		e.baselines[destination] = b
	}
	small := b.isSmall(size)
	// The answers of an endpoint that may be failing must not shift the baseline.
	if s.failures.streak < maxSmallAnswersPerFlow {
		b.update(size, small)
	}
	if !small {
		// The other instances need normal answers only if they end a streak or count for
		// probation.
		s.failures.tallyPending = s.failures.tallyPending || s.failures.streak > 0 || s.failures.onProbation(now)
		s.failures.tally.Normal++
		s.failures.normalAt = now
		s.failures.recordNormal(now, 1)
		return true
	}
	if b.smallShare > maxSmallShare {
		return true
	}
	s.load.shedAt = now
	e.recordShed(now, s)
	if w.streakNumber != s.failures.streakNumber {
		w.streakNumber, w.smallAnswers = s.failures.streakNumber, 0
	}
	if w.smallAnswers++; w.smallAnswers <= maxSmallAnswersPerFlow {
		s.observed.small.add(now)
		s.failures.tally.Small++
		s.failures.tallyPending = true
		e.recordSmall(now, s, 1)
	}
	return false
}

// isSmall reports whether an answer is small compared with the others of its route.
func (b *baseline) isSmall(size int) bool {
	return b != nil && b.answers >= minBaselineAnswers && float64(min(size, maxAnswerSize)) < smallAnswerRatio*b.size
}

func (b *baseline) update(size int, small bool) {
	b.answers++
	weight := max(sizeWeight, 1/float64(b.answers))
	share := 0.0
	if small {
		share = 1
	}
	b.size += weight * (float64(size) - b.size)
	b.smallShare += sizeWeight * (share - b.smallShare)
}

// recordNormal counts normal answers. They end the streak.
func (f *failures) recordNormal(now clock.Millis, n int) {
	if f.onProbation(now) {
		f.answersNeeded = max(f.answersNeeded-n, 0)
	}
	f.endStreak()
}

// endStreak resets the streak of small answers.
func (f *failures) endStreak() {
	if f.streak > 0 {
		f.streak = 0
		f.streakNumber++
	}
}

// recordSmall counts small answers, of this or another instance, and ejects the endpoint when
// its streak reaches the limits. A streak without a new answer for maxStreakGap ends, so that
// a single small answer much later doesn't continue it.
func (e *Engine) recordSmall(now clock.Millis, s *endpointState, n int) {
	f := &s.failures
	if now-f.streakGrewAt > maxStreakGap {
		f.endStreak()
	}
	if f.streak == 0 {
		f.streakStartedAt = now
	}
	f.streak += n
	f.streakGrewAt = now
	if f.streak >= smallAnswersToEject && now-f.streakStartedAt >= minStreakTime || f.onProbation(now) {
		e.eject(now, s, causeSmall)
	}
}

// recordOverdue counts an overdue request that this instance saw.
func (e *Engine) recordOverdue(now clock.Millis, s *endpointState) {
	if now < e.stalledUntil || e.isolated(now) || s.silence.unreachable() {
		return
	}
	s.failures.tallyPending = true
	s.failures.tally.Overdue++
	s.observed.overdue.add(now)
	e.addOverdue(now, s, 1)
}

// addOverdue counts overdue requests, of this or another instance, and ejects the
// endpoint at overdueToEject.
func (e *Engine) addOverdue(now clock.Millis, s *endpointState, n int) {
	f := &s.failures
	for range min(n, overdueToEject) {
		f.overdueAt = append(f.overdueAt, now)
	}
	for len(f.overdueAt) > 0 && now-f.overdueAt[0] > overdueWindow {
		f.overdueAt = f.overdueAt[1:]
	}
	if (len(f.overdueAt) >= overdueToEject || f.onProbation(now)) && !e.overloaded(now, s) {
		e.eject(now, s, causeOverdue)
	}
}

// overloaded reports whether so many endpoints of the service have overdue or unanswered
// requests that the service is overloaded rather than one endpoint faulty.
func (e *Engine) overloaded(now clock.Millis, s *endpointState) bool {
	return e.isWidespread(s, func(f *failures) bool {
		n := len(f.overdueAt)
		return n > 0 && now-f.overdueAt[n-1] <= overdueWindow || len(f.unansweredAt) > unansweredToEject/2
	})
}

// isWidespread reports whether more endpoints of the service of s than maxAffectedShare,
// and more than one, are affected.
func (e *Engine) isWidespread(s *endpointState, affected func(f *failures) bool) bool {
	list := e.directory.byService[s.Service]
	n := 0
	for _, o := range list {
		if affected(&o.failures) {
			n++
		}
	}
	return float64(n) > max(1, maxAffectedShare*float64(len(list)))
}

// exceedsLatency reports whether a request has waited for at least factor times the
// expected latency of its endpoint, and at least minWait.
func (e *Engine) exceedsLatency(now clock.Millis, s *endpointState, waited clock.Millis, factor float64, minWait clock.Millis) bool {
	if waited < minWait || now < s.warmedUpAt+warmupOverdueDelay {
		return false
	}
	return waited >= clock.Millis(factor*e.expectedLatency(s))
}

// expectedLatency returns the latency expected of an endpoint, in ms: the mean of its
// service or its own mean, whichever is longer.
func (e *Engine) expectedLatency(s *endpointState) float64 {
	if m := e.latencies[s.Service]; m != nil {
		return max(m.mean, s.load.latency)
	}
	return s.load.latency
}

// serviceLatency is the moving average of the latency of a service.
type serviceLatency struct {
	answers int
	mean    float64 // ms
}

// update adds the latency of an answer. The average is over answers, not endpoints, since
// the first answers of an endpoint may be its slowest.
func (m *serviceLatency) update(latency clock.Millis) {
	m.answers++
	m.mean += max(serviceLatencyWeight, 1/float64(m.answers)) * (float64(latency) - m.mean)
}

// recordLatency adds the latency of a normal answer to the averages of the endpoint and
// its service.
func (e *Engine) recordLatency(s *endpointState, latency clock.Millis) {
	s.load.update(latency)
	m := e.latencies[s.Service]
	if m == nil {
		m = &serviceLatency{}
		e.latencies[s.Service] = m
	}
	m.update(latency)
}
