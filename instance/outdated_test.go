package instance_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// Another instance opened the flow by records that aren't here yet. Its requests are sent again.
func TestOutdatedInstanceRefusesNoServiceThatOthersMayKnow(t *testing.T) {
	b := newBench(t, 0, 2)
	b.advance(5 * clock.Second)
	sealed := b.keys.Seal(token.Token{Flow: 1, Owner: token.Hash("entry-0"), Incarnation: 1, Service: token.Hash("orders"), Issued: b.now})
	packets := map[string]packet.Packet{
		"open":    {Version: packet.Version, Kind: packet.KindOpen, Service: "orders", Nonce: 1},
		"request": {Version: packet.Version, Kind: packet.KindPart, Token: sealed, Request: 1, Count: 1, Payload: []byte("x")},
	}
	refusals := func(p packet.Packet) (n int) {
		for _, a := range b.engine.Handle(b.now, instance.PacketReceived{From: netip.MustParseAddrPort("127.0.0.1:5000"), Packet: p}) {
			if sent, is := a.(instance.SendPacket); is && sent.Packet.Kind == packet.KindRefuse {
				require.Equal(t, packet.ReasonService, sent.Packet.Reason)
				n++
			}
		}
		return n
	}
	for name, p := range packets {
		require.Equal(t, 1, refusals(p), "%s: all instances have the same records", name)
	}
	b.handle(instance.EnvelopeReceived{From: netip.MustParseAddrPort("127.0.0.1:2001"), Envelope: b.heartbeat(1, 0, false, 9)})
	for name, p := range packets {
		require.Zero(t, refusals(p), "%s: another instance has newer records", name)
	}
	b.handle(instance.ObjectsReceived{
		Objects: []record.Object{{Kind: record.KindService, Name: "other", Revision: 9, Deleted: true}}, Revision: 9, Source: instance.SourcePlatform,
	})
	b.handle(instance.EnvelopeReceived{From: netip.MustParseAddrPort("127.0.0.1:2001"), Envelope: b.heartbeat(1, 0, false, 9)})
	for name, p := range packets {
		require.Equal(t, 1, refusals(p), "%s: the newer records don't have the service either", name)
	}
}
