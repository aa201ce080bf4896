package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Headers of requests and answers.
const (
	headerDeadline = "X-Deadline-Ms"
	headerOnce     = "X-Once"
	headerNotRun   = "X-Not-Run"
	headerDraining = "X-Draining"
)

// serveWork runs one request.
func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	count(b.counts, "requests")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, packet.MaxBody))
	if err != nil {
		count(b.counts, "cut")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := b.Faults()
	host := b.host(f)
	if f.Drain || f.MarkDraining {
		w.Header().Set(headerDraining, "true")
	}
	if bareHost(r) != host {
		count(b.counts, "misdirected")
		http.Error(w, r.Host+" is not served here", http.StatusMisdirectedRequest)
		return
	}
	if f.Drain || f.Shed {
		b.refuse(w, "no new work is taken")
		return
	}
	work, ordered := ParseWork(body)
	if !ordered {
		count(b.counts, "echoed")
		b.answer(w, body)
		return
	}
	if b.run(w, r, host, work) {
		b.answer(w, BuildAnswer(work, host, body))
	}
}

// run holds a slot for the time of the work. It reports whether the work is
// done; otherwise it has answered.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, host string, work Work) bool {
	ctx, cancel := workContext(r)
	defer cancel()
	if !b.takeSlot(ctx) {
		b.refuse(w, "no slot came free in time")
		return false
	}
	defer b.freeSlot()
	entry := b.ledger.start(work.ID, host, r.Header.Get(headerOnce) == "true")
	if entry == nil {
		b.refuse(w, "the ledger is full")
		return false
	}
	count(b.counts, "started")
	began := clock.Now()
	sleep(ctx, b.workTime(work.RunTime))
	metrics.GetOrRegisterCounter("busy_ms", b.counts).Inc(int64(clock.Now() - began))
	if ctx.Err() != nil {
		count(b.counts, "cancelled")
		http.Error(w, "cancelled or past its deadline", http.StatusGatewayTimeout)
		return false
	}
	b.ledger.finish(entry)
	count(b.counts, "finished")
	return true
}

// workContext ends with the connection or at the request's deadline.
func workContext(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || left > int64(clock.Hour) {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), clock.Millis(left).Duration())
}

// refuse answers that the request was not run.
func (b *Backend) refuse(w http.ResponseWriter, why string) {
	count(b.counts, "refused")
	w.Header().Set(headerNotRun, "true")
	http.Error(w, why, http.StatusServiceUnavailable)
}

// answer sends a whole answer, or half of it when the connection is to be
// killed.
func (b *Backend) answer(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.chance(b.Faults().Truncate) {
		count(b.counts, "killed")
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		reset()
	}
	_, _ = w.Write(body) // a caller that has gone needs no answer
}

// Health is the answer to GET /health.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// Load is the answer to GET /load.
type Load struct {
	Slots  int `json:"slots"`
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
}

func (b *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	count(b.counts, "health")
	f := b.Faults()
	h := Health{Healthy: !f.Shed, Draining: f.Drain || f.MarkDraining}
	switch f.HealthClaim {
	case ClaimHealthy:
		h = Health{Healthy: true}
	case ClaimUnhealthy:
		h = Health{Healthy: false}
	}
	w.Header().Set("Content-Type", "application/json")
	if !h.Healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, h)
}

func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	count(b.counts, "load")
	b.mu.Lock()
	l := Load{Slots: b.settings.Slots, Busy: len(b.slots), Queued: b.queued}
	if b.faults.HealthClaim != "" {
		l.Busy, l.Queued = 0, 0
	}
	b.mu.Unlock()
	writeJSON(w, l)
}
