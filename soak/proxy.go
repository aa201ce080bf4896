package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// What a proxy does to connections.
type proxyMode string

const (
	modePass    proxyMode = "pass"
	modeDelay   proxyMode = "delay"   // each piece comes later
	modeOneWay  proxyMode = "oneway"  // nothing comes back
	modeAbort   proxyMode = "abort"   // connections are reset
	modeSilence proxyMode = "silence" // those that are open go silent for good, new ones work
)

var disruptiveModes = []proxyMode{modeDelay, modeOneWay, modeAbort, modeSilence}

// proxyDelay is how much later delayed pieces come, in ms: the store's slow days.
const proxyDelay = 250 * clock.Millisecond

// proxy passes connections on to the store, one for each process, so that each
// can be cut off on its own.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[*proxyConn]bool
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	client, server net.Conn
	silent         bool
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: l, target: target, mode: modePass, conns: map[*proxyConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes what happens to connections from now on.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.conns {
		switch m {
		case modeSilence:
			c.silent = true
		case modeAbort:
			c.close()
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.setMode(modeAbort)
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		server, err := net.Dial("tcp4", p.target)
		if err != nil {
			client.Close()
			continue
		}
		c := &proxyConn{client: client, server: server}
		p.mu.Lock()
		p.conns[c] = true
		aborted := p.mode == modeAbort
		p.mu.Unlock()
		if aborted {
			c.close()
		}
		go p.copy(c, server, client, false)
		go p.copy(c, client, server, true)
	}
}

// close resets a connection.
func (c *proxyConn) close() {
	if t, isTCP := c.client.(*net.TCPConn); isTCP {
		_ = t.SetLinger(0) // then closing resets
	}
	c.client.Close()
	c.server.Close()
}

// copy passes pieces on in one direction until the connection ends.
func (p *proxy) copy(c *proxyConn, to io.Writer, from io.Reader, fromServer bool) {
	defer func() {
		c.close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		mode, silent := p.mode, c.silent
		p.mu.Unlock()
		if silent || fromServer && mode == modeOneWay {
			continue
		}
		if mode == modeDelay {
			time.Sleep(proxyDelay.Duration())
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
