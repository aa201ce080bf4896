// Package forwarder is the daemon that steers opaque flows: sockets, calls to the
// store, timers, logs and metrics around package steering.
//
// One goroutine reads consumers' packets and sends each on at once. Two others
// follow the store's configuration and endpoints. All of them share one engine
// under a lock that is held for one decision at a time.
//
// # Usage
//
//	tanagerdock-forwarder -settings /etc/tanagerdock/node.toml
//	tanagerdock-forwarder -settings /etc/tanagerdock/node.toml -check
//
// Without -settings, the platform's environment variable names the file.
package forwarder
