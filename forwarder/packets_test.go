package forwarder

import (
	"bytes"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// A packet that tells that its endpoint may have ended leads to a probe at once, not at
// the next tick: consumers use up their tries sooner.
func TestPacketsLeadToProbesAtOnce(t *testing.T) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	defer packets.Close()
	d := &Daemon{journal: newJournal(&bytes.Buffer{}), watching: daemon.NewGate(true), packets: packets}
	d.engine = steering.NewEngine(steering.Settings{Centre: "here"})
	d.fleet = fleet.NewEngine(fleet.Settings{RecordBound: 3 * clock.Second}, clock.Now())
	d.counts = newCounts(d)
	route := steering.AddrPort{Address: 1, Port: 443}
	d.engine.Handle(clock.Now(), steering.ConfigurationRead{Configuration: &steering.Configuration{
		Version: 1, Revision: 1, Routes: map[steering.AddrPort]steering.Route{route: {Shares: []steering.Share{{Service: "desk", Weight: 1}}}},
	}})
	at, _ := steering.AddrPortFromNetip(packets.LocalAddr().(*net.UDPAddr).AddrPort()) // nothing listens there for connections
	d.engine.Handle(clock.Now(), steering.EndpointsListed{Revision: 2, Endpoints: []steering.Endpoint{
		{ID: "i-1", Number: 1, Revision: 1, Service: "desk", Address: at, Centre: "here", Slots: 2, Incarnation: 1},
	}})
	p := steering.Packet{Consumer: steering.AddrPort{Address: 9, Port: 9}, Destination: route, Flags: steering.Acknowledge, Sequence: 1, Ack: 1, Token: 1, Length: 10}
	data := make([]byte, platform.EndpointPrefixSize+platform.HeaderSize+10)
	var reset [platform.HeaderSize]byte
	d.forward(&p, data, clock.Now(), &reset)
	d.work.Wait()
	require.Zero(t, d.counts.probes.Count())
	d.forward(&p, data, clock.Now(), &reset) // the same data again: it wasn't acknowledged
	d.work.Wait()
	require.Equal(t, int64(1), d.counts.probes.Count())
}
