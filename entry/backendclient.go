package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Headers between entry instances and backend servers.
const (
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline-Ms"
	headerClass     = "X-Class"
	headerOnce      = "X-Once"
	headerNotRun    = "X-Not-Run"
	headerDraining  = "X-Draining"
	headerTrue      = "true"
)

// Limits on reading a response that is discarded, so that its connection can be
// reused.
const (
	maxDiscardBytes = 4 << 10
	discardTimeout  = 20 * clock.Millisecond
)

// backendClient sends requests and health probes to backend servers.
type backendClient struct {
	requests   *http.Transport
	probes     http.RoundTripper // opens a new connection for each probe
	identifies identifyingEndpoints
}

func newBackendClient() *backendClient {
	probes := newTransport()
	probes.DisableKeepAlives = true
	return &backendClient{requests: newTransport(), probes: probes}
}

// run sends a caller's request to an endpoint as one HTTP request, at most once,
// and returns its result.
func (c *backendClient) run(ctx context.Context, a instance.RunRequest) instance.Result {
	remaining := a.Work.Deadline - clock.Now()
	if remaining <= 0 {
		return notRunResult(packet.ReasonDeadline, "the deadline passed before the request was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()

	t := requestTrace{cancel: cancel}
	req, err := newWorkRequest(t.withTrace(ctx), a, remaining)
	if err != nil {
		return notRunResult(packet.ReasonBackend, err.Error())
	}
	req.Close = !c.identifies.has(a.Endpoint)
	result := c.roundTrip(ctx, &t, req)
	if result.Silent {
		// Whatever broke this connection, such as a firewall that lost its state,
		// may have broken the idle connections too.
		c.requests.CloseIdleConnections()
	}
	return result
}

// roundTrip sends req and returns the result.
func (c *backendClient) roundTrip(ctx context.Context, t *requestTrace, req *http.Request) instance.Result {
	resp, err := c.requests.RoundTrip(req)
	if err != nil {
		return t.failureResult(ctx, err)
	}
	defer resp.Body.Close()
	identityErr := checkIdentity(resp, t.isReused())
	c.identifies.set(req.URL.Host, identityErr == nil && resp.Header.Get(headerRequestID) != "")
	if identityErr != nil {
		t.cancel() // the next response on this connection may be another one's, too
		c.requests.CloseIdleConnections()
		return instance.Result{Outcome: instance.OutcomeUnknown, Reason: packet.ReasonUnknown, Connected: true, Detail: identityErr.Error()}
	}
	return t.responseResult(ctx, resp)
}

// newWorkRequest builds the HTTP request for work. It has no GetBody, so the
// transport cannot send a body twice.
func newWorkRequest(ctx context.Context, a instance.RunRequest, remaining clock.Millis) (*http.Request, error) {
	if !validHost(a.Host) {
		return nil, errors.Errorf("host %q of service %q is not a valid Host header", a.Host, a.Work.Service)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Endpoint+"/", http.NoBody)
	if err != nil {
		return nil, errors.Wrapf(err, "request to endpoint %q", a.Endpoint)
	}
	req.Host = a.Host
	req.GetBody = nil
	if len(a.Work.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.Work.Body))
		req.ContentLength = int64(len(a.Work.Body))
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set("User-Agent", "tanagerdock-entry")
	req.Header.Set(headerRequestID, fmt.Sprintf("%016x-%d", a.Work.Flow, a.Work.Request))
	req.Header.Set(headerDeadline, strconv.FormatInt(int64(remaining), 10))
	req.Header.Set(headerClass, a.Work.Class.String())
	req.Header.Set(headerOnce, strconv.FormatBool(a.Work.Once))
	return req, nil
}

// validHost reports whether net/http sends host unchanged. net/http truncates
// other hosts at the first space or slash, and the truncated host could belong to
// another service.
func validHost(host string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' || r == '/' }
	return host != "" && !strings.ContainsFunc(host, invalid)
}

func notRunResult(reason packet.Reason, detail string) instance.Result {
	return instance.Result{Outcome: instance.OutcomeNotRun, Reason: reason, Detail: detail}
}

// failureResult returns the result of a request that got no complete response. It
// is OutcomeNotRun when no byte of the request was written.
func (t *requestTrace) failureResult(ctx context.Context, err error) instance.Result {
	connected, wrote, responded := t.state()
	result := instance.Result{Connected: connected, Detail: err.Error()}
	if wrote {
		result.Outcome = instance.OutcomeUnknown
		result.Reason = packet.ReasonUnknown
		result.Silent = !responded && errors.Is(err, context.DeadlineExceeded) && timedOut(ctx)
		return result
	}
	result.Outcome = instance.OutcomeNotRun
	result.Reason = unsentReason(ctx)
	return result
}

func timedOut(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// unsentReason returns the reason why a request ended before a byte of it was
// written.
func unsentReason(ctx context.Context) packet.Reason {
	switch {
	case timedOut(ctx):
		return packet.ReasonDeadline
	case ctx.Err() != nil:
		return packet.ReasonCancelled
	}
	return packet.ReasonBackend
}

// responseResult returns the result of a request whose response header arrived.
func (t *requestTrace) responseResult(ctx context.Context, resp *http.Response) instance.Result {
	draining := resp.Header.Get(headerDraining) == headerTrue
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		t.discard(resp)
		return instance.Result{
			Outcome: instance.OutcomeMisrouted, Reason: packet.ReasonMisrouted, Connected: true, Draining: draining,
			Detail: fmt.Sprintf("backend server does not serve host %q", resp.Request.Host),
		}
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) == headerTrue:
		t.discard(resp)
		return rejectedResult(draining)
	}
	body, err := readBody(resp, packet.MaxBody)
	if err != nil {
		result := t.failureResult(ctx, err)
		result.Outcome, result.Reason = instance.OutcomeUnknown, packet.ReasonUnknown
		result.Draining = draining
		return result
	}
	return instance.Result{
		Outcome: instance.OutcomeAnswered, Status: resp.StatusCode, Body: body, Connected: true, Draining: draining,
	}
}

// rejectedResult returns the result of a request that the backend server did not
// run (503 with X-Not-Run).
func rejectedResult(draining bool) instance.Result {
	result := instance.Result{Outcome: instance.OutcomeNotRun, Connected: true}
	if draining {
		result.Draining = true
		result.Reason, result.Detail = packet.ReasonBackend, "backend server is draining"
		return result
	}
	result.Shed = true
	result.Reason, result.Detail = packet.ReasonBusy, "backend server is at capacity"
	return result
}

// discard reads the rest of a small response, so that the connection can be
// reused. It cancels the request when that takes longer than discardTimeout.
func (t *requestTrace) discard(resp *http.Response) {
	if checkFraming(resp) != nil {
		return
	}
	timer := time.AfterFunc(discardTimeout.Duration(), t.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
}
