package record

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
)

var sentinels = script.Sentinels{
	"invalid": ErrInvalid,
	"schema":  ErrSchema,
	"kind":    ErrKind,
}

// convert decodes o and encodes it in the given schema.
func convert(o Object, schema int) (Object, error) {
	switch o.Kind {
	case KindService:
		s, err := DecodeService(o)
		if err != nil {
			return Object{}, err
		}
		return EncodeService(s, schema)
	case KindBackend:
		b, err := DecodeBackend(o)
		if err != nil {
			return Object{}, err
		}
		return EncodeBackend(b, schema)
	case KindRule:
		r, err := DecodeRule(o)
		if err != nil {
			return Object{}, err
		}
		return EncodeRule(r, schema)
	}
	return convertSingleSchemaKind(o)
}

// convertSingleSchemaKind is convert for the kinds that exist in schema 2 only.
func convertSingleSchemaKind(o Object) (Object, error) {
	if o.Kind == KindInstance {
		i, err := DecodeInstance(o)
		if err != nil {
			return Object{}, err
		}
		return EncodeInstance(i)
	}
	s, err := DecodeStatus(o)
	if err != nil {
		return Object{}, err
	}
	return EncodeStatus(s)
}

func TestDecode(t *testing.T) {
	var cases []struct {
		Name   string
		Object *string
		Kind   Kind
		Schema int
		Body   string
		Want   string
		Error  string
		Text   string
	}
	script.Read(t, "testdata/decode.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			o := Object{Kind: c.Kind, Name: "orders", Schema: c.Schema, Revision: 3, Body: json.RawMessage(c.Body)}
			if c.Object != nil {
				o.Name = *c.Object
			}
			err := o.Check()
			sentinels.Check(t, err, c.Error, c.Text)
			if err != nil {
				return
			}
			got, err := convert(o, Schema2)
			require.NoError(t, err)
			require.Equal(t, o.Key(), got.Key())
			require.JSONEq(t, c.Want, string(got.Body))
		})
	}
}

func TestConvert(t *testing.T) {
	var cases []struct {
		Name string
		Kind Kind
		Two  string
		One  string
		Text string
	}
	script.Read(t, "testdata/convert.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			inSchema2 := Object{Kind: c.Kind, Name: "orders", Schema: Schema2, Body: json.RawMessage(c.Two)}
			inSchema1, err := convert(inSchema2, Schema1)
			if c.Text != "" {
				require.ErrorIs(t, err, ErrInvalid)
				require.ErrorContains(t, err, c.Text)
				return
			}
			require.NoError(t, err)
			require.Equal(t, Schema1, inSchema1.Schema)
			require.JSONEq(t, c.One, string(inSchema1.Body))
			want, err := convert(inSchema2, Schema2)
			require.NoError(t, err)
			convertedBack, err := convert(inSchema1, Schema2)
			require.NoError(t, err)
			require.Equal(t, want, convertedBack)
		})
	}
}

func TestEncodeRejectsUnknownSchemas(t *testing.T) {
	for _, schema := range []int{-1, 0, 3} {
		_, err := EncodeService(Service{Name: "s"}, schema)
		require.ErrorIs(t, err, ErrSchema)
		_, err = EncodeBackend(Backend{Name: "b", Endpoints: make([]Endpoint, 1)}, schema)
		require.ErrorIs(t, err, ErrSchema)
		_, err = EncodeRule(Rule{Name: "r"}, schema)
		require.ErrorIs(t, err, ErrSchema)
	}
}

func TestDecodersRejectOtherKinds(t *testing.T) {
	for _, kind := range Kinds {
		o := Object{Kind: kind, Name: "orders", Schema: Schema2, Body: json.RawMessage(`{}`)}
		decoders := map[Kind]func(Object) error{
			KindService:  func(o Object) error { _, err := DecodeService(o); return err },
			KindBackend:  func(o Object) error { _, err := DecodeBackend(o); return err },
			KindRule:     func(o Object) error { _, err := DecodeRule(o); return err },
			KindInstance: func(o Object) error { _, err := DecodeInstance(o); return err },
			KindStatus:   func(o Object) error { _, err := DecodeStatus(o); return err },
		}
		delete(decoders, kind)
		for _, decode := range decoders {
			require.ErrorIs(t, decode(o), ErrKind)
		}
	}
}

// objectOf returns an object whose body is v.
func objectOf(t *testing.T, kind Kind, v any) Object {
	t.Helper()
	body, err := json.Marshal(v)
	require.NoError(t, err)
	return Object{Kind: kind, Name: "orders", Schema: Schema2, Body: body}
}

func TestNumberOfEndpointsIsLimited(t *testing.T) {
	b := Backend{Service: "s", Centre: "c"}
	for port := range MaxEndpoints {
		b.Endpoints = append(b.Endpoints, Endpoint{Address: fmt.Sprintf("10.0.0.1:%d", 1000+port)})
	}
	o := objectOf(t, KindBackend, b)
	require.NoError(t, o.Check())
	b.Endpoints = append(b.Endpoints, Endpoint{Address: "10.0.0.2:80"})
	o = objectOf(t, KindBackend, b)
	require.ErrorIs(t, o.Check(), ErrInvalid)
	require.ErrorContains(t, o.Check(), `field "endpoints": value 257 is not within 1 to 256`)
}

func TestNumberOfConditionsIsLimited(t *testing.T) {
	o := objectOf(t, KindStatus, Status{Instance: "orders", Conditions: make([]Condition, maxConditions)})
	require.NoError(t, o.Check())
	o = objectOf(t, KindStatus, Status{Instance: "orders", Conditions: make([]Condition, maxConditions+1)})
	require.ErrorIs(t, o.Check(), ErrInvalid)
	require.ErrorContains(t, o.Check(), `field "conditions": value 1001 is more than 1000`)
}

func TestBodySizeIsLimited(t *testing.T) {
	body := []byte(`{"queue":1` + strings.Repeat(" ", MaxBody-11) + `}`)
	require.Len(t, body, MaxBody)
	o := Object{Kind: KindService, Name: "orders", Schema: Schema2, Body: body}
	require.NoError(t, o.Check())
	o.Body = append(body, ' ')
	require.ErrorIs(t, o.Check(), ErrInvalid)
	require.ErrorContains(t, o.Check(), `field "body": value 1048577 is larger than 1048576 bytes`)
}

func TestDeletedObjectsNeedNoBody(t *testing.T) {
	o := Object{Kind: KindService, Name: "orders", Deleted: true}
	require.NoError(t, o.Check())
	o.Name = "no name"
	require.ErrorIs(t, o.Check(), ErrInvalid)
}

func TestKnownKinds(t *testing.T) {
	for _, k := range Kinds {
		require.True(t, k.Known())
	}
	require.False(t, Kind("tenant").Known())
	require.Equal(t, "service/orders", Key{Kind: KindService, Name: "orders"}.String())
}

func TestInstanceCheckNeedsNoObject(t *testing.T) {
	i := Instance{Name: "entry", Centre: "c", PacketAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", ControlAddress: "10.0.0.1:3", Size: 1, State: StateActive}
	require.NoError(t, i.Check())
	i.PeerAddress = ""
	require.ErrorIs(t, i.Check(), ErrInvalid)
	require.ErrorContains(t, i.Check(), `instance/entry: field "peers": value "" is not`)
}
