package token

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

const issued = 1_700_000_000_000 * clock.Millisecond

var testToken = Token{
	Flow: 1, Owner: 2, Incarnation: 3, Centre: 4, Service: 5, Backend: 6, Issued: issued,
}

// keyRings holds the secrets of every key ring the data files name.
var keyRings = map[string]map[uint8][]byte{
	"home":     {1: secret('a')},
	"rotated":  {1: secret('a'), 2: secret('b')},
	"replaced": {2: secret('b')},
	"foreign":  {1: secret('x')},
}

var sentinels = script.Sentinels{
	"malformed": ErrMalformed,
	"forged":    ErrForged,
	"expired":   ErrExpired,
}

func secret(letter byte) []byte { return bytes.Repeat([]byte{letter}, 32) }

type openCase struct {
	Name string
	Seal struct {
		Ring string
		Key  uint8
	}
	Ring    string
	Age     clock.Millis
	Flip    *int
	Version *byte
	Keep    *int
	Error   string
	Text    string
}

func newKeyRing(t *testing.T, name string, current uint8) *Keys {
	t.Helper()
	require.Contains(t, keyRings, name)
	keys, err := NewKeys(current, keyRings[name])
	require.NoError(t, err)
	return keys
}

// anyKeyNumber returns the number of some key in the ring. Open does not depend
// on the current key, so any will do.
func anyKeyNumber(name string) uint8 {
	for number := range keyRings[name] {
		return number
	}
	return 0
}

func (c openCase) corrupt(sealed []byte) []byte {
	if c.Flip != nil {
		sealed[*c.Flip] ^= 1
	}
	if c.Version != nil {
		sealed[0] = *c.Version
	}
	if c.Keep != nil {
		longer := append(sealed, make([]byte, *c.Keep)...)
		sealed = longer[:*c.Keep]
	}
	return sealed
}

func TestOpen(t *testing.T) {
	var cases []openCase
	script.Read(t, "testdata/open.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			sealed := c.corrupt(newKeyRing(t, c.Seal.Ring, c.Seal.Key).Seal(testToken))
			opened, err := newKeyRing(t, c.Ring, anyKeyNumber(c.Ring)).Open(sealed, issued+c.Age)
			sentinels.Check(t, err, c.Error, c.Text)
			if err != nil {
				require.Zero(t, opened, "Open returned fields of a rejected token")
				return
			}
			require.Equal(t, testToken, opened)
		})
	}
}

func TestNewKeys(t *testing.T) {
	var cases []struct {
		Name    string
		Current uint8
		Sizes   map[uint8]int
		Text    string
	}
	script.Read(t, "testdata/keys.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			secrets := make(map[uint8][]byte)
			for number, size := range c.Sizes {
				secrets[number] = make([]byte, size)
			}
			_, err := NewKeys(c.Current, secrets)
			if c.Text == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrKey)
			require.ErrorContains(t, err, c.Text)
		})
	}
}

func TestOpenRejectsEveryFlippedBit(t *testing.T) {
	keys := newKeyRing(t, "rotated", 1)
	for bit := range Size * 8 {
		sealed := keys.Seal(testToken)
		sealed[bit/8] ^= 1 << (bit % 8)
		_, err := keys.Open(sealed, issued)
		require.Error(t, err, "bit %d", bit)
	}
}

func TestPeekReturnsTheSealedToken(t *testing.T) {
	peeked, err := Peek(newKeyRing(t, "home", 1).Seal(testToken))
	require.NoError(t, err)
	require.Equal(t, testToken, peeked)
}

func TestOpenDoesNotModifyItsInput(t *testing.T) {
	keys := newKeyRing(t, "home", 1)
	sealed := keys.Seal(testToken)
	buffer := append(make([]byte, 0, 2*Size), sealed...)
	_, err := keys.Open(buffer, issued)
	require.NoError(t, err)
	require.Equal(t, sealed, buffer)
	require.Equal(t, make([]byte, Size), buffer[Size:2*Size], "Open wrote beyond the token")
}

func TestNewKeysCopiesTheSecrets(t *testing.T) {
	settings := map[uint8][]byte{1: secret('a')}
	keys, err := NewKeys(1, settings)
	require.NoError(t, err)
	clear(settings[1])
	_, err = newKeyRing(t, "home", 1).Open(keys.Seal(testToken), issued)
	require.NoError(t, err)
}

func TestKeysAreSafeForConcurrentUse(t *testing.T) {
	keys := newKeyRing(t, "home", 1)
	for worker := range 4 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			want := testToken
			want.Flow = uint64(worker)
			for range 200 {
				opened, err := keys.Open(keys.Seal(want), issued)
				require.NoError(t, err)
				require.Equal(t, want, opened)
			}
		})
	}
}
