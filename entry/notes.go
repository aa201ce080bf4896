package entry

import (
	"context"
	"log/slog"
	"sync"

	"github.com/tanagerdock/tanagerdock/instance"
)

// noteQueue is the number of notes that may wait for the log.
const noteQueue = 1024

// notes counts and logs the engine's decisions. Logging happens on a goroutine
// of its own, so a log that is not read never delays the engine.
type notes struct {
	log     *slog.Logger
	counts  *counts
	waiting chan instance.LogDecision
	done    sync.WaitGroup
}

func newNotes(log *slog.Logger, c *counts) *notes {
	return &notes{log: log, counts: c, waiting: make(chan instance.LogDecision, noteQueue)}
}

func (n *notes) start() {
	n.done.Go(func() {
		for note := range n.waiting {
			n.write(note)
		}
	})
}

// stop waits until the notes added so far are logged. None may be added after.
func (n *notes) stop() {
	close(n.waiting)
	n.done.Wait()
}

// add counts a note and logs it if its level is wanted.
func (n *notes) add(note instance.LogDecision) {
	n.counts.decide(note)
	if !n.log.Enabled(context.Background(), logLevel(note.Level)) {
		return
	}
	select {
	case n.waiting <- note:
	default:
		n.counts.unlogged.Inc(1)
	}
}

func (n *notes) write(note instance.LogDecision) {
	attributes := []slog.Attr{slog.String("reason", note.Reason)}
	optional := []struct{ key, value string }{
		{"service", note.Service}, {"subject", note.Subject}, {"detail", note.Detail},
	}
	for _, o := range optional {
		if o.value != "" {
			attributes = append(attributes, slog.String(o.key, o.value))
		}
	}
	n.log.LogAttrs(context.Background(), logLevel(note.Level), note.Decision, attributes...)
}

func logLevel(l instance.Level) slog.Level {
	switch l {
	case instance.LevelDebug:
		return slog.LevelDebug
	case instance.LevelInfo:
		return slog.LevelInfo
	}
	return slog.LevelWarn
}
