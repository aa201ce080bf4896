package admission

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Size of a sketch.
const (
	sketchRows = 3
	sketchCols = 64
)

// sketch counts the recent openings of each consumer address, in fixed memory. It may count
// too many for an address, never too few.
type sketch struct {
	counts [sketchRows][sketchCols]float32
	total  float32
	at     clock.Millis // of the latest opening
}

// add counts an opening, and returns the recent ones of its address.
func (s *sketch) add(now clock.Millis, address uint32) float64 {
	s.fade(now)
	s.total++
	least := float32(math.Inf(1))
	hash := hashOf(address)
	for row := range s.counts {
		c := &s.counts[row][hash>>(16*row)%sketchCols]
		*c++
		least = min(least, *c)
	}
	return float64(least)
}

func (s *sketch) fade(now clock.Millis) {
	f := float32(fading(now - s.at))
	s.at = now
	s.total *= f
	for row := range s.counts {
		for i := range s.counts[row] {
			s.counts[row][i] *= f
		}
	}
}

func hashOf(address uint32) uint64 {
	return xxhash.Sum64([]byte{byte(address >> 24), byte(address >> 16), byte(address >> 8), byte(address)})
}
