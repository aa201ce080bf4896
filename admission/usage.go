package admission

import (
	"math"

	"github.com/tanagerdock/tanagerdock/clock"
)

// usageTime is the time over which openings count as recent.
const usageTime = 5 * clock.Second

// fading returns the factor of a count after a time.
func fading(passed clock.Millis) float64 {
	return math.Exp(-float64(max(passed, 0)) / float64(usageTime))
}

// usage counts the recent openings of each priority.
type usage struct {
	openings map[int]float64
	at       clock.Millis
}

func (u *usage) add(now clock.Millis, priority int) {
	if u.openings == nil {
		u.openings = map[int]float64{}
	}
	f := fading(now - u.at)
	u.at = now
	for p := range u.openings {
		if u.openings[p] *= f; u.openings[p] < 0.1 {
			delete(u.openings, p)
		}
	}
	u.openings[priority]++
}

// shares returns the shares of the recent openings that have a higher priority, this one, and a
// lower one.
func (u *usage) shares(priority int) (higher, same, lower float64) {
	total := 0.0
	for p, n := range u.openings {
		total += n
		switch {
		case p < priority:
			higher += n
		case p == priority:
			same += n
		default:
			lower += n
		}
	}
	total = max(total, 1)
	return higher / total, same / total, lower / total
}
