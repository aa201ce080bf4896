package steering

import (
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Tally counts the answers and failures of one endpoint that an instance saw since its
// previous tally. Instances exchange tallies, and each adds them to its own counts.
type Tally struct {
	_       struct{} `cbor:",toarray"`
	Token   Token
	Normal  int // answers of normal size
	Small   int // small answers
	Overdue int // overdue requests
	// How long ago unanswered requests were sent. Until TakeTallies, the times at which
	// they were sent.
	UnansweredAges []clock.Millis
}

// Limits of the fields of a tally.
const (
	MaxTallyCount = 1_000_000
	MaxTallyAge   = 1 * clock.Hour
)

// ErrTally reports a tally with a field that exceeds its limits.
var ErrTally = errors.New("tally is invalid")

// Check returns an error for the first field that exceeds its limits.
func (t *Tally) Check() error {
	for _, n := range []int{t.Normal, t.Small, t.Overdue} {
		if n < 0 || n > MaxTallyCount {
			return errors.Wrapf(ErrTally, "count %d is not within 0 to %d", n, MaxTallyCount)
		}
	}
	for _, age := range t.UnansweredAges {
		if age < 0 || age > MaxTallyAge {
			return errors.Wrapf(ErrTally, "age of %d ms is not within 0 to %d", age, MaxTallyAge)
		}
	}
	return nil
}

// TakeTallies returns the tallies that the other instances need, and starts new ones.
func (e *Engine) TakeTallies(now clock.Millis) (list []Tally) {
	for t, same := range e.directory.byToken {
		for _, s := range same {
			if s.failures.tallyPending {
				tally := s.failures.tally
				tally.Token = t
				for i := range tally.UnansweredAges {
					tally.UnansweredAges[i] = now - tally.UnansweredAges[i]
				}
				list = append(list, tally)
			}
			s.failures.tally, s.failures.tallyPending = Tally{}, false
		}
	}
	return list
}

// applyTallies adds the counts of another instance.
func (e *Engine) applyTallies(now clock.Millis, v TalliesReported) []Action {
	for _, t := range v.Tallies {
		same := e.directory.byToken[t.Token]
		if len(same) != 1 {
			continue
		}
		s := same[0]
		if t.Normal > 0 {
			s.failures.recordNormal(now, t.Normal)
		}
		if t.Small > 0 {
			e.recordSmall(now, s, t.Small)
		}
		if t.Overdue > 0 {
			e.addOverdue(now, s, t.Overdue)
		}
		for _, ago := range t.UnansweredAges {
			e.addUnanswered(now, s, now-ago)
		}
	}
	return e.TakeActions()
}
