package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// deferJob defers a job that no instance and no backend server takes, to be placed again
// later: within seconds, a dead instance is replaced or a backend server takes work again.
// It reports false when the service has no active endpoint, when it has as many deferred
// jobs as its queue limit, and when the job was first deferred maxDeferral ago.
func (c placementController) deferJob(j *Job) bool {
	s := j.Service
	if !s.hasActiveEndpoint() || len(s.Deferred) >= s.Record.Queue {
		return false
	}
	if j.DeferredSince == 0 {
		j.DeferredSince = c.state.Now
		c.state.emit(LogDecision{Decision: "hold", Reason: packet.ReasonBackend.String(), Service: s.Record.Name, Subject: requestSubject(&j.Work), Level: LevelDebug})
	}
	if c.state.Now-j.DeferredSince >= maxDeferral {
		return false
	}
	j.RetryAt = c.state.Now + minDeferDelay<<min(j.Deferrals, maxDeferDoublings)
	j.Deferrals++
	j.Tries, j.AvoidPeer = 0, nil
	s.Deferred = append(s.Deferred, j)
	return true
}

// borrowEndpoint runs a job that has been deferred for borrowDelay at an endpoint that
// another instance dispatches. That instance can't be reached from here and may be dead,
// which would leave its endpoints unused. If it is alive, both instances give the endpoint
// runs, each at most as many as it has slots.
func (c placementController) borrowEndpoint(j *Job) bool {
	if j.DeferredSince == 0 || c.state.Now-j.DeferredSince < borrowDelay || c.state.StoppingSince != 0 {
		return false
	}
	ep := c.borrowableEndpoint(j)
	if ep == nil {
		return false
	}
	if !j.mayStart() {
		c.state.requestPermit(j.Request)
		return false
	}
	c.state.logDecision("borrow", packet.ReasonBackend.String(), j.Work.Service, ep.subject(), requestSubject(&j.Work))
	dispatchController(c).startRun(j, ep)
	return true
}

// borrowableEndpoint returns a usable endpoint with fewer runs from this instance than
// it has slots, or nil. It prefers endpoints in this data centre.
func (c placementController) borrowableEndpoint(j *Job) *Endpoint {
	s := j.Service
	var far *Endpoint
	for _, ep := range s.allowedEndpoints(j, s.Endpoints, c.state.Now) {
		switch {
		case !ep.Usable(c.state.Now) || ep.Running >= ep.Record.Slots:
		case ep.Backend.Centre == c.state.Self.Instance.Centre:
			return ep
		case far == nil:
			far = ep
		}
	}
	return far
}
