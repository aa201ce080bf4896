// Command tanagerdock is the command line tool for operators and users. It writes,
// reads and deletes records, shows the reported status of the system, checks files,
// sends requests and generates load. Package command documents the
// exit codes.
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
