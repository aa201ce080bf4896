package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/entry"
	"github.com/tanagerdock/tanagerdock/platform"
)

var checkVerb = &verb{
	name:    "check",
	summary: "check record and settings files",
	usage: `FILE...

Checks files of records, of settings of an entry instance (those without a kind),
the platform's settings of a forwarder (TOML) and the deploy file (system.toml), and
writes nothing. Errors name file, field and value, and the line where there is one.`,
	run: func(_ context.Context, i *invocation) error {
		if err := i.parse(1, -1); err != nil {
			return err
		}
		for _, file := range i.flags.Args() {
			summary, err := checkFile(file)
			if err != nil {
				return err
			}
			fmt.Fprintf(i.Out, "%s: %s\n", file, summary)
		}
		return nil
	},
}

// deploymentFile is the name of the file that tells the platform what to run.
const deploymentFile = "system.toml"

var kindPattern = regexp.MustCompile(`(?m)^\s*["{]*\s*"?kind"?\s*:`)

// checkFile checks one file and tells what it holds.
func checkFile(file string) (string, error) {
	switch {
	case filepath.Base(file) == deploymentFile:
		d, err := platform.ReadDeployment(file)
		return fmt.Sprintf("%d roles", len(d.Roles)), err
	case filepath.Ext(file) == ".toml":
		s, err := platform.ReadSettings(file)
		return "platform settings of instance " + s.Instance, err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.WithStack(err)
	}
	if !kindPattern.Match(data) {
		s, err := entry.ReadSettings(file)
		return "settings of instance " + s.Name, err
	}
	documents, err := readRecords([]string{file})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d records", len(documents)), nil
}
