package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Backoff gives growing pauses between failed calls.
type Backoff struct {
	Min, Max clock.Millis // bounds of the pauses
	limit    clock.Millis // of the next one
}

// Next returns a random pause between half the limit and the limit, and doubles
// the limit.
func (b *Backoff) Next() clock.Millis {
	b.limit = min(max(b.limit, b.Min), b.Max)
	pause := Jitter(b.limit)
	b.limit *= 2
	return pause
}

// Reset makes the next pause a short one.
func (b *Backoff) Reset() { b.limit = 0 }

// Jitter returns a random time between half of span and span.
func Jitter(span clock.Millis) clock.Millis {
	return span/2 + rand.N(span/2+1)
}

// Pause waits for span and reports false when ctx ended first.
func Pause(ctx context.Context, span clock.Millis) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
