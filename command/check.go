package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

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
(TOML), the deployment file (system.toml), and a saved list of the metadata store's
endpoints or configuration (JSON) or evacuation orders (evacuations.json). Errors name file, field and value, and the line if it
is known. Of a list, they name each object that forwarders leave out, with the limit that
it exceeds; the limits are those of docs/OPERATIONS.md.`,
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

// evacuationFile is the name of a saved list of evacuation orders. The objects of a list don't say
// of which kind they are.
const evacuationFile = "evacuations.json"

// kindPattern matches the field kind, which every record has and settings do not have.
var kindPattern = regexp.MustCompile(`(?m)^\s*["{]*\s*"?kind"?\s*:`)

// checkFile checks a file and describes its content.
func checkFile(file string) (string, error) {
	switch {
	case filepath.Base(file) == deploymentFile:
		d, err := platform.ReadDeployment(file)
		return fmt.Sprintf("%d roles", len(d.Roles)), err
	case filepath.Base(file) == evacuationFile:
		return checkListing(file, platform.CheckEvacuations)
	case filepath.Ext(file) == ".json":
		return checkListing(file, platform.CheckListing)
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

// errUnreadable reports a list of the metadata store with objects that can't be decoded.
var errUnreadable = errors.New("objects are unreadable")

// checkListing checks a saved list of objects of the metadata store.
func checkListing(file string, check func(data []byte) (count int, unreadable []error, err error)) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.WithStack(err)
	}
	count, unreadable, err := check(data)
	if err != nil {
		return "", errors.Wrapf(err, "%s", file)
	}
	if len(unreadable) == 0 {
		return fmt.Sprintf("%d objects", count), nil
	}
	text := make([]string, len(unreadable))
	for i, e := range unreadable {
		text[i] = "\n  " + e.Error()
	}
	return "", errors.Wrapf(errUnreadable, "%s: %d of %d:%s", file, len(unreadable), count, strings.Join(text, ""))
}
