package instance

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Spilling of work to other data centres when local capacity is exhausted.
const (
	assumedHandOverCost = 50.0              // cost of a hand-over to another data centre before it was measured, in ms
	handOverCostMaxAge  = 10 * clock.Second // older measurements are discarded
	minSpillGain        = 20.0              // the other data centre must be this much faster, in ms
)

// chooseSpillTarget returns an instance of another data centre for a job if the service's
// rule allows it, the job would have to wait in this data centre, and the recent cost of a
// hand-over is lower than that wait by minSpillGain; else nil. near is the wait in this data
// centre, in ms.
func (c placementController) chooseSpillTarget(j *Job, near float64) *Dispatcher {
	r := j.Service.rule(j.Work.Class)
	if r == nil || !r.Spill || near <= 0 {
		return nil
	}
	far := c.farDispatchers(j, j.AvoidPeer)
	if len(far) == 0 {
		return nil
	}
	best := &far[c.state.random.IntN(len(far))]
	if second := &far[c.state.random.IntN(len(far))]; c.handOverCost(second.Member) < c.handOverCost(best.Member) {
		best = second
	}
	if c.handOverCost(best.Member)+minSpillGain < near {
		return best
	}
	return nil
}

// shortestWait returns the shorter of the waits here and at another instance, in ms.
func (c placementController) shortestWait(j *Job, here float64, other *Dispatcher) float64 {
	if other == nil {
		return here
	}
	return min(here, c.waitAt(j.Service, other, j.Work.Class))
}

// handOverCost returns the time that a hand-over to an instance takes beyond the run, in ms:
// the round trip and the wait there.
func (c placementController) handOverCost(m *Member) float64 {
	if m.HandOverCost.Samples == 0 || c.state.Now-m.HandOverCostAt > handOverCostMaxAge {
		return assumedHandOverCost
	}
	return m.HandOverCost.Value
}

// recordHandOverCost updates HandOverCost when another data centre has answered a hand-over.
func (c placementController) recordHandOverCost(j *Job, m *Member) {
	runTime := j.Service.RunTimes[j.Work.Class]
	if m.Instance.Centre == c.state.Self.Instance.Centre || runTime.Samples == 0 {
		return
	}
	if c.state.Now-m.HandOverCostAt > handOverCostMaxAge {
		m.HandOverCost = MovingAverage{}
	}
	m.HandOverCost.Add(math.Max(0, float64(c.state.Now-j.StartedAt)-runTime.Value))
	m.HandOverCostAt = c.state.Now
}
