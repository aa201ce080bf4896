package instance

import (
	"cmp"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Bounded silence: a run of an idempotent request that takes several times its
// usual time is given up and repeated elsewhere, out of the retry budget.
const (
	silenceCheckPeriod  = 50 * clock.Millisecond  // between looks
	minSilenceTimeout   = 500 * clock.Millisecond // shorter runs are never given up
	silenceFactor       = 6                       // usual run times until a run counts as silent
	urgentSilenceFactor = 2                       // the same, when the deadline is near
	trustedSamples      = 5.0                     // with fewer runs seen, the usual time is not trusted much
	suspectProbePeriod  = 200 * clock.Millisecond // between probes of an endpoint with silent runs
	unmeasuredShare     = 4                       // part of the time left, when no usual time is known
	maxSilentRuns       = 3                       // runs of one request given up
)

// silenceController gives up runs on connections that went silent, before their
// deadline.
//
// A run that takes long may be on a silent connection, at a backend server that
// is gone, or just slow. The endpoint is probed on a new connection, which tells
// the second from the others; its connections are not trusted until then. A
// request that is slow by itself is slow elsewhere too, so each time it is given
// up the next run gets twice as long. A request that must not be repeated is left
// alone, since its answer may still come, but no other work waits for its slot.
type silenceController struct{ state *EngineState }

func (c silenceController) tick() {
	if c.state.Now%silenceCheckPeriod >= TickPeriod {
		return
	}
	var silent []*Job
	for _, j := range c.state.Runs {
		if !j.Dropped && c.isSilent(j) {
			silent = append(silent, j)
		}
	}
	slices.SortFunc(silent, func(x, y *Job) int { return cmp.Compare(x.RunID, y.RunID) })
	for _, j := range silent {
		c.markStalled(j)
		if !j.Work.Once && j.SilentRuns < maxSilentRuns && j.Service.RetryBudget >= 1 {
			c.cancelRun(j)
		}
	}
}

// silent reports whether nothing came back of a run for too long, or whether it
// was handed over to an instance that died.
func (c silenceController) isSilent(j *Job) bool {
	if j.Endpoint == nil {
		return j.Peer != nil && !j.Peer.Alive
	}
	return c.state.Now-j.StartedAt >= silenceTimeout(j)
}

// stall takes the slot of a silent run out of account: when all slots of an
// endpoint are held by such runs, no work waits for them.
func (c silenceController) markStalled(j *Job) {
	if j.Endpoint == nil || j.Stalled {
		return
	}
	j.Stalled = true
	j.Endpoint.StalledRuns++
	c.probe(j.Endpoint, j.Service)
	c.state.scheduleFill(j.Service)
}

// unstall takes back what stall did, when the run ends.
func (st *EngineState) clearStalled(j *Job) {
	if j.Stalled {
		j.Stalled = false
		j.Endpoint.StalledRuns--
	}
}

// silenceLimit returns how long a run may stay without an answer.
func silenceTimeout(j *Job) clock.Millis {
	timeLeft := j.Work.Deadline - j.StartedAt
	mean := j.Service.RunTimes[j.Work.Class]
	if mean.Samples == 0 {
		return timeLeft / unmeasuredShare << j.SilentRuns
	}
	factor := silenceFactor * (1 + trustedSamples/float64(mean.Samples))
	limit := max(minSilenceTimeout, clock.Millis(factor*mean.Value)) << j.SilentRuns
	return min(limit, max(timeLeft/2, clock.Millis(urgentSilenceFactor*mean.Value)))
}

func (c silenceController) cancelRun(j *Job) {
	j.SilentRuns++
	subject := runSubject(&j.Work)
	if j.Endpoint == nil {
		c.state.logDecision("silent", "instance", j.Work.Service, "instance/"+j.Peer.Instance.Name, subject)
	} else {
		c.state.logDecision("silent", "run", j.Work.Service, j.Endpoint.subject(), subject)
	}
	c.state.emit(CancelRun{RunID: j.RunID})
}

// probe asks an endpoint on a new connection whether it lives. It gets no work
// until it has answered.
func (c silenceController) probe(ep *Endpoint, s *Service) {
	if ep.SuspectedSince == 0 {
		ep.SuspectedSince = c.state.Now
	}
	if c.state.Now-ep.ProbedAt < suspectProbePeriod && ep.ProbedAt != 0 {
		return // the health controller probes it soon
	}
	ep.ProbedAt = c.state.Now
	c.state.emit(ProbeEndpoint{Endpoint: ep.Record.Address, Host: s.Record.Host})
}

// probed takes in the answer. An endpoint that does not answer a new connection
// either is dead or cut off, and stays in doubt.
func (st *EngineState) updateSuspicion(ep *Endpoint, ev ProbeEnded) {
	switch {
	case ep.SuspectedSince == 0:
	case ev.Answered:
		ep.SuspectedSince = 0
	default:
		st.Report.raise(st.Now, conditionBackend, ep.subject(), "it answers neither requests nor probes", "gets no work until it answers a probe")
	}
}
