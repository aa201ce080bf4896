package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// When an endpoint that answers is found to fail its requests. Answers aren't seen,
// but consumers acknowledge their bytes: an error is much shorter than an answer,
// and a request that is never answered is never acknowledged. The answer to endpoints
// that are well by their own account and fail requests all the same.
const (
	// Answers of more than one packet are acknowledged in pieces, so what is more
	// than a packet holds says nothing.
	maxAnswerSize        = 1200
	smallAnswerRatio     = 0.35                     // of the mean answer of its route; below, it is a small one
	sizeWeight           = 0.01                     // weight of one answer in that mean
	serviceLatencyWeight = 0.01                     // weight of one answer in the mean time of its service
	minBaselineAnswers   = 20                       // answers of a route before its mean says something
	maxSmallShare        = 0.05                     // share of small answers above which they are usual on a route
	smallAnswersToEject  = 8                        // small answers in a row, at all instances together, without another one
	maxStreakGap         = 1500 * clock.Millisecond // between two of them, at most
	// An endpoint without room turns requests away with small answers too, and
	// answers others. Instances that see those say so twice a second.
	minStreakTime          = 700 * clock.Millisecond
	maxSmallAnswersPerFlow = 3 // of them, how many may come from one flow
	// A request is overdue when it waits, or its consumer gave it up, after so many times
	// the mean of its service and of its endpoint, and at least overdueLeast. The longest
	// work of the platform's endpoints is 11 times its mean, on the slowest ones 18 times.
	overdueFactor  = 18
	minOverdueTime = 600 * clock.Millisecond
	// Work that an endpoint took on while it was slow after its start may end later.
	warmupOverdueDelay = 1 * clock.Second
	// What was asked longer ago says too little of the endpoint as it is now.
	maxOverdueAge     = 2500 * clock.Millisecond
	overdueToEject    = 3                       // overdue requests within overdueHold, at all instances together
	overdueWindow     = 3 * clock.Second        // for which an overdue request counts
	maxOverdueShare   = 0.25                    // share of a service's endpoints with overdue requests; above, it is the load
	trustReportsAfter = 500 * clock.Millisecond // without a usual answer, to believe another instance
)

// judgement is what tells whether an endpoint fails its requests.
type failures struct {
	normalAt        clock.Millis   // when an answer of usual size last came, here
	streak          int            // small answers in a row
	streakStartedAt clock.Millis   // when the first of them came
	streakGrewAt    clock.Millis   // when the latest of them came
	streakNumber    uint32         // of the run, so that each flow counts a few times only
	overdueAt       []clock.Millis // when requests became overdue, of the last overdueHold
	// When requests were asked whose answers nobody saw, of the last overdueHold.
	unansweredAt    []clock.Millis
	ejectionTime    clock.Millis // how long it got no new flows
	ejectedUntil    clock.Millis // end of that
	nextProbationAt clock.Millis // when this instance may try it next, after the ban
	answersNeeded   int          // usual answers that it owes since, to be taken for well
	tally           Tally        // since it was last told to others
	tallyPending    bool         // the tally holds what others should know
}

// Why endpoints are found to fail.
const (
	causeSmall      = "small answers"
	causeOverdue    = "overdue requests"
	causeUnanswered = "unanswered requests"
	causeReported   = "told by another instance"
)

// baseline is what is usual on a route.
type baseline struct {
	answers    int
	size       float64 // mean bytes of the first piece of an answer
	smallShare float64 // share of small answers
}

// classifyAnswer takes the size of an answer in, and reports whether it is a usual one.
func (e *Engine) classifyAnswer(now clock.Millis, at AddrPort, w *flow, s *endpointState, size int) bool {
	size = min(size, maxAnswerSize)
	b := e.baselines[at]
	if b == nil {
		b = &baseline{size: float64(size)}
		e.baselines[at] = b
	}
	small := b.answers >= minBaselineAnswers && float64(size) < smallAnswerRatio*b.size
	if s.failures.streak < maxSmallAnswersPerFlow {
		b.update(size, small) // an endpoint under suspicion doesn't set what is usual
	}
	if !small {
		// Others care for usual answers only where they contradict a run.
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
	if w.streakNumber != s.failures.streakNumber {
		w.streakNumber, w.smallAnswers = s.failures.streakNumber, 0
	}
	if w.smallAnswers++; w.smallAnswers <= maxSmallAnswersPerFlow {
		s.failures.tally.Small++
		s.failures.tallyPending = true
		e.recordSmall(now, s, 1)
	}
	return false
}

func (b *baseline) update(size int, small bool) {
	b.answers++
	pace := max(sizeWeight, 1/float64(b.answers))
	share := 0.0
	if small {
		share = 1
	}
	b.size += pace * (float64(size) - b.size)
	b.smallShare += sizeWeight * (share - b.smallShare)
}

// recordNormal notes answers of usual size.
func (j *failures) recordNormal(now clock.Millis, n int) {
	if j.onProbation(now) {
		j.answersNeeded = max(j.answersNeeded-n, 0)
	}
	j.endStreak()
}

// endRun ends a run of small answers.
func (j *failures) endStreak() {
	if j.streak > 0 {
		j.streak = 0
		j.streakNumber++
	}
}

// recordSmall notes small answers of an endpoint. A run that stops ends, so that a single
// small answer later doesn't add to it.
func (e *Engine) recordSmall(now clock.Millis, s *endpointState, n int) {
	j := &s.failures
	if now-j.streakGrewAt > maxStreakGap {
		j.endStreak()
	}
	if j.streak == 0 {
		j.streakStartedAt = now
	}
	j.streak += n
	j.streakGrewAt = now
	if j.streak >= smallAnswersToEject && now-j.streakStartedAt >= minStreakTime || j.onProbation(now) {
		e.eject(now, s, causeSmall)
	}
}

// recordOverdue notes that a request has waited much too long.
func (e *Engine) recordOverdue(now clock.Millis, s *endpointState) {
	if now < e.stalledUntil || s.silence.ended() {
		return
	}
	s.failures.tallyPending = true
	s.failures.tally.Overdue++
	e.addOverdue(now, s, 1)
}

// dues notes overdue requests of an endpoint.
func (e *Engine) addOverdue(now clock.Millis, s *endpointState, n int) {
	j := &s.failures
	for range min(n, overdueToEject) {
		j.overdueAt = append(j.overdueAt, now)
	}
	for len(j.overdueAt) > 0 && now-j.overdueAt[0] > overdueWindow {
		j.overdueAt = j.overdueAt[1:]
	}
	if (len(j.overdueAt) >= overdueToEject || j.onProbation(now)) && !e.overloaded(now, s) {
		e.eject(now, s, causeOverdue)
	}
}

// overloaded reports whether many endpoints of a service have overdue requests.
func (e *Engine) overloaded(now clock.Millis, s *endpointState) bool {
	all, due := 0, 0
	for _, o := range e.directory.byService[s.Service] {
		all++
		n := len(o.failures.overdueAt)
		if n > 0 && now-o.failures.overdueAt[n-1] <= overdueWindow || len(o.failures.unansweredAt) > unansweredToEject/2 {
			due++
		}
	}
	return float64(due) > max(1, maxOverdueShare*float64(all))
}

// waitsLong reports whether a request that has waited for some time at an endpoint has done
// so for long: so many times what is usual, and for a time at least.
func (e *Engine) exceedsLatency(now clock.Millis, s *endpointState, waited clock.Millis, factor float64, minWait clock.Millis) bool {
	if waited < minWait || now < s.warmedUpAt+warmupOverdueDelay {
		return false
	}
	return waited >= clock.Millis(factor*e.expectedLatency(s))
}

// usualTime is how long an endpoint usually takes to answer, in ms: the mean of its
// service, or its own one when that is longer.
func (e *Engine) expectedLatency(s *endpointState) float64 {
	if m := e.latencies[s.Service]; m != nil {
		return max(m.mean, s.load.latency)
	}
	return s.load.latency
}

// serviceLatency is the serviceLatency time of a service's answers, the latest ones first.
type serviceLatency struct {
	answers int
	mean    float64 // ms
}

// update takes the time of an answer in. Each answer counts alike, whichever endpoint gave
// it: one that has given few may have started with its longest.
func (m *serviceLatency) update(took clock.Millis) {
	m.answers++
	m.mean += max(serviceLatencyWeight, 1/float64(m.answers)) * (float64(took) - m.mean)
}

// recordLatency takes the time of a usual answer of an endpoint in.
func (e *Engine) recordLatency(s *endpointState, took clock.Millis) {
	s.load.update(took)
	m := e.latencies[s.Service]
	if m == nil {
		m = &serviceLatency{}
		e.latencies[s.Service] = m
	}
	m.update(took)
}
