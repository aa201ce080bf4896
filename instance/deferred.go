package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// deferJob lets a job wait until an instance that died is replaced or a backend
// server takes work again, and reports whether it may.
func (c placeController) deferJob(j *Job) bool {
	s := j.Service
	if !s.hasActiveEndpoint() || len(s.Deferred) >= s.Record.Queue {
		return false
	}
	if j.DeferredSince == 0 {
		j.DeferredSince = c.state.Now
		c.state.emit(LogDecision{Decision: "hold", Reason: packet.ReasonBackend.String(), Service: s.Record.Name, Subject: runSubject(&j.Work), Level: LevelDebug})
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

// borrowEndpoint runs a job that was held for long at an endpoint that another instance
// dispatches: that one can't be reached, and may be gone for all others too. As
// when two instances believe that they dispatch an endpoint, each fills its slots
// at most once.
func (c placeController) borrowEndpoint(j *Job) bool {
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
	c.state.logDecision("borrow", packet.ReasonBackend.String(), j.Work.Service, ep.subject(), runSubject(&j.Work))
	dispatchController(c).startRun(j, ep)
	return true
}

// borrowableEndpoint returns an endpoint with room for a run from here, of this data centre
// rather than of another, or nil.
func (c placeController) borrowableEndpoint(j *Job) *Endpoint {
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
