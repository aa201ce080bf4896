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

Checks files without writing anything to the platform: files of records, settings of
an entry instance (YAML without a field kind), the platform's settings of a forwarder
(TOML), and the deployment file (system.toml). Errors name file, field and value, and
the line if it is known.`,
	run: func(_ context.Context, i *invocation) error {
		if err := i.parse(1, -1); err != nil {
			return err
		}
		for _, file := range i.flags.Args() {
			content, err := checkFile(file)
			if err != nil {
				return err
			}
			fmt.Fprintf(i.Out, "%s: %s\n", file, content)
		}
		return nil
	},
}

// deploymentFile is the name of the file that tells the platform which programs to
// build and run.
const deploymentFile = "system.toml"

// kindPattern matches the field kind, which every record has and settings do not have.
var kindPattern = regexp.MustCompile(`(?m)^\s*["{]*\s*"?kind"?\s*:`)

// checkFile checks a file and describes its content.
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
