package demand

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Limits of what a message says of one endpoint, and of the endpoints in one message.
const (
	MaxCount   = 1_000_000         // flows, pending requests or answers
	MaxLatency = 10 * clock.Minute // mean of an endpoint
	MaxLoads   = 100
	// Bytes of the loads in one message, which fit beside a heartbeat.
	maxLoadBytes = 800
	// Parts of a digest or a summary.
	MaxParts = 128
)

// ErrDemand reports a digest or a summary that exceeds its limits.
var ErrDemand = errors.New("load report is invalid")

// Load is the load of an endpoint.
type Load struct {
	Token   uint32 // of the endpoint
	Flows   int
	Pending int          // requests without an answer
	Latency clock.Millis // mean latency
	Answers int          // recent answers that the mean counts; 0 if there is none
}

// loadSum adds up the loads that instances have at an endpoint. The order doesn't matter.
type loadSum struct {
	Load
	total clock.Millis // latency of all answers
}

func (l *loadSum) add(o *Load) {
	l.Flows = min(l.Flows+o.Flows, MaxCount)
	l.Pending = min(l.Pending+o.Pending, MaxCount)
	l.Answers += o.Answers
	l.total += o.Latency * clock.Millis(o.Answers)
}

// load returns the sum.
func (l *loadSum) load() Load {
	v := l.Load
	if n := clock.Millis(v.Answers); n > 0 {
		v.Latency = (l.total + n/2) / n
	}
	v.Answers = min(v.Answers, MaxCount)
	return v
}

// Loads are the loads of endpoints, sorted by token. They are encoded as a string of bytes: for each
// endpoint four bytes of its token, and its numbers as varints.
type Loads []Load

// MarshalBinary implements encoding.BinaryMarshaler.
func (l Loads) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, 10*len(l))
	for i := range l {
		b = binary.BigEndian.AppendUint32(b, l[i].Token)
		for _, n := range l[i].numbers() {
			b = binary.AppendUvarint(b, uint64(n))
		}
	}
	return b, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (l *Loads) UnmarshalBinary(b []byte) error {
	*l = nil
	for len(b) > 0 {
		if len(b) < 4 || len(*l) == MaxLoads {
			return errors.Wrapf(ErrDemand, "an endpoint is incomplete, or there are more than %d", MaxLoads)
		}
		v := Load{Token: binary.BigEndian.Uint32(b)}
		b = b[4:]
		var numbers [4]int
		for i := range numbers {
			n, size := binary.Uvarint(b)
			if size <= 0 || n > MaxCount {
				return errors.Wrapf(ErrDemand, "endpoint %d: a number is incomplete or above %d", v.Token, MaxCount)
			}
			numbers[i], b = int(n), b[size:]
		}
		v.Flows, v.Pending, v.Latency, v.Answers = numbers[0], numbers[1], clock.Millis(numbers[2]), numbers[3]
		*l = append(*l, v)
	}
	return nil
}

// check returns an error unless the loads are those of one part, sorted and within their limits.
func (l Loads) check(part, parts int) error {
	if parts < 1 || parts > MaxParts || part < 0 || part >= parts {
		return errors.Wrapf(ErrDemand, "part %d of %d is not within 1 to %d", part, parts, MaxParts)
	}
	for i := range l {
		switch {
		case i > 0 && l[i-1].Token >= l[i].Token:
			return errors.Wrapf(ErrDemand, "endpoint %d isn't sorted", l[i].Token)
		case PartOf(l[i].Token, parts) != part:
			return errors.Wrapf(ErrDemand, "endpoint %d isn't of part %d", l[i].Token, part)
		case l[i].Latency > MaxLatency:
			return errors.Wrapf(ErrDemand, "latency of %d ms is above %d", l[i].Latency, MaxLatency)
		}
	}
	return nil
}

// PartOf returns the part that has an endpoint. It is the same for all instances, so a part
// replaces an earlier one as a whole.
func PartOf(token uint32, parts int) int { return int(token % uint32(parts)) }

// split sorts loads and divides them into parts that each fit into a message.
func split(list []Load) []Loads {
	slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(a.Token, b.Token) })
	for n := 1; ; n++ {
		if parts := splitInto(list, n); parts != nil {
			return parts
		}
	}
}

// splitInto returns nil if a part gets too large, unless there are too many parts.
func splitInto(list []Load, n int) []Loads {
	parts, sizes := make([]Loads, n), make([]int, n)
	for i := range list {
		part, size := PartOf(list[i].Token, n), list[i].size()
		if len(parts[part]) == MaxLoads || sizes[part]+size > maxLoadBytes {
			if n < MaxParts {
				return nil
			}
			continue
		}
		parts[part], sizes[part] = append(parts[part], list[i]), sizes[part]+size
	}
	return parts
}

// size returns the bytes of an encoded load.
func (l *Load) size() int {
	n := 4
	for _, v := range l.numbers() {
		n += (bits.Len(uint(v)|1) + 6) / 7
	}
	return n
}

func (l *Load) numbers() [4]int { return [4]int{l.Flows, l.Pending, int(l.Latency), l.Answers} }
