package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

var statusVerb = &verb{
	name:    "status",
	summary: "show what is wrong and what was done about it",
	usage: `[-o table|json] [-store]

Shows the conditions that the entry instances report, worst first, each with its
start, the reason, and what the system did about it. An instance whose status is more
than 3 minutes old has the condition StatusStale. The exit code is 3 if there are
conditions. With -store, -platform is the URL of the metadata store, and the
forwarders' reports of each data centre are shown.`,
	run: status,
}

// conditionStatusStale is the type of the condition that this verb adds for an instance
// that no longer writes its status.
const conditionStatusStale = "StatusStale"

// staleAfter is the age above which a status is stale. Instances write their status once
// a minute.
const staleAfter = 3 * clock.Minute

// conditionRow is a condition and the instance that reports it.
type conditionRow struct {
	Instance string `json:"instance"`
	Centre   string `json:"centre"`
	record.Condition
}

func status(ctx context.Context, i *invocation) error {
	url := i.platformFlag()
	format := i.flags.String("o", "table", "output `FORMAT`: table or json")
	store := i.flags.Bool("store", false, "read the reports of the forwarders from the metadata store")
	if err := i.parse(0, 0); err != nil {
		return err
	}
	if *store {
		return showReports(ctx, i, *url, *format)
	}
	p, err := connect(*url)
	if err != nil {
		return err
	}
	statuses, err := fetchStatuses(ctx, p)
	if err != nil {
		return err
	}
	rows := conditionRows(statuses, clock.Now())
	switch *format {
	case "table":
		err = printStatus(i, statuses, rows)
	case "json":
		err = json.NewEncoder(i.Out).Encode(rows)
	default:
		return errors.Wrapf(ErrUsage, "flag -o: value %q is not one of table, json", *format)
	}
	if err == nil && len(rows) > 0 {
		return errors.WithStack(ErrConditions)
	}
	return errors.WithStack(err)
}

// fetchStatuses returns the status records of all instances, sorted by instance.
func fetchStatuses(ctx context.Context, p platform.Platform) ([]record.Status, error) {
	listing, err := p.List(ctx, record.KindStatus)
	if err != nil {
		return nil, errors.Wrap(err, "list status")
	}
	var statuses []record.Status
	for _, o := range listing.Objects {
		s, err := record.DecodeStatus(o)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(x, y record.Status) int { return cmp.Compare(x.Instance, y.Instance) })
	return statuses, nil
}

// conditionRows returns all conditions, worst first, and the oldest first among equals.
func conditionRows(statuses []record.Status, now clock.Millis) []conditionRow {
	rows := []conditionRow{}
	for _, s := range statuses {
		for _, c := range s.Conditions {
			rows = append(rows, conditionRow{Instance: s.Instance, Centre: s.Centre, Condition: c})
		}
		if now-s.Updated > staleAfter {
			rows = append(rows, conditionRow{Instance: s.Instance, Centre: s.Centre, Condition: record.Condition{
				Type: conditionStatusStale, Subject: "instance/" + s.Instance, Since: s.Updated, Count: 1,
				Reason: "its status is no longer updated", Action: "none: it may have stopped or cannot reach the platform",
			}})
		}
	}
	slices.SortStableFunc(rows, func(x, y conditionRow) int {
		return cmp.Or(cmp.Compare(instance.ConditionRank(x.Type), instance.ConditionRank(y.Type)), cmp.Compare(x.Since, y.Since))
	})
	return rows
}

func printStatus(i *invocation, statuses []record.Status, rows []conditionRow) error {
	oldest, newest := uint64(0), uint64(0)
	for n, s := range statuses {
		if n == 0 || s.Revision < oldest {
			oldest = s.Revision
		}
		newest = max(newest, s.Revision)
	}
	fmt.Fprintf(i.Out, "%d instances report, configuration revision %d to %d in force, %d conditions\n", len(statuses), oldest, newest, len(rows))
	if len(rows) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(i.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TYPE\tSUBJECT\tSINCE\tINSTANCE\tCENTRE\tREASON\tACTION\tCOUNT")
	for _, r := range rows {
		since := r.Since.Time().UTC().Format(time.RFC3339)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", r.Type, r.Subject, since, r.Instance, r.Centre, r.Reason, r.Action, r.Count)
	}
	return t.Flush()
}
