package packet

import (
	"net/netip"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/token"
)

// The benchmarks below compare the CBOR codec of this package with the protobuf
// wire format, for the same fields with the same numbers. The protobuf codec is
// written by hand with protowire. It uses neither reflection nor generated
// structs, so its cost is a lower bound for protobuf.

const protoCaller, protoHops, protoData = 3, 4, 5

func appendUint(data []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return data
	}
	data = protowire.AppendTag(data, field, protowire.VarintType)
	return protowire.AppendVarint(data, value)
}

func appendBytes(data []byte, field protowire.Number, value []byte) []byte {
	if len(value) == 0 {
		return data
	}
	data = protowire.AppendTag(data, field, protowire.BytesType)
	return protowire.AppendBytes(data, value)
}

func protoEncode(p *Packet) []byte {
	data := make([]byte, 0, len(p.Token)+len(p.Service)+len(p.Payload)+64)
	data = appendUint(data, 1, uint64(p.Version))
	data = appendUint(data, 2, uint64(p.Kind))
	data = appendBytes(data, 3, p.Token)
	data = appendBytes(data, 4, []byte(p.Service))
	data = appendUint(data, 5, p.Request)
	data = appendUint(data, 6, uint64(p.Part))
	data = appendUint(data, 7, uint64(p.Count))
	data = appendUint(data, 8, protowire.EncodeBool(p.Once))
	data = appendUint(data, 9, uint64(p.Attempt))
	data = appendUint(data, 10, uint64(p.Class))
	data = appendUint(data, 11, uint64(p.Deadline))
	data = appendUint(data, 12, p.Nonce)
	data = appendUint(data, 13, uint64(p.Reason))
	data = appendUint(data, 14, uint64(p.Status))
	data = appendUint(data, 15, uint64(p.Next))
	data = appendUint(data, 16, p.Mask)
	return appendBytes(data, 17, p.Payload)
}

// visitProtoFields calls visit for each field of a message, with the value as a
// number or as bytes.
func visitProtoFields(data []byte, visit func(field protowire.Number, number uint64, bytes []byte)) error {
	for len(data) > 0 {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return errors.Wrap(ErrMalformed, "tag")
		}
		data = data[n:]
		switch kind {
		case protowire.VarintType:
			number, m := protowire.ConsumeVarint(data)
			n = m
			visit(field, number, nil)
		case protowire.BytesType:
			bytes, m := protowire.ConsumeBytes(data)
			n = m
			visit(field, 0, bytes)
		default:
			n = protowire.ConsumeFieldValue(field, kind, data)
		}
		if n < 0 {
			return errors.Wrap(ErrMalformed, "value")
		}
		data = data[n:]
	}
	return nil
}

func (h *Header) setField(field protowire.Number, number uint64, bytes []byte) {
	switch field {
	case 1:
		h.Version = uint8(number)
	case 2:
		h.Kind = Kind(number)
	case 3:
		h.Token = append(h.Token, bytes...)
	}
}

func (p *Packet) setBytesField(field protowire.Number, bytes []byte) {
	switch field {
	case 3:
		p.Token = append([]byte(nil), bytes...)
	case 4:
		p.Service = string(bytes)
	case 17:
		p.Payload = append([]byte(nil), bytes...)
	}
}

func (p *Packet) setNumberField1To8(field protowire.Number, number uint64) {
	switch field {
	case 1:
		p.Version = uint8(number)
	case 2:
		p.Kind = Kind(number)
	case 5:
		p.Request = number
	case 6:
		p.Part = uint32(number)
	case 7:
		p.Count = uint32(number)
	case 8:
		p.Once = protowire.DecodeBool(number)
	}
}

func (p *Packet) setNumberField9To16(field protowire.Number, number uint64) {
	switch field {
	case 9:
		p.Attempt = uint8(number)
	case 10:
		p.Class = Class(number)
	case 11:
		p.Deadline = clock.Millis(number)
	case 12:
		p.Nonce = number
	case 13:
		p.Reason = Reason(number)
	case 14:
		p.Status = uint16(number)
	case 15:
		p.Next = uint32(number)
	case 16:
		p.Mask = number
	}
}

func protoDecode(data []byte) (Packet, error) {
	var p Packet
	err := visitProtoFields(data, func(field protowire.Number, number uint64, bytes []byte) {
		switch {
		case bytes != nil:
			p.setBytesField(field, bytes)
		case field <= 8:
			p.setNumberField1To8(field, number)
		default:
			p.setNumberField9To16(field, number)
		}
	})
	if err != nil {
		return Packet{}, err
	}
	return p, p.Check()
}

// codec is a wire format of packets.
type codec struct {
	name   string
	encode func(*Packet) []byte
	decode func([]byte) (Packet, error)
	// forward decodes the token of a datagram and returns the encoded envelope that
	// forwards the datagram.
	forward func(data []byte) []byte
}

var codecs = []codec{
	{"cbor", cborEncode, Decode, cborForward},
	{"protobuf", protoEncode, protoDecode, protoForward},
}

func cborEncode(p *Packet) []byte {
	data, err := Encode(*p)
	if err != nil {
		panic(err)
	}
	return data
}

var benchCaller = netip.MustParseAddrPort("10.0.0.1:5000")

func cborForward(data []byte) []byte {
	var h Header
	if err := DecodeHeader(data, &h); err != nil {
		panic(err)
	}
	t, err := token.Peek(h.Token)
	if err != nil {
		panic(err)
	}
	sent, err := EncodeEnvelope(Envelope{Sender: t.Owner, Incarnation: t.Incarnation, Caller: benchCaller, Hops: 1, Data: data})
	if err != nil {
		panic(err)
	}
	return sent
}

func protoForward(data []byte) []byte {
	var h Header
	if err := visitProtoFields(data, h.setField); err != nil {
		panic(err)
	}
	t, err := token.Peek(h.Token)
	if err != nil {
		panic(err)
	}
	caller, err := benchCaller.MarshalBinary()
	if err != nil {
		panic(err)
	}
	sent := make([]byte, 0, len(data)+64)
	sent = appendUint(sent, 1, t.Owner)
	sent = appendUint(sent, 2, t.Incarnation)
	sent = appendBytes(sent, protoCaller, caller)
	sent = appendUint(sent, protoHops, 1)
	return appendBytes(sent, protoData, data)
}

// benchToken returns a sealed token with values of a realistic size.
func benchToken(tb testing.TB) []byte {
	tb.Helper()
	keys, err := token.NewKeys(1, map[uint8][]byte{1: make([]byte, 32)})
	require.NoError(tb, err)
	return keys.Seal(token.Token{
		Flow: 1 << 63, Owner: token.Hash("entry-1"), Incarnation: 1_700_000_000_000, Centre: token.Hash("riga-1"),
		Service: token.Hash("orders"), Issued: 1_700_000_000_000,
	})
}

func benchPackets(tb testing.TB) map[string]Packet {
	tb.Helper()
	sealed := benchToken(tb)
	return map[string]Packet{
		"part": {
			Version: Version, Kind: KindPart, Token: sealed, Request: 7, Part: 40, Count: 200, Once: true, Class: ClassShort,
			Deadline: 9500, Payload: make([]byte, MaxPayload),
		},
		"ack": {Version: Version, Kind: KindAck, Token: sealed, Request: 7, Next: 40, Count: 200, Mask: 0b1011},
	}
}

func TestCodecsCarryTheSameFields(t *testing.T) {
	for name, p := range benchPackets(t) {
		for _, c := range codecs {
			got, err := c.decode(c.encode(&p))
			require.NoError(t, err, "%s %s", name, c.name)
			require.Equal(t, p, got, "%s %s", name, c.name)
		}
	}
}

// measure runs work as a sub-benchmark and reports the size of its datagram, in
// bytes.
func measure(b *testing.B, name string, size int, work func() error) {
	b.Run(name, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := work(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(size), "wire-bytes")
	})
}

// BenchmarkCodec measures encoding and decoding of a packet with either codec.
func BenchmarkCodec(b *testing.B) {
	packets := benchPackets(b)
	for _, name := range []string{"part", "ack"} {
		p := packets[name]
		for _, c := range codecs {
			data := c.encode(&p)
			measure(b, name+"/encode/"+c.name, len(data), func() error {
				c.encode(&p)
				return nil
			})
			measure(b, name+"/decode/"+c.name, len(data), func() error {
				_, err := c.decode(data)
				return err
			})
		}
	}
}

// BenchmarkForward measures how an instance forwards a packet of a flow that
// another instance owns: it decodes the header, decodes the token and encodes the
// envelope. Reading and writing sockets and checking the MAC are left out.
func BenchmarkForward(b *testing.B) {
	p := benchPackets(b)["part"]
	for _, c := range codecs {
		data := c.encode(&p)
		measure(b, c.name, len(c.forward(data)), func() error {
			c.forward(data)
			return nil
		})
	}
}

// BenchmarkSeal measures token.Keys.Open. An instance calls it for each packet, unless
// the packet has the current token of a flow that the instance has in memory.
func BenchmarkSeal(b *testing.B) {
	keys, err := token.NewKeys(1, map[uint8][]byte{1: make([]byte, 32)})
	require.NoError(b, err)
	sealed := benchToken(b)
	measure(b, "open", len(sealed), func() error {
		_, err := keys.Open(sealed, 1_700_000_000_000)
		return err
	})
}
