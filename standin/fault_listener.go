package standin

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// faultListener is a listening socket with an HTTP server that can inject
// connection faults: refuse, reset or silence connections. It limits the number of
// open connections, and can be stopped and opened again.
type faultListener struct {
	address  string // with the port in use, once open
	maxConns int    // open connections; more are reset
	server   *http.Server

	mu        sync.Mutex
	listener  net.Listener // nil while stopped
	conns     map[*faultConn]bool
	resetNew  bool // reset new connections
	silentNew bool // new connections are silent
}

// startFaultListener listens on address and serves handler there.
func startFaultListener(address string, maxConns int, handler http.Handler) (*faultListener, error) {
	f := &faultListener{address: address, maxConns: maxConns, conns: map[*faultConn]bool{}}
	f.server = &http.Server{Handler: handler}
	if err := f.open(); err != nil {
		return nil, err
	}
	return f, nil
}

// open listens unless the listener is open. After a stop it listens on the same
// port as before.
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

// stop closes the listening socket, so that the system refuses connections, and
// resets the open ones.
func (f *faultListener) stop() {
	f.mu.Lock()
	if f.listener != nil {
		f.listener.Close()
		f.listener = nil
	}
	f.mu.Unlock()
	f.resetOpenConns()
}

// resetOpenConns resets every open connection.
func (f *faultListener) resetOpenConns() {
	for _, c := range f.openConns() {
		c.reset()
	}
}

// silenceOpenConns makes every open connection silent until it ends.
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

// setNewConnFaults sets the faults of connections that are accepted from now on.
func (f *faultListener) setNewConnFaults(reset, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetNew, f.silentNew = reset, silent
}

// admit registers an accepted connection. It returns nil after resetting the
// connection when faults or the limit exclude it.
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

// admittingListener is the net.Listener of the server. It returns only admitted
// connections.
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

// faultConn is a connection that can be made silent: it then discards what it
// receives and what the server writes.
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

// reset closes the connection with a TCP RST.
func (c *faultConn) reset() {
	if t, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}
