// Package soak runs forwarders as separate processes on loopback, sends consumers'
// requests through them and injects faults from outside the processes. From what consumers
// and endpoints observe, it checks that answers are right, no request runs twice, no flow
// is reset without a fault that affects it, cold endpoints get no more new flows than they bear,
// and changes are applied in time, such as orders of an evacuation.
//
// Faults start at random intervals and overlap; a seed always selects the same series.
// They are:
//
//   - processes are stopped, killed, paused or told to reload their configuration;
//   - the store refuses calls, loses the answers of writes, or drops its change history;
//   - connections to the store are delayed, cut in one direction, reset or silenced;
//   - packets between consumers and instances are lost;
//   - endpoints drain, crash, stop answering, lose their entries in the store or are added;
//   - a route is added to the configuration or removed from it;
//   - an operator orders the evacuation of a data centre, or of all of them, and lifts it;
//   - the endpoints of a data centre end together, and come back cold;
//   - users are added to a data centre for some seconds;
//   - another program writes objects that can't be decoded among those of the deployment, and
//     replaces entries of endpoints by such ones.
//
// After the faults, endpoints and instances are disturbed in ways that keep no endpoint from
// serving its flows, so that no instance may reset one:
//
//   - the queue of new TCP connections of an endpoint is full;
//   - the answers of an endpoint are short;
//   - an endpoint takes longer for its requests;
//   - an instance is stopped for a moment, again and again;
//   - single packets between consumers and instances are lost.
//
// # Usage
//
//	go build -o bin/ ./cmd/... && bin/tanagerdock-soak -seeds 50
//	bin/tanagerdock-soak -seed 7 -keep /tmp/soak   # keeps settings and logs of every process
//
// Files:
//
//	command.go     the command: flags, output, exit code
//	run.go         one run: users, the series of faults, the check of recovery
//	deployment.go  the deployment under test: data centres, instances, endpoints, routes
//	process.go     forwarder processes: start, signals, stop within the grace period
//	proxy.go       proxies that disturb connections between an instance and the store
//	fault.go       the faults
//	centre.go      faults of a whole data centre: evacuations, cold endpoints, bursts of users
//	disturb.go     the disturbances after the faults
//	writer.go      the other program that writes odd objects
//	check.go       the properties that are checked, and the result of a run
package soak
