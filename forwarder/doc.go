// Package forwarder is the daemon that forwards consumers' packets to endpoints. It
// provides the sockets, calls to the store, timers, logs and metrics for packages steering
// and fleet, which make the decisions.
//
// One goroutine receives consumers' packets and forwards each before it reads the next.
// Two others read the store's configuration and endpoints, one receives messages of the
// other instances of the data centre, and one runs the timers. They share one steering
// engine and one fleet engine, guarded by a lock that is held only while the engines handle
// a packet or an event, not during calls and writes to sockets.
//
// # Usage
//
//	tanagerdock-forwarder -settings /etc/tanagerdock/node.toml
//	tanagerdock-forwarder -settings /etc/tanagerdock/node.toml -check
//
// Without -settings, the environment variable TANAGERDOCK_NODE_FILE holds the path of the
// settings file.
//
// # Files
//
//	command.go      the command line and signals
//	daemon.go       the daemon: start, shutdown, timers, and the actions of the steering engine
//	packets.go      receives and forwards consumers' packets
//	records.go      reads the configuration and the endpoints from the store
//	evacuation.go   reads orders to evacuate data centres from the store
//	storehealth.go  whether the store answers, and who tries meanwhile
//	storecalls.go   counts of calls to the store
//	peers.go        messages, members and records of the other instances
//	changes.go      changes of endpoints that other instances missed
//	start.go        first records from another instance
//	guard.go        panics that end one unit of work only
//	probe.go        probes of endpoints
//	report.go       status reports to the store
//	ready.go        readiness for the platform
//	settings.go     reloads the settings file and detects that the process was suspended
//	log.go          the log
//	metrics.go      the metrics
package forwarder
