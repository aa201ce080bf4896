package forwarder

import (
	"net/http"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
)

// requestTimeout bounds reading a request's head, in ms. The platform asks twice a
// second, so a slower one is of no use.
const requestTimeout = 2 * clock.Second

// handler serves readiness and metrics.
func (d *Daemon) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if err := d.counts.write(w); err != nil {
			d.journal.limited("metrics unsent", "error", err.Error())
		}
	})
	return mux
}
