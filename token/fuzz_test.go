package token

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
)

// FuzzOpen opens arbitrary bytes, and puts their words into a token of our own.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, sealed []byte, now int64) {
		keys := ringOf(t, "rotated", 2)
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
		again, err := keys.Open(keys.Seal(want), want.Issued)
		require.NoError(t, err)
		require.Equal(t, want, again)
	})
}
