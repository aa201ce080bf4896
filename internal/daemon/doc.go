// Package daemon is what the project's daemons have in common: gates and pauses for
// their goroutines, and the text form of their metrics.
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
package daemon
