package forwarder

import (
	"context"
	"sync"
)

// gate lets goroutines through while it is open. It is shut at first.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
	shut chan struct{} // closed while the gate is shut
}

func newGate() *gate {
	g := &gate{open: make(chan struct{}), shut: make(chan struct{})}
	close(g.shut)
	return g
}

// set opens or shuts the gate.
func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if !open {
			g.open = make(chan struct{})
			close(g.shut)
		}
	default:
		if open {
			g.shut = make(chan struct{})
			close(g.open)
		}
	}
}

// wait waits until the gate is open, and reports false when ctx ends first.
func (g *gate) wait(ctx context.Context) bool {
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

// within returns ctx for as long as the gate is open.
func (g *gate) within(ctx context.Context) (context.Context, context.CancelFunc) {
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
