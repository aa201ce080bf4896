// Command tanagerdock-entry runs one entry instance. See package entry.
package main

import (
	"os"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/entry"
	"github.com/tanagerdock/tanagerdock/platform"
)

// platformTimeout is how long one call to the platform may take.
const platformTimeout = 2 * clock.Second

func main() {
	connect := func(url string) platform.Platform { return platform.NewClient(url, platformTimeout) }
	os.Exit(entry.Main(os.Args[1:], os.Stdout, os.Stderr, connect))
}
