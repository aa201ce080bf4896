package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Ejection of endpoints: how long one gets no new work after a failure, and how often it
// is probed.
const (
	shedDelay         = 100 * clock.Millisecond // after the endpoint rejected a request as overloaded or draining
	minFailureDelay   = 100 * clock.Millisecond // doubles with each consecutive failure
	maxFailureDelay   = 5 * clock.Second
	toleratedFailures = 1 // consecutive failures after bytes were sent that don't eject the endpoint
	probePeriod       = 1 * clock.Second
)

// recordResult updates the state of an endpoint from the result of a run.
func (st *EngineState) recordResult(ep *Endpoint, j *Job, r Result) {
	switch r.Outcome {
	case OutcomeAnswered:
		st.recordAnswer(ep, j)
	case OutcomeMisrouted:
		ep.Misrouted = true
		st.logDecision("eject", "misrouted", j.Work.Service, ep.subject(), requestSubject(&j.Work))
		st.Report.raise(st.Now, conditionMisrouted, ep.subject(), "it does not serve "+j.Work.Service, "gets no work until it says that it does or its record changes")
	case OutcomeNotRun:
		st.recordRefusal(ep, r)
	case OutcomeUnknown:
		if !j.Dropped || r.Silent { // the result of a cancelled run isn't a failure unless nothing came back
			st.recordFailure(ep, j, r)
		}
	}
	if r.Draining && !ep.Draining {
		ep.Draining = true
		st.logDecision("eject", "draining", j.Work.Service, ep.subject(), "")
		st.Report.raise(st.Now, conditionDraining, ep.subject(), "it says that it is draining", "gets no new work")
	}
}

func (st *EngineState) recordAnswer(ep *Endpoint, j *Job) {
	ep.FailureStreak = 0
	st.Report.clear(conditionBackend, ep.subject())
	st.Report.clear(conditionSilent, ep.subject())
	st.Report.clear(conditionNoBackend, "service/"+j.Work.Service)
	if j.Service.QueueLength() == 0 {
		st.Report.clear(conditionOverload, "service/"+j.Work.Service)
	}
	runTime := st.Now - j.StartedAt
	j.Service.RunTimes[j.Work.Class].Add(float64(runTime))
	ep.RunTimes[j.Work.Class].Add(float64(runTime))
	st.reportSlow(ep, j)
	j.Service.RunTimesBySize[sizeBucket(len(j.Work.Body))].Add(float64(runTime))
	j.Service.RetryBudget = min(j.Service.RetryBudget+retriesPerRequest, maxRetryBudget)
	st.emit(ObserveValue{Metric: "run_ms", Service: j.Work.Service, Class: j.Work.Class, Value: int64(runTime)})
}

// Detection of slow endpoints.
const (
	slowFactor     = 4.0 // an endpoint counts as slow from this many times the service's mean run time
	minSlowSamples = 20  // answers of an endpoint before its mean is compared
)

// reportSlow raises a condition for an endpoint that is much slower than the service's
// mean, and clears it otherwise. The endpoint isn't ejected: its share of work already
// follows its measured speed.
func (st *EngineState) reportSlow(ep *Endpoint, j *Job) {
	atEndpoint, atService := ep.RunTimes[j.Work.Class], j.Service.RunTimes[j.Work.Class]
	if atEndpoint.Samples < minSlowSamples {
		return
	}
	if atEndpoint.Value < slowFactor*atService.Value {
		st.Report.clear(conditionSlow, ep.subject())
		return
	}
	st.Report.raise(st.Now, conditionSlow, ep.subject(), "it takes much longer than others of the service", "gets the share of work that it carries")
}

func (st *EngineState) recordRefusal(ep *Endpoint, r Result) {
	if r.Shed || r.Draining {
		ep.EjectedUntil = max(ep.EjectedUntil, st.Now+shedDelay)
		return
	}
	if !r.Connected {
		st.eject(ep, "connections are refused", r.Detail)
	}
}

func (st *EngineState) recordFailure(ep *Endpoint, j *Job, r Result) {
	if r.Silent {
		st.Report.raise(st.Now, conditionSilent, ep.subject(), "a request was not answered in time", "the connection was replaced")
		st.logDecision("silent", "timeout", "", ep.subject(), r.Detail)
	}
	if r.Silent && j.StartedAt <= ep.SilentAt {
		return // one lost connection can end several runs; they count as one failure
	}
	if r.Silent {
		ep.SilentAt = st.Now
	}
	if ep.FailureStreak < toleratedFailures {
		ep.FailureStreak++
		return
	}
	st.eject(ep, "requests fail", r.Detail)
}

// eject keeps new work from an endpoint for a delay that doubles with each consecutive
// failure.
func (st *EngineState) eject(ep *Endpoint, reason, detail string) {
	delay := min(minFailureDelay<<min(ep.FailureStreak, 10), maxFailureDelay)
	ep.FailureStreak++
	ep.EjectedUntil = st.Now + delay
	st.logDecision("eject", "failing", "", ep.subject(), detail)
	st.Report.raise(st.Now, conditionBackend, ep.subject(), reason, "gets no work while it rests, and is tried again")
}

// healthController probes endpoints that get no work, to find out whether they have
// recovered.
type healthController struct{ state *EngineState }

func (c healthController) tick() {
	for _, s := range c.state.sortedServices() {
		for _, ep := range s.Dispatched {
			ejected := ep.Draining || ep.Misrouted || ep.EjectedUntil > c.state.Now
			age := c.state.Now - ep.ProbedAt
			if ejected && age >= probePeriod || ep.SuspectedSince != 0 && age >= suspectProbePeriod {
				ep.ProbedAt = c.state.Now
				c.state.emit(ProbeEndpoint{Endpoint: ep.Record.Address, Host: s.Record.Host})
			}
		}
	}
}

// probeEnded processes the result of a probe. An answer that doesn't say draining ends the
// draining state of an endpoint, and a healthy one the misrouted state. A probe never ejects
// an endpoint: only failed requests do, also soon after a good probe.
func (c healthController) probeEnded(ev ProbeEnded) {
	ep := c.state.Endpoints[ev.Endpoint]
	if ep == nil {
		return
	}
	c.state.updateSuspicion(ep, ev)
	if !ev.Answered {
		return
	}
	if ep.Draining && !ev.Draining {
		ep.Draining = false
		c.state.Report.clear(conditionDraining, ep.subject())
	}
	if ep.Misrouted && ev.Healthy && !ev.Draining {
		ep.Misrouted = false
		c.state.Report.clear(conditionMisrouted, ep.subject())
	}
	if s := c.state.Services[ep.ServiceHash]; s != nil {
		c.state.scheduleFill(s)
	}
}
