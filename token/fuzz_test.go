package token

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
)

// FuzzOpen checks that Open accepts only tokens with a valid MAC, and that the
// fields of any well-formed input survive Seal and Open.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, sealed []byte, now int64) {
		keys := newKeyRing(t, "rotated", 2)
		opened, err := keys.Open(sealed, clock.Millis(now))
		if err == nil {
			require.Equal(t, keys.appendMAC(sealed[:bodySize:bodySize], sealed[1]), sealed)
		} else {
			sentinels.CheckAny(t, err)
			require.Zero(t, opened)
		}
		want, err := Peek(sealed)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		reopened, err := keys.Open(keys.Seal(want), want.Issued)
		require.NoError(t, err)
		require.Equal(t, want, reopened)
	})
}
