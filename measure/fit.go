package measure

import (
	"slices"
	"strconv"
)

// minMedianMax returns the smallest value, the median (of an even number of values, the upper
// of the middle two) and the largest value, or zeros if there are no values.
func minMedianMax(values []float64) (lowest, median, highest float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// point is the cost measured at one size.
type point struct{ size, cost float64 }

// fitLine fits cost = base + slope*size by least squares of the relative differences, so
// that small sizes count as much as large ones. Costs of zero or less are left out.
func fitLine(points []point) (base, slope float64) {
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
	determinant := w*wxx - wx*wx
	if determinant == 0 {
		return 0, 0
	}
	slope = (w*wxy - wx*wy) / determinant
	return (wy - slope*wx) / w, slope
}

func itoa(n int) string { return strconv.Itoa(n) }
