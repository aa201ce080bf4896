// Package record decodes, checks and encodes the records in the platform's object
// API: those that operators write (Service, Backend, Rule) and those that entry
// instances write (Instance, Status).
//
// An Object holds the kind, name, revision, schema version and JSON body of a
// record. Decoding returns the type of its kind, after checking every field.
//
// Operator records exist in schemas 1 and 2, which are supported at the same
// time. Decoding converts a body of schema 1 to schema 2. Encoding in schema 1
// returns an error for a setting that schema 1 has no field for, so that a
// conversion never loses or changes a setting.
//
// A field that is missing from a body gets its default. A field that is present
// must be within its bounds: 0 is an error where the minimum is 1.
//
// The files are record.go (objects, decoding and errors) and, for the kinds,
// backend.go, instance.go, rule.go, service.go and status.go.
//
// # Usage
//
//	var o record.Object // read from the platform
//	s, err := record.DecodeService(o)
//	if errors.Is(err, record.ErrInvalid) { ... } // the text names field and value
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

// Errors returned when records are decoded or encoded.
var (
	// ErrInvalid reports a body that is not valid JSON or has an invalid field.
	ErrInvalid = errors.New("record is invalid")
	// ErrSchema reports a schema version that is not supported.
	ErrSchema = errors.New("record schema is not supported")
	// ErrKind reports a kind that is unknown or that the decoder does not decode.
	ErrKind = errors.New("record kind does not match")
)

// Schema versions of record bodies.
const (
	Schema1 = 1
	Schema2 = 2
)

// Kind is the type of a record.
type Kind string

// The kinds of records.
const (
	KindService  Kind = "service"
	KindBackend  Kind = "backend"
	KindRule     Kind = "rule"
	KindInstance Kind = "instance"
	KindStatus   Kind = "status"
)

// Kinds lists the kinds. A kind that others refer to precedes them.
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

// MaxBody is the maximum size of a body that the platform stores, in bytes.
const MaxBody = 1 << 20

// Object is a record as the platform stores it. The platform numbers all writes
// with one counter, so of two revisions, also of different records, the larger is
// the later.
type Object struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision,omitempty"` // set by the platform
	WriteID  string          `json:"write,omitempty"`    // random identifier of the write that created this revision
	Schema   int             `json:"schema"`
	Deleted  bool            `json:"deleted,omitempty"` // the record was deleted at Revision
	Body     json.RawMessage `json:"body,omitempty"`
}

// Key identifies a record by kind and name.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Key returns the key of o.
func (o *Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// CheckName returns an error unless name has 1 to 63 lower-case letters, digits,
// dots and dashes, and starts and ends with a letter or digit.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.Wrapf(ErrInvalid, "name %q is not 1 to 63 of a-z, 0-9, dot and dash", name)
	}
	return nil
}

// Check checks the name of o and decodes its body by its kind. It returns the
// first error. The body of a deleted record is not checked.
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

// decode decodes the body of o into v, which holds the defaults: a field that is
// missing from the body keeps its value. A field that is not in v is an error.
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
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return invalid(o, typeErr.Field, typeErr.Value, "not %s", typeName(typeErr.Type))
	}
	if err != nil {
		return errors.Wrapf(ErrInvalid, "%s: %v", o.Key(), err)
	}
	return nil
}

// unmarshal decodes data, a single JSON value, into v. In a
// *json.UnmarshalTypeError it replaces Value, which is the JSON type, by the value
// in data that has the wrong type.
func unmarshal(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Offset > 0 {
		typeErr.Value = literalBefore(data[:typeErr.Offset], typeErr.Value)
		typeErr.Offset = 0 // is relative to data, so an enclosing call must not apply it to its own data
	}
	if err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value in the body")
	}
	return nil
}

// literalBefore returns the JSON string, number or boolean at the end of text, or
// fallback if there is none.
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

// typeName returns a description of the JSON type of a field, for error messages
// that operators read.
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

func unsupportedSchema(o Object) error {
	return errors.Wrapf(ErrSchema, "%s: schema %d", o.Key(), o.Schema)
}

// schema1FieldNames maps the path of a field in schema 2, with the kind of its
// record, to its name in schema 1 where that differs.
var schema1FieldNames = map[Key]string{
	{KindService, "limit"}:                "max_size",
	{KindBackend, "centre"}:               "zone",
	{KindBackend, "endpoints[0].address"}: "address",
	{KindBackend, "endpoints[0].slots"}:   "slots",
	{KindRule, "backends[0]"}:             "backend",
}

// FieldError reports a field of a record with an invalid value. It matches
// ErrInvalid.
type FieldError struct {
	Key     Key
	Field   string // path of the field in the body, such as endpoints[0].slots
	Value   string // value as shown in the message
	Problem string // continues "value ... is", such as "not a number"
}

// Error returns a message with the record, the field, the value and the problem.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %q: value %s is %s: %v", e.Key, e.Field, e.Value, e.Problem, ErrInvalid)
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// invalid returns a FieldError for a field of o. Field is its path in schema 2; the
// error has the path in the schema of o.
func invalid(o Object, field string, value any, format string, args ...any) error {
	if schema1Name, ok := schema1FieldNames[Key{o.Kind, field}]; ok && o.Schema == Schema1 {
		field = schema1Name
	}
	return &FieldError{Key: o.Key(), Field: field, Value: fmt.Sprint(value), Problem: fmt.Sprintf(format, args...)}
}

// checkSchema1Default returns an error unless value, for which schema 1 has no
// field, is the default that decoding a body of schema 1 sets.
func checkSchema1Default[T comparable](o Object, field string, value, defaultValue T) error {
	if value == defaultValue {
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
