// Command tanagerdock-soak runs forwarders as processes and injects faults around
// them. See package soak.
package main

import (
	"os"

	"github.com/tanagerdock/tanagerdock/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
