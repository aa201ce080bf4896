// Command tanagerdock-measure measures what tanagerdock costs on this machine. See package
// measure.
//
// # Usage
//
//	tanagerdock-measure relay -bin bin
//	tanagerdock-measure flows -bin bin -flows 300000
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tanagerdock/tanagerdock/measure"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(measure.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
