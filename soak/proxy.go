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
type treatment string

const (
	pass    treatment = "pass"
	delay   treatment = "delay"   // each piece comes later
	oneway  treatment = "oneway"  // nothing comes back
	abort   treatment = "abort"   // connections are reset
	silence treatment = "silence" // those that are open go silent for good, new ones work
)

var treatments = []treatment{delay, oneway, abort, silence}

// proxyDelay is how much later delayed pieces come, in ms: the store's slow days.
const proxyDelay = 250 * clock.Millisecond

// proxy passes connections on to the store, one for each process, so that each
// can be cut off on its own.
type proxy struct {
	listener net.Listener
	to       string

	mu        sync.Mutex
	treatment treatment
	conns     map[*proxied]bool
}

// proxied is one connection through a proxy.
type proxied struct {
	client, server net.Conn
	silent         bool
}

func startProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: l, to: to, treatment: pass, conns: map[*proxied]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// treat changes what happens to connections from now on.
func (p *proxy) treat(t treatment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.treatment = t
	for c := range p.conns {
		switch t {
		case silence:
			c.silent = true
		case abort:
			c.close()
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.treat(abort)
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		server, err := net.Dial("tcp4", p.to)
		if err != nil {
			client.Close()
			continue
		}
		c := &proxied{client: client, server: server}
		p.mu.Lock()
		p.conns[c] = true
		aborted := p.treatment == abort
		p.mu.Unlock()
		if aborted {
			c.close()
		}
		go p.copy(c, server, client, false)
		go p.copy(c, client, server, true)
	}
}

// close resets a connection.
func (c *proxied) close() {
	if t, isTCP := c.client.(*net.TCPConn); isTCP {
		_ = t.SetLinger(0) // then closing resets
	}
	c.client.Close()
	c.server.Close()
}

// copy passes pieces on in one direction until the connection ends.
func (p *proxy) copy(c *proxied, to io.Writer, from io.Reader, back bool) {
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
		t, silent := p.treatment, c.silent
		p.mu.Unlock()
		if silent || back && t == oneway {
			continue
		}
		if t == delay {
			time.Sleep(proxyDelay.Duration())
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
