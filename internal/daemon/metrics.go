package daemon

import (
	"fmt"
	"io"
	"maps"
	"runtime/debug"
	"slices"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// WriteMetrics writes each metric of a registry as a line name=value, sorted by name. A
// histogram is written as four lines: name.count, name.p50, name.p99 and name.max.
func WriteMetrics(w io.Writer, r metrics.Registry) error {
	lines := map[string]int64{}
	r.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines[name] = m.Count()
		case metrics.Gauge:
			lines[name] = m.Snapshot().Value()
		case metrics.Histogram:
			s := m.Snapshot()
			lines[name+".count"] = s.Count()
			lines[name+".p50"] = int64(s.Percentile(0.5))
			lines[name+".p99"] = int64(s.Percentile(0.99))
			lines[name+".max"] = s.Max()
		}
	})
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		if _, err := fmt.Fprintf(w, "%s=%d\n", name, lines[name]); err != nil {
			return errors.Wrap(err, "write metrics")
		}
	}
	return nil
}

// Version returns the version of the module that the program was built from.
func Version() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return "(unknown)"
	}
	return info.Main.Version
}
