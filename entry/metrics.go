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

// Limits on the number and size of metrics. Service names come from packets, so
// nothing else bounds the number of counters and histograms.
const (
	maxDecisionCounters  = 4096
	maxHistograms        = 1024
	histogramSampleSize  = 1028  // values in the sample of a histogram
	histogramSampleAlpha = 0.015 // decay of the sample, biased to the last five minutes
	otherServices        = "other"
)

// packetKinds is the number of packet kinds, including 0, which is not a valid
// kind.
const packetKinds = int(packet.KindClose) + 1

// socketCounters counts the datagrams of one socket.
type socketCounters struct {
	received, sent           [packetKinds]metrics.Counter
	bytesReceived, bytesSent metrics.Counter
	malformed                metrics.Counter // failed to decode
	unknownVersion           metrics.Counter // unsupported protocol version
	tooLarge                 metrics.Counter // above the size limit
	dropped                  metrics.Counter // received while the engine's queue was full
	unsent                   metrics.Counter // rejected by the kernel
}

// countError counts a datagram that could not be decoded or encoded, by its error.
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

// messageCounters counts the messages of one type in both directions.
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

// daemonMetrics holds all metrics of a daemon. It is safe for concurrent use.
type daemonMetrics struct {
	registry metrics.Registry
	packets  socketCounters // socket for callers
	// Socket for other instances: received counts forwarded packets by kind. What was
	// sent, and the bytes in both directions, are counted by heartbeats and forwarded.
	peers              socketCounters
	heartbeats         messageCounters
	forwarded          messageCounters // packets forwarded between instances
	handOvers          messageCounters // control calls that hand over work
	objectFetches      messageCounters // control calls that fetch records
	platformCalls      metrics.Counter
	platformUnanswered metrics.Counter // platform calls without an answer of the platform
	readErrors         metrics.Counter
	readPanics         metrics.Counter // datagrams dropped because they made their reader panic
	droppedLogLines    metrics.Counter // log lines dropped because the queue of the log was full

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
	m.readPanics = m.newCounter("sockets.read_panics")
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

// countPlatformCall counts one call to the platform.
func (m *daemonMetrics) countPlatformCall(answered bool) {
	m.platformCalls.Inc(1)
	if !answered {
		m.platformUnanswered.Inc(1)
	}
}

// countDecision increments the counter decision.reason.service. When there are
// maxDecisionCounters already, a new service is counted as otherServices.
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

// observeValue adds a value to the histogram metric.service.class. When there are
// maxHistograms already, a new service is counted as otherServices.
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

// metricName joins the non-empty words with dots. It replaces characters that are
// not allowed in a line of /metrics.
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
