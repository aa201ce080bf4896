package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Limits of HTTP connections to backend servers and other instances.
const (
	dialTimeout = 500 * clock.Millisecond
	// Common servers close idle connections after 5 s. The outcome of a request that
	// is sent while the server closes the connection is unknown, so the client closes
	// it first.
	clientIdleTimeout   = 4 * clock.Second
	maxIdleConnsPerHost = 256
	maxHeaderBytes      = 64 << 10
	initialBodyBytes    = 64 << 10 // most bytes allocated for a body before any was read
)

// Errors of responses that cannot be accepted as complete.
var (
	errNoLength         = errors.New("response has neither a length nor chunks, so truncation cannot be detected")
	errTooLarge         = errors.New("response is too large")
	errSwitchesProtocol = errors.New("response switches protocols")
)

// newTransport returns a transport for HTTP/1.1 without proxies, compression and
// redirects. The transport sends a request again only when a reused connection
// was closed before a byte was written and the request has no body or a GetBody.
// net/http would also resend idempotent requests on a reused connection, but work
// is sent as POST without Idempotency-Key and probes never reuse a connection.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        clientIdleTimeout.Duration(),
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// countingConn counts the bytes that may have been sent. It counts them before
// they are given to the kernel, so the count is never too low.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write adds len(data) to the count and afterwards subtracts the bytes that were
// not written.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n - len(data)))
	return n, err
}

// requestTrace records of one HTTP request whether it got a connection, whether a
// byte of it may have been sent and whether a byte of the response arrived.
type requestTrace struct {
	cancel context.CancelFunc // used by discard; not set for calls to peers

	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64 // bytes that earlier requests wrote to conn
	wroteEarlier  bool  // bytes were written to a previous connection of this request
	connected     bool
	responded     bool
	reused        bool // conn carried another request before
}

// withTrace returns ctx with the httptrace hooks that update t.
func (t *requestTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		GotFirstResponseByte: t.gotFirstByte,
	})
}

func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wroteEarlier = t.wroteBytes()
	t.connected = true
	c, ok := info.Conn.(*countingConn)
	if !ok {
		t.wroteEarlier = true
		return
	}
	t.conn, t.writtenBefore, t.reused = c, c.written.Load(), info.Reused
}

func (t *requestTrace) isReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

func (t *requestTrace) gotFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responded = true
}

func (t *requestTrace) wroteBytes() bool {
	return t.wroteEarlier || (t.conn != nil && t.conn.written.Load() > t.writtenBefore)
}

// state reports whether the request got a connection, whether a byte of it may have
// been sent and whether a byte of the response arrived.
func (t *requestTrace) state() (connected, wrote, responded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connected, t.wroteBytes(), t.responded
}

// checkFraming returns an error for a response whose truncation cannot be detected,
// since it has neither a length nor chunks, and for a switch of protocols.
func checkFraming(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errSwitchesProtocol
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errNoLength
	}
	return nil
}

// readBody returns the complete body of a response, or an error when it is
// truncated or longer than limit bytes.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	if err := checkFraming(resp); err != nil {
		return nil, err
	}
	if resp.ContentLength > limit {
		return nil, errors.Wrapf(errTooLarge, "%d bytes, at most %d are allowed", resp.ContentLength, limit)
	}
	var body bytes.Buffer
	body.Grow(int(min(max(resp.ContentLength, 0), initialBodyBytes)) + bytes.MinRead)
	n, err := body.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("response is truncated after %d bytes: %w", n, err)
	}
	if n > limit {
		return nil, errors.Wrapf(errTooLarge, "more than %d bytes", limit)
	}
	return body.Bytes(), nil
}
