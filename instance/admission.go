package instance

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Slots kept from long work.
const (
	agedFactor        = 2.0 // usual run times after which long work that waits has aged
	urgentFactor      = 2.0 // run times before its deadline when long work may take any slot
	deadlineFitFactor = 1.0 // share of the expected run time that must be left to start
)

// longSlots returns how many slots of the endpoints dispatched here a long job may
// find in use by long work: the share of the work that is long, so that short work
// finds the others, one more when the job has aged, and all when its deadline is
// near. Short work comes first at every slot that comes free.
func (c dispatchController) longSlots(s *Service, j *Job) int {
	slots := s.UsableSlots(c.state.Now)
	maxLimit := max(1, slots-1)
	limit := min(max(1, int(math.Floor(float64(slots)*s.longShare()))), maxLimit)
	runTime := s.RunTimes[packet.ClassLong].Value
	switch {
	case float64(j.Work.Deadline-c.state.Now) < urgentFactor*runTime:
		return slots
	case float64(c.state.Now-j.QueuedAt) > agedFactor*runTime:
		return min(limit+1, maxLimit)
	}
	return limit
}

// fitsDeadline reports whether a job is expected to end by its deadline at an endpoint.
// An idle endpoint takes any job, so that run times that fell are learnt.
func (c dispatchController) fitsDeadline(s *Service, j *Job, ep *Endpoint) bool {
	if ep.Running == 0 || ep.RunTimes[j.Work.Class].Samples < trustedSamples {
		return true
	}
	return c.state.Now+clock.Millis(deadlineFitFactor*s.runTime(ep, j.Work.Class)) <= j.Work.Deadline
}

// refuseLate refuses the first jobs of a queue that are expected to end by their deadline
// nowhere here, so that they do not keep others waiting, and returns the rest.
func (c dispatchController) refuseLate(s *Service, queue []*Job) []*Job {
	for len(queue) > 0 && queue[0].mayStart() && c.fitsNowhere(s, queue[0]) {
		j := queue[0]
		queue = queue[1:]
		reason := packet.ReasonDeadline
		if j.Request == nil {
			reason = packet.ReasonBusy // its owner may know a better place
		}
		c.state.refuseJob(j, reason)
	}
	return queue
}

// fitsNowhere reports whether a job fits at no endpoint here that can be used.
func (c dispatchController) fitsNowhere(s *Service, j *Job) bool {
	usable := false
	for _, ep := range s.allowedEndpoints(j, s.Dispatched, c.state.Now) {
		if !ep.Usable(c.state.Now) {
			continue
		}
		if c.fitsDeadline(s, j, ep) {
			return false
		}
		usable = true
	}
	return usable
}
