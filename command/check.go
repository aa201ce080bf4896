package command

import (
	"context"
	"fmt"
	"os"
	"regexp"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/entry"
)

var checkVerb = &verb{
	name:    "check",
	summary: "check record and settings files",
	usage: `FILE...

Checks files of records, or of settings of an entry instance (those without a
kind), and writes nothing. Errors name file, line, field and value.`,
	run: func(_ context.Context, i *invocation) error {
		if err := i.parse(1, -1); err != nil {
			return err
		}
		for _, file := range i.flags.Args() {
			found, err := checkFile(file)
			if err != nil {
				return err
			}
			fmt.Fprintf(i.Out, "%s: %s\n", file, found)
		}
		return nil
	},
}

var kindLine = regexp.MustCompile(`(?m)^\s*["{]*\s*"?kind"?\s*:`)

// checkFile checks one file and tells what it holds.
func checkFile(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.WithStack(err)
	}
	if !kindLine.Match(data) {
		s, err := entry.ReadSettings(file)
		return "settings of instance " + s.Name, err
	}
	documents, err := readChecked([]string{file})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d records", len(documents)), nil
}
