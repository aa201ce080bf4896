// Package daemon contains what the project's daemons have in common: gates, pauses and
// retry delays for their goroutines, and the text format of their metrics.
//
// # Usage
//
//	g := daemon.NewGate(false)
//	b := daemon.Backoff{Min: 100, Max: 5 * clock.Second}
//	for g.Wait(ctx) {
//		if err := call(ctx); err != nil {
//			daemon.Pause(ctx, b.Next())
//			continue
//		}
//		b.Reset()
//	}
//
// # Files
//
//	gate.go     Gate, which goroutines wait for
//	backoff.go  Backoff, Jitter and Pause
//	metrics.go  the text format of metrics, and the version
package daemon
