// Package clock reads the current time and represents times in milliseconds.
// Functions that depend on time get it as an argument, so that tests choose it
// and need not sleep.
//
// Times and durations are whole milliseconds in packets and records too, so
// they are encoded without conversion.
//
// # Usage
//
//	now := clock.Now()
//	deadline := now + 5*clock.Second
//	if clock.Now() >= deadline { ... }
package clock

import "time"

// Millis is a time in milliseconds since the Unix epoch, or a duration in
// milliseconds.
type Millis int64

// Durations, in milliseconds.
const (
	Millisecond Millis = 1
	Second      Millis = 1000 * Millisecond
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

var processStart = time.Now()

// Now returns the current time. It is monotonic within a process: it reads the
// wall clock once, at process start, so a later change of that clock has no effect.
func Now() Millis {
	return Millis(processStart.UnixMilli()) + Millis(time.Since(processStart).Milliseconds())
}

// Duration converts a duration to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts a time since the Unix epoch to a time.Time.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// FromDuration converts a time.Duration, truncated to whole milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}
