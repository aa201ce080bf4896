package forwarder

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Bounds of the log.
const (
	// What may wait to be written, in bytes: some seconds of lines at the highest
	// rate, so that a reader may stall that long.
	maxLogBuffer = 128 << 10
	// Writing seldom costs fewer wake-ups; an engineer who follows the log by eye
	// doesn't notice, in ms.
	logFlushPeriod = 250 * clock.Millisecond
	// Lines of one kind a second. An instance opens some ten flows a second at the
	// sizes of today, so all of them are logged there.
	maxLinesPerKind = 100
)

// eventLog writes the log. Nobody waits for it: lines go to a bounded buffer, and
// those that find no room, or come too often, are counted and dropped.
type eventLog struct {
	logger *slog.Logger
	out    io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte

	rateMu            sync.Mutex
	secondStart       clock.Millis
	linesByKind       map[string]int // lines of this second, by kind
	droppedSinceFlush atomic.Int64   // lines since the last report
	droppedTotal      atomic.Int64   // lines ever
}

func newEventLog(out io.Writer) *eventLog {
	l := &eventLog{out: out, linesByKind: map[string]int{}}
	l.logger = slog.New(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: slog.LevelInfo}))
	return l
}

// Write takes one line in. It is called by the log only.
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

// say logs a line that always matters.
func (l *eventLog) info(kind string, attributes ...any) {
	l.logger.Info(kind, attributes...)
}

// limited logs a line of a kind that may come with each packet.
func (l *eventLog) infoLimited(kind string, attributes ...any) {
	if l.allowLine(kind) {
		l.logger.Info(kind, attributes...)
	}
}

// allow reports whether a line of a kind may be written in this second.
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

// decision logs the decision on a packet.
func (l *eventLog) decision(now clock.Millis, p *steering.Packet, v *steering.Decision) {
	kind := decisionKinds[v.Verdict]
	if !l.allowLine(kind + v.Reason.String()) {
		return
	}
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, kind,
		slog.String("flow", p.FlowID()), slog.String("reason", v.Reason.String()), slog.Uint64("copy", earlierCopies(p)),
		slog.String("service", v.Service), slog.String("endpoint", v.Endpoint.ID),
		slog.Int64("configuration", v.ConfigurationVersion), slog.Int64("age_ms", int64(v.EndpointsAge)),
		slog.Uint64("token", uint64(p.Token)), slog.Int64("at_ms", int64(now)))
}

// copies is how many copies of an opening packet went before.
func earlierCopies(p *steering.Packet) uint64 {
	if p.Opening() {
		return uint64(p.Ack)
	}
	return 0
}

// decisionKinds are the lines for decisions on packets.
var decisionKinds = map[steering.Verdict]string{
	steering.Forward: "flow placed", steering.Reset: "flow reset", steering.Drop: "packet dropped",
}

// run writes what waits until ctx ends, and then the rest.
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
			l.droppedTotal.Add(1) // there is nowhere left to tell
		}
	}
	l.spare = lines
}
