// Package record defines the records operators write and the status the system
// reports, as they are held by the platform's object API.
//
// An Object is the platform's envelope: kind, name, revision, schema version and
// a JSON body. Each kind has a domain type (Service, Backend, Rule, Instance,
// Status) that checks itself when decoded. Records of schema 1 and schema 2 are
// honoured side by side: schema 1 bodies are converted on decoding. Encoding in
// schema 1 refuses a setting that schema 1 cannot hold, so that converting a
// record never changes what it says.
//
// A field that is left out has its default. A field that is given has to be
// within its bounds: 0 is a fault where the bounds start at 1.
//
// # Usage
//
//	var o record.Object // from the platform
//	s, err := record.DecodeService(o)
//	if errors.Is(err, record.ErrInvalid) { ... } // names field and value
//	o, err = record.EncodeService(s, record.Schema2)
package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"regexp"

	"github.com/pkg/errors"
)

// Errors returned when records are decoded.
var (
	// ErrInvalid reports a body whose fields are wrong or contradict themselves.
	ErrInvalid = errors.New("record is invalid")
	// ErrSchema reports a schema version that is not supported.
	ErrSchema = errors.New("record schema is not supported")
	// ErrKind reports an unknown kind, or an object of another kind than asked for.
	ErrKind = errors.New("record kind does not match")
)

// Schema versions of record bodies.
const (
	Schema1 = 1
	Schema2 = 2
)

// Kind names a type of record.
type Kind string

// The kinds of records.
const (
	KindService  Kind = "service"
	KindBackend  Kind = "backend"
	KindRule     Kind = "rule"
	KindInstance Kind = "instance"
	KindStatus   Kind = "status"
)

// Kinds lists the kinds in the order in which records refer to each other.
var Kinds = []Kind{KindService, KindBackend, KindRule, KindInstance, KindStatus}

// OperatorKinds lists the kinds that operators write.
var OperatorKinds = []Kind{KindService, KindBackend, KindRule}

// Known reports whether k is one of Kinds.
func (k Kind) Known() bool {
	for _, known := range Kinds {
		if k == known {
			return true
		}
	}
	return false
}

// MaxBody is the largest value the platform holds, in bytes.
const MaxBody = 1 << 20

// Object is one record as the platform holds it. Revisions count the writes of
// the whole store, so a larger revision is always the newer one.
type Object struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision,omitempty"` // given by the platform
	WriteID  string          `json:"write,omitempty"`    // identity of the write that made this revision
	Schema   int             `json:"schema"`
	Deleted  bool            `json:"deleted,omitempty"` // the record was deleted at Revision
	Body     json.RawMessage `json:"body,omitempty"`
}

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Key returns the identity of o.
func (o *Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// CheckName reports whether name can name a record: 1 to 63 lower-case letters,
// digits, dots and dashes, starting and ending with a letter or digit.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.Wrapf(ErrInvalid, "name %q is not 1 to 63 of a-z, 0-9, dot and dash", name)
	}
	return nil
}

// Check decodes o's body by its kind and reports the first fault.
func (o *Object) Check() error {
	if err := CheckName(o.Name); err != nil {
		return err
	}
	if o.Deleted {
		return nil
	}
	var err error
	switch o.Kind {
	case KindService:
		_, err = DecodeService(*o)
	case KindBackend:
		_, err = DecodeBackend(*o)
	case KindRule:
		_, err = DecodeRule(*o)
	case KindInstance:
		_, err = DecodeInstance(*o)
	case KindStatus:
		_, err = DecodeStatus(*o)
	default:
		err = errors.Wrapf(ErrKind, "kind %q is unknown", o.Kind)
	}
	return err
}

// decode reads o's body into v. Fields that v does not have are faults, and
// fields that the body does not have keep the value they have in v.
func decode(o Object, kind Kind, v any) error {
	if o.Kind != kind {
		return errors.Wrapf(ErrKind, "%s: expected kind %q", o.Key(), kind)
	}
	if len(o.Body) > MaxBody {
		return invalid(o, "body", len(o.Body), "larger than %d bytes", MaxBody)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(o.Body), []byte("{")) {
		return invalid(o, "body", fmt.Sprintf("%.20q", o.Body), "not an object")
	}
	err := unmarshal(o.Body, v)
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return invalid(o, wrong.Field, wrong.Value, "not %s", typeName(wrong.Type))
	}
	if err != nil {
		return errors.Wrapf(ErrInvalid, "%s: %v", o.Key(), err)
	}
	return nil
}

// unmarshal reads data, which holds one JSON value, into v. It puts the
// offending literal into the Value of a *json.UnmarshalTypeError.
func unmarshal(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Offset > 0 {
		wrong.Value = literalBefore(data[:wrong.Offset], wrong.Value)
		wrong.Offset = 0 // an outer call must not look it up in its own data
	}
	if err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value in the body")
	}
	return nil
}

// literalBefore returns the JSON string, number or boolean that text ends with,
// or fallback when it ends with something else.
func literalBefore(text []byte, fallback string) string {
	start := bytes.LastIndexAny(text, ":,[ \t\r\n") + 1
	if inner, ok := bytes.CutSuffix(text, []byte(`"`)); ok {
		start = max(0, bytes.LastIndexByte(inner, '"'))
	}
	if literal := text[start:]; json.Valid(literal) {
		return string(literal)
	}
	return fallback
}

// typeName names a field's type to people who write records.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	}
	return "a whole number"
}

func encode(kind Kind, name string, schema int, v any) (Object, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return Object{}, errors.Wrapf(err, "encode %s/%s", kind, name)
	}
	return Object{Kind: kind, Name: name, Schema: schema, Body: body}, nil
}

func badSchema(o Object) error {
	return errors.Wrapf(ErrSchema, "%s: schema %d", o.Key(), o.Schema)
}

// schema1Fields gives the names that schema 1 has for fields of schema 2.
var schema1Fields = map[Key]string{
	{KindService, "limit"}:                "max_size",
	{KindBackend, "centre"}:               "zone",
	{KindBackend, "endpoints[0].address"}: "address",
	{KindBackend, "endpoints[0].slots"}:   "slots",
	{KindRule, "backends[0]"}:             "backend",
}

// FieldError tells which field of which record is wrong. It matches ErrInvalid.
type FieldError struct {
	Key     Key
	Field   string // path of the field in the body, such as endpoints[0].slots
	Value   string
	Problem string
}

// Error names the record, the field and the value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %q: value %s is %s: %v", e.Key, e.Field, e.Value, e.Problem, ErrInvalid)
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// invalid reports a field of o by the name it has in o's schema.
func invalid(o Object, field string, value any, format string, args ...any) error {
	if old, ok := schema1Fields[Key{o.Kind, field}]; ok && o.Schema == Schema1 {
		field = old
	}
	return &FieldError{Key: o.Key(), Field: field, Value: fmt.Sprint(value), Problem: fmt.Sprintf(format, args...)}
}

// checkHeld reports a setting that schema 1 has no field for and that is not the
// one schema 1 implies.
func checkHeld[T comparable](o Object, field string, value, implied T) error {
	if value == implied {
		return nil
	}
	shown := any(value)
	if text, ok := shown.(string); ok {
		shown = fmt.Sprintf("%q", text)
	}
	return invalid(o, field, shown, "not the default, as schema 1 requires")
}

func checkAddress(o Object, field, address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return invalid(o, field, fmt.Sprintf("%q", address), "not an IP address with a port")
	}
	return nil
}
