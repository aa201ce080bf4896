package forwarder

import (
	"fmt"
	"io"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Limits of histograms.
const (
	sampleSize  = 256   // values a histogram keeps; 2 KB each
	sampleAlpha = 0.015 // decay of a histogram; favours the last five minutes
	// Routes with a histogram of their own, 0.5 MB in all; the others share one a service.
	maxRoutes = 256
)

// counts holds every metric of a daemon. It is safe for concurrent use.
type counts struct {
	registry    metrics.Registry
	decisions   [3][]metrics.Counter // by verdict and reason
	malformed   metrics.Counter
	unsent      metrics.Counter
	readErrors  metrics.Counter
	calls       metrics.Counter
	unanswered  metrics.Counter // calls to the store
	messagesIn  metrics.Counter // between members
	messagesOut metrics.Counter
	probes      metrics.Counter
	given       metrics.Counter // flows given up
	silent      metrics.Counter
	failing     metrics.Counter
	away        metrics.Counter // flows placed in another data centre
	version     metrics.Gauge   // of the configuration

	mu        sync.Mutex
	histogram map[string]metrics.Histogram // of answer times, by service and route
}

func newCounts(d *Daemon) *counts {
	c := &counts{registry: metrics.NewRegistry(), histogram: map[string]metrics.Histogram{}}
	for v := range c.decisions {
		for _, r := range steering.Reasons() {
			c.decisions[v] = append(c.decisions[v], c.counter(fmt.Sprintf("packets.%s.%s", steering.Verdict(v), r)))
		}
	}
	c.malformed = c.counter("packets.malformed")
	c.unsent = c.counter("packets.unsent")
	c.readErrors = c.counter("packets.read_errors")
	c.calls = c.counter("store.calls")
	c.unanswered = c.counter("store.unanswered")
	c.messagesIn = c.counter("members.messages_in")
	c.messagesOut = c.counter("members.messages_out")
	c.probes = c.counter("endpoints.probes")
	c.given = c.counter("flows.given_up")
	c.failing = c.counter("endpoints.failing")
	c.silent = c.counter("endpoints.silent")
	c.version = metrics.NewRegisteredGauge("configuration.version", c.registry)
	c.away = c.counter("flows.placed_away")
	for name, value := range recordGauges {
		metrics.NewRegisteredFunctionalGauge("records."+name, c.registry, func() int64 { return value(d) })
	}
	metrics.NewRegisteredFunctionalGauge("flows", c.registry, func() int64 { return int64(d.flows()) })
	metrics.NewRegisteredFunctionalGauge("log.dropped", c.registry, d.journal.lost.Load)
	return c
}

func (c *counts) counter(name string) metrics.Counter {
	return metrics.NewRegisteredCounter(name, c.registry)
}

// recordGauges tell how far the records in force go, how old they are, and whether
// this instance reads the store itself or hears of it from others.
var recordGauges = map[string]func(*Daemon) int64{
	"configuration_revision": func(d *Daemon) int64 { return int64(d.state().ConfigurationRevision) },
	"configuration_age_ms":   func(d *Daemon) int64 { return int64(d.state().ConfigurationAge) },
	"endpoints_revision":     func(d *Daemon) int64 { return int64(d.state().EndpointsRevision) },
	"endpoints_age_ms":       func(d *Daemon) int64 { return int64(d.state().EndpointsAge) },
	"watching": func(d *Daemon) int64 {
		if d.watching.IsOpen() {
			return 1
		}
		return 0
	},
}

// decided counts a decision.
func (c *counts) decided(v *steering.Decision) {
	c.decisions[v.Verdict][v.Reason].Inc(1)
	if v.OtherCentre {
		c.away.Inc(1)
	}
}

// called counts a call to the store.
func (c *counts) called(err error) {
	c.calls.Inc(1)
	if err != nil {
		c.unanswered.Inc(1)
	}
}

// answered takes the time of an answer in.
func (c *counts) answered(a steering.Answered) {
	c.mu.Lock()
	name := a.Service + "." + a.Route
	if c.histogram[name] == nil && len(c.histogram) >= maxRoutes {
		name = a.Service + ".others"
	}
	h := c.histogram[name]
	if h == nil {
		h = metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		c.histogram[name] = h
		_ = c.registry.Register("answers."+name, h) // a name is registered once
	}
	c.mu.Unlock()
	h.Update(int64(a.Latency))
}

// write prints every metric as a line name=value, sorted by name.
func (c *counts) write(w io.Writer) error { return daemon.WriteMetrics(w, c.registry) }
