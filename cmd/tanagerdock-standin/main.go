// Command tanagerdock-standin runs a stand-in for the platform, a backend server
// or the network fabric until it gets SIGTERM or SIGINT. Tests, demonstrations and
// measurements use it to inject faults.
//
// # Usage
//
//	tanagerdock-standin platform -listen 127.0.0.1:0
//	tanagerdock-standin backend -listen 127.0.0.1:0 -host orders -slots 2 -speed 1.5
//	tanagerdock-standin fabric -listen 127.0.0.1:0 -entries 127.0.0.1:7001,127.0.0.1:7002
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tanagerdock/tanagerdock/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(standin.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
