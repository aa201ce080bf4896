package instance

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Limits of the slots that long requests may occupy, and of the time left to run.
const (
	agedFactor        = 2.0 // a long job may use one more slot after waiting this many mean run times
	urgentFactor      = 2.0 // a long job may use any slot when fewer mean run times than this are left
	deadlineFitFactor = 1.0 // a job starts only if this many expected run times are left until its deadline
)

// longSlots returns how many slots of the endpoints dispatched here long jobs may occupy,
// with the given one. The limit is proportional to the share of recent work that is long,
// and leaves at least one of several slots, so that short jobs find free slots. It is one
// higher for a job that has waited long, and doesn't apply near the job's deadline.
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
// An idle endpoint takes any job: otherwise one whose mean run time exceeds the deadlines
// would get no jobs, and a recovery would never show in its run times.
func (c dispatchController) fitsDeadline(s *Service, j *Job, ep *Endpoint) bool {
	if ep.Running == 0 || ep.RunTimes[j.Work.Class].Samples < trustedSamples {
		return true
	}
	return c.state.Now+clock.Millis(deadlineFitFactor*s.runTime(ep, j.Work.Class)) <= j.Work.Deadline
}

// refuseLate refuses the jobs at the head of a queue that no endpoint here is expected
// to finish by their deadline, as they would block the jobs behind them. It returns the
// rest of the queue.
func (c dispatchController) refuseLate(s *Service, queue []*Job) []*Job {
	for len(queue) > 0 && queue[0].mayStart() && c.fitsNowhere(s, queue[0]) {
		j := queue[0]
		queue = queue[1:]
		reason := packet.ReasonDeadline
		if j.Request == nil {
			reason = packet.ReasonBusy // the owner of its flow may find another instance for it
		}
		c.state.refuseJob(j, reason)
	}
	return queue
}

// fitsNowhere reports whether there are usable endpoints here and none is expected to
// finish a job by its deadline.
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
