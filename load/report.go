package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
)

// reportLine is a named value of a report.
type reportLine struct {
	name  string
	value string
}

// lines returns the report in print order.
func (t *Tally) lines() []reportLine {
	number := func(name string, n int) reportLine { return reportLine{name, fmt.Sprint(n)} }
	list := []reportLine{
		number("sent", t.Sent), number("whole", t.Whole), number("refused", t.Refused),
		number("unknown", t.Unknown), number("broken", t.Broken), number("doubled", t.Doubled),
		number("misdelivered", t.Misdelivered), number("false_refusals", t.FalseRefusals),
	}
	for _, reason := range slices.Sorted(maps.Keys(t.Reasons)) {
		list = append(list, number(reason, t.Reasons[reason]))
	}
	list = append(list, latencyLines("short", t.ShortLatencies)...)
	list = append(list, latencyLines("long", t.LongLatencies)...)
	seconds := float64(max(t.Elapsed, 1)) / float64(clock.Second)
	return append(list,
		reportLine{"goodput_per_s", fmt.Sprintf("%.1f", float64(t.Whole)/seconds)},
		reportLine{"seconds", fmt.Sprintf("%.1f", seconds)},
		number("retries", int(t.Counters.Retries)), number("repeated_parts", int(t.Counters.Repeats)),
		number("owner_changes", int(t.Counters.Owners)),
	)
}

// latencyLines returns the 50th and 99th percentile of the latencies of a class, or
// no lines when there are none.
func latencyLines(class string, latencies []time.Duration) []reportLine {
	if len(latencies) == 0 {
		return nil
	}
	milliseconds := func(share float64) string { return fmt.Sprintf("%.1f", Quantile(latencies, share).Seconds()*1000) }
	return []reportLine{{class + "_p50_ms", milliseconds(0.5)}, {class + "_p99_ms", milliseconds(0.99)}}
}

// Values returns the report as name=value lines.
func (t *Tally) Values() string {
	var b strings.Builder
	for _, v := range t.lines() {
		fmt.Fprintf(&b, "%s=%s\n", v.name, v.value)
	}
	return b.String()
}

// Table returns the report as a table, followed by the problems.
func (t *Tally) Table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, v := range t.lines() {
		fmt.Fprintf(w, "%s\t%s\t\n", v.name, v.value)
	}
	_ = w.Flush() // writing to a strings.Builder cannot fail
	for _, p := range t.Problems {
		fmt.Fprintf(&b, "problem: %s\n", p)
	}
	return b.String()
}
