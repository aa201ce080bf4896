package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerdock/tanagerdock/clock"
)

// ErrInvalidFault reports a fault setting with an invalid value.
var ErrInvalidFault = errors.New("fault is invalid")

// Limits of fault settings and control calls.
const (
	maxDelay        = clock.Minute // of a delay that a fault sets
	maxSlowdown     = 10_000       // factor
	maxControlBody  = 1 << 20      // bytes in the body of a control call
	maxErrorExcerpt = 200          // bytes of an invalid body that the error quotes
)

// faultInjector is a stand-in whose faults can be replaced while it runs.
type faultInjector[F any] interface {
	Faults() F
	SetFaults(F) error
}

// handleFaults registers GET /fault and PUT /fault. Both respond with the faults
// in force.
func handleFaults[F any](mux *http.ServeMux, s faultInjector[F]) {
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Faults())
	})
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if !readJSON(w, r, &faults) {
			return
		}
		if err := s.SetFaults(faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, s.Faults())
	})
}

// handleCalls registers GET /calls, which responds with a JSON object of counter
// values by name.
func handleCalls(mux *http.ServeMux, counts metrics.Registry) {
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, CounterValues(counts))
	})
}

// CounterValues returns the counters of a registry by name.
func CounterValues(counts metrics.Registry) map[string]int64 {
	values := map[string]int64{}
	counts.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok {
			values[name] = c.Count()
		}
	})
	return values
}

func incrementCounter(counts metrics.Registry, name string) {
	metrics.GetOrRegisterCounter(name, counts).Inc(1)
}

// readJSON decodes the body of a control call into v. When the body is invalid,
// it responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBody))
	if err == nil {
		err = decodeStrictly(data, v)
	}
	if err != nil {
		excerpt := data[:min(len(data), maxErrorExcerpt)]
		http.Error(w, fmt.Sprintf("%s %s: body %q: %v", r.Method, r.URL.Path, excerpt, err), http.StatusBadRequest)
		return false
	}
	return true
}

// decodeStrictly decodes a single JSON value into v. It returns an error for
// fields that v does not have.
func decodeStrictly(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errors.Errorf("more than one JSON value")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	_ = e.Encode(v) // fails only when the caller has disconnected
}

// checkProbability returns an error unless p is within 0 to 1.
func checkProbability(field string, p float64) error {
	if !(p >= 0 && p <= 1) {
		return errors.Wrapf(ErrInvalidFault, "field %q: %v is not within 0 to 1", field, p)
	}
	return nil
}

// checkDelay returns an error unless d is within 0 to maxDelay.
func checkDelay(field string, d clock.Millis) error {
	if d < 0 || d > maxDelay {
		return errors.Wrapf(ErrInvalidFault, "field %q: %d is not within 0 to %d ms", field, d, maxDelay)
	}
	return nil
}

// firstError returns the first error in list that is not nil.
func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}
