package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// route returns the instance that a packet belongs to by its token alone. That
// is the owner while it lives in the incarnation named by the token, else the
// survivor that every instance with the same view chooses for the flow.
//
// via is the instance that passed the packet on, or nil. An owner that passes on
// a packet of its own flow has given the flow up, and an instance that holds
// another to be the successor of a dead owner is taken at its word, so a packet
// never goes round.
//
// An instance that is joining does not know all others yet, so an owner that it
// does not know may live: the packet is dropped (nil).
func (b *EngineState) route(t token.Token, request uint64, hops uint8, via *Member) *Member {
	owner := b.Members.ByHash[t.Owner]
	lives := owner != nil && owner.Alive && owner.Incarnation == t.Incarnation
	switch {
	case hops >= packet.MaxHops:
		return b.Self
	case lives && owner == b.Self:
		return b.keepOrLeave(t, request)
	case lives && owner != via:
		return owner
	case via != nil && b.StoppingSince == 0:
		return b.Self
	case owner == nil && b.joining():
		return nil
	}
	return b.successor(t)
}

// joining reports whether this instance has not yet met the others.
func (b *EngineState) joining() bool {
	return !b.Members.Ready && b.StoppingSince == 0
}

// keepOrLeave returns this instance for its own flows, but while it is stopping
// only for requests it already has.
func (b *EngineState) keepOrLeave(t token.Token, request uint64) *Member {
	if b.StoppingSince == 0 {
		return b.Self
	}
	f := b.Flows.ByID[t.Flow]
	if f != nil && (f.find(request) != nil || f.hasEnded(request)) {
		return b.Self
	}
	return b.successor(t)
}

// successor returns the instance that takes up the flow of an owner that is gone:
// one of the token's data centre, else of this one, else of any other, when none
// of the former is left.
func (b *EngineState) successor(t token.Token) *Member {
	for centre, live := range b.Members.Available {
		if token.Hash(centre) == t.Centre {
			return rendezvous(t.Flow, live)
		}
	}
	if m := b.taker(t.Flow); m != nil {
		return m
	}
	return b.Self
}

// taker returns an instance that takes new flows: one of this data centre, or of
// any other when none here does, or nil.
func (b *EngineState) taker(key uint64) *Member {
	if m := rendezvous(key, b.Members.Available[b.Self.Instance.Centre]); m != nil {
		return m
	}
	var far []*Member
	for _, m := range b.Members.All {
		if m != b.Self && m.AcceptsWork() {
			far = append(far, m)
		}
	}
	return rendezvous(key, far)
}
