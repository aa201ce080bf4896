package instance

import (
	"cmp"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Bounded silence: a run of an idempotent request that takes several times its
// usual time is given up and repeated elsewhere, out of the retry budget.
const (
	silencePeriod = 50 * clock.Millisecond  // between looks
	minSilence    = 500 * clock.Millisecond // shorter runs are never given up
	silenceFactor = 6                       // usual run times until a run counts as silent
	slowFactor    = 2                       // the same, when the deadline is near
	usualRuns     = 5.0                     // with fewer runs seen, the usual time is not trusted much
	doubtPeriod   = 200 * clock.Millisecond // between probes of an endpoint with silent runs
	firstShare    = 4                       // part of the time left, when no usual time is known
	maxSilent     = 3                       // runs of one request given up
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
type silenceController struct{ b *EngineState }

func (c silenceController) tick() {
	if c.b.Now%silencePeriod >= TickPeriod {
		return
	}
	var silent []*Job
	for _, j := range c.b.Runs {
		if !j.Dropped && c.silent(j) {
			silent = append(silent, j)
		}
	}
	slices.SortFunc(silent, func(x, y *Job) int { return cmp.Compare(x.RunID, y.RunID) })
	for _, j := range silent {
		c.stall(j)
		if !j.Work.Once && j.SilentRuns < maxSilent && j.Service.RetryBudget >= 1 {
			c.giveUp(j)
		}
	}
}

// silent reports whether nothing came back of a run for too long, or whether it
// was handed over to an instance that died.
func (c silenceController) silent(j *Job) bool {
	if j.Endpoint == nil {
		return j.Peer != nil && !j.Peer.Alive
	}
	return c.b.Now-j.StartedAt >= silenceLimit(j)
}

// stall takes the slot of a silent run out of account: when all slots of an
// endpoint are held by such runs, no work waits for them.
func (c silenceController) stall(j *Job) {
	if j.Endpoint == nil || j.Stalled {
		return
	}
	j.Stalled = true
	j.Endpoint.StalledRuns++
	c.probe(j.Endpoint, j.Service)
	c.b.pump(j.Service)
}

// unstall takes back what stall did, when the run ends.
func (b *EngineState) unstall(j *Job) {
	if j.Stalled {
		j.Stalled = false
		j.Endpoint.StalledRuns--
	}
}

// silenceLimit returns how long a run may stay without an answer.
func silenceLimit(j *Job) clock.Millis {
	left := j.Work.Deadline - j.StartedAt
	usual := j.Service.RunTimes[j.Work.Class]
	if usual.Samples == 0 {
		return left / firstShare << j.SilentRuns
	}
	factor := silenceFactor * (1 + usualRuns/float64(usual.Samples))
	limit := max(minSilence, clock.Millis(factor*usual.Value)) << j.SilentRuns
	return min(limit, max(left/2, clock.Millis(slowFactor*usual.Value)))
}

func (c silenceController) giveUp(j *Job) {
	j.SilentRuns++
	subject := runSubject(&j.Work)
	if j.Endpoint == nil {
		c.b.note("silent", "instance", j.Work.Service, "instance/"+j.Peer.Instance.Name, subject)
	} else {
		c.b.note("silent", "run", j.Work.Service, j.Endpoint.subject(), subject)
	}
	c.b.do(CancelRun{RunID: j.RunID})
}

// probe asks an endpoint on a new connection whether it lives. It gets no work
// until it has answered.
func (c silenceController) probe(ep *Endpoint, s *Service) {
	if ep.SuspectedSince == 0 {
		ep.SuspectedSince = c.b.Now
	}
	if c.b.Now-ep.ProbedAt < doubtPeriod && ep.ProbedAt != 0 {
		return // the health controller probes it soon
	}
	ep.ProbedAt = c.b.Now
	c.b.do(ProbeEndpoint{Endpoint: ep.Record.Address, Host: s.Record.Host})
}

// probed takes in the answer. An endpoint that does not answer a new connection
// either is dead or cut off, and stays in doubt.
func (b *EngineState) probed(ep *Endpoint, ev ProbeEnded) {
	switch {
	case ep.SuspectedSince == 0:
	case ev.Answered:
		ep.SuspectedSince = 0
	default:
		b.Report.raise(b.Now, conditionBackend, ep.subject(), "it answers neither requests nor probes", "gets no work until it answers a probe")
	}
}
