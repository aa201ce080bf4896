package instance

import (
	"math/bits"

	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// Learning of classes.
const (
	longBodyBytes = 256 << 10 // request size from which an unclassified request counts as long before any of its size was seen, in bytes
	longRunFactor = 5.0       // run times of the quickest size from which a size counts as long
	sizeBuckets   = 32        // sizes told apart, by the power of 2
)

// classOf returns the class of a request: the caller's, the record's, or what
// requests of its size were of late.
func (st *EngineState) classOf(s *Service, class packet.Class, size int) packet.Class {
	switch {
	case class != packet.ClassUnknown:
		return class
	case s.Record.Class == record.ClassLong:
		return packet.ClassLong
	case s.Record.Class == record.ClassShort:
		return packet.ClassShort
	}
	return s.learnedClass(size)
}

// learnedClass returns the class of requests of a size by their run times.
func (s *Service) learnedClass(size int) packet.Class {
	fastest := 0.0
	for _, a := range s.RunTimesBySize {
		if a.Samples >= trustedSamples && (fastest == 0 || a.Value < fastest) {
			fastest = max(a.Value, minRunTime)
		}
	}
	stats := s.RunTimesBySize[sizeBucket(size)]
	switch {
	case stats.Samples < trustedSamples && size >= longBodyBytes, stats.Samples >= trustedSamples && stats.Value > longRunFactor*fastest:
		return packet.ClassLong
	}
	return packet.ClassShort
}

// sizeBucket returns the place of a request's size in Service.Sizes.
func sizeBucket(size int) int { return min(bits.Len(uint(size)), sizeBuckets-1) }
