package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// route returns the instance that must process a packet, by its token alone: the owner
// that the token names if it is alive in the same incarnation, else the successor, which
// every instance that knows the same members computes alike.
//
// via is the instance that forwarded the packet, or nil. An owner that forwards a packet of
// its own flow has given up the flow. An instance that gets a forwarded packet of a dead
// owner processes it without looking for the successor itself. Both prevent forwarding
// loops.
//
// While this instance joins, it doesn't know all others, and an owner that it doesn't know
// may be alive. route then returns nil, and the packet is dropped.
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

// joining reports whether this instance has started and doesn't take flows yet.
func (st *EngineState) joining() bool {
	return !st.Members.Ready && st.StoppingSince == 0
}

// routeOwned returns the instance for a packet of a flow owned here: this one, or during a
// shutdown the successor, except for requests that this instance has already received.
func (st *EngineState) routeOwned(t token.Token, request uint64) *Member {
	if st.StoppingSince == 0 {
		return st.Self
	}
	f := st.Flows.ByID[t.Flow]
	if f != nil && (f.findRequest(request) != nil || f.hasEnded(request)) {
		return st.Self
	}
	return st.successor(t)
}

// successor returns the instance that takes over the flow of a dead or leaving owner. It is
// in the token's data centre, else in this one, else in any other.
func (st *EngineState) successor(t token.Token) *Member {
	for centre, available := range st.Members.Available {
		if token.Hash(centre) == t.Centre {
			return rendezvous(t.Flow, available)
		}
	}
	if m := st.newFlowOwner(t.Flow); m != nil {
		return m
	}
	return st.Self
}

// newFlowOwner returns an instance that accepts new flows: one in this data centre, else in
// any other, or nil.
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
