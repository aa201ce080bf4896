// Command tanagerdock is the command line for operators and for people who send
// requests: it writes, reads and deletes records, shows the status the system
// reports, checks files, sends requests and drives loads.
//
// # Usage
//
//	tanagerdock help
//	tanagerdock apply -platform http://127.0.0.1:7000 records.yaml
//	tanagerdock status -platform http://127.0.0.1:7000
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tanagerdock/tanagerdock/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(command.Main(ctx, os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
