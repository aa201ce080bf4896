package instance

import (
	"container/heap"

	"github.com/tanagerdock/tanagerdock/clock"
)

// timers is a priority queue of request timers. An entry is valid while its due time equals
// the request's timerAt; others are skipped when they expire.
type timers struct {
	entries      []timer
	lastSequence uint64
}

type timer struct {
	due      clock.Millis
	sequence uint64 // orders timers with the same due time by when they were set
	request  *Request
}

// set sets the timer of r to due. It replaces the earlier timer.
func (t *timers) set(r *Request, due clock.Millis) {
	r.timerAt = due
	t.lastSequence++
	heap.Push(t, timer{due: due, sequence: t.lastSequence, request: r})
}

// next removes and returns a request whose timer has expired, or nil.
func (t *timers) next(now clock.Millis) *Request {
	for len(t.entries) > 0 && t.entries[0].due <= now {
		e := heap.Pop(t).(timer)
		if e.request.timerAt == e.due && e.request.State != StateEnded {
			e.request.timerAt = 0
			return e.request
		}
	}
	return nil
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (t *timers) Len() int { return len(t.entries) }

// Less orders by due time, then by the order in which timers were set.
func (t *timers) Less(i, j int) bool {
	a, b := &t.entries[i], &t.entries[j]
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

// Swap swaps two entries.
func (t *timers) Swap(i, j int) { t.entries[i], t.entries[j] = t.entries[j], t.entries[i] }

// Push appends an entry.
func (t *timers) Push(x any) { t.entries = append(t.entries, x.(timer)) }

// Pop removes the last entry.
func (t *timers) Pop() any {
	last := len(t.entries) - 1
	e := t.entries[last]
	t.entries[last] = timer{}
	t.entries = t.entries[:last]
	return e
}
