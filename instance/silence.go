package instance

import (
	"cmp"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Time-outs of silent runs. A run that takes several times the mean run time counts as
// silent. If its request may be repeated, it is cancelled and retried elsewhere, within the
// retry budget.
const (
	silenceCheckPeriod  = 50 * clock.Millisecond  // between checks
	minSilenceTimeout   = 500 * clock.Millisecond // lower bound of the time-out, unless the deadline is near
	silenceFactor       = 6                       // time-out in mean run times
	urgentSilenceFactor = 2                       // lower bound of the time-out in mean run times when the deadline is near
	trustedSamples      = 5.0                     // a mean of fewer samples isn't relied on; with n samples the time-out is 1 + trustedSamples/n times as long
	suspectProbePeriod  = 200 * clock.Millisecond // between probes of a suspected endpoint
	unmeasuredDivisor   = 4                       // the time-out is the time left divided by this when no run time was measured
	maxSilentRuns       = 3                       // runs of one request that may be cancelled
)

// silenceController cancels runs that stay without an answer for too long, before their
// deadline.
//
// Such a run may be on a broken connection, at a dead backend server, or just slow. A probe
// on a new connection tells a dead backend server from the other two; until it is answered
// the endpoint gets no work. A request that is slow by itself is slow elsewhere too, so its
// time-out doubles with each cancelled run. A request that must not be repeated isn't
// cancelled, as its answer may still come, but its slot counts as stalled.
type silenceController struct{ state *EngineState }

func (c silenceController) tick() {
	if c.state.Now%silenceCheckPeriod >= TickPeriod {
		return
	}
	var silentJobs []*Job
	for _, j := range c.state.Runs {
		if !j.Dropped && c.isSilent(j) {
			silentJobs = append(silentJobs, j)
		}
	}
	slices.SortFunc(silentJobs, func(x, y *Job) int { return cmp.Compare(x.RunID, y.RunID) })
	for _, j := range silentJobs {
		c.markStalled(j)
		if !j.Work.Once && j.SilentRuns < maxSilentRuns && j.Service.RetryBudget >= 1 {
			c.cancelRun(j)
		}
	}
}

// isSilent reports whether a run has exceeded its silence time-out, or was handed over to
// an instance that is dead.
func (c silenceController) isSilent(j *Job) bool {
	if j.Endpoint == nil {
		return j.Peer != nil && !j.Peer.Alive
	}
	return c.state.Now-j.StartedAt >= silenceTimeout(j)
}

// markStalled counts a silent run as stalled and probes its endpoint. When stalled runs
// occupy all slots of an endpoint, it isn't usable and no job waits for it.
func (c silenceController) markStalled(j *Job) {
	if j.Endpoint == nil || j.Stalled {
		return
	}
	j.Stalled = true
	j.Endpoint.StalledRuns++
	c.probe(j.Endpoint, j.Service)
	c.state.scheduleFill(j.Service)
}

// clearStalled reverses markStalled when the run ends.
func (st *EngineState) clearStalled(j *Job) {
	if j.Stalled {
		j.Stalled = false
		j.Endpoint.StalledRuns--
	}
}

// silenceTimeout returns how long a run may stay without an answer before it counts as
// silent: silenceFactor mean run times, but no more than half the time that was left when
// the run started, or urgentSilenceFactor mean run times if that is longer.
func silenceTimeout(j *Job) clock.Millis {
	timeLeft := j.Work.Deadline - j.StartedAt
	mean := j.Service.RunTimes[j.Work.Class]
	if mean.Samples == 0 {
		return timeLeft / unmeasuredDivisor << j.SilentRuns
	}
	factor := silenceFactor * (1 + trustedSamples/float64(mean.Samples))
	limit := max(minSilenceTimeout, clock.Millis(factor*mean.Value)) << j.SilentRuns
	return min(limit, max(timeLeft/2, clock.Millis(urgentSilenceFactor*mean.Value)))
}

func (c silenceController) cancelRun(j *Job) {
	j.SilentRuns++
	subject := requestSubject(&j.Work)
	if j.Endpoint == nil {
		c.state.logDecision("silent", "instance", j.Work.Service, "instance/"+j.Peer.Instance.Name, subject)
	} else {
		c.state.logDecision("silent", "run", j.Work.Service, j.Endpoint.subject(), subject)
	}
	c.state.emit(CancelRun{RunID: j.RunID})
}

// probe marks an endpoint as suspected, so that it gets no work until it answers a probe,
// and probes it.
func (c silenceController) probe(ep *Endpoint, s *Service) {
	if ep.SuspectedSince == 0 {
		ep.SuspectedSince = c.state.Now
	}
	if c.state.Now-ep.ProbedAt < suspectProbePeriod && ep.ProbedAt != 0 {
		return // healthController probes it soon
	}
	ep.ProbedAt = c.state.Now
	c.state.emit(ProbeEndpoint{Endpoint: ep.Record.Address, Host: s.Record.Host})
}

// updateSuspicion processes the result of a probe. An endpoint that doesn't answer on a new
// connection either is dead or unreachable, and stays suspected.
func (st *EngineState) updateSuspicion(ep *Endpoint, ev ProbeEnded) {
	switch {
	case ep.SuspectedSince == 0:
	case ev.Answered:
		ep.SuspectedSince = 0
	default:
		st.Report.raise(st.Now, conditionBackend, ep.subject(), "it answers neither requests nor probes", "gets no work until it answers a probe")
	}
}
