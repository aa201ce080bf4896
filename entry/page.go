package entry

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/tanagerdock/tanagerdock/clock"
)

const (
	// stuckAfter is how long the engine may go without an event before the
	// daemon calls itself unhealthy.
	stuckAfter = 1 * clock.Second
	// headerTimeout is how long a server waits for a request's header.
	headerTimeout = 5 * clock.Second
	// keepTimeout is how long a server keeps an idle connection. It is longer
	// than idleTimeout, so the calling side closes first.
	keepTimeout = 60 * clock.Second
)

// servePage serves /metrics and /health on the status address.
func (d *Daemon) servePage() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", d.showMetrics)
	mux.HandleFunc("GET /health", d.showHealth)
	s := newServer(mux)
	d.work.Go(func() { _ = s.Serve(d.statusSocket) })
	return s
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       keepTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (d *Daemon) showMetrics(w http.ResponseWriter, _ *http.Request) {
	var page bytes.Buffer
	if err := d.counts.write(&page); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(page.Bytes())
}

// showHealth answers 200 while the engine takes events and no shutdown is under
// way.
func (d *Daemon) showHealth(w http.ResponseWriter, _ *http.Request) {
	h := health{Draining: d.halting.Load()}
	h.Healthy = !h.Draining && clock.Now()-clock.Millis(d.ticked.Load()) < stuckAfter
	w.Header().Set("Content-Type", "application/json")
	if !h.Healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h)
}
