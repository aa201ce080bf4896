package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Tally is what one instance saw of an endpoint in a while.
type Tally struct {
	_              struct{} `cbor:",toarray"`
	Token          Token
	Normal         int            // answers of usual size
	Small          int            // small answers
	Overdue        int            // requests that became overdue
	UnansweredAges []clock.Millis // how long ago requests were asked whose answers nobody saw
}

// TakeTallies returns what others should know of what was seen of endpoints since
// the last call.
func (e *Engine) TakeTallies(now clock.Millis) (list []Tally) {
	for t, same := range e.directory.byToken {
		for _, s := range same {
			if s.judgement.tell {
				tally := s.judgement.tally
				tally.Token = t
				for i := range tally.UnansweredAges {
					tally.UnansweredAges[i] = now - tally.UnansweredAges[i]
				}
				list = append(list, tally)
			}
			s.judgement.tally, s.judgement.tell = Tally{}, false
		}
	}
	return list
}

// seen takes in what another instance saw.
func (e *Engine) seen(now clock.Millis, tallies []Tally) []Action {
	for _, t := range tallies {
		same := e.directory.byToken[t.Token]
		if len(same) != 1 {
			continue
		}
		s := same[0]
		if t.Normal > 0 {
			s.judgement.normal(now, t.Normal)
		}
		if t.Small > 0 {
			e.smalls(now, s, t.Small)
		}
		if t.Overdue > 0 {
			e.dues(now, s, t.Overdue)
		}
		for _, ago := range t.UnansweredAges {
			e.unseenDue(now, s, now-ago)
		}
	}
	return e.TakeActions()
}
