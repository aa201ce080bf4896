package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Backoff computes the pauses between retries of a failed call: random ones below a limit
// that grows from Min to Max.
type Backoff struct {
	Min, Max clock.Millis // bounds of the limit
	limit    clock.Millis // upper bound of the next pause; 0 for Min
}

// Next returns a random pause between half the limit and the limit, and doubles the limit,
// up to Max.
func (b *Backoff) Next() clock.Millis {
	b.limit = min(max(b.limit, b.Min), b.Max)
	pause := Jitter(b.limit)
	b.limit *= 2
	return pause
}

// Reset sets the limit to Min. It is called after a successful call.
func (b *Backoff) Reset() { b.limit = 0 }

// Jitter returns a random duration between half of maxDelay and maxDelay.
func Jitter(maxDelay clock.Millis) clock.Millis {
	return maxDelay/2 + rand.N(maxDelay/2+1)
}

// Pause waits for delay. It returns false if ctx ends first.
func Pause(ctx context.Context, delay clock.Millis) bool {
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
