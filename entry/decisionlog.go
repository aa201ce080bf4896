package entry

import (
	"context"
	"log/slog"
	"sync"

	"github.com/tanagerdock/tanagerdock/instance"
)

// decisionLogQueueSize is the number of decisions that may wait to be logged.
const decisionLogQueueSize = 1024

// decisionLog counts and logs the engine's decisions. It logs on its own
// goroutine, so a blocked log output does not delay the engine.
type decisionLog struct {
	logger  *slog.Logger
	metrics *daemonMetrics
	queue   chan instance.LogDecision
	writer  sync.WaitGroup
}

func newDecisionLog(logger *slog.Logger, m *daemonMetrics) *decisionLog {
	return &decisionLog{logger: logger, metrics: m, queue: make(chan instance.LogDecision, decisionLogQueueSize)}
}

func (l *decisionLog) start() {
	l.writer.Go(func() {
		for a := range l.queue {
			l.write(a)
		}
	})
}

// stop waits until all queued decisions are logged. add must not be called
// afterwards.
func (l *decisionLog) stop() {
	close(l.queue)
	l.writer.Wait()
}

// add counts a decision and queues it for the log if its level is enabled. When
// the queue is full, it drops and counts the log line.
func (l *decisionLog) add(a instance.LogDecision) {
	l.metrics.countDecision(a)
	if !l.logger.Enabled(context.Background(), slogLevel(a.Level)) {
		return
	}
	select {
	case l.queue <- a:
	default:
		l.metrics.droppedLogLines.Inc(1)
	}
}

func (l *decisionLog) write(a instance.LogDecision) {
	attributes := []slog.Attr{slog.String("reason", a.Reason)}
	optional := []struct{ key, value string }{
		{"service", a.Service}, {"subject", a.Subject}, {"detail", a.Detail},
	}
	for _, o := range optional {
		if o.value != "" {
			attributes = append(attributes, slog.String(o.key, o.value))
		}
	}
	l.logger.LogAttrs(context.Background(), slogLevel(a.Level), a.Decision, attributes...)
}

func slogLevel(l instance.Level) slog.Level {
	switch l {
	case instance.LevelDebug:
		return slog.LevelDebug
	case instance.LevelInfo:
		return slog.LevelInfo
	}
	return slog.LevelWarn
}
