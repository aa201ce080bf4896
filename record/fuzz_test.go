package record

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeObject decodes arbitrary bodies of every kind and schema. Encoding an
// accepted record must return a record that decodes to the same settings, and
// converting it to schema 1 must keep every setting or fail.
func FuzzDecodeObject(f *testing.F) {
	f.Fuzz(func(t *testing.T, kind, name string, schema int, body []byte) {
		o := Object{Kind: Kind(kind), Name: name, Schema: schema, Body: json.RawMessage(body)}
		if err := o.Check(); err != nil {
			sentinels.CheckAny(t, err)
			return
		}
		want, err := convert(o, Schema2)
		require.NoError(t, err)
		require.NoError(t, want.Check())
		converted, err := convert(want, Schema2)
		require.NoError(t, err)
		require.Equal(t, want, converted)
		requireSchema1Conversion(t, o, want)
	})
}

// requireSchema1Conversion checks that converting o to schema 1 either fails with
// ErrInvalid or keeps all settings: converted back, it must equal want.
func requireSchema1Conversion(t *testing.T, o, want Object) {
	t.Helper()
	inSchema1, err := convert(o, Schema1)
	if err != nil {
		require.ErrorIs(t, err, ErrInvalid)
		return
	}
	require.NoError(t, inSchema1.Check())
	convertedBack, err := convert(inSchema1, Schema2)
	require.NoError(t, err)
	require.Equal(t, want, convertedBack)
}
