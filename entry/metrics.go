package entry

import (
	"io"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Limits on what is kept of metrics. Names come from packets, so there is no
// other bound on their number.
const (
	maxDecisionCounters  = 4096 // counters of decisions
	maxHistograms        = 1024
	histogramSampleSize  = 1028  // values a histogram keeps
	histogramSampleAlpha = 0.015 // decay of a histogram; favours the last five minutes
	otherServices        = "other"
)

// kinds is the number of packet kinds, 0 included.
const packetKinds = int(packet.KindClose) + 1

// datagramCounts counts what happens on one socket.
type socketCounters struct {
	received, sent           [packetKinds]metrics.Counter
	bytesReceived, bytesSent metrics.Counter
	malformed                metrics.Counter // not decoded
	unknownVersion           metrics.Counter // of an unknown protocol version
	tooLarge                 metrics.Counter // above the size limit
	dropped                  metrics.Counter // received while the engine's queue was full
	unsent                   metrics.Counter // refused by the kernel
}

// refuse counts a datagram that was not decoded or encoded, by its error.
func (c *socketCounters) countError(err error) {
	switch {
	case errors.Is(err, packet.ErrVersion):
		c.unknownVersion.Inc(1)
	case errors.Is(err, packet.ErrTooLarge):
		c.tooLarge.Inc(1)
	default:
		c.malformed.Inc(1)
	}
}

// trafficCounts counts messages of one sort in both directions.
type messageCounters struct {
	received, sent, bytesReceived, bytesSent metrics.Counter
}

func (c *messageCounters) countReceived(size int) {
	c.received.Inc(1)
	c.bytesReceived.Inc(int64(size))
}

func (c *messageCounters) countSent(size int) {
	c.sent.Inc(1)
	c.bytesSent.Inc(int64(size))
}

// counts holds every metric of a daemon. It is safe for concurrent use.
type daemonMetrics struct {
	registry           metrics.Registry
	packets            socketCounters  // callers' socket
	peers              socketCounters  // other instances' socket; in and out by kind of the packet passed on
	heartbeats         messageCounters // heartbeats
	forwarded          messageCounters // packets passed on
	handOvers          messageCounters // control calls that hand work over
	objectFetches      messageCounters // control calls that fetch records
	platformCalls      metrics.Counter
	platformUnanswered metrics.Counter // platform calls
	readErrors         metrics.Counter
	droppedLogLines    metrics.Counter // notes dropped because the log was behind

	mu         sync.Mutex
	decisions  map[instance.LogDecision]metrics.Counter // by Decision, Reason and Service
	histograms map[instance.ObserveValue]metrics.Histogram
}

func newDaemonMetrics() *daemonMetrics {
	m := &daemonMetrics{
		registry:   metrics.NewRegistry(),
		decisions:  map[instance.LogDecision]metrics.Counter{},
		histograms: map[instance.ObserveValue]metrics.Histogram{},
	}
	m.registerSocket("packets", &m.packets)
	m.registerSocket("peers", &m.peers)
	m.registerMessages("peers.beat", &m.heartbeats)
	m.registerMessages("peers.passed", &m.forwarded)
	m.registerMessages("control.run", &m.handOvers)
	m.registerMessages("control.objects", &m.objectFetches)
	m.platformCalls = m.newCounter("platform.calls")
	m.platformUnanswered = m.newCounter("platform.unanswered")
	m.readErrors = m.newCounter("sockets.read_errors")
	m.droppedLogLines = m.newCounter("log.dropped")
	return m
}

func (m *daemonMetrics) newCounter(name string) metrics.Counter {
	return metrics.NewRegisteredCounter(name, m.registry)
}

func (m *daemonMetrics) registerSocket(name string, c *socketCounters) {
	for k := range packetKinds {
		c.received[k], c.sent[k] = metrics.NewCounter(), metrics.NewCounter()
		if k == 0 {
			continue
		}
		kind := packet.Kind(k).String()
		_ = m.registry.Register(name+".in."+kind, c.received[k])
		_ = m.registry.Register(name+".out."+kind, c.sent[k])
	}
	c.bytesReceived = m.newCounter(name + ".bytes_in")
	c.bytesSent = m.newCounter(name + ".bytes_out")
	c.malformed = m.newCounter(name + ".bad.malformed")
	c.unknownVersion = m.newCounter(name + ".bad.version")
	c.tooLarge = m.newCounter(name + ".bad.too_large")
	c.dropped = m.newCounter(name + ".dropped")
	c.unsent = m.newCounter(name + ".unsent")
}

func (m *daemonMetrics) registerMessages(name string, c *messageCounters) {
	c.received = m.newCounter(name + ".in")
	c.sent = m.newCounter(name + ".out")
	c.bytesReceived = m.newCounter(name + ".bytes_in")
	c.bytesSent = m.newCounter(name + ".bytes_out")
}

// countPlatform counts one call to the platform.
func (m *daemonMetrics) countPlatformCall(answered bool) {
	m.platformCalls.Inc(1)
	if !answered {
		m.platformUnanswered.Inc(1)
	}
}

// decide counts a decision as decision.reason.service. When there are too many
// services to count each, the service is counted as other.
func (m *daemonMetrics) countDecision(a instance.LogDecision) {
	key := instance.LogDecision{Decision: a.Decision, Reason: a.Reason, Service: a.Service}
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := m.decisions[key]
	if counter == nil && len(m.decisions) >= maxDecisionCounters {
		key.Service = otherServices
		counter = m.decisions[key]
	}
	if counter == nil {
		counter = metrics.NewCounter()
		m.decisions[key] = counter
		_ = m.registry.Register(metricName(key.Decision, key.Reason, key.Service), counter)
	}
	counter.Inc(1)
}

// observe adds a value to the histogram metric.service.class. When there are
// too many services, the service is counted as other.
func (m *daemonMetrics) observeValue(a instance.ObserveValue) {
	key := instance.ObserveValue{Metric: a.Metric, Service: a.Service, Class: a.Class}
	m.mu.Lock()
	histogram := m.histograms[key]
	if histogram == nil && len(m.histograms) >= maxHistograms {
		key.Service = otherServices
		histogram = m.histograms[key]
	}
	if histogram == nil {
		histogram = metrics.NewHistogram(metrics.NewExpDecaySample(histogramSampleSize, histogramSampleAlpha))
		m.histograms[key] = histogram
		_ = m.registry.Register(metricName(key.Metric, key.Service, key.Class.String()), histogram)
	}
	m.mu.Unlock()
	histogram.Update(a.Value)
}

// dotted joins the words that are there. Characters that would break a line of
// the metrics page are replaced.
func metricName(words ...string) string {
	var parts []string
	for _, w := range words {
		if w != "" {
			parts = append(parts, strings.Map(safeRune, w))
		}
	}
	return strings.Join(parts, ".")
}

func safeRune(r rune) rune {
	if r <= ' ' || r == '=' || r > '~' {
		return '_'
	}
	return r
}

// write prints every metric as a line name=value, sorted by name.
func (m *daemonMetrics) write(w io.Writer) error { return daemon.WriteMetrics(w, m.registry) }
