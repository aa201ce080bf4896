// Command tanagerdock-forwarder runs the forwarder of one instance. See package
// forwarder.
package main

import (
	"os"

	"github.com/tanagerdock/tanagerdock/forwarder"
)

func main() {
	os.Exit(forwarder.Main(os.Args[1:], os.Stdout, os.Stderr))
}
