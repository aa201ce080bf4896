package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// proxyMode is what a proxy does to connections. Its text is part of the fault's description.
type proxyMode string

const (
	modePass    proxyMode = "pass"    // data is forwarded unchanged
	modeDelay   proxyMode = "delay"   // each read is forwarded after proxyDelay
	modeOneWay  proxyMode = "oneway"  // data from the store is discarded
	modeAbort   proxyMode = "abort"   // open and new connections are reset
	modeSilence proxyMode = "silence" // connections open at the start discard all data for good; new ones work
)

// disruptiveModes are the modes that a fault chooses from.
var disruptiveModes = []proxyMode{modeDelay, modeOneWay, modeAbort, modeSilence}

// proxyDelay is the delay of data in modeDelay, in ms, as on days when the store is slow.
const proxyDelay = 250 * clock.Millisecond

// proxy forwards the connections of one instance to the store. Each instance has its own
// proxy, so that instances can be cut off one by one.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[*proxyConn]bool // open connections
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	client, server net.Conn
	silent         bool // all data is discarded, see modeSilence
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

// setMode changes the mode and applies it to the open connections.
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
			return // the listener was closed
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

// close resets the connection to the client and closes the one to the store.
func (c *proxyConn) close() {
	if t, isTCP := c.client.(*net.TCPConn); isTCP {
		_ = t.SetLinger(0) // makes Close send a reset
	}
	c.client.Close()
	c.server.Close()
}

// copy forwards data in one direction until the connection ends.
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
