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
	maxDecisions  = 4096 // counters of decisions
	maxHistograms = 1024
	sampleSize    = 1028  // values a histogram keeps
	sampleAlpha   = 0.015 // decay of a histogram; favours the last five minutes
	others        = "other"
)

// kinds is the number of packet kinds, 0 included.
const kinds = int(packet.KindClose) + 1

// datagramCounts counts what happens on one socket.
type datagramCounts struct {
	in, out           [kinds]metrics.Counter
	bytesIn, bytesOut metrics.Counter
	malformed         metrics.Counter // not decoded
	version           metrics.Counter // of an unknown protocol version
	tooLarge          metrics.Counter // above the size limit
	dropped           metrics.Counter // received while the engine's queue was full
	unsent            metrics.Counter // refused by the kernel
}

// refuse counts a datagram that was not decoded or encoded, by its error.
func (c *datagramCounts) refuse(err error) {
	switch {
	case errors.Is(err, packet.ErrVersion):
		c.version.Inc(1)
	case errors.Is(err, packet.ErrTooLarge):
		c.tooLarge.Inc(1)
	default:
		c.malformed.Inc(1)
	}
}

// trafficCounts counts messages of one sort in both directions.
type trafficCounts struct {
	in, out, bytesIn, bytesOut metrics.Counter
}

func (c *trafficCounts) countIn(size int) {
	c.in.Inc(1)
	c.bytesIn.Inc(int64(size))
}

func (c *trafficCounts) countOut(size int) {
	c.out.Inc(1)
	c.bytesOut.Inc(int64(size))
}

// counts holds every metric of a daemon. It is safe for concurrent use.
type counts struct {
	registry   metrics.Registry
	packets    datagramCounts // callers' socket
	peers      datagramCounts // other instances' socket; in and out by kind of the packet passed on
	beats      trafficCounts  // heartbeats
	passed     trafficCounts  // packets passed on
	runs       trafficCounts  // control calls that hand work over
	objects    trafficCounts  // control calls that fetch records
	platform   metrics.Counter
	unanswered metrics.Counter // platform calls
	readErrors metrics.Counter
	unlogged   metrics.Counter // notes dropped because the log was behind

	mu         sync.Mutex
	decisions  map[instance.LogDecision]metrics.Counter // by Decision, Reason and Service
	histograms map[instance.ObserveValue]metrics.Histogram
}

func newCounts() *counts {
	c := &counts{
		registry:   metrics.NewRegistry(),
		decisions:  map[instance.LogDecision]metrics.Counter{},
		histograms: map[instance.ObserveValue]metrics.Histogram{},
	}
	c.addDatagrams("packets", &c.packets)
	c.addDatagrams("peers", &c.peers)
	c.addTraffic("peers.beat", &c.beats)
	c.addTraffic("peers.passed", &c.passed)
	c.addTraffic("control.run", &c.runs)
	c.addTraffic("control.objects", &c.objects)
	c.platform = c.counter("platform.calls")
	c.unanswered = c.counter("platform.unanswered")
	c.readErrors = c.counter("sockets.read_errors")
	c.unlogged = c.counter("log.dropped")
	return c
}

func (c *counts) counter(name string) metrics.Counter {
	return metrics.NewRegisteredCounter(name, c.registry)
}

func (c *counts) addDatagrams(name string, to *datagramCounts) {
	for k := range kinds {
		to.in[k], to.out[k] = metrics.NewCounter(), metrics.NewCounter()
		if k == 0 {
			continue
		}
		kind := packet.Kind(k).String()
		_ = c.registry.Register(name+".in."+kind, to.in[k])
		_ = c.registry.Register(name+".out."+kind, to.out[k])
	}
	to.bytesIn = c.counter(name + ".bytes_in")
	to.bytesOut = c.counter(name + ".bytes_out")
	to.malformed = c.counter(name + ".bad.malformed")
	to.version = c.counter(name + ".bad.version")
	to.tooLarge = c.counter(name + ".bad.too_large")
	to.dropped = c.counter(name + ".dropped")
	to.unsent = c.counter(name + ".unsent")
}

func (c *counts) addTraffic(name string, to *trafficCounts) {
	to.in = c.counter(name + ".in")
	to.out = c.counter(name + ".out")
	to.bytesIn = c.counter(name + ".bytes_in")
	to.bytesOut = c.counter(name + ".bytes_out")
}

// countPlatform counts one call to the platform.
func (c *counts) countPlatform(answered bool) {
	c.platform.Inc(1)
	if !answered {
		c.unanswered.Inc(1)
	}
}

// decide counts a decision as decision.reason.service. When there are too many
// services to count each, the service is counted as other.
func (c *counts) decide(n instance.LogDecision) {
	key := instance.LogDecision{Decision: n.Decision, Reason: n.Reason, Service: n.Service}
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.decisions[key]
	if counter == nil && len(c.decisions) >= maxDecisions {
		key.Service = others
		counter = c.decisions[key]
	}
	if counter == nil {
		counter = metrics.NewCounter()
		c.decisions[key] = counter
		_ = c.registry.Register(dotted(key.Decision, key.Reason, key.Service), counter)
	}
	counter.Inc(1)
}

// observe adds a value to the histogram metric.service.class. When there are
// too many services, the service is counted as other.
func (c *counts) observe(o instance.ObserveValue) {
	key := instance.ObserveValue{Metric: o.Metric, Service: o.Service, Class: o.Class}
	c.mu.Lock()
	histogram := c.histograms[key]
	if histogram == nil && len(c.histograms) >= maxHistograms {
		key.Service = others
		histogram = c.histograms[key]
	}
	if histogram == nil {
		histogram = metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		c.histograms[key] = histogram
		_ = c.registry.Register(dotted(key.Metric, key.Service, key.Class.String()), histogram)
	}
	c.mu.Unlock()
	histogram.Update(o.Value)
}

// dotted joins the words that are there. Characters that would break a line of
// the metrics page are replaced.
func dotted(words ...string) string {
	var named []string
	for _, w := range words {
		if w != "" {
			named = append(named, strings.Map(plain, w))
		}
	}
	return strings.Join(named, ".")
}

func plain(r rune) rune {
	if r <= ' ' || r == '=' || r > '~' {
		return '_'
	}
	return r
}

// write prints every metric as a line name=value, sorted by name.
func (c *counts) write(w io.Writer) error { return daemon.WriteMetrics(w, c.registry) }
