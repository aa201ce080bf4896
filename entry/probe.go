package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
)

// Limits of a health probe.
const (
	probeTimeout = 1 * clock.Second
	maxHealth    = 4 << 10 // bytes
)

// health is the body of a backend server's health answer.
type health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// probe asks an endpoint's health over a new connection, so that a silent
// connection is told apart from a dead endpoint.
func (r *runner) probe(ctx context.Context, a instance.ProbeEndpoint) instance.ProbeEnded {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	end := instance.ProbeEnded{Endpoint: a.Endpoint}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Endpoint+"/health", http.NoBody)
	if err != nil {
		end.Detail = err.Error()
		return end
	}
	req.Host = a.Host
	resp, err := r.probes.RoundTrip(req)
	if err != nil {
		end.Detail = err.Error()
		return end
	}
	defer resp.Body.Close()
	end.Answered = true
	end.Detail = fmt.Sprintf("status %d", resp.StatusCode)
	end.Draining = resp.Header.Get(headerDraining) == headerTrue
	end.Healthy = resp.StatusCode == http.StatusOK

	var h health
	body, err := readWhole(resp, maxHealth)
	if err != nil || json.Unmarshal(body, &h) != nil {
		return end
	}
	end.Healthy = end.Healthy && h.Healthy
	end.Draining = end.Draining || h.Draining
	return end
}
