package instance

import (
	"math/bits"

	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// Learning of classes.
const (
	longBody  = 256 << 10 // request size from which an unclassified request counts as long before any of its size was seen, in bytes
	longTimes = 5.0       // run times of the quickest size from which a size counts as long
	sizes     = 32        // sizes told apart, by the power of 2
)

// classOf returns the class of a request: the caller's, the record's, or what
// requests of its size were of late.
func (b *EngineState) classOf(s *Service, class packet.Class, size int) packet.Class {
	switch {
	case class != packet.ClassUnknown:
		return class
	case s.Record.Class == record.ClassLong:
		return packet.ClassLong
	case s.Record.Class == record.ClassShort:
		return packet.ClassShort
	}
	return s.learntClass(size)
}

// learntClass returns the class of requests of a size by their run times.
func (s *Service) learntClass(size int) packet.Class {
	quickest := 0.0
	for _, a := range s.RunTimesBySize {
		if a.Samples >= usualRuns && (quickest == 0 || a.Value < quickest) {
			quickest = max(a.Value, smallestRun)
		}
	}
	own := s.RunTimesBySize[sizeOf(size)]
	switch {
	case own.Samples < usualRuns && size >= longBody, own.Samples >= usualRuns && own.Value > longTimes*quickest:
		return packet.ClassLong
	}
	return packet.ClassShort
}

// sizeOf returns the place of a request's size in Service.Sizes.
func sizeOf(size int) int { return min(bits.Len(uint(size)), sizes-1) }
