package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// hold lets a job wait until an instance that died is replaced or a backend
// server takes work again, and reports whether it may.
func (c placeController) hold(j *Job) bool {
	s := j.Service
	if !s.active() || len(s.Held) >= s.Record.Queue {
		return false
	}
	if j.Held == 0 {
		j.Held = c.b.Now
		c.b.do(Note{Decision: "hold", Reason: packet.ReasonBackend.String(), Service: s.Record.Name, Subject: runSubject(&j.Work), Level: LevelDebug})
	}
	if c.b.Now-j.Held >= holdLimit {
		return false
	}
	j.Again = c.b.Now + firstHold<<min(j.Holds, maxHolds)
	j.Holds++
	j.Tries, j.Avoid = 0, nil
	s.Held = append(s.Held, j)
	return true
}

// borrow runs a job that was held for long at an endpoint that another instance
// dispatches: that one can't be reached, and may be gone for all others too. As
// when two instances believe that they dispatch an endpoint, each fills its slots
// at most once.
func (c placeController) borrow(j *Job) bool {
	if j.Held == 0 || c.b.Now-j.Held < borrowAfter || c.b.Stopping != 0 {
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
		case !ep.Usable(c.b.Now) || ep.Busy >= ep.Record.Slots:
		case ep.Backend.Centre == c.b.Self.Instance.Centre:
			return ep
		case far == nil:
			far = ep
		}
	}
	return far
}
