package daemon

import (
	"context"
	"sync"
)

// Gate blocks goroutines in Wait while it is shut, and lets them pass while it is open. It is
// safe for concurrent use.
type Gate struct {
	mu         sync.Mutex
	openSignal chan struct{} // closed while the gate is open
	shutSignal chan struct{} // closed while the gate is shut
}

// NewGate returns a gate that is open or shut.
func NewGate(open bool) *Gate {
	g := &Gate{openSignal: make(chan struct{}), shutSignal: make(chan struct{})}
	if open {
		close(g.openSignal)
	} else {
		close(g.shutSignal)
	}
	return g
}

// Set opens or shuts the gate.
func (g *Gate) Set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case open == isClosed(g.openSignal):
	case open:
		g.shutSignal = make(chan struct{})
		close(g.openSignal)
	default:
		g.openSignal = make(chan struct{})
		close(g.shutSignal)
	}
}

// Wait waits until the gate is open. It returns false if ctx ends first.
func (g *Gate) Wait(ctx context.Context) bool {
	g.mu.Lock()
	open := g.openSignal
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
	return isClosed(g.openSignal)
}

// ContextWhileOpen returns a copy of ctx that is cancelled when the gate shuts. The caller
// must call the cancel function.
func (g *Gate) ContextWhileOpen(ctx context.Context) (context.Context, context.CancelFunc) {
	g.mu.Lock()
	shut := g.shutSignal
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
