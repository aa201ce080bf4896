// Package entry is the entry daemon: it turns sockets, calls and timers into
// events for the decision engine of package instance and carries out the actions
// the engine returns. It decides nothing about flows or requests itself.
//
// One goroutine owns the engine (Daemon.loop). Everything else reaches it through
// two bounded channels:
//
//	UDP readers -> packets   dropped and counted when the channel is full
//	everything else -> inputs   waits when the channel is full
//
// so a flood of datagrams costs datagrams, never the end of a request. Actions
// that send a datagram run on the engine's goroutine; actions that call another
// process (backend server, instance, platform) run on goroutines of their own
// and report back with one event.
//
// The files follow the concerns: settings and keys are read and checked before
// anything opens; datagrams.go holds the UDP sockets; run.go and probe.go talk to
// backend servers; handover.go and control.go to other instances; watch.go and
// writes.go to the platform; notes.go, metrics.go and page.go tell what happened.
//
// # Usage
//
//	s, err := entry.ReadSettings("entry.yaml")
//	keys, err := entry.ReadKeys(s.KeyFile)
//	d, err := entry.Open(entry.Options{Settings: s, Keys: keys, Platform: client, Logger: logger})
//	fmt.Println(d.ReadyLine())
//	go func() { <-signals; d.Stop() }()
//	err = d.Run(ctx) // nil after a graceful shutdown
package entry
