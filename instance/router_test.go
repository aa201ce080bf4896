package instance_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// engineBench is one engine; the test plays all other instances.
type engineBench struct {
	t          *testing.T
	engine     *instance.Engine
	now        clock.Millis
	keys       *token.Keys
	router     *instance.Router
	watching   bool
	fetch      *instance.FetchObjects
	heartbeats map[uint64]int // number of heartbeats by instance
	silent     map[int]bool   // instances that don't answer
	watchers   map[int]bool   // instances that report that they watch the platform
}

func benchInstance(n int) record.Instance {
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	return record.Instance{
		Name: fmt.Sprintf("entry-%d", n), Centre: "riga", PacketAddress: address(1000 + n), PeerAddress: address(2000 + n), ControlAddress: address(3000 + n),
		Size: 1, Incarnation: 1, State: record.StateActive, Schema: record.Schema2,
	}
}

func newBench(t *testing.T, self, members int) *engineBench {
	keys, err := token.NewKeys(1, map[uint8][]byte{1: []byte("0123456789abcdef")})
	require.NoError(t, err)
	b := &engineBench{t: t, now: 1_000_000, keys: keys, watching: true, heartbeats: map[uint64]int{}, silent: map[int]bool{}, watchers: map[int]bool{}}
	b.engine = instance.New(instance.Settings{Self: benchInstance(self), Keys: keys, RandomSeed: 1}, b.now)
	var list []record.Instance
	for n := range members {
		list = append(list, benchInstance(n))
	}
	b.handle(instance.InstancesListed{Instances: list})
	b.handle(instance.ObjectsReceived{Revision: 1, FullList: true, Source: instance.SourcePlatform})
	return b
}

// handle passes an event to the engine and records its actions. Heartbeats are answered at
// once.
func (b *engineBench) handle(e instance.Event) {
	for _, a := range append([]instance.Action(nil), b.engine.Handle(b.now, e)...) {
		switch a := a.(type) {
		case instance.UseRouter:
			b.router = a.Router
		case instance.WatchPlatform:
			b.watching = a.Enabled
		case instance.FetchObjects:
			b.fetch = &a
		case instance.SendEnvelope:
			b.answer(a)
		}
	}
}

func (b *engineBench) answer(a instance.SendEnvelope) {
	n := int(a.To.Port()) - 2000
	b.heartbeats[uint64(n)]++
	if a.Envelope.Reply || b.silent[n] {
		return
	}
	b.handle(instance.EnvelopeReceived{From: a.To, Envelope: b.heartbeat(n, a.Envelope.Heartbeat, true, 0)})
}

func (b *engineBench) heartbeat(n int, number uint64, reply bool, revision uint64) packet.Envelope {
	return packet.Envelope{
		Sender: token.Hash(benchInstance(n).Name), Incarnation: 1, Heartbeat: number, Reply: reply, WatchesPlatform: b.watchers[n], Revision: revision,
	}
}

func (b *engineBench) advance(span clock.Millis) {
	for end := b.now + span; b.now < end; {
		b.now += instance.TickPeriod
		b.handle(instance.Tick{})
	}
}

func (b *engineBench) hasNextHop(n int, incarnation uint64) bool {
	hop, found := b.router.NextHop(token.Token{Owner: token.Hash(benchInstance(n).Name), Incarnation: incarnation})
	if found {
		require.Equal(b.t, benchInstance(n).PeerAddress, hop.PeerAddress.String())
	}
	return found
}

func TestRouterHasNextHopsToReachableOwnersOnly(t *testing.T) {
	b := newBench(t, 0, 4)
	b.silent[3] = true
	b.advance(5 * clock.Second)
	require.True(t, b.hasNextHop(1, 1))
	require.True(t, b.hasNextHop(2, 1))
	require.False(t, b.hasNextHop(2, 9), "another incarnation")
	require.False(t, b.hasNextHop(3, 1), "never answered")
	require.False(t, b.hasNextHop(0, 1), "itself")

	b.silent[2] = true
	b.advance(5 * clock.Second)
	require.False(t, b.hasNextHop(2, 1), "silent")
	require.True(t, b.hasNextHop(1, 1))

	b.silent[2] = false
	b.advance(5 * clock.Second)
	require.True(t, b.hasNextHop(2, 1), "back again")

	b.handle(instance.StopRequested{})
	require.False(t, b.hasNextHop(1, 1), "a stopping instance leaves every packet to the engine")
}

func TestNilRouterHasNoNextHop(t *testing.T) {
	var r *instance.Router
	_, found := r.NextHop(token.Token{Owner: 1})
	require.False(t, found)
}

func TestRouterFillsTheSameEnvelopeAsTheEngine(t *testing.T) {
	b := newBench(t, 0, 2)
	b.advance(5 * clock.Second)
	sealed := b.keys.Seal(token.Token{Flow: 1, Owner: token.Hash("entry-1"), Incarnation: 1, Issued: b.now})
	p := packet.Packet{Version: packet.Version, Kind: packet.KindProbe, Token: sealed, Nonce: 1}
	data, err := packet.Encode(p)
	require.NoError(t, err)
	caller := netip.MustParseAddrPort("127.0.0.1:5000")
	var byEngine packet.Envelope
	for _, a := range b.engine.Handle(b.now, instance.PacketReceived{From: caller, Packet: p, Data: data}) {
		if sent, is := a.(instance.SendEnvelope); is && len(sent.Envelope.Data) > 0 {
			byEngine = sent.Envelope
		}
	}
	var byRouter packet.Envelope
	b.router.FillEnvelope(&byRouter, caller, data)
	byRouter.Revision, byRouter.WatchesPlatform = byEngine.Revision, byEngine.WatchesPlatform // only used in heartbeats
	require.Equal(t, byEngine, byRouter)
}

// Guards against too few or too many watchers: all instances must select the same three, and
// another must replace one that dies.
func TestThreeInstancesWatchThePlatform(t *testing.T) {
	const members = 8
	watchers := map[int]bool{}
	var benches []*engineBench
	for self := range members {
		b := newBench(t, self, members)
		for n := range members {
			b.watchers[n] = true
		}
		b.advance(10 * clock.Second)
		watchers[self] = b.watching
		benches = append(benches, b)
	}
	count := func() (n int) {
		for _, watches := range watchers {
			if watches {
				n++
			}
		}
		return n
	}
	require.Equal(t, 3, count())

	dead := 0
	for !watchers[dead] {
		dead++
	}
	for self, b := range benches {
		b.silent[dead] = true
		b.advance(10 * clock.Second)
		watchers[self] = b.watching && self != dead
	}
	require.Equal(t, 3, count(), "another follows the dead one")
}

// Guards against outdated records when the watchers are alive but can't reach the platform: the
// others must watch it themselves within watcherTimeout and a tick.
func TestInstanceWatchesWhenItHearsOfNoWatcher(t *testing.T) {
	for self := range 8 {
		b := newBench(t, self, 8)
		for n := range 8 {
			b.watchers[n] = true
		}
		b.advance(10 * clock.Second)
		clear(b.watchers) // the watchers are alive but can't reach the platform
		b.advance(4*clock.Second + 2*instance.TickPeriod)
		require.True(t, b.watching, "instance %d", self)
	}
}

func TestInstanceThatDoesNotWatchFetchesNewerRecordsAtOnce(t *testing.T) {
	var b *engineBench
	self := 0
	for ; b == nil || b.watching; self++ {
		b = newBench(t, self, 8)
		for n := range 8 {
			b.watchers[n] = true
		}
		b.advance(10 * clock.Second)
	}
	first, second := self%8, (self+1)%8 // neither is this instance
	held := record.Object{Kind: record.KindService, Name: "orders", Revision: 5, Schema: record.Schema2, Body: []byte("{}")}
	b.handle(instance.ObjectsReceived{Objects: []record.Object{held}, Revision: 5, Source: "entry-9"})
	b.handle(instance.EnvelopeReceived{Envelope: b.heartbeat(first, 1, false, 6)})
	require.NotNil(t, b.fetch)
	require.EqualValues(t, 5, b.fetch.SinceRevision)
	b.fetch = nil
	b.handle(instance.EnvelopeReceived{Envelope: b.heartbeat(second, 1, false, 6)})
	require.Nil(t, b.fetch, "asked already")
	b.advance(3 * clock.Second)
	b.handle(instance.EnvelopeReceived{Envelope: b.heartbeat(second, 2, false, 6)})
	require.NotNil(t, b.fetch, "the answer did not come")
}

// Guards against late detection of dead instances in large data centres: each of 67 instances
// must get a heartbeat within heartbeatCycle and a margin.
func TestHeartbeatsReachEveryInstanceWithinTheCycle(t *testing.T) {
	b := newBench(t, 0, 67)
	b.advance(10 * clock.Second)
	clear(b.heartbeats)
	b.advance(4500 * clock.Millisecond)
	require.Len(t, b.heartbeats, 66)
}

// A restarted instance knows nothing of records that were deleted before its start. The list of
// another instance that is behind the platform's must not bring one back.
func TestDeletedRecordIsNotRestoredByAnOlderList(t *testing.T) {
	b := newBench(t, 0, 2)
	object := func(name string, revision uint64) record.Object {
		return record.Object{Kind: record.KindService, Name: name, Revision: revision, Schema: record.Schema2, Body: []byte("{}")}
	}
	names := func() (list []string) {
		objects, _ := b.engine.Objects()
		for _, o := range objects {
			if !o.Deleted {
				list = append(list, o.Name)
			}
		}
		return list
	}
	b.handle(instance.ObjectsReceived{Objects: []record.Object{object("orders", 40)}, Revision: 100, FullList: true, Source: instance.SourcePlatform})
	old := []record.Object{object("orders", 40), object("withdrawn", 45)}
	b.handle(instance.ObjectsReceived{Objects: old, Revision: 50, FullList: true, Source: "entry-1"})
	require.Equal(t, []string{"orders"}, names())
	b.handle(instance.ObjectsReceived{Objects: []record.Object{object("gallery", 101)}, Revision: 101, Source: "entry-1"})
	require.Equal(t, []string{"orders", "gallery"}, names())
	b.handle(instance.ObjectsReceived{Objects: old, Revision: 50, FullList: true, Source: instance.SourcePlatform})
	require.Equal(t, []string{"orders", "gallery"}, names(), "from a replica of the platform that is behind")
}
