package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"strings"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/control"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

// controlServer serves the control calls of other instances. It implements
// control.Control.
type controlServer struct {
	daemon *Daemon
}

// serveControl serves control calls on the control address.
func (d *Daemon) serveControl() *http.Server {
	handler := control.NewControlServer(&controlServer{daemon: d})
	s := newServer(d.countCalls(handler))
	d.tasks.Go(func() { _ = s.Serve(d.controlSocket) })
	return s
}

// countCalls counts calls and their bytes by method, and limits the size of
// requests.
func (d *Daemon) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counters := &d.metrics.objectFetches
		if path.Base(r.URL.Path) == "Run" {
			counters = &d.metrics.handOvers
		}
		counters.countReceived(int(max(r.ContentLength, 0)))
		r.Body = http.MaxBytesReader(w, r.Body, maxRunMessageBytes)
		next.ServeHTTP(&countingWriter{ResponseWriter: w, counters: counters}, r)
	})
}

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	counters *messageCounters
}

// Write writes data and counts the bytes written.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data)
	w.counters.bytesSent.Inc(int64(n))
	return n, err
}

// Run gives a peer's work to the engine and waits for its result. Work that did not
// reach the engine is answered with OutcomeNotRun and not with an error, since the
// peer treats an error as an unknown outcome.
func (s *controlServer) Run(ctx context.Context, m *control.RunRequest) (*control.RunResult, error) {
	if err := checkRunRequest(m); err != nil {
		return resultMessage(notRunResult(packet.ReasonMalformed, err.Error())), nil
	}
	d := s.daemon
	reply := make(chan instance.Result, 1)
	callID := d.lastCallID.Add(1)
	received := instance.HandOverReceived{CallID: callID, Peer: m.Peer, Work: workFromMessage(m)}
	if !d.enqueue(input{event: received, reply: reply}) {
		return resultMessage(notRunResult(packet.ReasonStopping, "instance has stopped")), nil
	}
	select {
	case result := <-reply:
		return resultMessage(result), nil
	case <-ctx.Done():
		d.enqueue(input{event: instance.HandOverCancelled{CallID: callID}})
		return nil, twirp.NewError(twirp.Canceled, "the calling instance cancelled the call")
	}
}

func checkRunRequest(m *control.RunRequest) error {
	switch {
	case record.CheckName(m.Peer) != nil:
		return errors.Errorf("peer %q is not a valid instance name", m.Peer)
	case m.Service == "" || len(m.Service) > packet.MaxServiceName:
		return errors.Errorf("service %q is not a valid service name", m.Service)
	case m.Class > uint32(packet.ClassLong):
		return errors.Errorf("class %d is unknown", m.Class)
	case m.Remaining <= 0 || m.Remaining > int64(record.MaxDeadline):
		return errors.Errorf("remaining time %d is not within 1 to %d ms", m.Remaining, record.MaxDeadline)
	case len(m.Body) > packet.MaxBody:
		return errors.Errorf("body has %d bytes, at most %d are allowed", len(m.Body), packet.MaxBody)
	}
	return nil
}

func workFromMessage(m *control.RunRequest) instance.Work {
	return instance.Work{
		Flow:          m.Flow,
		Request:       m.Request,
		Service:       m.Service,
		Class:         packet.Class(m.Class),
		Once:          m.Once,
		Nonce:         m.Nonce,
		PinnedBackend: m.Backend,
		Deadline:      clock.Now() + clock.Millis(m.Remaining),
		Body:          m.Body,
	}
}

// resultMessage returns the message with a result for a peer. It replaces invalid
// UTF-8 in Detail, since protobuf would refuse to encode the message.
func resultMessage(r instance.Result) *control.RunResult {
	return &control.RunResult{
		Outcome: uint32(r.Outcome),
		Status:  int32(r.Status),
		Reason:  uint32(r.Reason),
		Body:    r.Body,
		Detail:  strings.ToValidUTF8(r.Detail, "?"),
	}
}

// Objects returns the records changed since the requested revision, or all of them
// when those changes are not known. Without a full list it returns revision 0 and
// no records.
func (s *controlServer) Objects(_ context.Context, m *control.ObjectsRequest) (*control.ObjectsList, error) {
	objects, revision, partial := s.daemon.objects.changesSince(m.Since)
	if !partial {
		objects, revision = s.daemon.objects.list()
	}
	list := &control.ObjectsList{Revision: revision, Partial: partial}
	if revision <= m.Since {
		return list, nil
	}
	for _, o := range objects {
		data, err := json.Marshal(o)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", o.Key())
		}
		list.Objects = append(list.Objects, data)
	}
	return list, nil
}

var (
	_ control.Control    = (*controlServer)(nil)
	_ control.HTTPClient = (*peerCall)(nil)
	_ io.Writer          = (*countingWriter)(nil)
)
