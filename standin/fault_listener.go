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
	g := &faultListener{address: address, maxConns: limit, conns: map[*faultConn]bool{}}
	g.server = &http.Server{Handler: handler}
	if err := g.open(); err != nil {
		return nil, err
	}
	return g, nil
}

// open starts listening unless it does already. The port chosen first is kept.
func (g *faultListener) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", g.address)
	}
	g.address = l.Addr().String()
	g.listener = l
	go func() { _ = g.server.Serve(&admittingListener{l, g}) }() // ends with the listener
	return nil
}

// shut stops listening, so that connections are refused, and resets those open.
func (g *faultListener) stop() {
	g.mu.Lock()
	if g.listener != nil {
		g.listener.Close()
		g.listener = nil
	}
	g.mu.Unlock()
	g.resetOpenConns()
}

// resetOpen resets every open connection.
func (g *faultListener) resetOpenConns() {
	for _, c := range g.openConns() {
		c.reset()
	}
}

// silenceOpen makes every open connection silent for good.
func (g *faultListener) silenceOpenConns() {
	for _, c := range g.openConns() {
		c.silent.Store(true)
	}
}

func (g *faultListener) openConns() []*faultConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*faultConn, 0, len(g.conns))
	for c := range g.conns {
		list = append(list, c)
	}
	return list
}

// treat sets what happens to new connections.
func (g *faultListener) setNewConnFaults(reset, silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetNew, g.silentNew = reset, silent
}

// admit takes in a new connection, or returns nil after resetting it.
func (g *faultListener) admit(conn net.Conn) *faultConn {
	c := &faultConn{Conn: conn, gate: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resetNew || len(g.conns) >= g.maxConns || g.listener == nil {
		c.reset()
		return nil
	}
	c.silent.Store(g.silentNew)
	g.conns[c] = true
	return c
}

// gateListener hands the admitted connections to the server.
type admittingListener struct {
	net.Listener
	gate *faultListener
}

// Accept implements net.Listener.
func (l *admittingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(conn); c != nil {
			return c, nil
		}
	}
}

// gateConn is a connection that can go silent: it then takes in bytes, hands
// none on and sends none.
type faultConn struct {
	net.Conn
	gate   *faultListener
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
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// reset ends the connection without the usual farewell.
func (c *faultConn) reset() {
	if t, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}
