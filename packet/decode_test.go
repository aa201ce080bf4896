package packet

import (
	"encoding/hex"
	"maps"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
)

// Numbers of the fields that have a key of their own in the data files.
const (
	fieldVersion = 1
	fieldToken   = 3
	fieldService = 4
	fieldPayload = 17

	fieldSender      = 1
	fieldIncarnation = 2
	fieldCaller      = 3
	fieldData        = 5
	fieldLoads       = 10
)

var sentinels = script.Sentinels{
	"malformed": ErrMalformed,
	"version":   ErrVersion,
	"large":     ErrTooLarge,
}

// Expected holds the error that a case expects: the name of its sentinel and a
// text that it contains.
type Expected struct {
	Error string
	Text  string
}

func fromHex(t *testing.T, text string) []byte {
	t.Helper()
	data, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	require.NoError(t, err)
	return data
}

func fromFields(t *testing.T, fields map[int]any) []byte {
	t.Helper()
	data, err := cbor.Marshal(fields)
	require.NoError(t, err)
	return data
}

type packetCase struct {
	Name     string
	Bytes    *string
	Fields   map[int]any
	Token    int
	Service  int
	Payload  int
	Expected `yaml:",inline"`
}

func (c packetCase) datagram(t *testing.T) []byte {
	t.Helper()
	if c.Bytes != nil {
		return fromHex(t, *c.Bytes)
	}
	fields := map[int]any{fieldVersion: Version}
	if c.Token > 0 {
		fields[fieldToken] = make([]byte, c.Token)
	}
	if c.Service > 0 {
		fields[fieldService] = strings.Repeat("s", c.Service)
	}
	if c.Payload > 0 {
		fields[fieldPayload] = make([]byte, c.Payload)
	}
	maps.Copy(fields, c.Fields)
	return fromFields(t, fields)
}

func TestDecode(t *testing.T) {
	var cases []packetCase
	script.Read(t, "testdata/decode.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			p, err := Decode(c.datagram(t))
			sentinels.Check(t, err, c.Error, c.Text)
			if err != nil {
				require.Zero(t, p, "returned fields of a rejected datagram")
				return
			}
			requireRoundTrip(t, p)
		})
	}
}

type envelopeCase struct {
	Name     string
	Bytes    *string
	Fields   map[int]any
	Caller   string
	Data     int
	Loads    int
	Expected `yaml:",inline"`
}

func (c envelopeCase) datagram(t *testing.T) []byte {
	t.Helper()
	if c.Bytes != nil {
		return fromHex(t, *c.Bytes)
	}
	fields := map[int]any{fieldSender: 9, fieldIncarnation: 1}
	if c.Caller != "" {
		caller, err := netip.MustParseAddrPort(c.Caller).MarshalBinary()
		require.NoError(t, err)
		fields[fieldCaller] = caller
	}
	if c.Data > 0 {
		fields[fieldData] = make([]byte, c.Data)
	}
	if c.Loads > 0 {
		fields[fieldLoads] = make([]map[int]int, c.Loads)
	}
	maps.Copy(fields, c.Fields)
	return fromFields(t, fields)
}

func TestDecodeEnvelope(t *testing.T) {
	var cases []envelopeCase
	script.Read(t, "testdata/envelope.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			e, err := DecodeEnvelope(c.datagram(t))
			sentinels.Check(t, err, c.Error, c.Text)
			if err != nil {
				require.Zero(t, e, "returned fields of a rejected datagram")
				return
			}
			requireEnvelopeRoundTrip(t, e)
		})
	}
}

func TestEncodeRejectsOversizedDatagrams(t *testing.T) {
	_, err := Encode(Packet{Kind: KindPart, Request: 1, Count: 1, Payload: make([]byte, MaxDatagram)})
	require.ErrorIs(t, err, ErrTooLarge)
	require.ErrorContains(t, err, "part packet has 1213 bytes, at most 1200 are allowed")
	_, err = EncodeEnvelope(Envelope{Sender: 1, Data: make([]byte, MaxEnvelope)})
	require.ErrorIs(t, err, ErrTooLarge)
	require.ErrorContains(t, err, "at most 1500 are allowed")
}

func TestKindClassAndReasonNames(t *testing.T) {
	require.Len(t, kindNames, int(lastKind)+1)
	require.Len(t, classNames, int(lastClass)+1)
	require.Len(t, reasonNames, int(lastReason)+1)
	require.Equal(t, "kind(99)", Kind(99).String())
	require.Equal(t, "class(99)", Class(99).String())
	require.Equal(t, "reason(99)", Reason(99).String())
}

// maxAllocatedPerDatagram is the maximum number of bytes that decoding a datagram
// may allocate beyond its length: for fields, an error and its stack trace.
const maxAllocatedPerDatagram = 8 << 10

// requireBoundedAllocation checks that work allocates at most
// maxAllocatedPerDatagram bytes beyond size, averaged over some rounds.
func requireBoundedAllocation(t *testing.T, size int, work func()) {
	t.Helper()
	const rounds = 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rounds {
		work()
	}
	runtime.ReadMemStats(&after)
	require.LessOrEqual(t, (after.TotalAlloc-before.TotalAlloc)/rounds, uint64(size+maxAllocatedPerDatagram))
}

// Lengths and counts in a datagram can announce more than it contains. Decoding
// must not allocate memory for what is only announced.
func TestDecodeAllocationIsBoundedByDatagramSize(t *testing.T) {
	var packets []packetCase
	script.Read(t, "testdata/decode.yaml", &packets)
	for _, c := range packets {
		data := c.datagram(t)
		requireBoundedAllocation(t, len(data), func() { _, _ = Decode(data) })
	}
	var envelopes []envelopeCase
	script.Read(t, "testdata/envelope.yaml", &envelopes)
	for _, c := range envelopes {
		data := c.datagram(t)
		requireBoundedAllocation(t, len(data), func() { _, _ = DecodeEnvelope(data) })
	}
}
