// Package soak runs forwarders as separate processes on loopback, lets consumers
// and endpoints talk through them, and breaks things from outside: processes are
// stopped, killed, paused and told to reload, the store turns calls away, connections
// to it are delayed, cut one way, reset or silenced by proxies, packets are lost,
// endpoints drain, crash, fall silent and lose their entries, routes come and go.
// Faults come in series and overlap; a seed gives the same series.
//
// What must hold is judged by what consumers and endpoints see, see check.go.
//
// # Usage
//
//	go build -o bin/ ./cmd/... && bin/tanagerdock-soak -seeds 50
//	bin/tanagerdock-soak -seed 7 -keep /tmp/soak   # logs of every process
package soak
