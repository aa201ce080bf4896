package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

var applyVerb = &verb{
	name:    "apply",
	summary: "write records from files",
	usage: `[-force] FILE...

Writes the records in YAML or JSON files. Records are separated by --- lines, and
each has the fields kind, name, schema and body. All are checked before the first is
written. A record that another writer changes at the same time is not overwritten,
nor is one whose revision differs from the revision given in the file, unless -force
is set.`,
	run: apply,
}

func apply(ctx context.Context, i *invocation) error {
	url := i.platformFlag()
	force := i.flags.Bool("force", false, "overwrite records that others have changed")
	if err := i.parse(1, -1); err != nil {
		return err
	}
	p, err := connect(*url)
	if err != nil {
		return err
	}
	documents, err := readRecords(i.flags.Args())
	if err != nil {
		return err
	}
	for _, d := range documents {
		outcome, err := applyDocument(ctx, p, d, *force)
		if err != nil {
			return errors.Wrapf(err, "%s:%d: %s", d.file, d.line, d.object.Key())
		}
		fmt.Fprintf(i.Out, "%s %s\n", d.object.Key(), outcome)
	}
	return nil
}

// readRecords reads and checks all records of the files.
func readRecords(files []string) ([]document, error) {
	var all []document
	for _, file := range files {
		documents, err := readDocuments(file)
		if err != nil {
			return nil, err
		}
		for _, d := range documents {
			if err := d.check(); err != nil {
				return nil, err
			}
		}
		all = append(all, documents...)
	}
	return all, nil
}

// applyDocument writes a record unless it is unchanged, and returns what was done.
func applyDocument(ctx context.Context, p platform.Platform, d document, force bool) (string, error) {
	current, err := p.Get(ctx, d.object.Kind, d.object.Name)
	absent := errors.Is(err, platform.ErrNotFound)
	if err != nil && !absent {
		return "", err
	}
	if !absent && current.Schema == d.object.Schema && equalJSON(current.Body, d.object.Body) {
		return "unchanged", nil
	}
	expect := int64(current.Revision) // 0 if the record is absent: it must still be absent
	switch {
	case force:
		expect = platform.AnyRevision
	case d.object.Revision != 0:
		expect = int64(d.object.Revision)
	}
	written, err := p.Put(ctx, d.object, expect)
	if err != nil {
		return "", err
	}
	if absent {
		return fmt.Sprintf("created revision %d", written.Revision), nil
	}
	return fmt.Sprintf("changed revision %d", written.Revision), nil
}

// equalJSON reports whether two JSON texts have the same content, whatever the order of
// their keys and their spacing.
func equalJSON(x, y json.RawMessage) bool {
	var a, b any
	if json.Unmarshal(x, &a) != nil || json.Unmarshal(y, &b) != nil {
		return false
	}
	normX, _ := json.Marshal(a)
	normY, _ := json.Marshal(b)
	return bytes.Equal(normX, normY)
}

// parseKind returns the record kind that a command line argument names.
func parseKind(name string) (record.Kind, error) {
	k := record.Kind(name)
	if !k.Known() {
		return "", errors.Wrapf(ErrUsage, "kind %q is not one of %v", name, record.Kinds)
	}
	return k, nil
}
