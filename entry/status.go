package entry

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/tanagerdock/tanagerdock/clock"
)

const (
	// engineStallTimeout is the time without an event for the engine after which
	// /health reports the daemon as unhealthy.
	engineStallTimeout = 1 * clock.Second
	// readHeaderTimeout limits how long a server waits for a request's header.
	readHeaderTimeout = 5 * clock.Second
	// serverIdleTimeout is how long a server keeps an idle connection. It is
	// longer than clientIdleTimeout, so that the client closes first.
	serverIdleTimeout = 60 * clock.Second
)

// serveStatus serves /metrics and /health on the status address.
func (d *Daemon) serveStatus() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", d.handleMetrics)
	mux.HandleFunc("GET /health", d.handleHealth)
	s := newServer(mux)
	d.tasks.Go(func() { _ = s.Serve(d.statusSocket) })
	return s
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout.Duration(),
		IdleTimeout:       serverIdleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (d *Daemon) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	var page bytes.Buffer
	if err := d.metrics.write(&page); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(page.Bytes())
}

// handleHealth answers 200 while the engine handles events and no shutdown was
// requested, and 503 otherwise.
func (d *Daemon) handleHealth(w http.ResponseWriter, _ *http.Request) {
	h := healthBody{Draining: d.stopping.Load()}
	h.Healthy = !h.Draining && clock.Now()-clock.Millis(d.lastEventAt.Load()) < engineStallTimeout
	w.Header().Set("Content-Type", "application/json")
	if !h.Healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h)
}
