package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// How long an endpoint gets no new work after trouble, and how often troubled
// ones are asked whether they have recovered.
const (
	shedPause    = 100 * clock.Millisecond
	failPause    = 100 * clock.Millisecond // doubles with each failure in a row
	maxPause     = 5 * clock.Second
	failsAllowed = 1 // failures in a row after bytes were sent, before the endpoint rests
	probePeriod  = 1 * clock.Second
)

// learn takes in what the end of a run tells about its endpoint.
func (b *EngineState) learn(ep *Endpoint, j *Job, r Result) {
	switch r.Outcome {
	case OutcomeAnswered:
		b.learnAnswer(ep, j)
	case OutcomeMisrouted:
		ep.Misrouted = true
		b.note("eject", "misrouted", j.Work.Service, ep.subject(), runSubject(&j.Work))
		b.Report.raise(b.Now, conditionMisrouted, ep.subject(), "it does not serve "+j.Work.Service, "gets no work until it says that it does or its record changes")
	case OutcomeNotRun:
		b.learnRefusal(ep, r)
	case OutcomeUnknown:
		if !j.Dropped || r.Silent {
			b.learnFailure(ep, j, r)
		}
	}
	if r.Draining && !ep.Draining {
		ep.Draining = true
		b.note("eject", "draining", j.Work.Service, ep.subject(), "")
		b.Report.raise(b.Now, conditionDraining, ep.subject(), "it says that it is draining", "gets no new work")
	}
}

func (b *EngineState) learnAnswer(ep *Endpoint, j *Job) {
	ep.FailureStreak = 0
	b.Report.clear(conditionBackend, ep.subject())
	b.Report.clear(conditionSilent, ep.subject())
	b.Report.clear(conditionNoBackend, "service/"+j.Work.Service)
	if j.Service.QueueLength() == 0 {
		b.Report.clear(conditionOverload, "service/"+j.Work.Service)
	}
	took := b.Now - j.StartedAt
	j.Service.RunTimes[j.Work.Class].Add(float64(took))
	ep.RunTimes[j.Work.Class].Add(float64(took))
	b.compare(ep, j)
	j.Service.RunTimesBySize[sizeOf(len(j.Work.Body))].Add(float64(took))
	j.Service.RetryBudget = min(j.Service.RetryBudget+retryShare, retryBurst)
	b.do(ObserveValue{Metric: "run_ms", Service: j.Work.Service, Class: j.Work.Class, Value: int64(took)})
}

// Reporting of slow endpoints.
const (
	slowTimes = 4.0 // run times usual for the service from which an endpoint counts as slow
	slowRuns  = 20  // answers of an endpoint before it is compared
)

// compare reports an endpoint that takes much longer than is usual for the service.
// It goes on getting the work that it can carry.
func (b *EngineState) compare(ep *Endpoint, j *Job) {
	own, usual := ep.RunTimes[j.Work.Class], j.Service.RunTimes[j.Work.Class]
	if own.Samples < slowRuns {
		return
	}
	if own.Value < slowTimes*usual.Value {
		b.Report.clear(conditionSlow, ep.subject())
		return
	}
	b.Report.raise(b.Now, conditionSlow, ep.subject(), "it takes much longer than others of the service", "gets the share of work that it carries")
}

func (b *EngineState) learnRefusal(ep *Endpoint, r Result) {
	if r.Shed || r.Draining {
		ep.EjectedUntil = max(ep.EjectedUntil, b.Now+shedPause)
		return
	}
	if !r.Connected {
		b.rest(ep, "connections are refused", r.Detail)
	}
}

func (b *EngineState) learnFailure(ep *Endpoint, j *Job, r Result) {
	if r.Silent {
		b.Report.raise(b.Now, conditionSilent, ep.subject(), "a request was not answered in time", "the connection was replaced")
		b.note("silent", "timeout", "", ep.subject(), r.Detail)
	}
	if r.Silent && j.StartedAt <= ep.SilentAt {
		return // its connection was lost together with an earlier one
	}
	if r.Silent {
		ep.SilentAt = b.Now
	}
	if ep.FailureStreak < failsAllowed {
		ep.FailureStreak++
		return
	}
	b.rest(ep, "requests fail", r.Detail)
}

// rest keeps new work from an endpoint for a while, longer after each failure.
func (b *EngineState) rest(ep *Endpoint, reason, detail string) {
	pause := min(failPause<<min(ep.FailureStreak, 10), maxPause)
	ep.FailureStreak++
	ep.EjectedUntil = b.Now + pause
	b.note("eject", "failing", "", ep.subject(), detail)
	b.Report.raise(b.Now, conditionBackend, ep.subject(), reason, "gets no work while it rests, and is tried again")
}

// healthController asks endpoints in trouble whether they have recovered.
type healthController struct{ b *EngineState }

func (c healthController) tick() {
	for _, s := range c.b.sortedServices() {
		for _, ep := range s.Dispatched {
			troubled := ep.Draining || ep.Misrouted || ep.EjectedUntil > c.b.Now
			age := c.b.Now - ep.ProbedAt
			if troubled && age >= probePeriod || ep.SuspectedSince != 0 && age >= doubtPeriod {
				ep.ProbedAt = c.b.Now
				c.b.do(ProbeEndpoint{Endpoint: ep.Record.Address, Host: s.Record.Host})
			}
		}
	}
}

// probeEnded lets an endpoint that says it is well take work again. Its word
// counts only for that: work that fails ejects it anew.
func (c healthController) probeEnded(ev ProbeEnded) {
	ep := c.b.Endpoints[ev.Endpoint]
	if ep == nil {
		return
	}
	c.b.probed(ep, ev)
	if !ev.Answered {
		return
	}
	if ep.Draining && !ev.Draining {
		ep.Draining = false
		c.b.Report.clear(conditionDraining, ep.subject())
	}
	if ep.Misrouted && ev.Healthy && !ev.Draining {
		ep.Misrouted = false
		c.b.Report.clear(conditionMisrouted, ep.subject())
	}
	if s := c.b.Services[ep.ServiceHash]; s != nil {
		c.b.pump(s)
	}
}
