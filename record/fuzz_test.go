package record

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeObject decodes arbitrary bodies of every kind and schema. An
// accepted record must survive encoding, and conversion to schema 1 must either
// keep all it says or be refused.
func FuzzDecodeObject(f *testing.F) {
	f.Fuzz(func(t *testing.T, kind, name string, schema int, body []byte) {
		o := Object{Kind: Kind(kind), Name: name, Schema: schema, Body: json.RawMessage(body)}
		if err := o.Check(); err != nil {
			sentinels.CheckAny(t, err)
			return
		}
		want, err := recode(o, Schema2)
		require.NoError(t, err)
		require.NoError(t, want.Check())
		again, err := recode(want, Schema2)
		require.NoError(t, err)
		require.Equal(t, want, again)
		requireConverts(t, o, want)
	})
}

// requireConverts checks that o in schema 1 says the same as want in schema 2.
func requireConverts(t *testing.T, o, want Object) {
	t.Helper()
	one, err := recode(o, Schema1)
	if err != nil {
		require.ErrorIs(t, err, ErrInvalid)
		return
	}
	require.NoError(t, one.Check())
	back, err := recode(one, Schema2)
	require.NoError(t, err)
	require.Equal(t, want, back)
}
