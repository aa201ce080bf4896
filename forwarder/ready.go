package forwarder

import (
	"net/http"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
)

// requestTimeout bounds reading a request's head, in ms. The platform asks twice a
// second, so a slower one is of no use.
const requestTimeout = 2 * clock.Second

// readyHandler serves readiness.
func (d *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
