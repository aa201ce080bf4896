package packet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// requireStable checks that p survives encoding and decoding.
func requireStable(t *testing.T, p Packet) {
	t.Helper()
	data, err := Encode(p)
	require.NoError(t, err)
	again, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, withoutEmpty(p), again)
}

// withoutEmpty returns p with empty fields as decoding an encoded packet has
// them: the encoder leaves empty byte strings out.
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

func requireStableEnvelope(t *testing.T, e Envelope) {
	t.Helper()
	data, err := EncodeEnvelope(e)
	require.NoError(t, err)
	again, err := DecodeEnvelope(data)
	require.NoError(t, err)
	e.Data, e.Loads = nilIfEmpty(e.Data), nilIfEmpty(e.Loads)
	require.Equal(t, e, again)
}

// maxAllocated bounds the bytes a decoder may hold for a datagram beyond the
// datagram's own length: the entries of the largest list it accepts.
const maxAllocated = maxFields * 32

func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Decode(data)
		if err != nil {
			sentinels.CheckAny(t, err)
			require.Zero(t, p)
			return
		}
		require.LessOrEqual(t, cap(p.Token)+cap(p.Payload)+len(p.Service), len(data)+maxAllocated)
		require.LessOrEqual(t, len(p.Payload), MaxPayload)
		requireStable(t, p)
	})
}

func FuzzDecodeEnvelope(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeEnvelope(data)
		if err != nil {
			sentinels.CheckAny(t, err)
			require.Zero(t, e)
			return
		}
		require.LessOrEqual(t, cap(e.Data), len(data)+maxAllocated)
		require.LessOrEqual(t, len(e.Loads), maxLoads)
		requireStableEnvelope(t, e)
	})
}
