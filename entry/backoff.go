package entry

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
)

// Bounds of the pause between failed calls to the platform.
const (
	firstPause = 100 * clock.Millisecond
	lastPause  = 5 * clock.Second
)

// newBackoff returns the pauses between failed calls to the platform.
func newBackoff() daemon.Backoff { return daemon.Backoff{Min: firstPause, Max: lastPause} }
