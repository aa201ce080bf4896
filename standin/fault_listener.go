package standin

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// faultListener is the listening socket of a server whose connections can fail. It limits
// the number of open connections and can be shut and opened again.
type faultListener struct {
	address  string
	maxConns int // open connections
	server   *http.Server

	mu        sync.Mutex
	listener  net.Listener // nil while shut
	conns     map[*faultConn]bool
	resetNew  bool // reset new connections at once
	silentNew bool // new connections are silent
}

// openGate listens on an address and serves handler there.
func startFaultListener(address string, limit int, handler http.Handler) (*faultListener, error) {
	f := &faultListener{address: address, maxConns: limit, conns: map[*faultConn]bool{}}
	f.server = &http.Server{Handler: handler}
	if err := f.open(); err != nil {
		return nil, err
	}
	return f, nil
}

// open starts listening unless it does already. The port chosen first is kept.
func (f *faultListener) open() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", f.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", f.address)
	}
	f.address = l.Addr().String()
	f.listener = l
	go func() { _ = f.server.Serve(&admittingListener{l, f}) }() // ends with the listener
	return nil
}

// shut stops listening, so that connections are refused, and resets those open.
func (f *faultListener) stop() {
	f.mu.Lock()
	if f.listener != nil {
		f.listener.Close()
		f.listener = nil
	}
	f.mu.Unlock()
	f.resetOpenConns()
}

// resetOpen resets every open connection.
func (f *faultListener) resetOpenConns() {
	for _, c := range f.openConns() {
		c.reset()
	}
}

// silenceOpen makes every open connection silent for good.
func (f *faultListener) silenceOpenConns() {
	for _, c := range f.openConns() {
		c.silent.Store(true)
	}
}

func (f *faultListener) openConns() []*faultConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*faultConn, 0, len(f.conns))
	for c := range f.conns {
		list = append(list, c)
	}
	return list
}

// treat sets what happens to new connections.
func (f *faultListener) setNewConnFaults(reset, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetNew, f.silentNew = reset, silent
}

// admit takes in a new connection, or returns nil after resetting it.
func (f *faultListener) admit(conn net.Conn) *faultConn {
	c := &faultConn{Conn: conn, parent: f}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resetNew || len(f.conns) >= f.maxConns || f.listener == nil {
		c.reset()
		return nil
	}
	c.silent.Store(f.silentNew)
	f.conns[c] = true
	return c
}

// gateListener hands the admitted connections to the server.
type admittingListener struct {
	net.Listener
	parent *faultListener
}

// Accept implements net.Listener.
func (l *admittingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.parent.admit(conn); c != nil {
			return c, nil
		}
	}
}

// gateConn is a connection that can go silent: it then takes in bytes, hands
// none on and sends none.
type faultConn struct {
	net.Conn
	parent *faultListener
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *faultConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.parent.mu.Lock()
	delete(c.parent.conns, c)
	c.parent.mu.Unlock()
	return c.Conn.Close()
}

// reset ends the connection without the usual farewell.
func (c *faultConn) reset() {
	if t, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}
