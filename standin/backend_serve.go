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
	headerID       = "X-Request-Id"
)

// serveWork handles one request: it refuses, echoes or runs it.
func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	incrementCounter(b.counts, "requests")
	if id := r.Header.Get(headerID); id != "" {
		w.Header().Set(headerID, id)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, packet.MaxBody))
	if err != nil {
		incrementCounter(b.counts, "cut")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := b.Faults()
	host := b.servedHost(f)
	if f.Drain || f.MarkDraining {
		w.Header().Set(headerDraining, "true")
	}
	if hostWithoutPort(r) != host {
		incrementCounter(b.counts, "misdirected")
		http.Error(w, r.Host+" is not served here", http.StatusMisdirectedRequest)
		return
	}
	if f.Drain || f.Shed {
		b.refuse(w, "new requests are refused")
		return
	}
	work, isWork := ParseWork(body)
	if !isWork {
		incrementCounter(b.counts, "echoed")
		b.answer(w, body)
		return
	}
	if b.run(w, r, host, work) {
		b.answer(w, BuildAnswer(work, host, body))
	}
}

// run occupies a slot for the run time of the work, and records the run in the
// ledger. It returns false, after an error response, if the work did not finish.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, host string, work Work) bool {
	ctx, cancel := requestContext(r)
	defer cancel()
	if !b.acquireSlot(ctx) {
		b.refuse(w, "no slot became free before the deadline")
		return false
	}
	defer b.releaseSlot()
	entry := b.ledger.start(work.ID, host, r.Header.Get(headerOnce) == "true")
	if entry == nil {
		b.refuse(w, "the ledger is full")
		return false
	}
	incrementCounter(b.counts, "started")
	began := clock.Now()
	sleep(ctx, b.scaledRunTime(work.RunTime))
	metrics.GetOrRegisterCounter("busy_ms", b.counts).Inc(int64(clock.Now() - began))
	if ctx.Err() != nil {
		incrementCounter(b.counts, "cancelled")
		http.Error(w, "request was cancelled or its deadline passed", http.StatusGatewayTimeout)
		return false
	}
	b.ledger.finish(entry)
	incrementCounter(b.counts, "finished")
	return true
}

// requestContext returns a context that ends with the connection of r or at its
// deadline.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || left > int64(clock.Hour) {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), clock.Millis(left).Duration())
}

// refuse responds that the request was not run, so that it may be retried.
func (b *Backend) refuse(w http.ResponseWriter, reason string) {
	incrementCounter(b.counts, "refused")
	w.Header().Set(headerNotRun, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// answer sends an answer. Under the fault Truncate it may send half of it and abort
// the connection.
func (b *Backend) answer(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.chance(b.Faults().Truncate) {
		incrementCounter(b.counts, "killed")
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	_, _ = w.Write(body) // fails only when the caller has disconnected
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
	incrementCounter(b.counts, "health")
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
	incrementCounter(b.counts, "load")
	b.mu.Lock()
	l := Load{Slots: b.settings.Slots, Busy: len(b.slots), Queued: b.queued}
	if b.faults.HealthClaim != "" {
		l.Busy, l.Queued = 0, 0
	}
	b.mu.Unlock()
	writeJSON(w, l)
}
