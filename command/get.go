package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

var getVerb = &verb{
	name:    "get",
	summary: "print records",
	usage: `[-o table|yaml|json] [KIND [NAME]]

Prints all records that operators write, those of one kind, or a single record. The
YAML output can be edited and applied again: it contains the revision, so that apply
does not overwrite changes made by others in the meantime.`,
	run: get,
}

func get(ctx context.Context, i *invocation) error {
	url := i.platformFlag()
	format := i.flags.String("o", "table", "output `FORMAT`: table, yaml or json")
	if err := i.parse(0, 2); err != nil {
		return err
	}
	printObjects, ok := printers[*format]
	if !ok {
		return errors.Wrapf(ErrUsage, "flag -o: value %q is not one of table, yaml, json", *format)
	}
	p, err := connect(*url)
	if err != nil {
		return err
	}
	objects, err := fetchObjects(ctx, p, i.flags.Args())
	if err != nil {
		return err
	}
	return printObjects(i.Out, objects)
}

// fetchObjects returns the objects that the arguments KIND and NAME select.
func fetchObjects(ctx context.Context, p platform.Platform, args []string) ([]record.Object, error) {
	kinds := record.OperatorKinds
	if len(args) > 0 {
		kind, err := parseKind(args[0])
		if err != nil {
			return nil, err
		}
		kinds = []record.Kind{kind}
	}
	if len(args) == 2 {
		o, err := p.Get(ctx, kinds[0], args[1])
		return []record.Object{o}, errors.Wrapf(err, "%s/%s", kinds[0], args[1])
	}
	var all []record.Object
	for _, kind := range kinds {
		listing, err := p.List(ctx, kind)
		if err != nil {
			return nil, errors.Wrapf(err, "list %s", kind)
		}
		slices.SortFunc(listing.Objects, func(x, y record.Object) int { return cmp.Compare(x.Name, y.Name) })
		all = append(all, listing.Objects...)
	}
	return all, nil
}

// printers maps each output format to the function that prints it.
var printers = map[string]func(io.Writer, []record.Object) error{
	"table": printTable,
	"yaml":  printYAML,
	"json":  printJSON,
}

func printTable(w io.Writer, objects []record.Object) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "KIND\tNAME\tSCHEMA\tREVISION")
	for _, o := range objects {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", o.Kind, o.Name, o.Schema, o.Revision)
	}
	return errors.WithStack(t.Flush())
}

func printYAML(w io.Writer, objects []record.Object) error {
	for n, o := range objects {
		if n > 0 {
			fmt.Fprintln(w, "---")
		}
		text, err := formatDocument(o)
		if err != nil {
			return err
		}
		if _, err := w.Write(text); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func printJSON(w io.Writer, objects []record.Object) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.WithStack(e.Encode(objects))
}
