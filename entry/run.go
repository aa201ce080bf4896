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
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Deadline-Ms"
	headerClass    = "X-Class"
	headerOnce     = "X-Once"
	headerNotRun   = "X-Not-Run"
	headerDraining = "X-Draining"
	headerTrue     = "true"
)

// Limits on reading an answer without use, so that its connection can be used
// again.
const (
	maxRefusal     = 4 << 10 // bytes
	discardTimeout = 20 * clock.Millisecond
)

// runner sends work and probes to backend servers.
type runner struct {
	work   *http.Transport
	probes http.RoundTripper // opens a connection for each request
}

func newRunner() *runner {
	probes := newTransport()
	probes.DisableKeepAlives = true
	return &runner{work: newTransport(), probes: probes}
}

// run sends work to an endpoint as one HTTP request, at most once, and returns
// its end.
func (r *runner) run(ctx context.Context, a instance.RunRequest) instance.Result {
	left := a.Work.Deadline - clock.Now()
	if left <= 0 {
		return notRun(packet.ReasonDeadline, "the deadline passed before the request was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()

	e := exchange{cancel: cancel}
	req, err := newWorkRequest(e.watch(ctx), a, left)
	if err != nil {
		return notRun(packet.ReasonBackend, err.Error())
	}
	result := r.exchange(ctx, &e, req)
	if result.Silent {
		// What lost track of one connection may have lost the idle ones too.
		r.work.CloseIdleConnections()
	}
	return result
}

// exchange sends req and returns the end of the request.
func (r *runner) exchange(ctx context.Context, e *exchange, req *http.Request) instance.Result {
	resp, err := r.work.RoundTrip(req)
	if err != nil {
		return e.failure(ctx, err)
	}
	defer resp.Body.Close()
	return e.answer(ctx, resp)
}

// newWorkRequest builds the request for work. Its body cannot be read again, so
// the transport cannot repeat it.
func newWorkRequest(ctx context.Context, a instance.RunRequest, left clock.Millis) (*http.Request, error) {
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
	req.Header.Set(headerRequest, fmt.Sprintf("%016x-%d", a.Work.Flow, a.Work.Request))
	req.Header.Set(headerDeadline, strconv.FormatInt(int64(left), 10))
	req.Header.Set(headerClass, a.Work.Class.String())
	req.Header.Set(headerOnce, strconv.FormatBool(a.Work.Once))
	return req, nil
}

// validHost reports whether net/http sends host as it is. It cuts other hosts
// off at the first space or slash, which could name another service.
func validHost(host string) bool {
	strange := func(r rune) bool { return r <= ' ' || r > '~' || r == '/' }
	return host != "" && !strings.ContainsFunc(host, strange)
}

func notRun(reason packet.Reason, detail string) instance.Result {
	return instance.Result{Outcome: instance.OutcomeNotRun, Reason: reason, Detail: detail}
}

// failure returns the end of a request that got no answer.
func (e *exchange) failure(ctx context.Context, err error) instance.Result {
	dialled, wrote, answered := e.state()
	res := instance.Result{Connected: dialled, Detail: err.Error()}
	if wrote {
		res.Outcome = instance.OutcomeUnknown
		res.Reason = packet.ReasonUnknown
		res.Silent = !answered && errors.Is(err, context.DeadlineExceeded) && timedOut(ctx)
		return res
	}
	res.Outcome = instance.OutcomeNotRun
	res.Reason = unsentReason(ctx)
	return res
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
func (e *exchange) answer(ctx context.Context, resp *http.Response) instance.Result {
	draining := resp.Header.Get(headerDraining) == headerTrue
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		e.discard(resp)
		return instance.Result{
			Outcome: instance.OutcomeMisrouted, Reason: packet.ReasonMisrouted, Connected: true, Draining: draining,
			Detail: fmt.Sprintf("backend server does not serve host %q", resp.Request.Host),
		}
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) == headerTrue:
		e.discard(resp)
		return refusal(draining)
	}
	body, err := readWhole(resp, packet.MaxBody)
	if err != nil {
		res := e.failure(ctx, err)
		res.Outcome, res.Reason = instance.OutcomeUnknown, packet.ReasonUnknown
		res.Draining = draining
		return res
	}
	return instance.Result{
		Outcome: instance.OutcomeAnswered, Status: resp.StatusCode, Body: body, Connected: true, Draining: draining,
	}
}

// refusal is the end of a request that the backend server did not start.
func refusal(draining bool) instance.Result {
	res := instance.Result{Outcome: instance.OutcomeNotRun, Connected: true}
	if draining {
		res.Draining = true
		res.Reason, res.Detail = packet.ReasonBackend, "backend server is draining"
		return res
	}
	res.Shed = true
	res.Reason, res.Detail = packet.ReasonBusy, "backend server has no room"
	return res
}

// discard reads the rest of a small answer, and gives up on one that stalls.
func (e *exchange) discard(resp *http.Response) {
	if checkFraming(resp) != nil {
		return
	}
	timer := time.AfterFunc(discardTimeout.Duration(), e.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxRefusal)
}
