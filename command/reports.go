package command

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/platform"
)

// showReports prints the reports of the forwarders, one per data centre, from the
// metadata store.
func showReports(ctx context.Context, i *invocation, url, format string) error {
	client, err := connect(url)
	if err != nil {
		return err
	}
	list, unreadable, err := platform.NewStore(client).Reports(ctx)
	if err != nil {
		return errors.Wrap(err, "list reports")
	}
	for _, e := range unreadable {
		fmt.Fprintf(i.Err, "left out: %v\n", e)
	}
	switch format {
	case "table":
		err = printReports(i, list)
	case "json":
		err = json.NewEncoder(i.Out).Encode(list)
	default:
		return errors.Wrapf(ErrUsage, "flag -o: value %q is not one of table, json", format)
	}
	for _, r := range list {
		if err == nil && len(r.Conditions) > 0 {
			return errors.WithStack(ErrConditions)
		}
	}
	return errors.WithStack(err)
}

func printReports(i *invocation, list []fleet.Report) error {
	t := tabwriter.NewWriter(i.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CENTRE\tVERSION\tINSTANCES\tENDPOINTS\tCONDITIONS\tWRITTEN\tBY")
	for _, r := range list {
		written := r.WrittenAt.Time().UTC().Format(time.RFC3339)
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", r.Centre, r.Version, r.Members, r.Endpoints, len(r.Conditions), written, r.Instance)
	}
	if err := t.Flush(); err != nil {
		return errors.WithStack(err)
	}
	for _, r := range list {
		for _, c := range r.Conditions {
			fmt.Fprintf(i.Out, "%s: %s %s: %s; %s\n", r.Centre, c.Type, c.Subject, c.Reason, c.Action)
		}
	}
	return nil
}
