package entry

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
)

// Bounds of the backoff between failed calls to the platform.
const (
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 5 * clock.Second
)

// newBackoff returns the backoff between failed calls to the platform.
func newBackoff() daemon.Backoff { return daemon.Backoff{Min: minBackoff, Max: maxBackoff} }
