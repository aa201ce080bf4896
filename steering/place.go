package steering

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Weights of what makes an endpoint a worse choice. They answer demand that
// swings within seconds over endpoints of unequal speed.
const (
	// A request under way costs a newcomer its whole time; an open flow only the
	// share of time in which it has one under way.
	waitingWeight = 2.0
	// What an endpoint of another data centre has to be better by: the platform
	// charges bytes between data centres, and a cut breaks the flows that cross it.
	awayFactor = 30.0
	// An endpoint that has just started takes 1.6 times as long on the platform.
	coldFactor = 1.6
	// A silent endpoint is chosen only when there is no other.
	silentFactor = 1e6
)

// Bounds and pace of what is learnt of an endpoint's speed.
const (
	slownessPace  = 0.08 // weight of one answer; a dozen answers outweigh the guess
	slownessLeast = 0.4
	slownessMost  = 4.0
)

// load is what an endpoint has to do, as far as this daemon sees.
type load struct {
	flows   int
	waiting int // requests under way
	// Times answers took, in ms, smoothed; 0 before the first.
	pace float64
}

// learn takes the time of an answer in.
func (l *load) learn(took clock.Millis) {
	if l.pace == 0 {
		l.pace = float64(took)
		return
	}
	l.pace += slownessPace * (float64(took) - l.pace)
}

// place chooses an endpoint of a service for a new flow, or nil. It leaves out
// an endpoint that has just been tried.
func (e *Engine) place(now clock.Millis, service string, tried *server) *server {
	list := e.directory.byService[service]
	if len(list) == 0 {
		return nil
	}
	mean := meanPace(list)
	var best *server
	least := math.Inf(1)
	// Each daemon starts elsewhere, so that those that know as little don't all
	// choose the same.
	start := int(e.random.Uint64N(uint64(len(list))))
	for i := range list {
		s := list[(start+i)%len(list)]
		if s == tried {
			continue
		}
		if cost := e.cost(now, s, mean); cost < least {
			best, least = s, cost
		}
	}
	if best == nil {
		return list[0] // the one that has been tried
	}
	return best
}

// cost is what a new flow would meet at an endpoint.
func (e *Engine) cost(now clock.Millis, s *server, mean float64) float64 {
	cost := (1 + float64(s.load.flows) + waitingWeight*float64(s.load.waiting)) / float64(s.Slots)
	cost *= s.slowness(mean)
	if now < s.warm {
		cost *= coldFactor
	}
	if s.Centre != e.settings.Centre {
		cost *= awayFactor
	}
	if s.silence.avoided(now) || s.judgement.failing(now) {
		cost *= silentFactor
	}
	return cost
}

// slowness is how much longer an endpoint takes than the mean of its service.
func (s *server) slowness(mean float64) float64 {
	if s.load.pace == 0 || mean == 0 {
		return 1
	}
	return min(max(s.load.pace/mean, slownessLeast), slownessMost)
}

func meanPace(list []*server) float64 {
	sum, n := 0.0, 0
	for _, s := range list {
		if s.load.pace > 0 {
			sum += s.load.pace
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
