// Command tanagerdock-entry runs one entry instance. See package entry.
package main

import (
	"os"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/entry"
	"github.com/tanagerdock/tanagerdock/platform"
)

// platformTimeout limits one HTTP call to the platform; a watch may take its wait
// longer.
const platformTimeout = 2 * clock.Second

func main() {
	newPlatform := func(url string) platform.Platform { return platform.NewClient(url, platformTimeout) }
	os.Exit(entry.Main(os.Args[1:], os.Stdout, os.Stderr, newPlatform))
}
