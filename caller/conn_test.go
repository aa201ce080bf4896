package caller

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// echoInstance is an instance that answers each request with its body. It sends from
// a second socket, as answers may come from any address. Requests to the service
// "silent" get no answer; flows to the service "none" are refused.
type echoInstance struct {
	t        *testing.T
	in, out  *net.UDPConn
	flows    map[uint64]string
	requests map[[2]uint64]*echoRequest
}

type echoRequest struct {
	parts *packet.Assembly
	sent  packet.Window
	body  []byte
}

func startEchoInstance(t *testing.T) string {
	e := &echoInstance{t: t, flows: make(map[uint64]string), requests: make(map[[2]uint64]*echoRequest)}
	loopback := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))
	var err error
	e.in, err = net.ListenUDP("udp4", loopback)
	require.NoError(t, err)
	e.out, err = net.ListenUDP("udp4", loopback)
	require.NoError(t, err)
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		e.serve()
	}()
	t.Cleanup(func() {
		e.in.Close()
		e.out.Close()
		done.Wait()
	})
	return e.in.LocalAddr().String()
}

func (e *echoInstance) serve() {
	buffer := make([]byte, packet.MaxDatagram)
	for {
		n, from, err := e.in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := packet.Decode(buffer[:n])
		if assert.NoError(e.t, err) {
			e.handle(from, p)
		}
	}
}

func (e *echoInstance) handle(from netip.AddrPort, p packet.Packet) {
	if p.Kind == packet.KindOpen {
		if p.Service == "none" {
			e.send(from, packet.Packet{Kind: packet.KindRefuse, Nonce: p.Nonce, Reason: packet.ReasonService})
			return
		}
		flow := uint64(len(e.flows) + 1)
		e.flows[flow] = p.Service
		e.send(from, packet.Packet{Kind: packet.KindOpened, Nonce: p.Nonce, Token: testKeys.Seal(token.Token{Flow: flow, Issued: clock.Now()})})
		return
	}
	t, err := token.Peek(p.Token)
	if !assert.NoError(e.t, err) || e.flows[t.Flow] == "silent" {
		return
	}
	key := [2]uint64{t.Flow, p.Request}
	switch r := e.requests[key]; p.Kind {
	case packet.KindPart:
		if r == nil {
			r = &echoRequest{parts: packet.NewAssembly(p.Count)}
			e.requests[key] = r
		}
		e.onPart(from, r, p)
	case packet.KindGot:
		r.sent.Update(p.Next, p.Mask)
		e.answer(from, r, p, append(r.sent.Holes(), r.sent.NextUnsent(32)...))
	}
}

func (e *echoInstance) onPart(from netip.AddrPort, r *echoRequest, p packet.Packet) {
	r.parts.Add(p.Part, p.Payload)
	e.send(from, packet.Packet{Kind: packet.KindAck, Token: p.Token, Request: p.Request, Next: r.parts.Next, Mask: r.parts.Mask()})
	if !r.parts.Done() {
		return
	}
	if r.body == nil {
		r.body = r.parts.Body()
		r.sent.Count = p.Count
	}
	e.answer(from, r, p, append(r.sent.Unacknowledged(), r.sent.NextUnsent(32)...))
}

func (e *echoInstance) answer(from netip.AddrPort, r *echoRequest, p packet.Packet, parts []uint32) {
	for _, part := range parts {
		e.send(from, packet.Packet{
			Kind: packet.KindAnswer, Token: p.Token, Request: p.Request, Status: 200,
			Part: part, Count: r.sent.Count, Payload: packet.PartOf(r.body, part),
		})
	}
}

func (e *echoInstance) send(to netip.AddrPort, p packet.Packet) {
	data, err := packet.Encode(p)
	assert.NoError(e.t, err)
	_, _ = e.out.WriteToUDPAddrPort(data, to)
}

func dial(t *testing.T) *Conn {
	c, err := Dial(startEchoInstance(t))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c
}

func TestManyFlowsOnOneSocket(t *testing.T) {
	c := dial(t)
	const flows, requests = 20, 10
	var done sync.WaitGroup
	for i := range flows {
		f, err := c.Open(t.Context(), "orders")
		require.NoError(t, err)
		for k := range requests {
			done.Add(1)
			go func() {
				defer done.Done()
				body := bytes.Repeat([]byte{byte(i), byte(k)}, 10+3000*k)
				a, err := f.Do(t.Context(), Request{Body: body, Deadline: clock.Minute})
				assert.NoError(t, err)
				assert.Equal(t, 200, a.Status)
				assert.True(t, bytes.Equal(body, a.Body))
			}()
		}
	}
	done.Wait()
	counted := c.Counters()
	require.EqualValues(t, flows, counted.Opens)
	require.EqualValues(t, flows*requests, counted.Answered)
}

func TestUnknownServiceIsRefused(t *testing.T) {
	c := dial(t)
	_, err := c.Open(t.Context(), "none")
	require.ErrorIs(t, err, ErrRefused)
	_, err = c.Open(t.Context(), "")
	require.ErrorIs(t, err, ErrRefused)
}

func TestCancelledRequestsEnd(t *testing.T) {
	c := dial(t)
	f, err := c.Open(t.Context(), "silent")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = f.Do(ctx, Request{Once: true})
	require.ErrorIs(t, err, ErrNotRun)
	_, err = f.Do(ctx, Request{})
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	_, err = f.Do(t.Context(), Request{Body: make([]byte, packet.MaxBody+1)})
	require.ErrorIs(t, err, ErrNotRun)
}

func TestClosingEndsRequests(t *testing.T) {
	c := dial(t)
	f, err := c.Open(t.Context(), "silent")
	require.NoError(t, err)
	_, ended := f.start(Request{Deadline: clock.Minute})
	f.Close()
	require.ErrorIs(t, (<-ended).Err, ErrOutcomeUnknown)
	_, err = f.Do(t.Context(), Request{})
	require.ErrorIs(t, err, ErrNotRun)

	g, err := c.Open(t.Context(), "silent")
	require.NoError(t, err)
	_, ended = g.start(Request{Once: true, Deadline: clock.Minute})
	require.NoError(t, c.Close())
	require.ErrorIs(t, (<-ended).Err, ErrNotRun)
	_, err = c.Open(t.Context(), "orders")
	require.ErrorIs(t, err, ErrClosed)
}

func TestErrorsNameServiceAndReason(t *testing.T) {
	var err error = &NotRunError{Service: "orders", Reason: packet.ReasonBusy}
	require.EqualError(t, err, `request to service "orders" did not run: busy`)
	var not *NotRunError
	require.True(t, errors.As(err, &not))
	require.ErrorIs(t, err, ErrNotRun)
}
