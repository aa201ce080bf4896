package forwarder

import (
	"bytes"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// A packet that shows that its endpoint may have ended must start a probe at once. With a
// probe at the next tick, consumers use up their attempts before the result is known.
func TestPacketTriggersProbeAtOnce(t *testing.T) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	defer packets.Close()
	d := &Daemon{log: newEventLog(&bytes.Buffer{}), watchGate: daemon.NewGate(true), packetConn: packets}
	d.engine = steering.NewEngine(steering.Settings{Centre: "here"})
	d.fleet = fleet.NewEngine(fleet.Settings{RecordBound: 3 * clock.Second}, clock.Now())
	d.metrics = newDaemonMetrics(d)
	route := steering.AddrPort{Address: 1, Port: 443}
	d.engine.Handle(clock.Now(), steering.ConfigurationRead{Configuration: &steering.Configuration{
		Version: 1, Revision: 1, Routes: map[steering.AddrPort]steering.Route{route: {Shares: []steering.Share{{Service: "desk", Weight: 1}}}},
	}})
	at, _ := steering.AddrPortFromNetip(packets.LocalAddr().(*net.UDPAddr).AddrPort()) // nothing listens for TCP connections there
	d.engine.Handle(clock.Now(), steering.EndpointsListed{Revision: 2, Endpoints: []steering.Endpoint{
		{ID: "i-1", Number: 1, Revision: 1, Service: "desk", Address: at, Centre: "here", Slots: 2, Incarnation: 1},
	}})
	p := steering.Packet{Consumer: steering.AddrPort{Address: 9, Port: 9}, Destination: route, Flags: steering.Acknowledge, Sequence: 1, Ack: 1, Token: 1, Length: 10}
	data := make([]byte, platform.EndpointPrefixSize+platform.HeaderSize+10)
	var reset [platform.HeaderSize]byte
	d.forward(&p, data, clock.Now(), &reset)
	d.goroutines.Wait()
	require.Zero(t, d.metrics.probes.Count())
	time.Sleep(200 * time.Millisecond)
	d.forward(&p, data, clock.Now(), &reset) // a retransmission, because the data was not acknowledged
	d.goroutines.Wait()
	require.Equal(t, int64(1), d.metrics.probes.Count())
}

// While another goroutine may pass records on, none are confirmed whose change isn't applied.
func TestConfirmationIsNeverAheadOfItsChange(t *testing.T) {
	d := &Daemon{log: newEventLog(&bytes.Buffer{}), watchGate: daemon.NewGate(true)}
	d.engine = steering.NewEngine(steering.Settings{Centre: "here"})
	d.fleet = fleet.NewEngine(fleet.Settings{Self: fleet.Member{Name: "self", Centre: "here"}, RecordBound: 3 * clock.Second}, clock.Now())
	d.metrics = newDaemonMetrics(d)
	sender := fleet.Member{Name: "other", Centre: "here", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	p := steering.Endpoint{ID: "i-1", Number: 1, Revision: 1, Service: "desk", Centre: "here", Slots: 2, Address: steering.AddrPort{Address: 1, Port: 80}}
	state := fleet.RecordState{ConfigurationRevision: 1, ConfirmedRevision: 1, ChangeRevision: 1, EndpointsRevision: 1}
	d.engine.Handle(clock.Now(), steering.EndpointsListed{Endpoints: []steering.Endpoint{p}, Revision: 1})
	d.fleet.Handle(clock.Now(), fleet.RecordsFetched{State: state})
	var done sync.WaitGroup
	var ended atomic.Bool
	done.Go(func() {
		for !ended.Load() {
			d.locked(func() {
				confirmed := d.fleet.RecordState(clock.Now()).ChangeRevision
				assert.GreaterOrEqual(t, d.engine.Endpoints()[0].Revision, confirmed, "the latest change of the confirmed records")
			})
		}
	})
	for range 5000 {
		m := fleet.EndpointChanges{Since: state.EndpointsRevision}
		p.Revision, p.Draining = p.Revision+1, !p.Draining
		state.ChangeRevision, state.EndpointsRevision = p.Revision, p.Revision
		m.Changes, m.State = []steering.EndpointChange{{Endpoint: p}}, state
		d.handleFleet(fleet.MessageReceived{From: sender, Message: m})
	}
	ended.Store(true)
	done.Wait()
}

// Opening packets wait for the evacuation orders too. A heartbeat may bring them, or nobody in time.
func TestQueuedOpeningGoesOnWithTheOrders(t *testing.T) {
	sender := fleet.Member{Name: "other", Centre: "here", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	heartbeat := fleet.Heartbeat{Evacuations: &fleet.EvacuationState{Orders: evacuation.Orders{Revision: 2}}}
	for name, end := range map[string]func(*Daemon){
		"heartbeat": func(d *Daemon) { d.handleFleet(fleet.MessageReceived{From: sender, Message: heartbeat}) },
		"nobody":    func(d *Daemon) { d.handle(steering.Ticked{}) },
	} {
		d := &Daemon{log: newEventLog(&bytes.Buffer{}), watchGate: daemon.NewGate(true)}
		d.engine = steering.NewEngine(steering.Settings{Centre: "here", Evacuations: true})
		d.fleet = fleet.NewEngine(fleet.Settings{Self: fleet.Member{Name: "self", Centre: "here"}, RecordBound: 3 * clock.Second, Evacuations: true}, clock.Now())
		d.metrics = newDaemonMetrics(d)
		opening := make([]byte, platform.EndpointPrefixSize+platform.HeaderSize)
		opening[platform.EndpointPrefixSize+10] = 16
		d.queue.add(clock.Now()-300*clock.Millisecond, opening)
		d.engine.Handle(clock.Now(), steering.ConfigurationRead{Configuration: &steering.Configuration{Version: 1, Revision: 1}})
		d.engine.Handle(clock.Now(), steering.EndpointsListed{Revision: 2})
		d.engine.Handle(clock.Now()-2*clock.Second, steering.Ticked{})
		d.forwardQueued()
		require.Len(t, d.queue.packets, 1, name)
		end(d)
		require.Empty(t, d.queue.packets, name)
		dropped := d.metrics.decisions[steering.Drop]
		require.EqualValues(t, 1, dropped[steering.ReasonStaleRoute].Count()+dropped[steering.ReasonNoRoute].Count(), name)
	}
}

// By the time the first records are known, a copy may have opened the flow of a queued opening packet.
func TestQueuedOpeningThatWaitedDoesNotMoveAnOpenFlow(t *testing.T) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	defer packets.Close()
	d := &Daemon{log: newEventLog(&bytes.Buffer{}), watchGate: daemon.NewGate(true), packetConn: packets}
	d.engine = steering.NewEngine(steering.Settings{Centre: "here"})
	d.fleet = fleet.NewEngine(fleet.Settings{RecordBound: 3 * clock.Second}, clock.Now())
	d.metrics = newDaemonMetrics(d)
	route := steering.AddrPort{Address: 1, Port: 443}
	at, _ := steering.AddrPortFromNetip(packets.LocalAddr().(*net.UDPAddr).AddrPort())
	consumer := netip.MustParseAddrPort("127.0.0.9:9")
	from, _ := steering.AddrPortFromNetip(consumer)
	opening := make([]byte, platform.EndpointPrefixSize+platform.HeaderSize)
	header := opening[platform.EndpointPrefixSize:]
	header[10] = 16 // an opening packet
	binary.BigEndian.PutUint16(header[12:], from.Port)
	binary.BigEndian.PutUint32(header[14:], from.Address)
	binary.BigEndian.PutUint16(header[18:], route.Port)
	binary.BigEndian.PutUint32(header[20:], route.Address)
	d.queue.add(clock.Now()-400*clock.Millisecond, opening)
	d.engine.Handle(clock.Now(), steering.ConfigurationRead{Configuration: &steering.Configuration{
		Version: 1, Revision: 1, Routes: map[steering.AddrPort]steering.Route{route: {Shares: []steering.Share{{Service: "desk", Weight: 1}}}},
	}})
	d.engine.Handle(clock.Now(), steering.EndpointsListed{Revision: 2, Endpoints: []steering.Endpoint{
		{ID: "i-1", Number: 1, Revision: 1, Service: "desk", Address: at, Centre: "here", Slots: 2, Incarnation: 1},
	}})
	p := steering.Packet{Consumer: from, Destination: route, Flags: steering.Acknowledge, Sequence: 1, Ack: 1, Token: 1}
	require.Equal(t, steering.Forward, d.engine.Steer(clock.Now(), &p).Verdict)
	d.forwardQueued()
	require.EqualValues(t, 1, d.metrics.decisions[steering.Drop][steering.ReasonLateCopy].Count())
	require.Zero(t, d.metrics.decisions[steering.Forward][steering.ReasonPlaced].Count())
}
