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

// Limits of connections to backend servers and other instances.
const (
	dialTimeout         = 500 * clock.Millisecond
	clientIdleTimeout   = 4 * clock.Second // common servers close idle connections after 5 s; a request must not cross that
	maxIdleConnsPerHost = 256              // connections
	maxHeaderBytes      = 64 << 10
	initialBodyBytes    = 64 << 10 // bytes of an answer made room for before any came
)

// Errors of answers that cannot be taken as whole.
var (
	errNoLength         = errors.New("answer states no length, so its end is not certain")
	errTooLarge         = errors.New("answer is too large")
	errSwitchesProtocol = errors.New("answer switches protocols")
)

// newTransport returns a transport that speaks HTTP/1.1 without proxies,
// compression and redirects. It repeats a request only when a reused connection
// turned out dead before a byte was written and the request has no body or a
// GetBody; requests here are POST without Idempotency-Key, so nothing else is
// ever repeated.
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

// countedConn counts the bytes that may have left. Bytes count from before
// they are handed to the kernel, so the count never lags behind the truth.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts what it may write and then takes back what it did not.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n - len(data)))
	return n, err
}

// exchange watches one HTTP request: whether a connection could be opened,
// whether a byte of the request may have left and whether one of the answer came.
type requestTrace struct {
	cancel context.CancelFunc // gives the request up

	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64 // bytes written on conn by earlier requests
	wroteEarlier  bool  // a byte left on an earlier connection
	connected     bool
	responded     bool
}

// watch returns ctx with the hooks that keep e.
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
	t.conn, t.writtenBefore = c, c.written.Load()
}

func (t *requestTrace) gotFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responded = true
}

func (t *requestTrace) wroteBytes() bool {
	return t.wroteEarlier || (t.conn != nil && t.conn.written.Load() > t.writtenBefore)
}

// state returns what was seen so far.
func (t *requestTrace) state() (connected, wrote, responded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connected, t.wroteBytes(), t.responded
}

// checkFraming reports an answer whose end could not be told from a connection
// that broke.
func checkFraming(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errSwitchesProtocol
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errNoLength
	}
	return nil
}

// readWhole returns the whole body of an answer of at most limit bytes.
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
		return nil, fmt.Errorf("answer broke off after %d bytes: %w", n, err)
	}
	if n > limit {
		return nil, errors.Wrapf(errTooLarge, "more than %d bytes", limit)
	}
	return body.Bytes(), nil
}
