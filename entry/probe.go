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
	probeTimeout   = 1 * clock.Second
	maxHealthBytes = 4 << 10
)

// healthBody is the body of a /health response, of a backend server and of this
// daemon.
type healthBody struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// probe requests /health from an endpoint over a new connection, so that a silent
// pooled connection is not mistaken for a dead endpoint.
func (c *backendClient) probe(ctx context.Context, a instance.ProbeEndpoint) instance.ProbeEnded {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	ended := instance.ProbeEnded{Endpoint: a.Endpoint}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Endpoint+"/health", http.NoBody)
	if err != nil {
		ended.Detail = err.Error()
		return ended
	}
	req.Host = a.Host
	resp, err := c.probes.RoundTrip(req)
	if err != nil {
		ended.Detail = err.Error()
		return ended
	}
	defer resp.Body.Close()
	ended.Answered = true
	ended.Detail = fmt.Sprintf("status %d", resp.StatusCode)
	ended.Draining = resp.Header.Get(headerDraining) == headerTrue
	ended.Healthy = resp.StatusCode == http.StatusOK

	var h healthBody
	body, err := readBody(resp, maxHealthBytes)
	if err != nil || json.Unmarshal(body, &h) != nil {
		return ended
	}
	ended.Healthy = ended.Healthy && h.Healthy
	ended.Draining = ended.Draining || h.Draining
	return ended
}
