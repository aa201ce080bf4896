package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Bounds of the pause between failed calls to the platform.
const (
	firstPause = 100 * clock.Millisecond
	lastPause  = 5 * clock.Second
)

// backoff gives growing pauses between failed calls. The zero value is ready.
type backoff struct {
	limit clock.Millis // of the next pause
}

// next returns a random pause between half the limit and the limit, and doubles
// the limit.
func (b *backoff) next() clock.Millis {
	b.limit = min(max(b.limit, firstPause), lastPause)
	pause := jitter(b.limit)
	b.limit *= 2
	return pause
}

// reset makes the next pause a short one.
func (b *backoff) reset() { b.limit = 0 }

// jitter returns a random time between half of span and span.
func jitter(span clock.Millis) clock.Millis {
	return span/2 + rand.N(span/2+1)
}

// pause waits for span and reports false when ctx ended first.
func pause(ctx context.Context, span clock.Millis) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
