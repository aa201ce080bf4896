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
func (st *EngineState) route(t token.Token, request uint64, hops uint8, via *Member) *Member {
	owner := st.Members.ByHash[t.Owner]
	alive := owner != nil && owner.Alive && owner.Incarnation == t.Incarnation
	switch {
	case hops >= packet.MaxHops:
		return st.Self
	case alive && owner == st.Self:
		return st.routeOwned(t, request)
	case alive && owner != via:
		return owner
	case via != nil && st.StoppingSince == 0:
		return st.Self
	case owner == nil && st.joining():
		return nil
	}
	return st.successor(t)
}

// joining reports whether this instance has not yet met the others.
func (st *EngineState) joining() bool {
	return !st.Members.Ready && st.StoppingSince == 0
}

// keepOrLeave returns this instance for its own flows, but while it is stopping
// only for requests it already has.
func (st *EngineState) routeOwned(t token.Token, request uint64) *Member {
	if st.StoppingSince == 0 {
		return st.Self
	}
	f := st.Flows.ByID[t.Flow]
	if f != nil && (f.find(request) != nil || f.hasEnded(request)) {
		return st.Self
	}
	return st.successor(t)
}

// successor returns the instance that takes up the flow of an owner that is gone:
// one of the token's data centre, else of this one, else of any other, when none
// of the former is left.
func (st *EngineState) successor(t token.Token) *Member {
	for centre, live := range st.Members.Available {
		if token.Hash(centre) == t.Centre {
			return rendezvous(t.Flow, live)
		}
	}
	if m := st.newFlowOwner(t.Flow); m != nil {
		return m
	}
	return st.Self
}

// taker returns an instance that takes new flows: one of this data centre, or of
// any other when none here does, or nil.
func (st *EngineState) newFlowOwner(key uint64) *Member {
	if m := rendezvous(key, st.Members.Available[st.Self.Instance.Centre]); m != nil {
		return m
	}
	var far []*Member
	for _, m := range st.Members.All {
		if m != st.Self && m.AcceptsWork() {
			far = append(far, m)
		}
	}
	return rendezvous(key, far)
}
