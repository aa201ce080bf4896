package warmup

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Span is how long a placed flow counts. Beyond the second of the limit it covers the time that
// opening packets take to arrive, so that those of any longer time don't arrive within one second.
// An instance with a small part of a core may pause between the decision on a packet and its sending.
const Span = 1*clock.Second + 250*clock.Millisecond

// Window counts the flows that an instance placed at an endpoint within the last Span. It
// answers bursts: any second counts, so a burst at the end of one second and at the start
// of the next is as large as both. The zero value counts nothing.
type Window struct {
	placed    []clock.Millis // in order
	fullUntil clock.Millis
}

// Unknown returns the window of an endpoint at which an unknown number of flows was placed until
// now, such as that of a new process: its predecessor may just have used up the limit.
func Unknown(now clock.Millis) Window { return Window{fullUntil: now + Span} }

// Admits reports whether a further flow keeps the limit.
func (w *Window) Admits(now clock.Millis, limit int) bool {
	return now >= w.fullUntil && w.Count(now) < limit
}

// Add counts a flow.
func (w *Window) Add(now clock.Millis) {
	w.Count(now)
	w.placed = append(w.placed, now)
}

// Count returns the number of flows placed within the last Span.
func (w *Window) Count(now clock.Millis) int {
	old := 0
	for old < len(w.placed) && now-w.placed[old] > Span {
		old++
	}
	if old > 0 {
		w.placed = w.placed[:copy(w.placed, w.placed[old:])]
	}
	return len(w.placed)
}
