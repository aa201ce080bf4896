package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/control"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// Limits of calls between instances.
const (
	maxRunMessageBytes     = packet.MaxBody + 64<<10
	maxObjectsMessageBytes = 64 << 20
	handOverGrace          = 200 * clock.Millisecond // time after the deadline for the peer to answer that it passed
	fetchTimeout           = 5 * clock.Second
)

// errNotControl reports a response that does not come from the control service of
// an instance.
var errNotControl = errors.New("response is not from a control service")

// peerClient calls the control service of other instances.
type peerClient struct {
	name      string // of this instance
	transport http.RoundTripper
	metrics   *daemonMetrics
}

func newPeerClient(name string, m *daemonMetrics) *peerClient {
	return &peerClient{name: name, transport: newTransport(), metrics: m}
}

// peerCall is one call to the control service of a peer. It implements
// control.HTTPClient.
type peerCall struct {
	requestTrace
	transport        http.RoundTripper
	maxResponseBytes int64 // largest response body
	counters         *messageCounters
}

// Do sends a request and reads the complete response.
func (c *peerCall) Do(req *http.Request) (*http.Response, error) {
	req = req.WithContext(c.withTrace(req.Context()))
	c.counters.countSent(int(max(req.ContentLength, 0)))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body, err := readBody(resp, c.maxResponseBytes)
	if err != nil {
		return nil, err
	}
	c.counters.bytesReceived.Inc(int64(len(body)))
	if resp.StatusCode == http.StatusOK && resp.Header.Get("Content-Type") != "application/protobuf" {
		return nil, errors.WithStack(errNotControl)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// handOver sends work to another instance and returns its result.
func (p *peerClient) handOver(ctx context.Context, a instance.HandOver) instance.Result {
	remaining := a.Work.Deadline - clock.Now()
	if remaining <= 0 {
		return notRunResult(packet.ReasonDeadline, "the deadline passed before the work was handed over")
	}
	ctx, cancel := context.WithTimeout(ctx, (remaining + handOverGrace).Duration())
	defer cancel()
	c := &peerCall{transport: p.transport, maxResponseBytes: maxRunMessageBytes, counters: &p.metrics.handOvers}
	answer, err := control.NewControlProtobufClient("http://"+a.ControlAddress, c).Run(ctx, newRunRequest(p.name, a.Work, remaining))
	if err != nil {
		return c.failureResult(ctx, err)
	}
	return resultFromMessage(answer)
}

func newRunRequest(name string, w instance.Work, remaining clock.Millis) *control.RunRequest {
	return &control.RunRequest{
		Peer:      name,
		Flow:      w.Flow,
		Request:   w.Request,
		Service:   w.Service,
		Class:     uint32(w.Class),
		Once:      w.Once,
		Nonce:     w.Nonce,
		Remaining: int64(remaining),
		Body:      w.Body,
		Backend:   w.PinnedBackend,
	}
}

// resultFromMessage returns the result in a peer's answer. An invalid answer is
// OutcomeUnknown, since the work may have run.
func resultFromMessage(m *control.RunResult) instance.Result {
	r := instance.Result{
		Outcome:   instance.Outcome(min(m.Outcome, 1<<8-1)),
		Status:    int(m.Status),
		Reason:    packet.Reason(min(m.Reason, 1<<8-1)),
		Body:      m.Body,
		Detail:    m.Detail,
		Connected: true,
	}
	answered := r.Outcome == instance.OutcomeAnswered
	switch {
	case r.Outcome > instance.OutcomeMisrouted || r.Reason > packet.ReasonMemory:
		return unknownResult("peer answered with an unknown outcome or reason")
	case answered && (r.Status < 100 || r.Status > 999):
		return unknownResult("peer answered without a status")
	case len(r.Body) > packet.MaxBody:
		return unknownResult("peer answered with more bytes than allowed")
	}
	return r
}

func unknownResult(detail string) instance.Result {
	return instance.Result{
		Outcome: instance.OutcomeUnknown, Reason: packet.ReasonUnknown, Connected: true, Detail: detail,
	}
}

// fetchObjects fetches the operator records of another instance. When the call
// fails or the peer has no complete set, the engine gets no event and requests
// another fetch.
func (d *Daemon) fetchObjects(ctx context.Context, a instance.FetchObjects) {
	e, err := d.peerClient.fetchObjects(ctx, a)
	if err != nil {
		d.logger.Info("fetch", "reason", "peer", "subject", a.Peer, "detail", err.Error())
		return
	}
	if e.Revision > 0 {
		d.deliverObjects(e)
	}
}

func (p *peerClient) fetchObjects(ctx context.Context, a instance.FetchObjects) (instance.ObjectsReceived, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	c := &peerCall{transport: p.transport, maxResponseBytes: maxObjectsMessageBytes, counters: &p.metrics.objectFetches}
	list, err := control.NewControlProtobufClient("http://"+a.ControlAddress, c).Objects(ctx, &control.ObjectsRequest{Since: a.SinceRevision})
	if err != nil {
		return instance.ObjectsReceived{}, errors.Wrapf(err, "fetch objects of %q", a.Peer)
	}
	if a.SinceRevision > 0 && list.Revision <= a.SinceRevision {
		return instance.ObjectsReceived{}, nil // nothing newer
	}
	e := instance.ObjectsReceived{Revision: list.Revision, FullList: !list.Partial, Source: a.Peer}
	for i, data := range list.Objects {
		var o record.Object
		if err := json.Unmarshal(data, &o); err != nil {
			return instance.ObjectsReceived{}, errors.Wrapf(err, "decode object %d of %q", i, a.Peer)
		}
		e.Objects = append(e.Objects, o)
	}
	return e, nil
}

// deliverObjects stores records and sends them to the engine.
func (d *Daemon) deliverObjects(e instance.ObjectsReceived) {
	d.objects.apply(e)
	d.enqueue(input{event: e})
}
