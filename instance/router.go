package instance

import (
	"net/netip"
	"slices"

	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Router is the fast path for packets of flows that other instances own: it returns the
// next hop if the owner is alive in the token's incarnation, knows this instance and
// answers heartbeats. All other packets go to the engine. A Router is immutable, so the
// goroutines that read datagrams share it. When a next hop changes, the engine emits
// UseRouter with a new one.
//
// The token of a packet that is forwarded this way is verified by the owner only. The
// envelope carries no queue state and the packet triggers no heartbeat, so each reader
// regularly passes one packet per owner and service to the engine (see package entry).
type Router struct {
	sender      uint64
	incarnation uint64
	hops        map[uint64]NextHop
}

// NextHop is the address of an owner and the incarnation that it is valid for.
type NextHop struct {
	OwnerHash   uint64 // token.Hash of the instance's name
	Incarnation uint64
	PeerAddress netip.AddrPort
}

// NextHop returns the next hop for packets with a token, and whether there is one. A nil
// Router has none.
func (r *Router) NextHop(t token.Token) (NextHop, bool) {
	if r == nil {
		return NextHop{}, false
	}
	h, found := r.hops[t.Owner]
	return h, found && h.Incarnation == t.Incarnation
}

// FillEnvelope sets e to the envelope that forwards a caller's datagram.
func (r *Router) FillEnvelope(e *packet.Envelope, caller netip.AddrPort, data []byte) {
	*e = packet.Envelope{Sender: r.sender, Incarnation: r.incarnation, Caller: caller, Hops: 1, Data: data}
}

// publishRouter emits UseRouter when the next hops have changed.
func (c memberController) publishRouter() {
	ms := &c.state.Members
	ms.routerDirty = false
	var hops []NextHop
	for _, m := range ms.All {
		reachable := m.Alive && m.KnowsSelf && m.MissedHeartbeats == 0
		if m != c.state.Self && reachable && c.state.StoppingSince == 0 {
			hops = append(hops, NextHop{OwnerHash: m.Hash, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress})
		}
	}
	if slices.Equal(hops, ms.hops) {
		return
	}
	ms.hops = hops
	r := &Router{sender: c.state.Self.Hash, incarnation: c.state.Self.Incarnation, hops: make(map[uint64]NextHop, len(hops))}
	for _, h := range hops {
		r.hops[h.OwnerHash] = h
	}
	c.state.emit(UseRouter{Router: r})
}
