package packet

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPacketRoundTrip(t *testing.T) {
	want := Packet{Version: Version, Kind: KindPart, Token: make([]byte, 74), Request: 9, Count: 1, Once: true, Deadline: 500, Payload: []byte("x")}
	data, err := Encode(want)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func TestLargestPacketFitsInEnvelope(t *testing.T) {
	p := Packet{Kind: KindPart, Token: make([]byte, 74), Request: 1 << 62, Part: MaxParts - 2, Count: MaxParts, Once: true, Attempt: 255, Class: ClassLong, Deadline: 600_000, Payload: make([]byte, MaxPayload)}
	data, err := Encode(p)
	require.NoError(t, err)
	e := Envelope{Sender: 1 << 63, Incarnation: 1 << 62, Caller: netip.MustParseAddrPort("[2001:db8::1]:65535"), Hops: 3, Data: data, Revision: 1 << 62}
	for range maxLoads {
		e.Loads = append(e.Loads, Load{Service: 1 << 63, IdleSlots: 60000, QueuedShort: 60000, Rate: 1 << 31})
	}
	sent, err := EncodeEnvelope(e)
	require.NoError(t, err)
	got, err := DecodeEnvelope(sent)
	require.NoError(t, err)
	require.Equal(t, e, got)
}

func TestHeartbeatIsSmall(t *testing.T) {
	data, err := EncodeEnvelope(Envelope{Sender: 1 << 63, Incarnation: 1 << 41, Heartbeat: 70_000, Revision: 3200})
	require.NoError(t, err)
	require.Less(t, len(data), 48)
	_, err = DecodeEnvelope(data)
	require.NoError(t, err)
}

func TestAssemblyJoinsPartsReceivedInAnyOrder(t *testing.T) {
	body := make([]byte, 10*MaxPayload+7)
	for i := range body {
		body[i] = byte(i * 31)
	}
	count := CountParts(len(body))
	a := NewAssembly(count)
	for _, p := range []uint32{3, 1, 0, 0, 10, 9, 8, 7, 2, 4, 6, 5} {
		a.Add(p, PartOf(body, p))
	}
	require.True(t, a.Done())
	require.Equal(t, body, a.Body())
}

func TestWindowTracksUnacknowledgedParts(t *testing.T) {
	w := Window{Count: 8}
	require.Equal(t, []uint32{0, 1, 2, 3}, w.NextUnsent(4))
	require.True(t, w.Update(1, 0b10)) // parts 0 and 3 were received
	require.Equal(t, []uint32{1, 2}, w.Unacknowledged())
	require.Equal(t, []uint32{1, 2}, w.Holes())
	require.False(t, w.Update(0, 0), "an outdated Ack changes nothing")
	require.True(t, w.Update(8, 0))
	require.True(t, w.Done())
}
