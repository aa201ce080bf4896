package instance

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Spilling of work to other data centres.
const (
	assumedHandOverCost = 50.0              // what handing work to another data centre costs before any was measured, in ms
	handOverCostMaxAge  = 10 * clock.Second // older measurements do not count
	minSpillGain        = 20.0              // ms by which another data centre must be quicker
)

// spill returns an instance of another data centre when local capacity is spent,
// the service's rule allows it, the other can be reached, and work is expected to
// be answered sooner there at the cost measured of late; else nil. near is how
// long the job would wait in this data centre, in ms.
func (c placeController) chooseSpillTarget(j *Job, near float64) *Dispatcher {
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

// nearest returns the shorter of the waits here and at another instance, in ms.
func (c placeController) shortestWait(j *Job, here float64, other *Dispatcher) float64 {
	if other == nil {
		return here
	}
	return min(here, c.waitAt(j.Service, other, j.Work.Class))
}

// trip returns what handing work to an instance costs beyond its run, in ms: the
// way and the wait there.
func (c placeController) handOverCost(m *Member) float64 {
	if m.HandOverCost.Samples == 0 || c.state.Now-m.HandOverCostAt > handOverCostMaxAge {
		return assumedHandOverCost
	}
	return m.HandOverCost.Value
}

// measureTrip learns from work that another instance answered.
func (c placeController) recordHandOverCost(j *Job, m *Member) {
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
