package instance

import (
	"math/bits"

	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// Classification of requests by their size.
const (
	longBodyBytes = 256 << 10 // unclassified requests of at least this size count as long until run times of their size are known
	longRunFactor = 5.0       // a size counts as long when its mean run time exceeds the fastest size's by this factor
	sizeBuckets   = 32        // sizes are grouped by the power of 2
)

// classOf returns the class of a request: the one that the caller states, else the one
// in the service's record, else the one learned from requests of its size.
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

// learnedClass returns the class of requests of a size, judged by the run times of
// earlier requests of about that size.
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

// sizeBucket returns the index of a request's size in Service.RunTimesBySize.
func sizeBucket(size int) int { return min(bits.Len(uint(size)), sizeBuckets-1) }
