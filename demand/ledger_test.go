package demand

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// ledgerCase is one case of testdata/ledger.yaml.
type ledgerCase struct {
	Name    string         `yaml:"name"`
	Digests []ledgerDigest `yaml:"digests"`
	Now     clock.Millis   `yaml:"now"`
	Members int            `yaml:"members"`
	Age     clock.Millis   `yaml:"age"`
	Loads   [][5]int       `yaml:"loads"`
	Placed  int            `yaml:"placed"`
	Sheds   int            `yaml:"sheds"`
}

type ledgerDigest struct {
	From    string       `yaml:"from"`
	At      clock.Millis `yaml:"at"`
	Started clock.Millis `yaml:"started"`
	Number  uint64       `yaml:"number"`
	Loads   [][5]int     `yaml:"loads"`
	Placed  int          `yaml:"placed"`
	Sheds   int          `yaml:"sheds"`
}

func parseLoads(rows [][5]int) (list []Load) {
	for _, r := range rows {
		list = append(list, Load{Token: uint32(r[0]), Flows: r[1], Pending: r[2], Latency: clock.Millis(r[3]), Answers: r[4]})
	}
	return list
}

// TestLedger adds digests, encoded and decoded as on their way, and compares their sum.
func TestLedger(t *testing.T) {
	var cases []ledgerCase
	script.Read(t, "testdata/ledger.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var l Ledger
			for _, v := range c.Digests {
				for _, d := range NewDigest(v.Number, parseLoads(v.Loads), []Service{{Name: "desk", Placed: v.Placed, Sheds: v.Sheds}}) {
					var got Digest
					pass(t, &d, &got)
					require.NoError(t, got.Check())
					l.Add(v.At, v.From, v.Started, got)
				}
			}
			list := l.Summaries(c.Now)
			require.Len(t, list, 1)
			s := list[0]
			require.NoError(t, s.Check())
			require.Equal(t, c.Members, s.Members)
			require.Equal(t, c.Age, s.Age)
			require.Equal(t, parseLoads(c.Loads), []Load(s.Loads))
			placed, sheds := 0, 0
			for _, v := range s.Services {
				placed, sheds = placed+v.Placed, sheds+v.Sheds
			}
			require.Equal(t, []int{c.Placed, c.Sheds}, []int{placed, sheds})
		})
	}
}

// pass encodes a value and decodes it as another.
func pass(t *testing.T, from, to any) int {
	data, err := cbor.Marshal(from)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, to))
	return len(data)
}

// TestParts checks that many endpoints are divided into parts that fit into a message, and
// that a member which has one part less now isn't counted twice.
func TestParts(t *testing.T) {
	var l Ledger
	for number, endpoints := range []int{700, 300} {
		var loads []Load
		for i := range endpoints {
			loads = append(loads, Load{Token: uint32(i+1) * 2654435761, Flows: 2000, Pending: 20, Latency: 40, Answers: 300})
		}
		flows := 0
		for _, d := range NewDigest(uint64(number), loads, nil) {
			var got Digest
			require.Less(t, pass(t, &d, &got), 1000)
			require.NoError(t, got.Check())
			l.Add(10, "a", 1, got)
		}
		for _, s := range l.Summaries(20) {
			var got Summary
			require.Less(t, pass(t, &s, &got), 1000)
			require.NoError(t, got.Check())
			for _, v := range got.Loads {
				flows += v.Flows
			}
		}
		require.Equal(t, 2000*endpoints, flows)
	}
}

// TestOddReports checks that digests and summaries beyond their limits are rejected.
func TestOddReports(t *testing.T) {
	for i, d := range []Digest{
		{Parts: 0},
		{Parts: MaxParts + 1},
		{Parts: 2, Part: 2},
		{Parts: 2, Part: 0, Loads: Loads{{Token: 1}}},
		{Parts: 1, Loads: Loads{{Token: 2}, {Token: 1}}},
		{Parts: 1, Loads: Loads{{Token: 1}, {Token: 1}}},
		{Parts: 1, Loads: Loads{{Token: 1, Latency: MaxLatency + 1}}},
		{Parts: 1, Services: make([]Service, MaxServices+1)},
		{Parts: 1, Services: []Service{{Placed: -1}}},
		{Parts: 1, Services: []Service{{Sheds: MaxCount + 1}}},
	} {
		require.ErrorIs(t, d.Check(), ErrDemand, fmt.Sprint(i))
	}
	for i, s := range []Summary{{Parts: 1, Members: -1}, {Parts: 1, Age: -1}, {Parts: 1, Age: 2 * clock.Hour}, {Parts: 0}} {
		require.ErrorIs(t, s.Check(), ErrDemand, fmt.Sprint(i))
	}
	var l Loads
	for i, b := range [][]byte{{1}, {0, 0, 0, 1}, {0, 0, 0, 1, 1, 1, 1}, {0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0}, make([]byte, 8*(MaxLoads+1))} {
		require.ErrorIs(t, l.UnmarshalBinary(b), ErrDemand, fmt.Sprint(i))
	}
}
