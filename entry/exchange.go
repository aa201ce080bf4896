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
	dialTimeout    = 500 * clock.Millisecond
	idleTimeout    = 4 * clock.Second // common servers close idle connections after 5 s; a request must not cross that
	idlePerHost    = 256              // connections
	maxHeaderBytes = 64 << 10
	firstRead      = 64 << 10 // bytes of an answer made room for before any came
)

// Errors of answers that cannot be taken as whole.
var (
	errLength   = errors.New("answer states no length, so its end is not certain")
	errTooLarge = errors.New("answer is too large")
	errProtocol = errors.New("answer switches protocols")
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
			return &countedConn{Conn: c}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout.Duration(),
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// countedConn counts the bytes that may have left. Bytes count from before
// they are handed to the kernel, so the count never lags behind the truth.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts what it may write and then takes back what it did not.
func (c *countedConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n - len(data)))
	return n, err
}

// exchange watches one HTTP request: whether a connection could be opened,
// whether a byte of the request may have left and whether one of the answer came.
type exchange struct {
	cancel context.CancelFunc // gives the request up

	mu       sync.Mutex
	conn     *countedConn
	before   int64 // bytes written on conn by earlier requests
	left     bool  // a byte left on an earlier connection
	dialled  bool
	answered bool
}

// watch returns ctx with the hooks that keep e.
func (e *exchange) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              e.gotConn,
		GotFirstResponseByte: e.gotByte,
	})
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = e.wrote()
	e.dialled = true
	c, counted := info.Conn.(*countedConn)
	if !counted {
		e.left = true
		return
	}
	e.conn, e.before = c, c.written.Load()
}

func (e *exchange) gotByte() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered = true
}

func (e *exchange) wrote() bool {
	return e.left || (e.conn != nil && e.conn.written.Load() > e.before)
}

// state returns what was seen so far.
func (e *exchange) state() (dialled, wrote, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dialled, e.wrote(), e.answered
}

// checkFraming reports an answer whose end could not be told from a connection
// that broke.
func checkFraming(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errProtocol
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errLength
	}
	return nil
}

// readWhole returns the whole body of an answer of at most limit bytes.
func readWhole(resp *http.Response, limit int64) ([]byte, error) {
	if err := checkFraming(resp); err != nil {
		return nil, err
	}
	if resp.ContentLength > limit {
		return nil, errors.Wrapf(errTooLarge, "%d bytes, at most %d are allowed", resp.ContentLength, limit)
	}
	var body bytes.Buffer
	body.Grow(int(min(max(resp.ContentLength, 0), firstRead)) + bytes.MinRead)
	n, err := body.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("answer broke off after %d bytes: %w", n, err)
	}
	if n > limit {
		return nil, errors.Wrapf(errTooLarge, "more than %d bytes", limit)
	}
	return body.Bytes(), nil
}
