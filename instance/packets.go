package instance

import (
	"crypto/subtle"
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// receivedPacket is a packet of a caller that was received from the fabric or from
// another instance.
type receivedPacket struct {
	caller netip.AddrPort
	packet packet.Packet
	data   []byte  // the datagram, or nil
	hops   uint8   // how many instances forwarded it
	via    *Member // the instance that forwarded it, or nil
}

// packetController opens flows, and processes packets or forwards them to the owner of
// their flow.
type packetController struct {
	state    *EngineState
	requests requestController
	answers  answerController
}

func (c packetController) receive(in receivedPacket) {
	if in.packet.Kind == packet.KindOpen {
		c.openFlow(in)
		return
	}
	t, err := c.openToken(in.packet.Token)
	if err != nil {
		c.refuseToken(in, err)
		return
	}
	switch m := c.state.route(t, in.packet.Request, in.hops, in.via); m {
	case nil: // dropped; the caller sends it again
	case c.state.Self:
		c.handleOwned(in, t)
	default:
		c.forward(in, t, m)
	}
}

// openToken verifies a token and its age. A token equal to the current one of a flow in
// memory was verified or issued before, so it is only compared.
func (c packetController) openToken(sealed []byte) (token.Token, error) {
	t, err := token.Peek(sealed)
	if err != nil {
		return token.Token{}, err
	}
	f := c.state.Flows.ByID[t.Flow]
	known := f != nil && subtle.ConstantTimeCompare(f.token, sealed) == 1
	if known && c.state.Now-t.Issued <= token.Lifetime {
		return t, nil
	}
	return c.state.Settings.Keys.Open(sealed, c.state.Now)
}

func (c packetController) refuseToken(in receivedPacket, err error) {
	c.state.emit(LogDecision{Decision: "refuse", Reason: packet.ReasonToken.String(), Subject: in.caller.String(), Detail: err.Error(), Level: LevelDebug})
	c.state.emit(SendPacket{To: in.caller, Packet: packet.Packet{
		Kind: packet.KindRefuse, Reason: packet.ReasonToken, Request: in.packet.Request, Nonce: in.packet.Nonce,
	}})
}

// openFlow answers a caller with the token of a new flow. The owner may be any instance
// of the data centre; no state is kept until the first request.
func (c packetController) openFlow(in receivedPacket) {
	s := c.state.Services[token.Hash(in.packet.Service)]
	if s == nil {
		if c.state.Records.Loaded && !c.state.outdated() {
			c.refuseOpen(in, packet.ReasonService)
		}
		return // otherwise the caller sends Open again
	}
	if c.state.joining() && len(s.Dispatchers[c.state.Self.Instance.Centre]) == 0 {
		return // the caller sends Open again
	}
	owner := c.state.chooseOwner(s)
	if owner == nil {
		c.refuseOpen(in, packet.ReasonStopping)
		return
	}
	sealed := c.state.Settings.Keys.Seal(token.Token{
		Flow: c.state.random.Uint64(), Owner: owner.Hash, Incarnation: owner.Incarnation,
		Centre: token.Hash(owner.Instance.Centre), Service: s.Hash, Issued: c.state.Now,
	})
	c.state.emit(SendPacket{To: in.caller, Packet: packet.Packet{Kind: packet.KindOpened, Token: sealed, Nonce: in.packet.Nonce}})
}

func (c packetController) refuseOpen(in receivedPacket, reason packet.Reason) {
	c.state.logDecision("refuse", reason.String(), in.packet.Service, in.caller.String(), "open")
	c.state.emit(SendPacket{To: in.caller, Packet: packet.Packet{Kind: packet.KindRefuse, Reason: reason, Nonce: in.packet.Nonce}})
}

// forward sends a packet to another instance, unchanged.
func (c packetController) forward(in receivedPacket, t token.Token, m *Member) {
	data := in.data
	if data == nil {
		encoded, err := packet.Encode(in.packet)
		if err != nil {
			return
		}
		data = encoded
	}
	e := c.state.newEnvelope(m)
	e.Caller, e.Hops, e.Data = in.caller, in.hops+1, data
	if s := c.state.Services[t.Service]; s != nil && len(s.Dispatched) > 0 {
		e.Loads = []packet.Load{s.Load(c.state.Now)}
	}
	c.state.emit(SendEnvelope{To: m.PeerAddress, Envelope: e})
	c.state.forwardedTo = append(c.state.forwardedTo, m)
}

// reissueAge is the age from which a flow's token is replaced by a new one.
const reissueAge = token.Lifetime / 4

// handleOwned processes a packet of a flow that this instance owns or takes over.
func (c packetController) handleOwned(in receivedPacket, t token.Token) {
	s := c.state.Services[t.Service]
	if s == nil {
		c.refuseUnknownService(in)
		return
	}
	f, added := c.state.Flows.touch(t, in.caller, c.state.Now)
	owned := t.Owner == c.state.Self.Hash && t.Incarnation == c.state.Self.Incarnation
	if added && !owned {
		c.state.emit(LogDecision{Decision: "adopt", Reason: "owner", Service: s.Record.Name, Subject: in.caller.String(), Level: LevelInfo})
	}
	if f.token == nil || t.Issued > f.TokenIssued || c.state.Now-f.TokenIssued > reissueAge {
		c.state.reissue(f, t, in.packet.Token, owned)
	}
	switch in.packet.Kind {
	case packet.KindPart:
		c.requests.receivePart(f, s, &in.packet)
	case packet.KindPermit:
		c.requests.receivePermit(f, &in.packet)
	case packet.KindCancel:
		c.requests.cancel(f, &in.packet)
	case packet.KindGot:
		c.answers.acknowledged(f, &in.packet)
	case packet.KindProbe:
		c.state.emit(SendPacket{To: f.Caller, Packet: packet.Packet{Kind: packet.KindEcho, Token: f.token, Nonce: in.packet.Nonce}})
	case packet.KindClose:
		if len(f.Requests) == 0 {
			c.state.Flows.remove(f)
		}
	}
}

func (c packetController) refuseUnknownService(in receivedPacket) {
	if !c.state.Records.Loaded || c.state.outdated() {
		return // the caller sends the packet again
	}
	c.state.logDecision("refuse", packet.ReasonService.String(), "", in.caller.String(), in.packet.Kind.String())
	c.state.emit(SendPacket{To: in.caller, Packet: packet.Packet{
		Kind: packet.KindRefuse, Reason: packet.ReasonService, Request: in.packet.Request, Nonce: in.packet.Nonce, Token: in.packet.Token,
	}})
}

// reissue sets a flow's token to one that names this instance as the owner. The received
// token is used if it does and is younger than reissueAge.
func (st *EngineState) reissue(f *Flow, t token.Token, sealed []byte, owned bool) {
	if owned && st.Now-t.Issued <= reissueAge {
		f.token, f.TokenIssued = append([]byte(nil), sealed...), t.Issued
		return
	}
	st.sealToken(f, max(st.Now, t.Issued+clock.Millisecond))
}

// sealToken sets a flow's token to a new one.
func (st *EngineState) sealToken(f *Flow, issued clock.Millis) {
	f.TokenIssued = issued
	f.token = st.Settings.Keys.Seal(token.Token{
		Flow: f.ID, Owner: st.Self.Hash, Incarnation: st.Self.Incarnation,
		Centre: token.Hash(st.Self.Instance.Centre), Service: f.ServiceHash, Backend: f.PinnedBackend, Issued: f.TokenIssued,
	})
}
