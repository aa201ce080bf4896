package entry

import (
	"bytes"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// parseObject parses name=revision, or name-revision for a deleted record.
func parseObject(t *testing.T, text string) record.Object {
	t.Helper()
	at := strings.IndexAny(text, "=-")
	require.Positive(t, at, text)
	revision, err := strconv.ParseUint(text[at+1:], 10, 64)
	require.NoError(t, err)
	kind := record.KindService
	if strings.HasPrefix(text, "status") {
		kind = record.KindStatus
	}
	return record.Object{Kind: kind, Name: text[:at], Revision: revision, Deleted: text[at] == '-'}
}

func formatObject(o record.Object) string {
	return fmt.Sprintf("%s=%d", o.Name, o.Revision)
}

// nonZeroLines returns the lines of /metrics whose value is not 0.
func (m *daemonMetrics) nonZeroLines(t *testing.T) []string {
	t.Helper()
	var page bytes.Buffer
	require.NoError(t, m.write(&page))
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(page.String()), "\n") {
		if !strings.HasSuffix(line, "=0") {
			lines = append(lines, line)
		}
	}
	return lines
}

func TestMetricsPage(t *testing.T) {
	m := newDaemonMetrics()
	for v := range int64(100) {
		m.observeValue(instance.ObserveValue{Metric: "run_ms", Service: "orders", Class: packet.ClassShort, Value: v + 1})
	}
	m.observeValue(instance.ObserveValue{Metric: "run_ms", Service: "gallery", Class: packet.ClassLong, Value: 7})
	for range 3 {
		m.countDecision(instance.LogDecision{Decision: "refuse", Reason: "busy", Service: "orders", Subject: "a", Detail: "b"})
	}
	m.countDecision(instance.LogDecision{Decision: "adopt", Reason: "owner gone"})
	m.packets.received[packet.KindOpen].Inc(2)
	m.packets.countError(errors.Wrap(packet.ErrVersion, "version 9"))
	m.heartbeats.countSent(40)
	require.Equal(t, []string{
		"adopt.owner_gone=1",
		"packets.bad.version=1",
		"packets.in.open=2",
		"peers.beat.bytes_out=40",
		"peers.beat.out=1",
		"refuse.busy.orders=3",
		"run_ms.gallery.long.count=1",
		"run_ms.gallery.long.max=7",
		"run_ms.gallery.long.p50=7",
		"run_ms.gallery.long.p99=7",
		"run_ms.orders.short.count=100",
		"run_ms.orders.short.max=100",
		"run_ms.orders.short.p50=50",
		"run_ms.orders.short.p99=99",
	}, m.nonZeroLines(t))
}

func TestMetricsAreSorted(t *testing.T) {
	var page bytes.Buffer
	require.NoError(t, newDaemonMetrics().write(&page))
	lines := strings.Split(strings.TrimSpace(page.String()), "\n")
	require.IsIncreasing(t, lines)
	for _, line := range lines {
		require.Regexp(t, `^[a-z0-9_.]+=\d+$`, line)
	}
}

// Guards against service names in packets that create metrics without bound, or that
// break the format of /metrics.
func TestMetricCountIsBounded(t *testing.T) {
	m := newDaemonMetrics()
	for i := range maxDecisionCounters + 10 {
		m.countDecision(instance.LogDecision{Decision: "refuse", Reason: "service", Service: fmt.Sprintf("made-up-%d", i)})
	}
	for i := range maxHistograms + 10 {
		m.observeValue(instance.ObserveValue{Metric: "run_ms", Service: fmt.Sprintf("made-up-%d", i), Value: 1})
	}
	require.Len(t, m.decisions, maxDecisionCounters+1)
	require.Len(t, m.histograms, maxHistograms+1)
	page := m.nonZeroLines(t)
	require.Contains(t, page, "refuse.service.other=10")
	require.Contains(t, page, "run_ms.other.unknown.count=10")

	m = newDaemonMetrics()
	m.countDecision(instance.LogDecision{Decision: "refuse", Reason: "service", Service: "a=1\nb é"})
	require.Equal(t, []string{"refuse.service.a_1_b__=1"}, m.nonZeroLines(t))
}

func TestDecisionsAreLoggedAndCounted(t *testing.T) {
	var log bytes.Buffer
	m := newDaemonMetrics()
	l := newDecisionLog(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{
		Level: slog.LevelInfo,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Attr{}
			}
			return a
		},
	})), m)
	l.start()
	l.add(instance.LogDecision{Decision: "refuse", Reason: "busy", Service: "orders", Subject: "flow/1", Detail: "queue is full", Level: instance.LevelInfo})
	l.add(instance.LogDecision{Decision: "eject", Reason: "silent", Level: instance.LevelWarn})
	l.add(instance.LogDecision{Decision: "route", Reason: "owner", Level: instance.LevelDebug})
	l.stop()
	require.Equal(t, `level=INFO msg=refuse reason=busy service=orders subject=flow/1 detail="queue is full"
level=WARN msg=eject reason=silent
`, log.String())
	require.Equal(t, []string{"eject.silent=1", "refuse.busy.orders=1", "route.owner=1"}, m.nonZeroLines(t))
}

// A blocked log output must lose log lines and not block the engine.
func TestDecisionLogNeverBlocks(t *testing.T) {
	blocked := make(chan struct{})
	m := newDaemonMetrics()
	l := newDecisionLog(slog.New(slog.NewTextHandler(blockingWriter(blocked), nil)), m)
	l.start()
	const minDropped = 10
	for range decisionLogQueueSize + 1 + minDropped {
		l.add(instance.LogDecision{Decision: "refuse", Reason: "busy", Level: instance.LevelWarn})
	}
	require.GreaterOrEqual(t, m.droppedLogLines.Count(), int64(minDropped))
	close(blocked)
	l.stop()
}

type blockingWriter chan struct{}

func (w blockingWriter) Write(data []byte) (int, error) {
	<-w
	return len(data), nil
}
