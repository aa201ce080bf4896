package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// Engine makes every decision of one entry instance. It has no goroutines,
// sockets or clock: the same events at the same times give the same actions.
// It is not safe for concurrent use.
type Engine struct{}

// New returns an engine that holds no records and knows no other instance.
func New(_ Settings, _ clock.Millis) *Engine { return &Engine{} }

// Handle takes in one event and returns what is to be done, in order. The
// returned slice is valid until the next call.
func (e *Engine) Handle(_ clock.Millis, _ Event) []Action { return nil }
