package forwarder

import (
	"fmt"
	"io"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Limits of histograms.
const (
	sampleSize  = 256   // values per histogram, 2 KB
	sampleAlpha = 0.015 // decay that weights the last five minutes
	// Routes with a histogram of their own, 0.5 MB in total. Further routes share one
	// histogram per service.
	maxRouteHistograms = 256
)

// waitLimits are the times that packets waited from which on they are counted.
var waitLimits = []clock.Millis{10, 20, 50, lateLimit, 200, 500, 1000}

// daemonMetrics holds all metrics of a daemon. It is safe for concurrent use.
type daemonMetrics struct {
	registry             metrics.Registry
	decisions            [3][]metrics.Counter // by verdict and reason
	malformed            metrics.Counter      // packets and messages that could not be decoded
	unreadableEntries    metrics.Counter      // entries of endpoints, configurations and routes that could not be decoded
	unsent               metrics.Counter      // packets and messages that could not be sent
	readErrors           metrics.Counter
	waits                []metrics.Counter // packets that waited at least waitLimits
	panics               metrics.Counter   // units of work that panicked
	storeCalls           *storeCalls
	messagesIn           metrics.Counter // from other instances
	servedFetches        metrics.Counter // changes of endpoints that other instances fetched here
	failedFetches        metrics.Counter // fetches of this instance, from others or the store
	messagesOut          metrics.Counter
	probes               metrics.Counter
	flowsGivenUp         metrics.Counter            // flows reset because their endpoint ended or fails
	flowsGivenUpBy       map[string]metrics.Counter // the same by cause
	flowsContradicted    map[string]metrics.Counter // flows reset although their endpoint turned out to work, by cause
	silentEndpoints      metrics.Counter
	ejectedEndpoints     metrics.Counter
	placedInOtherCentre  metrics.Counter // flows placed at an endpoint of another data centre
	configurationVersion metrics.Gauge

	mu        sync.Mutex
	latencies map[string]metrics.Histogram // time to the answer in ms, by service and route
}

func newDaemonMetrics(d *Daemon) *daemonMetrics {
	m := &daemonMetrics{registry: metrics.NewRegistry(), latencies: map[string]metrics.Histogram{}, flowsGivenUpBy: map[string]metrics.Counter{}, flowsContradicted: map[string]metrics.Counter{}}
	for v := range m.decisions {
		for _, r := range steering.Reasons() {
			m.decisions[v] = append(m.decisions[v], m.counter(fmt.Sprintf("packets.%s.%s", steering.Verdict(v), r)))
		}
	}
	m.malformed = m.counter("packets.malformed")
	m.unreadableEntries = m.counter("records.unreadable")
	m.unsent = m.counter("packets.unsent")
	m.readErrors = m.counter("packets.read_errors")
	for _, limit := range waitLimits {
		m.waits = append(m.waits, m.counter(fmt.Sprintf("packets.waited.%d_ms", limit)))
	}
	metrics.NewRegisteredFunctionalGauge("packets.wait_ms", m.registry, func() int64 { return int64(d.reader.recentWait(clock.Now())) })
	m.panics = m.counter("panics")
	m.storeCalls = &storeCalls{registry: m.registry, total: m.counter("store.calls"), failed: m.counter("store.unanswered"), counts: map[string]int64{}}
	m.servedFetches = m.counter("members.fetches_served")
	m.failedFetches = m.counter("records.fetches_failed")
	m.messagesIn = m.counter("members.messages_in")
	m.messagesOut = m.counter("members.messages_out")
	m.probes = m.counter("endpoints.probes")
	m.flowsGivenUp = m.counter("flows.given_up")
	for _, cause := range steering.ResetCauses() {
		m.flowsGivenUpBy[cause] = m.counter("flows.given_up." + steering.CounterName(cause))
	}
	for _, cause := range steering.SeriesCauses() {
		m.flowsContradicted[cause] = m.counter("flows.contradicted." + steering.CounterName(cause))
	}
	m.ejectedEndpoints = m.counter("endpoints.failing")
	m.silentEndpoints = m.counter("endpoints.silent")
	m.configurationVersion = metrics.NewRegisteredGauge("configuration.version", m.registry)
	m.placedInOtherCentre = m.counter("flows.placed_away")
	for name, value := range recordGauges {
		metrics.NewRegisteredFunctionalGauge("records."+name, m.registry, func() int64 { return value(d) })
	}
	for name, value := range admissionGauges {
		metrics.NewRegisteredFunctionalGauge("admission."+name, m.registry, func() int64 { return value(d.admissionState()) })
	}
	metrics.NewRegisteredFunctionalGauge("flows", m.registry, func() int64 { return int64(d.flowCount()) })
	metrics.NewRegisteredFunctionalGauge("log.dropped", m.registry, d.log.droppedTotal.Load)
	return m
}

func (m *daemonMetrics) counter(name string) metrics.Counter {
	return metrics.NewRegisteredCounter(name, m.registry)
}

// recordGauges are the gauges for the records in force: their revisions and ages, and
// whether this instance watches the store itself.
var recordGauges = map[string]func(*Daemon) int64{
	"configuration_revision": func(d *Daemon) int64 { return int64(d.recordState().ConfigurationRevision) },
	"configuration_age_ms":   func(d *Daemon) int64 { return int64(d.recordState().ConfigurationAge) },
	"endpoints_revision":     func(d *Daemon) int64 { return int64(d.recordState().EndpointsRevision) },
	"endpoints_age_ms":       func(d *Daemon) int64 { return int64(d.recordState().EndpointsAge) },
	"watching": func(d *Daemon) int64 {
		if d.watchGate.IsOpen() {
			return 1
		}
		return 0
	},
}

// countDecision counts the decision on a packet.
func (m *daemonMetrics) countDecision(v *steering.Decision) {
	m.decisions[v.Verdict][v.Reason].Inc(1)
	if v.OtherCentre {
		m.placedInOtherCentre.Inc(1)
	}
}

// countWait counts how long a packet waited.
func (m *daemonMetrics) countWait(waited clock.Millis) {
	for i, limit := range waitLimits {
		if waited < limit {
			return
		}
		m.waits[i].Inc(1)
	}
}

// recordLatency adds the time to an answer to the histogram of its service and route.
func (m *daemonMetrics) recordLatency(a steering.Answered) {
	m.mu.Lock()
	name := a.Service + "." + a.Route
	if m.latencies[name] == nil && len(m.latencies) >= maxRouteHistograms {
		name = a.Service + ".others"
	}
	h := m.latencies[name]
	if h == nil {
		h = metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		m.latencies[name] = h
		_ = m.registry.Register("answers."+name, h) // fails only if the name is registered, and this one is new
	}
	m.mu.Unlock()
	h.Update(int64(a.Latency))
}

// write writes each metric as a line name=value, sorted by name.
func (m *daemonMetrics) write(w io.Writer) error { return daemon.WriteMetrics(w, m.registry) }
