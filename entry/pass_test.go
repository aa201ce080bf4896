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

func TestSamplerLeavesOnePacketAPeriod(t *testing.T) {
	var s sampler
	orders, gallery := token.Token{Owner: 1, Service: 1}, token.Token{Owner: 1, Service: 2}
	require.True(t, s.due(orders, 1000))
	require.False(t, s.due(orders, 1000+samplePeriod-1))
	require.True(t, s.due(gallery, 1000), "another service")
	require.True(t, s.due(orders, 1000+samplePeriod))
}

// Readers pass packets of sound owners on, whatever the engine does meanwhile, but
// leave one packet a period to it.
func TestReadersPassPacketsOn(t *testing.T) {
	receiving := &scriptedEngine{}
	second := start(t, "entry-2", quiet(), receiving)
	engine := instance.New(instance.Settings{Self: record.Instance{Name: "entry-1", Centre: "riga", Size: 1}, RandomSeed: 1}, clock.Now())
	self := second.Self()
	engine.Handle(clock.Now(), instance.InstancesListed{Instances: []record.Instance{self}})
	var router *instance.Router
	beat := packet.Envelope{Sender: token.Hash(self.Name), Incarnation: uint64(self.Incarnation), Heartbeat: 1, Reply: true}
	for _, a := range engine.Handle(clock.Now(), instance.EnvelopeReceived{Envelope: beat}) {
		if use, is := a.(instance.UseRouter); is {
			router = use.Router
		}
	}
	require.NotNil(t, router)

	passing := &scriptedEngine{start: []instance.Action{instance.UseRouter{Router: router}}}
	first := start(t, "entry-1", quiet(), passing)
	require.Eventually(t, func() bool { return first.router.Load() != nil }, patience, 1)
	keys, err := token.NewKeys(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	require.NoError(t, err)
	sealed := keys.Seal(token.Token{Owner: token.Hash(self.Name), Incarnation: uint64(self.Incarnation), Issued: clock.Now()})
	data, err := packet.Encode(packet.Packet{Kind: packet.KindProbe, Token: sealed, Nonce: 7})
	require.NoError(t, err)
	caller := dial(t, first.Self().PacketAddress)
	for range 20 {
		send(t, caller, data)
	}
	left := await[instance.PacketReceived](t, passing)
	require.EqualValues(t, 7, left.Packet.Nonce, "one packet is left to the engine")
	got := await[instance.EnvelopeReceived](t, receiving)
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

// A daemon whose engine wants no watch still watches once after a list, and
// starts again when it is wanted.
func TestWatchPausesAfterTheFirst(t *testing.T) {
	p := quiet()
	p.watches = []watched{{listing: platform.Listing{Revision: 6}}, {listing: platform.Listing{Revision: 7}}}
	s := &scriptedEngine{
		start: []instance.Action{instance.WatchPlatform{}},
		script: func(e instance.Event) []instance.Action {
			if _, is := e.(instance.PacketReceived); is {
				return []instance.Action{instance.WatchPlatform{Enabled: true}}
			}
			return nil
		},
	}
	r := start(t, "entry-1", p, s)
	require.Eventually(t, func() bool { return !r.watching.IsOpen() }, patience, 1)
	data, err := packet.Encode(packet.Packet{Kind: packet.KindProbe})
	require.NoError(t, err)
	send(t, dial(t, r.Self().PacketAddress), data)
	for revision := uint64(0); revision < 7; {
		revision = await[instance.ObjectsReceived](t, s).Revision
	}
}

func TestObjectStoreTellsWhatIsNewer(t *testing.T) {
	s := newObjectStore()
	_, _, known := s.newer(3)
	require.False(t, known, "the whole set was never known")
	orders, press := object(record.KindService, "orders", 3), object(record.KindBackend, "press", 4)
	s.apply(instance.ObjectsReceived{Objects: []record.Object{orders, press}, Revision: 4, FullList: true})
	gone := record.Object{Kind: record.KindBackend, Name: "press", Revision: 6, Deleted: true}
	s.apply(instance.ObjectsReceived{Objects: []record.Object{gone}, Revision: 6})

	_, _, known = s.newer(0)
	require.False(t, known, "all are asked for")
	_, _, known = s.newer(3)
	require.False(t, known, "older than the whole set")
	newer, revision, known := s.newer(4)
	require.True(t, known)
	require.EqualValues(t, 6, revision)
	require.Equal(t, []record.Object{gone}, newer)
	newer, _, known = s.newer(6)
	require.True(t, known)
	require.Empty(t, newer)
}
