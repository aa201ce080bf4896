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

// value is one line of a report.
type value struct {
	name string
	text string
}

// values returns the report in the order in which it is printed.
func (t *Tally) values() []value {
	number := func(name string, n int) value { return value{name, fmt.Sprint(n)} }
	list := []value{
		number("sent", t.Sent), number("whole", t.Whole), number("refused", t.Refused),
		number("unknown", t.Unknown), number("broken", t.Broken), number("doubled", t.Doubled),
		number("misdelivered", t.Misdelivered), number("false_refusals", t.False),
	}
	for _, reason := range slices.Sorted(maps.Keys(t.Reasons)) {
		list = append(list, number(reason, t.Reasons[reason]))
	}
	list = append(list, quantiles("short", t.Short)...)
	list = append(list, quantiles("long", t.Long)...)
	seconds := float64(max(t.Span, 1)) / float64(clock.Second)
	return append(list,
		value{"goodput_per_s", fmt.Sprintf("%.1f", float64(t.Whole)/seconds)},
		value{"seconds", fmt.Sprintf("%.1f", seconds)},
		number("retries", int(t.Counters.Retries)), number("repeated_parts", int(t.Counters.Repeats)),
		number("owner_changes", int(t.Counters.Owners)),
	)
}

// quantiles returns the median and the tail of the times of a class, nothing when there
// are none.
func quantiles(class string, times []time.Duration) []value {
	if len(times) == 0 {
		return nil
	}
	milliseconds := func(share float64) string { return fmt.Sprintf("%.1f", Quantile(times, share).Seconds()*1000) }
	return []value{{class + "_p50_ms", milliseconds(0.5)}, {class + "_p99_ms", milliseconds(0.99)}}
}

// Values returns the report as name=value lines.
func (t *Tally) Values() string {
	var b strings.Builder
	for _, v := range t.values() {
		fmt.Fprintf(&b, "%s=%s\n", v.name, v.text)
	}
	return b.String()
}

// Table returns the report for people, with the first problems.
func (t *Tally) Table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, v := range t.values() {
		fmt.Fprintf(w, "%s\t%s\t\n", v.name, v.text)
	}
	_ = w.Flush() // a Builder takes everything
	for _, p := range t.Problems {
		fmt.Fprintf(&b, "problem: %s\n", p)
	}
	return b.String()
}
