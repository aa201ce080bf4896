package packet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
)

// DecodeHeader must accept every datagram that Decode accepts and return the same
// header. It must reject datagrams that are too large, that are not a well-formed
// map, or whose version or kind is unknown.
func TestDecodeHeader(t *testing.T) {
	var cases []packetCase
	script.Read(t, "testdata/decode.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			data := c.datagram(t)
			p, err := Decode(data)
			h := Header{Token: []byte("previous token")}
			headerErr := DecodeHeader(data, &h)
			if err == nil {
				require.NoError(t, headerErr)
				require.Equal(t, p.Kind, h.Kind)
				require.Equal(t, p.Token, append([]byte(nil), h.Token...))
			}
			if c.Error == "version" || c.Error == "large" {
				require.ErrorIs(t, headerErr, sentinels[c.Error])
			}
		})
	}
	var h Header
	for _, data := range [][]byte{nil, {0xff}, {0xa1, 0x01}, {0xa2, 0x01, 0x01, 0x02, 0x00}, {0xa2, 0x01, 0x01, 0x02, 0x18, 0x63}} {
		require.ErrorIs(t, DecodeHeader(data, &h), ErrMalformed, "%x", data)
	}
}

// BenchmarkHeader measures DecodeHeader.
func BenchmarkHeader(b *testing.B) {
	packets := benchPackets(b)
	for _, name := range []string{"part", "ack"} {
		p := packets[name]
		data := cborEncode(&p)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var h Header
			for b.Loop() {
				if err := DecodeHeader(data, &h); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
