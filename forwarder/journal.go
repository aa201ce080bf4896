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
	journalBuffer = 128 << 10
	// Writing seldom costs fewer wake-ups; an engineer who follows the log by eye
	// doesn't notice, in ms.
	journalPeriod = 250 * clock.Millisecond
	// Lines of one kind a second. An instance opens some ten flows a second at the
	// sizes of today, so all of them are logged there.
	journalRate = 100
)

// journal writes the log. Nobody waits for it: lines go to a bounded buffer, and
// those that find no room, or come too often, are counted and dropped.
type journal struct {
	log *slog.Logger
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte

	limits  sync.Mutex
	second  clock.Millis
	written map[string]int // lines of this second, by kind
	dropped atomic.Int64   // lines since the last report
	lost    atomic.Int64   // lines ever
}

func newJournal(out io.Writer) *journal {
	j := &journal{out: out, written: map[string]int{}}
	j.log = slog.New(slog.NewJSONHandler(j, &slog.HandlerOptions{Level: slog.LevelInfo}))
	return j
}

// Write takes one line in. It is called by the log only.
func (j *journal) Write(line []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.waiting)+len(line) > journalBuffer {
		j.drop()
		return len(line), nil
	}
	j.waiting = append(j.waiting, line...)
	return len(line), nil
}

func (j *journal) drop() {
	j.dropped.Add(1)
	j.lost.Add(1)
}

// say logs a line that always matters.
func (j *journal) say(kind string, attributes ...any) {
	j.log.Info(kind, attributes...)
}

// limited logs a line of a kind that may come with each packet.
func (j *journal) limited(kind string, attributes ...any) {
	if j.allow(kind) {
		j.log.Info(kind, attributes...)
	}
}

// allow reports whether a line of a kind may be written in this second.
func (j *journal) allow(kind string) bool {
	j.limits.Lock()
	defer j.limits.Unlock()
	if now := clock.Now(); now-j.second >= clock.Second {
		j.second = now
		clear(j.written)
	}
	if j.written[kind] >= journalRate {
		j.drop()
		return false
	}
	j.written[kind]++
	return true
}

// decision logs the decision on a packet.
func (j *journal) decision(now clock.Millis, p *steering.Packet, v *steering.Decision) {
	kind := decisionKinds[v.Verdict]
	if !j.allow(kind + v.Reason.String()) {
		return
	}
	j.log.LogAttrs(context.Background(), slog.LevelInfo, kind,
		slog.String("flow", p.FlowID()), slog.String("reason", v.Reason.String()), slog.Uint64("copy", copies(p)),
		slog.String("service", v.Service), slog.String("endpoint", v.Endpoint.ID),
		slog.Int64("configuration", v.ConfigurationVersion), slog.Int64("age_ms", int64(v.EndpointsAge)),
		slog.Uint64("token", uint64(p.Token)), slog.Int64("at_ms", int64(now)))
}

// copies is how many copies of an opening packet went before.
func copies(p *steering.Packet) uint64 {
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
func (j *journal) run(ctx context.Context) {
	ticker := time.NewTicker(journalPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			j.flush()
			return
		case <-ticker.C:
			j.flush()
		}
	}
}

func (j *journal) flush() {
	if n := j.dropped.Swap(0); n > 0 {
		j.say("lines dropped", "count", n)
	}
	j.mu.Lock()
	lines := j.waiting
	j.waiting = j.spare[:0]
	j.mu.Unlock()
	if len(lines) > 0 {
		if _, err := j.out.Write(lines); err != nil {
			j.lost.Add(1) // there is nowhere left to tell
		}
	}
	j.spare = lines
}
