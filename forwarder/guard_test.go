package forwarder

import (
	"net"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/steering"
)

// A panic must end only the packet, message or call that caused it. The lock must be free
// afterwards.
func TestPanicEndsOnlyItsUnit(t *testing.T) {
	s, d := newReadyDeployment(t, 93)
	at, _ := steering.AddrPortFromNetip(s.addresses["desk"])
	withoutShares := &steering.Configuration{Version: 3, Revision: 3, Routes: map[steering.AddrPort]steering.Route{at: {Name: "desk"}}}
	d.handle(steering.ConfigurationRead{Configuration: withoutShares})
	for range 3 {
		s.sendOpening([]string{"desk", "f1"})
	}
	s.eventually(func() bool { return d.metrics.panics.Count() == 3 })
	s.eventually(func() bool { return strings.Contains(s.daemons["f1"].log.String(), `"task":"packet"`) })
	s.publish(nil)
	s.waitVersion([]string{"4"})
	s.open([]string{"c1", "desk"})
	s.request([]string{"c1", "desk"})
	s.check()
}

// A message of another instance with a route without services made the process panic with
// each packet of that route. It must be rejected, like others with values out of their limits.
func TestOddMessagesAreRejected(t *testing.T) {
	s, d := newReadyDeployment(t, 94)
	d.mu.Lock()
	state := d.fleet.RecordState(1)
	from := d.engine.Configuration().Revision
	d.mu.Unlock()
	sender := fleet.Member{Name: "other", Centre: "here", Address: d.self.Address}
	at, _ := steering.AddrPortFromNetip(s.addresses["desk"])
	delta := func(r steering.Route) fleet.Message {
		return fleet.ConfigurationChange{State: state, Delta: steering.Delta{
			From: from, Revision: from + 1, Version: 99, Set: []steering.RouteEntry{{Destination: at, Route: r}},
		}}
	}
	share := steering.Share{Service: "desk", Weight: 1 << 62}
	old := state
	old.EndpointsAge = -1 << 62
	messages := []fleet.Message{
		delta(steering.Route{Name: "desk"}),
		delta(steering.Route{Name: "desk", Shares: []steering.Share{share, share}}),
		fleet.Heartbeat{State: old},
		fleet.EndpointTallies{Tallies: []steering.Tally{{Token: 0xa1, Small: 1 << 62}}},
		fleet.EndpointTallies{Tallies: []steering.Tally{{Token: 0xa1, UnansweredAges: []clock.Millis{-1 << 62}}}},
	}
	before := d.metrics.malformed.Count()
	conn, err := net.Dial("udp4", d.self.Address.String())
	require.NoError(t, err)
	defer conn.Close()
	for _, m := range messages {
		data, err := fleet.Encode(sender, m)
		require.NoError(t, err)
		_, err = conn.Write(data)
		require.NoError(t, err)
	}
	_, err = conn.Write(nestedCBOR())
	require.NoError(t, err)
	s.eventually(func() bool { return d.metrics.malformed.Count() == before+int64(len(messages))+1 })
	require.EqualValues(t, 2, d.configurationVersion())
	s.open([]string{"c1", "desk"})
	s.request([]string{"c1", "desk"})
	require.Zero(t, d.metrics.panics.Count())
}

// nestedCBOR returns a message with an array that is nested 1,000 deep.
func nestedCBOR() []byte {
	data, err := cbor.Marshal("from")
	if err != nil {
		panic(err) // a fault of the test
	}
	data = append([]byte{0xa1}, data...)
	for range 1000 {
		data = append(data, 0x81)
	}
	return append(data, 0)
}

// An odd endpoint among the records of a member must cost no other.
func TestOddRecordsOfMembers(t *testing.T) {
	good := steering.Endpoint{ID: "i-1", Number: 1, Revision: 3, Service: "desk", Centre: "here", Slots: 2, Address: steering.AddrPort{Address: 1, Port: 1}}
	odd := good
	odd.ID, odd.Slots = "i-2", 1<<62
	r := peerRecords{Configuration: &steering.Configuration{Routes: map[steering.AddrPort]steering.Route{}}, Endpoints: []steering.Endpoint{odd, good}}
	require.NoError(t, r.check())
	require.Equal(t, []steering.Endpoint{good}, r.Endpoints)
	require.Len(t, r.Unreadable, 1)
	require.Equal(t, "i-2", r.Unreadable[0].Endpoint.ID)
	r.Configuration.Routes[steering.AddrPort{}] = steering.Route{Name: "r"}
	require.ErrorIs(t, r.check(), steering.ErrConfiguration)
	r.Configuration = nil
	require.ErrorIs(t, r.check(), steering.ErrConfiguration)
	r.State.ConfigurationAge = -1
	require.ErrorIs(t, r.check(), fleet.ErrMessage)
}
