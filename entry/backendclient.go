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

// Limits on reading an answer without use, so that its connection can be used
// again.
const (
	maxDiscardBytes = 4 << 10 // bytes
	discardTimeout  = 20 * clock.Millisecond
)

// runner sends work and probes to backend servers.
type backendClient struct {
	requests *http.Transport
	probes   http.RoundTripper // opens a connection for each request
}

func newBackendClient() *backendClient {
	probes := newTransport()
	probes.DisableKeepAlives = true
	return &backendClient{requests: newTransport(), probes: probes}
}

// run sends work to an endpoint as one HTTP request, at most once, and returns
// its end.
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
	result := c.roundTrip(ctx, &t, req)
	if result.Silent {
		// What lost track of one connection may have lost the idle ones too.
		c.requests.CloseIdleConnections()
	}
	return result
}

// exchange sends req and returns the end of the request.
func (c *backendClient) roundTrip(ctx context.Context, t *requestTrace, req *http.Request) instance.Result {
	resp, err := c.requests.RoundTrip(req)
	if err != nil {
		return t.failureResult(ctx, err)
	}
	defer resp.Body.Close()
	return t.responseResult(ctx, resp)
}

// newWorkRequest builds the request for work. Its body cannot be read again, so
// the transport cannot repeat it.
func newWorkRequest(ctx context.Context, a instance.RunRequest, remaining clock.Millis) (*http.Request, error) {
	if !validHost(a.Host) {
		return nil, errors.Errorf("host %q of service %q is not a host", a.Host, a.Work.Service)
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

// validHost reports whether net/http sends host as it is. It cuts other hosts
// off at the first space or slash, which could name another service.
func validHost(host string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' || r == '/' }
	return host != "" && !strings.ContainsFunc(host, invalid)
}

func notRunResult(reason packet.Reason, detail string) instance.Result {
	return instance.Result{Outcome: instance.OutcomeNotRun, Reason: reason, Detail: detail}
}

// failure returns the end of a request that got no answer.
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

// unsentReason tells why a request of which nothing left was given up.
func unsentReason(ctx context.Context) packet.Reason {
	switch {
	case timedOut(ctx):
		return packet.ReasonDeadline
	case ctx.Err() != nil:
		return packet.ReasonCancelled
	}
	return packet.ReasonBackend
}

// answer returns the end of a request whose answer's header came.
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

// refusal is the end of a request that the backend server did not start.
func rejectedResult(draining bool) instance.Result {
	result := instance.Result{Outcome: instance.OutcomeNotRun, Connected: true}
	if draining {
		result.Draining = true
		result.Reason, result.Detail = packet.ReasonBackend, "backend server is draining"
		return result
	}
	result.Shed = true
	result.Reason, result.Detail = packet.ReasonBusy, "backend server has no room"
	return result
}

// discard reads the rest of a small answer, and gives up on one that stalls.
func (t *requestTrace) discard(resp *http.Response) {
	if checkFraming(resp) != nil {
		return
	}
	timer := time.AfterFunc(discardTimeout.Duration(), t.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
}
