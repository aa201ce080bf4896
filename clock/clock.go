// Package clock provides the one notion of time used by tanagerdock.
//
// Every decision in this project is a function of its inputs and of a point in
// time handed in by the caller. Both points in time and lengths of time are
// whole milliseconds, so that they travel in packets and records unchanged.
//
// # Usage
//
//	now := clock.Now()
//	deadline := now + 5*clock.Second
//	if clock.Now() >= deadline { ... }
//
// Tests never sleep: they pass the Millis they want to the function under test.
package clock

import "time"

// Millis is a point in time in milliseconds since the Unix epoch, or a length
// of time in milliseconds.
type Millis int64

// Lengths of time, in milliseconds.
const (
	Millisecond Millis = 1
	Second      Millis = 1000 * Millisecond
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

var processStart = time.Now()

// Now returns the current time. It never goes backwards within one process,
// also when the wall clock is stepped.
func Now() Millis {
	return Millis(processStart.UnixMilli()) + Millis(time.Since(processStart).Milliseconds())
}

// Duration converts a length of time for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts a point in time for use with the standard library.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// FromDuration converts a standard duration to whole milliseconds, rounding down.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}
