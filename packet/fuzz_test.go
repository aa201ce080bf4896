package packet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// requireRoundTrip checks that decoding the encoded p returns p.
func requireRoundTrip(t *testing.T, p Packet) {
	t.Helper()
	data, err := Encode(p)
	require.NoError(t, err)
	decoded, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, withoutEmpty(p), decoded)
}

// withoutEmpty returns p with nil for empty byte strings, which the encoder
// leaves out.
func withoutEmpty(p Packet) Packet {
	p.Token, p.Payload = nilIfEmpty(p.Token), nilIfEmpty(p.Payload)
	return p
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

func requireEnvelopeRoundTrip(t *testing.T, e Envelope) {
	t.Helper()
	data, err := EncodeEnvelope(e)
	require.NoError(t, err)
	decoded, err := DecodeEnvelope(data)
	require.NoError(t, err)
	e.Data, e.Loads = nilIfEmpty(e.Data), nilIfEmpty(e.Loads)
	require.Equal(t, e, decoded)
}

// maxDecodedOverhead is the maximum number of bytes that a decoded packet may occupy
// beyond the length of its datagram. It covers the largest list accepted.
const maxDecodedOverhead = maxFields * 32

// FuzzDecode checks that an accepted packet survives a round trip and takes little
// more memory than its datagram, and that DecodeHeader agrees with Decode.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Decode(data)
		if err != nil {
			sentinels.CheckAny(t, err)
			require.Zero(t, p)
			return
		}
		var h Header
		require.NoError(t, DecodeHeader(data, &h), "DecodeHeader rejects a packet that Decode accepts")
		require.Equal(t, Header{Version: p.Version, Kind: p.Kind, Token: nilIfEmpty(p.Token)}, Header{Version: h.Version, Kind: h.Kind, Token: nilIfEmpty(h.Token)})
		require.LessOrEqual(t, cap(p.Token)+cap(p.Payload)+len(p.Service), len(data)+maxDecodedOverhead)
		require.LessOrEqual(t, len(p.Payload), MaxPayload)
		requireRoundTrip(t, p)
	})
}

// FuzzDecodeEnvelope checks that an accepted envelope survives a round trip and
// takes little more memory than its datagram.
func FuzzDecodeEnvelope(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeEnvelope(data)
		if err != nil {
			sentinels.CheckAny(t, err)
			require.Zero(t, e)
			return
		}
		require.LessOrEqual(t, cap(e.Data), len(data)+maxDecodedOverhead)
		require.LessOrEqual(t, len(e.Loads), maxLoads)
		requireEnvelopeRoundTrip(t, e)
	})
}
