package daemon

import (
	"context"
	"sync"
)

// Gate lets goroutines through while it is open.
type Gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
	shut chan struct{} // closed while the gate is shut
}

// NewGate returns a gate that is open or shut.
func NewGate(open bool) *Gate {
	g := &Gate{open: make(chan struct{}), shut: make(chan struct{})}
	if open {
		close(g.open)
	} else {
		close(g.shut)
	}
	return g
}

// Set opens or shuts the gate.
func (g *Gate) Set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case open == isClosed(g.open):
	case open:
		g.shut = make(chan struct{})
		close(g.open)
	default:
		g.open = make(chan struct{})
		close(g.shut)
	}
}

// Wait waits until the gate is open, and reports false when ctx ends first.
func (g *Gate) Wait(ctx context.Context) bool {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return true
	case <-ctx.Done():
		return false
	}
}

// IsOpen reports whether the gate is open.
func (g *Gate) IsOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return isClosed(g.open)
}

// ContextWhileOpen returns ctx for as long as the gate is open.
func (g *Gate) ContextWhileOpen(ctx context.Context) (context.Context, context.CancelFunc) {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-shut:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
