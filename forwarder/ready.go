package forwarder

import (
	"net/http"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
)

// requestTimeout is the time for reading the header of an HTTP request, in ms. The platform
// checks readiness twice a second, so a slower request is of no use.
const requestTimeout = 2 * clock.Second

// readyHandler answers the platform's readiness checks: 200 when ready, 503 when not.
func (d *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
