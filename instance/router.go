package instance

import (
	"net/netip"
	"slices"

	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Router tells where the packets of other instances' flows go while nothing is
// wrong: the owner lives in the token's incarnation, knows this instance and
// answers. Every other packet is for the engine. A Router never changes, so the
// goroutines that read datagrams may share it; the engine hands out a new one
// when its answer for any token changes.
//
// A packet passed on this way has its seal checked by the owner alone. It carries
// no queue state and asks for no heartbeat, so each reader still gives the engine
// a packet for each owner and service now and then (see package entry).
type Router struct {
	sender      uint64
	incarnation uint64
	hops        map[uint64]NextHop
}

// NextHop is the way to one instance.
type NextHop struct {
	OwnerHash   uint64 // token.Hash of its name
	Incarnation uint64
	PeerAddress netip.AddrPort
}

// NextHop returns the way to the owner of the flow that a token names.
func (r *Router) NextHop(t token.Token) (NextHop, bool) {
	if r == nil {
		return NextHop{}, false
	}
	h, found := r.hops[t.Owner]
	return h, found && h.Incarnation == t.Incarnation
}

// FillEnvelope makes e the envelope that passes on a caller's datagram.
func (r *Router) FillEnvelope(e *packet.Envelope, caller netip.AddrPort, data []byte) {
	*e = packet.Envelope{Sender: r.sender, Incarnation: r.incarnation, Caller: caller, Hops: 1, Data: data}
}

// publish hands out a new router when the ways have changed.
func (c memberController) publishRouter() {
	s := &c.state.Members
	s.routerDirty = false
	var hops []NextHop
	for _, m := range s.All {
		reachable := m.Alive && m.KnowsSelf && m.MissedHeartbeats == 0
		if m != c.state.Self && reachable && c.state.StoppingSince == 0 {
			hops = append(hops, NextHop{OwnerHash: m.Hash, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress})
		}
	}
	if slices.Equal(hops, s.hops) {
		return
	}
	s.hops = hops
	r := &Router{sender: c.state.Self.Hash, incarnation: c.state.Self.Incarnation, hops: make(map[uint64]NextHop, len(hops))}
	for _, h := range hops {
		r.hops[h.OwnerHash] = h
	}
	c.state.emit(UseRouter{Router: r})
}
