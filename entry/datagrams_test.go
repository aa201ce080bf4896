package entry

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

func TestSamplerIsDueOncePerPeriod(t *testing.T) {
	var s sampler
	orders, gallery := token.Token{Owner: 1, Service: 1}, token.Token{Owner: 1, Service: 2}
	require.True(t, s.due(orders, 1000))
	require.False(t, s.due(orders, 1000+samplePeriod-1))
	require.True(t, s.due(gallery, 1000), "another service")
	require.True(t, s.due(orders, 1000+samplePeriod))
}

// Readers must forward packets to an owner that the router knows without the engine,
// but leave one packet a period to the engine.
func TestReaderForwardsPackets(t *testing.T) {
	receiving := &scriptedEngine{}
	second := startDaemon(t, "entry-2", newEmptyPlatform(), receiving)
	engine := instance.New(instance.Settings{Self: record.Instance{Name: "entry-1", Centre: "riga", Size: 1}, RandomSeed: 1}, clock.Now())
	self := second.Self()
	engine.Handle(clock.Now(), instance.InstancesListed{Instances: []record.Instance{self}})
	var router *instance.Router
	heartbeat := packet.Envelope{Sender: token.Hash(self.Name), Incarnation: uint64(self.Incarnation), Heartbeat: 1, Reply: true}
	for _, a := range engine.Handle(clock.Now(), instance.EnvelopeReceived{Envelope: heartbeat}) {
		if use, ok := a.(instance.UseRouter); ok {
			router = use.Router
		}
	}
	require.NotNil(t, router)

	forwarding := &scriptedEngine{onFirstTick: []instance.Action{instance.UseRouter{Router: router}}}
	first := startDaemon(t, "entry-1", newEmptyPlatform(), forwarding)
	require.Eventually(t, func() bool { return first.router.Load() != nil }, testTimeout, 1)
	keys, err := token.NewKeys(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	require.NoError(t, err)
	sealed := keys.Seal(token.Token{Owner: token.Hash(self.Name), Incarnation: uint64(self.Incarnation), Issued: clock.Now()})
	data, err := packet.Encode(packet.Packet{Kind: packet.KindProbe, Token: sealed, Nonce: 7})
	require.NoError(t, err)
	caller := dial(t, first.Self().PacketAddress)
	for range 20 {
		sendDatagram(t, caller, data)
	}
	sampled := awaitEvent[instance.PacketReceived](t, forwarding)
	require.EqualValues(t, 7, sampled.Packet.Nonce, "one packet must be left to the engine")
	got := awaitEvent[instance.EnvelopeReceived](t, receiving)
	require.EqualValues(t, 1, got.Envelope.Hops)
	require.Equal(t, caller.LocalAddr().String(), got.Envelope.Caller.String())
	require.Equal(t, data, got.Envelope.Data)
	require.EqualValues(t, 7, got.Packet.Nonce)
}

func TestGate(t *testing.T) {
	g := daemon.NewGate(true)
	require.True(t, g.Wait(context.Background()))
	g.Set(true)
	g.Set(false)
	g.Set(false)
	require.False(t, g.IsOpen())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.False(t, g.Wait(ended))
	g.Set(true)
	require.True(t, g.Wait(ended) || g.IsOpen())
}

// A daemon whose engine disabled watching must watch once after a list, and watch
// again when the engine enables it.
func TestWatchPausesUntilEnabled(t *testing.T) {
	p := newEmptyPlatform()
	p.watchAnswers = []watchAnswer{{listing: platform.Listing{Revision: 6}}, {listing: platform.Listing{Revision: 7}}}
	s := &scriptedEngine{
		onFirstTick: []instance.Action{instance.WatchPlatform{}},
		script: func(e instance.Event) []instance.Action {
			if _, ok := e.(instance.PacketReceived); ok {
				return []instance.Action{instance.WatchPlatform{Enabled: true}}
			}
			return nil
		},
	}
	r := startDaemon(t, "entry-1", p, s)
	require.Eventually(t, func() bool { return !r.watchGate.IsOpen() }, testTimeout, 1)
	data, err := packet.Encode(packet.Packet{Kind: packet.KindProbe})
	require.NoError(t, err)
	sendDatagram(t, dial(t, r.Self().PacketAddress), data)
	for revision := uint64(0); revision < 7; {
		revision = awaitEvent[instance.ObjectsReceived](t, s).Revision
	}
}

func TestObjectStoreChangesSince(t *testing.T) {
	s := newObjectStore()
	_, _, known := s.changesSince(3)
	require.False(t, known, "there was no full list yet")
	orders, press := testObject(record.KindService, "orders", 3), testObject(record.KindBackend, "press", 4)
	s.apply(instance.ObjectsReceived{Objects: []record.Object{orders, press}, Revision: 4, FullList: true})
	deletion := record.Object{Kind: record.KindBackend, Name: "press", Revision: 6, Deleted: true}
	s.apply(instance.ObjectsReceived{Objects: []record.Object{deletion}, Revision: 6})

	_, _, known = s.changesSince(0)
	require.False(t, known, "all records are requested")
	_, _, known = s.changesSince(3)
	require.False(t, known, "the revision is older than the full list")
	newer, revision, known := s.changesSince(4)
	require.True(t, known)
	require.EqualValues(t, 6, revision)
	require.Equal(t, []record.Object{deletion}, newer)
	newer, _, known = s.changesSince(6)
	require.True(t, known)
	require.Empty(t, newer)
}
