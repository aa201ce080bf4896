package forwarder

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Limits of the log.
const (
	// Size of the buffer of unwritten lines, in bytes. It takes some seconds of lines at
	// the highest rate, so the reader of the log may stall that long.
	maxLogBuffer = 128 << 10
	// Time between two writes, in ms. Few writes cause few wake-ups, and a person who
	// reads the log doesn't notice the delay.
	logFlushPeriod = 250 * clock.Millisecond
	// Lines of one kind per second. An instance opens about ten flows per second at today's
	// load, so each of them is logged.
	maxLinesPerKind = 100
)

// eventLog writes the daemon's log as JSON lines without blocking its callers. Lines go to
// a bounded buffer that run writes out. Lines that exceed the buffer or their kind's rate
// are dropped and counted.
type eventLog struct {
	logger *slog.Logger
	out    io.Writer

	mu      sync.Mutex
	pending []byte // lines to write next
	spare   []byte // memory of the lines written last, reused for pending

	rateMu            sync.Mutex
	secondStart       clock.Millis
	linesByKind       map[string]int // lines since secondStart, by kind
	droppedSinceFlush atomic.Int64   // lines dropped since the last flush
	droppedTotal      atomic.Int64   // lines dropped since the start
}

func newEventLog(out io.Writer) *eventLog {
	l := &eventLog{out: out, linesByKind: map[string]int{}}
	l.logger = slog.New(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: slog.LevelInfo}))
	return l
}

// Write appends a line to the buffer. The slog handler calls it.
func (l *eventLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(line) > maxLogBuffer {
		l.countDropped()
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	return len(line), nil
}

func (l *eventLog) countDropped() {
	l.droppedSinceFlush.Add(1)
	l.droppedTotal.Add(1)
}

// info logs a line that is not subject to the rate limit.
func (l *eventLog) info(kind string, attributes ...any) {
	l.logger.Info(kind, attributes...)
}

// infoLimited logs a line of a kind that may occur with each packet, up to
// maxLinesPerKind per second.
func (l *eventLog) infoLimited(kind string, attributes ...any) {
	if l.allowLine(kind) {
		l.logger.Info(kind, attributes...)
	}
}

// allowLine reports whether a line of a kind is within the rate limit. It counts the line,
// as written or as dropped.
func (l *eventLog) allowLine(kind string) bool {
	l.rateMu.Lock()
	defer l.rateMu.Unlock()
	if now := clock.Now(); now-l.secondStart >= clock.Second {
		l.secondStart = now
		clear(l.linesByKind)
	}
	if l.linesByKind[kind] >= maxLinesPerKind {
		l.countDropped()
		return false
	}
	l.linesByKind[kind]++
	return true
}

// decision logs the decision on a packet. The rate limit is per verdict and reason.
// recentWait is that of packetReader.
func (l *eventLog) decision(now clock.Millis, p *steering.Packet, v *steering.Decision, recentWait clock.Millis) {
	kind := decisionKinds[v.Verdict]
	if !l.allowLine(kind + v.Reason.String()) {
		return
	}
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, kind,
		slog.String("flow", p.FlowID()), slog.String("reason", v.Reason.String()), slog.Uint64("copy", earlierCopies(p)),
		slog.String("service", v.Service), slog.String("endpoint", v.Endpoint.ID),
		slog.Int64("configuration", v.ConfigurationVersion), slog.Int64("age_ms", int64(v.EndpointsAge)),
		slog.Uint64("token", uint64(p.Token)), slog.Int64("at_ms", int64(now)), slog.Int64(waitKey, int64(recentWait)))
}

// waitKey is the key of packetReader.recentWait in log lines.
const waitKey = "waited_ms"

func (d *Daemon) waitAttribute() slog.Attr {
	return slog.Int64(waitKey, int64(d.reader.recentWait(clock.Now())))
}

func (d *Daemon) logBacklogStart(b backlog) {
	d.log.infoLimited("backlog started", waitKey, int64(b.length), "packets", b.packets, "started_at_ms", int64(b.startedAt))
}

func (d *Daemon) logBacklogEnd(b backlog) {
	d.log.infoLimited("backlog ended", waitKey, int64(b.length), "packets", b.packets, "late", b.late, "started_at_ms", int64(b.startedAt))
}

// evidenceAttributes returns the attributes of evidence in a log line.
func evidenceAttributes(v *steering.Evidence) slog.Attr {
	return slog.Group("",
		slog.String("probe", v.Probe), slog.Int64("probe_age_ms", int64(v.ProbeAge)),
		slog.Int("votes", len(v.Voters)), slog.String("voters", strings.Join(v.Voters, " ")),
		slog.String("reporter", v.Reporter), slog.Int64("report_age_ms", int64(v.ReportAge)),
		slog.Int("missed", v.UnansweredFlows), slog.Int64("answer_age_ms", int64(v.AnswerAge)),
		slog.Int64("entry_age_ms", int64(v.EntryAge)), slog.Int64("age_ms", int64(v.RecordsAge)))
}

// earlierCopies returns how many copies of an opening packet the consumer has sent before
// this one.
func earlierCopies(p *steering.Packet) uint64 {
	if p.Opening() {
		return uint64(p.Ack)
	}
	return 0
}

// decisionKinds are the messages of log lines for decisions, by verdict.
var decisionKinds = map[steering.Verdict]string{
	steering.Forward: "flow placed", steering.Reset: "flow reset", steering.Drop: "packet dropped",
}

// run writes pending lines at each logFlushPeriod until ctx ends, and then the rest.
func (l *eventLog) run(ctx context.Context) {
	ticker := time.NewTicker(logFlushPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.flush()
			return
		case <-ticker.C:
			l.flush()
		}
	}
}

// flush writes the pending lines. If lines were dropped since the last flush, it adds a line
// with their number.
func (l *eventLog) flush() {
	if n := l.droppedSinceFlush.Swap(0); n > 0 {
		l.info("lines dropped", "count", n)
	}
	l.mu.Lock()
	lines := l.pending
	l.pending = l.spare[:0]
	l.mu.Unlock()
	if len(lines) > 0 {
		if _, err := l.out.Write(lines); err != nil {
			l.droppedTotal.Add(1) // the log itself has failed, so the error can't be logged
		}
	}
	l.spare = lines
}
