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

// ErrInvalidFault reports faults whose values make no sense.
var ErrInvalidFault = errors.New("fault is invalid")

// Limits of faults and control calls.
const (
	maxDelay   = clock.Minute // longest delay a fault can cause
	maxFactor  = 10_000       // strongest slowdown
	maxControl = 1 << 20      // largest body of a control call, in bytes
	maxShown   = 200          // bytes of it in an error
)

// faulty is something whose faults can be set while it runs.
type faulty[F any] interface {
	Faults() F
	SetFaults(F) error
}

// handleFaults serves GET and PUT /fault.
func handleFaults[F any](mux *http.ServeMux, s faulty[F]) {
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

// handleCalls serves GET /calls, a JSON object of counts by name.
func handleCalls(mux *http.ServeMux, counts metrics.Registry) {
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, CounterValues(counts))
	})
}

// CounterValues returns the values of a registry's counters by name.
func CounterValues(counts metrics.Registry) map[string]int64 {
	values := map[string]int64{}
	counts.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok {
			values[name] = c.Count()
		}
	})
	return values
}

func count(counts metrics.Registry, name string) {
	metrics.GetOrRegisterCounter(name, counts).Inc(1)
}

// readJSON decodes the body of a control call. It answers the call and returns
// false when it cannot.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControl))
	if err == nil {
		err = decodeStrictly(data, v)
	}
	if err != nil {
		shown := data[:min(len(data), maxShown)]
		http.Error(w, fmt.Sprintf("%s %s: body %q: %v", r.Method, r.URL.Path, shown, err), http.StatusBadRequest)
		return false
	}
	return true
}

// decodeStrictly decodes one JSON value. Fields that v does not have are faults.
func decodeStrictly(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errors.Errorf("more than one value")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	_ = e.Encode(v) // the caller has gone; there is nobody to tell
}

// checkProbability reports a probability outside 0 to 1.
func checkProbability(field string, p float64) error {
	if !(p >= 0 && p <= 1) {
		return errors.Wrapf(ErrInvalidFault, "field %q: %v is not within 0 to 1", field, p)
	}
	return nil
}

// checkDelay reports a delay outside 0 to maxDelay.
func checkDelay(field string, d clock.Millis) error {
	if d < 0 || d > maxDelay {
		return errors.Wrapf(ErrInvalidFault, "field %q: %d is not within 0 to %d ms", field, d, maxDelay)
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}
