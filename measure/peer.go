package measure

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// peer simulates another entry instance: it holds a lease, answers heartbeats and counts
// the packets forwarded to it.
type peer struct {
	self             record.Instance
	socket           *net.UDPConn
	forwardedPackets atomic.Int64
}

// minForwardedSize is the size from which a datagram counts as a forwarded packet.
// Heartbeats are smaller.
const minForwardedSize = 900 // bytes

// renewInterval is the time between renewals of the peer's lease.
const renewInterval = 5 * time.Second

// startPeer runs a peer until ctx ends.
func startPeer(ctx context.Context, name string, client platform.Platform) (*peer, error) {
	socket, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	p := &peer{socket: socket, self: record.Instance{
		Name: name, Centre: centre, PacketAddress: "127.0.0.1:1", PeerAddress: socket.LocalAddr().String(), ControlAddress: "127.0.0.1:1",
		Size: 1, Incarnation: clock.Now(), State: record.StateActive, Schema: record.Schema2,
	}}
	if err := p.renew(ctx, client); err != nil {
		return nil, err
	}
	go receive(socket, p.handle)
	go func() {
		for tick := time.NewTicker(renewInterval); ; {
			select {
			case <-tick.C:
				_ = p.renew(ctx, client)
			case <-ctx.Done():
				_ = socket.Close()
				return
			}
		}
	}()
	return p, nil
}

func (p *peer) renew(ctx context.Context, client platform.Platform) error {
	return client.Renew(ctx, platform.Lease{Name: p.self.Name, Holder: p.self.Name, TTL: 30 * clock.Second, Instance: &p.self})
}

// handle counts a forwarded packet, or answers a heartbeat.
func (p *peer) handle(from net.Addr, data []byte) {
	if len(data) >= minForwardedSize {
		p.forwardedPackets.Add(1)
		return
	}
	e, err := packet.DecodeEnvelope(data)
	if err != nil || e.Heartbeat == 0 || e.Reply {
		return
	}
	reply, err := packet.EncodeEnvelope(packet.Envelope{
		Sender: token.Hash(p.self.Name), Incarnation: uint64(p.self.Incarnation), Heartbeat: e.Heartbeat, Reply: true, Hello: &p.self,
	})
	if err == nil {
		_, _ = p.socket.WriteTo(reply, from)
	}
}

// sealToken returns the sealed token of a flow that owner owns.
func (t *testbed) sealToken(owner record.Instance, flow uint64) []byte {
	return t.keys.Seal(token.Token{
		Flow: flow, Owner: token.Hash(owner.Name), Incarnation: uint64(owner.Incarnation),
		Centre: token.Hash(owner.Centre), Service: token.Hash(service), Issued: clock.Now(),
	})
}

func mustAddrPort(text string) netip.AddrPort { return netip.MustParseAddrPort(text) }
