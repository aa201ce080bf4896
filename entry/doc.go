// Package entry implements the entry daemon: it turns datagrams, calls and timers
// into events for the decision engine of package instance and carries out the
// actions that the engine returns. It makes no decisions about flows or requests.
//
// Only one goroutine calls the engine (Daemon.runEngine). The other goroutines send
// it events through two bounded channels:
//
//	datagrams   from the UDP readers, which drop and count them when it is full
//	inputs      all other events; their senders wait when it is full
//
// A flood of datagrams therefore loses datagrams, but never the result of a
// request. The engine's goroutine sends datagrams itself. Calls to other processes
// (backend servers, instances, the platform) run on their own goroutines, and what
// the engine needs of their result comes back as an event.
//
// The files:
//
//	command.go  the command tanagerdock-entry: flags, signals, log
//	settings.go, keys.go settings file and key file
//	daemon.go           Daemon: start, event loop, graceful shutdown
//	actions.go          carries out the engine's actions
//	datagrams.go        UDP sockets, readers that forward packets or queue them
//	sendbatch.go        sends several datagrams with one system call
//	transport.go        HTTP transport, trace of what was sent and received
//	backendclient.go    requests to backend servers
//	identity.go         which request a response belongs to
//	probe.go            health probes of backend servers
//	peerclient.go       calls to other instances: hand-overs, records
//	controlserver.go    server for the calls of other instances
//	objects.go          copy of the operator records for other instances
//	platformreaders.go  records and instances from the platform
//	writers.go          status and lease to the platform
//	backoff.go          backoff between failed calls to the platform
//	decisionlog.go      log of the engine's decisions
//	metrics.go          counters and histograms
//	status.go           HTTP server for /metrics and /health
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
