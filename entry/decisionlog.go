package entry

import (
	"context"
	"log/slog"
	"sync"

	"github.com/tanagerdock/tanagerdock/instance"
)

// noteQueue is the number of notes that may wait for the log.
const decisionLogQueueSize = 1024

// notes counts and logs the engine's decisions. Logging happens on a goroutine
// of its own, so a log that is not read never delays the engine.
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

// stop waits until the notes added so far are logged. None may be added after.
func (l *decisionLog) stop() {
	close(l.queue)
	l.writer.Wait()
}

// add counts a note and logs it if its level is wanted.
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
