package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// hold lets a job wait until an instance that died is replaced or a backend
// server takes work again, and reports whether it may.
func (c placeController) hold(j *Job) bool {
	s := j.Service
	if !s.active() || len(s.Deferred) >= s.Record.Queue {
		return false
	}
	if j.DeferredSince == 0 {
		j.DeferredSince = c.b.Now
		c.b.do(LogDecision{Decision: "hold", Reason: packet.ReasonBackend.String(), Service: s.Record.Name, Subject: runSubject(&j.Work), Level: LevelDebug})
	}
	if c.b.Now-j.DeferredSince >= holdLimit {
		return false
	}
	j.RetryAt = c.b.Now + firstHold<<min(j.Deferrals, maxHolds)
	j.Deferrals++
	j.Tries, j.AvoidPeer = 0, nil
	s.Deferred = append(s.Deferred, j)
	return true
}

// borrow runs a job that was held for long at an endpoint that another instance
// dispatches: that one can't be reached, and may be gone for all others too. As
// when two instances believe that they dispatch an endpoint, each fills its slots
// at most once.
func (c placeController) borrow(j *Job) bool {
	if j.DeferredSince == 0 || c.b.Now-j.DeferredSince < borrowAfter || c.b.StoppingSince != 0 {
		return false
	}
	ep := c.lendable(j)
	if ep == nil {
		return false
	}
	if !j.mayStart() {
		c.b.ask(j.Request)
		return false
	}
	c.b.note("borrow", packet.ReasonBackend.String(), j.Work.Service, ep.subject(), runSubject(&j.Work))
	dispatchController(c).start(j, ep)
	return true
}

// lendable returns an endpoint with room for a run from here, of this data centre
// rather than of another, or nil.
func (c placeController) lendable(j *Job) *Endpoint {
	s := j.Service
	var far *Endpoint
	for _, ep := range s.among(j, s.Endpoints, c.b.Now) {
		switch {
		case !ep.Usable(c.b.Now) || ep.Running >= ep.Record.Slots:
		case ep.Backend.Centre == c.b.Self.Instance.Centre:
			return ep
		case far == nil:
			far = ep
		}
	}
	return far
}
