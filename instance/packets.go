package instance

import (
	"crypto/subtle"
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// arrival is one packet of a caller, from the fabric or from another instance.
type arrival struct {
	caller netip.AddrPort
	packet packet.Packet
	data   []byte  // the datagram, or nil
	hops   uint8   // how often it was passed on
	via    *Member // who passed it on, or nil
}

// packetController opens flows, and takes each packet to where its token says.
type packetController struct {
	b        *EngineState
	requests requestController
	answers  answerController
}

func (c packetController) receive(in arrival) {
	if in.packet.Kind == packet.KindOpen {
		c.open(in)
		return
	}
	t, err := c.openToken(in.packet.Token)
	if err != nil {
		c.refuseToken(in, err)
		return
	}
	switch m := c.b.route(t, in.packet.Request, in.hops, in.via); m {
	case nil: // the caller repeats it
	case c.b.Self:
		c.take(in, t)
	default:
		c.forward(in, t, m)
	}
}

// openToken checks the seal and age of a token. The seal of the token that a held
// flow carries was checked before, or made here, so it is only compared.
func (c packetController) openToken(sealed []byte) (token.Token, error) {
	t, err := token.Peek(sealed)
	if err != nil {
		return token.Token{}, err
	}
	f := c.b.Flows.ByID[t.Flow]
	known := f != nil && subtle.ConstantTimeCompare(f.token, sealed) == 1
	if known && c.b.Now-t.Issued <= token.Lifetime {
		return t, nil
	}
	return c.b.Settings.Keys.Open(sealed, c.b.Now)
}

func (c packetController) refuseToken(in arrival, err error) {
	c.b.do(LogDecision{Decision: "refuse", Reason: packet.ReasonToken.String(), Subject: in.caller.String(), Detail: err.Error(), Level: LevelDebug})
	c.b.do(SendPacket{To: in.caller, Packet: packet.Packet{
		Kind: packet.KindRefuse, Reason: packet.ReasonToken, Request: in.packet.Request, Nonce: in.packet.Nonce,
	}})
}

// open answers a caller with a token of a new flow. The flow may belong to any
// instance of the data centre; nothing is stored until its first request.
func (c packetController) open(in arrival) {
	s := c.b.Services[token.Hash(in.packet.Service)]
	if s == nil {
		if c.b.Records.Loaded {
			c.refuseOpen(in, packet.ReasonService)
		}
		return
	}
	if c.b.joining() && len(s.Dispatchers[c.b.Self.Instance.Centre]) == 0 {
		return // the caller asks again
	}
	owner := c.b.chooseOwner(s)
	if owner == nil {
		c.refuseOpen(in, packet.ReasonStopping)
		return
	}
	sealed := c.b.Settings.Keys.Seal(token.Token{
		Flow: c.b.random.Uint64(), Owner: owner.Hash, Incarnation: owner.Incarnation,
		Centre: token.Hash(owner.Instance.Centre), Service: s.Hash, Issued: c.b.Now,
	})
	c.b.do(SendPacket{To: in.caller, Packet: packet.Packet{Kind: packet.KindOpened, Token: sealed, Nonce: in.packet.Nonce}})
}

func (c packetController) refuseOpen(in arrival, reason packet.Reason) {
	c.b.note("refuse", reason.String(), in.packet.Service, in.caller.String(), "open")
	c.b.do(SendPacket{To: in.caller, Packet: packet.Packet{Kind: packet.KindRefuse, Reason: reason, Nonce: in.packet.Nonce}})
}

// forward passes a packet on to another instance, unchanged.
func (c packetController) forward(in arrival, t token.Token, m *Member) {
	data := in.data
	if data == nil {
		encoded, err := packet.Encode(in.packet)
		if err != nil {
			return
		}
		data = encoded
	}
	e := c.b.envelope(m)
	e.Caller, e.Hops, e.Data = in.caller, in.hops+1, data
	if s := c.b.Services[t.Service]; s != nil && len(s.Dispatched) > 0 {
		e.Loads = []packet.Load{s.Load(c.b.Now)}
	}
	c.b.do(SendEnvelope{To: m.PeerAddr, Envelope: e})
	c.b.used = append(c.b.used, m)
}

// reissueAge is the age at which a flow's token is replaced by a new one.
const reissueAge = token.Lifetime / 4

// take handles a packet of a flow that belongs here.
func (c packetController) take(in arrival, t token.Token) {
	s := c.b.Services[t.Service]
	if s == nil {
		c.refuseService(in)
		return
	}
	f, fresh := c.b.Flows.touch(t, in.caller, c.b.Now)
	mine := t.Owner == c.b.Self.Hash && t.Incarnation == c.b.Self.Incarnation
	if fresh && !mine {
		c.b.do(LogDecision{Decision: "adopt", Reason: "owner", Service: s.Record.Name, Subject: in.caller.String(), Level: LevelInfo})
	}
	if f.token == nil || t.Issued > f.TokenIssued || c.b.Now-f.TokenIssued > reissueAge {
		c.b.reissue(f, t, in.packet.Token, mine)
	}
	switch in.packet.Kind {
	case packet.KindPart:
		c.requests.part(f, s, &in.packet)
	case packet.KindPermit:
		c.requests.permit(f, &in.packet)
	case packet.KindCancel:
		c.requests.cancel(f, &in.packet)
	case packet.KindGot:
		c.answers.got(f, &in.packet)
	case packet.KindProbe:
		c.b.do(SendPacket{To: f.Caller, Packet: packet.Packet{Kind: packet.KindEcho, Token: f.token, Nonce: in.packet.Nonce}})
	case packet.KindClose:
		if len(f.Requests) == 0 {
			c.b.Flows.forget(f)
		}
	}
}

func (c packetController) refuseService(in arrival) {
	if !c.b.Records.Loaded {
		return
	}
	c.b.note("refuse", packet.ReasonService.String(), "", in.caller.String(), in.packet.Kind.String())
	c.b.do(SendPacket{To: in.caller, Packet: packet.Packet{
		Kind: packet.KindRefuse, Reason: packet.ReasonService, Request: in.packet.Request, Nonce: in.packet.Nonce, Token: in.packet.Token,
	}})
}

// reissue gives the flow a token that names this instance as its owner. The
// token that came is kept while it is young and already says so.
func (b *EngineState) reissue(f *Flow, t token.Token, sealed []byte, mine bool) {
	if mine && b.Now-t.Issued <= reissueAge {
		f.token, f.TokenIssued = append([]byte(nil), sealed...), t.Issued
		return
	}
	b.seal(f, max(b.Now, t.Issued+clock.Millisecond))
}

// seal gives a flow a new token.
func (b *EngineState) seal(f *Flow, issued clock.Millis) {
	f.TokenIssued = issued
	f.token = b.Settings.Keys.Seal(token.Token{
		Flow: f.ID, Owner: b.Self.Hash, Incarnation: b.Self.Incarnation,
		Centre: token.Hash(b.Self.Instance.Centre), Service: f.ServiceHash, Backend: f.PinnedBackend, Issued: f.TokenIssued,
	})
}
