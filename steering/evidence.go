package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Evidence is what the instance knew of an endpoint when it reset its flows, for the log.
// Ages are -1 if there is nothing.
type Evidence struct {
	Probe           string       // result of the last own probe; empty if there is none
	ProbeAge        clock.Millis // since its result
	Voters          []string     // instances whose probes timed out
	Reporter        string       // instance that reported the endpoint as refused or failing; empty if none did
	ReportAge       clock.Millis
	UnansweredFlows int          // flows of this instance without an answer
	AnswerAge       clock.Millis // since the last answer to this instance
	EntryAge        clock.Millis // since the entry was written or removed
	RecordsAge      clock.Millis // since the store confirmed the endpoints
	Own             int          // failures that this instance saw, of those that decided
	Others          int          // failures that other instances saw
}

// observed is kept of each endpoint for Evidence only.
type observed struct {
	probe      ProbeResult
	probedAt   clock.Millis // when the result arrived; 0 if there is none
	reporter   string
	reportedAt clock.Millis
	// Failures that this instance saw itself.
	small, overdue, unanswered recentTimes
}

// recentTimes holds the latest times of something.
type recentTimes struct {
	at   [smallAnswersToEject]clock.Millis
	next int
}

func (r *recentTimes) add(at clock.Millis) {
	r.at[r.next] = at
	r.next = (r.next + 1) % len(r.at)
}

func (r *recentTimes) countSince(since clock.Millis) int {
	n := 0
	for _, at := range r.at {
		if at != 0 && at >= since {
			n++
		}
	}
	return n
}

// evidence returns what is known of an endpoint now. cause is that of the resets.
func (e *Engine) evidence(now clock.Millis, s *endpointState, cause string) Evidence {
	age := func(at clock.Millis) clock.Millis {
		if at == 0 {
			return -1
		}
		return now - at
	}
	o, f := &s.observed, &s.failures
	v := Evidence{
		ProbeAge: age(o.probedAt), Reporter: o.reporter, ReportAge: age(o.reportedAt),
		UnansweredFlows: s.silence.unansweredFlows, AnswerAge: age(s.silence.answeredAt),
		EntryAge: age(s.entryChangedAt), RecordsAge: age(e.directory.confirmedAt),
	}
	if o.probedAt != 0 {
		v.Probe = o.probe.String()
	}
	for _, w := range s.silence.votes {
		if now-w.at <= probeValidity {
			v.Voters = append(v.Voters, w.instance)
		}
	}
	all := 0
	switch cause {
	case causeSmall:
		all, v.Own = f.streak, o.small.countSince(f.streakStartedAt)
	case causeOverdue:
		all, v.Own = len(f.overdueAt), o.overdue.countSince(now-overdueWindow)
	case causeUnanswered:
		all, v.Own = len(f.unansweredAt), o.unanswered.countSince(now-maxFailureAge)
	}
	v.Own = min(v.Own, all)
	v.Others = all - v.Own
	return v
}
