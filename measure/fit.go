package measure

import (
	"slices"
	"strconv"
)

// spreadOf returns the smallest, middle and largest of values.
func spreadOf(values []float64) (low, middle, high float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// point is one measured cost at one size.
type point struct{ size, cost float64 }

// fit returns the line cost = base + slope*size with the least squares of the
// relative differences, so that small sizes count as much as large ones.
func fit(points []point) (base, slope float64) {
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		if p.cost <= 0 {
			continue
		}
		weight := 1 / (p.cost * p.cost)
		w += weight
		wx += weight * p.size
		wy += weight * p.cost
		wxx += weight * p.size * p.size
		wxy += weight * p.size * p.cost
	}
	spread := w*wxx - wx*wx
	if spread == 0 {
		return 0, 0
	}
	slope = (w*wxy - wx*wy) / spread
	return (wy - slope*wx) / w, slope
}

func itoa(n int) string { return strconv.Itoa(n) }
