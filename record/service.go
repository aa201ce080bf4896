package record

import (
	"fmt"
	"regexp"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Defaults and bounds of service fields.
const (
	DefaultDeadline = 10 * clock.Second
	MaxDeadline     = 10 * clock.Minute
	DefaultLimit    = 16 << 20 // bytes; also the maximum
	DefaultQueue    = 256      // waiting requests per instance
	MaxQueue        = 100_000

	maxTimeoutSeconds = int(MaxDeadline / clock.Second) // of the timeout in schema 1
	maxHostSize       = 253                             // bytes
)

var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?(:[0-9]{1,5})?$`)

// Classes of a service, for requests whose caller gives none. With ClassAuto,
// instances classify a request by the run times of earlier requests of its size.
const (
	ClassAuto  = "auto"
	ClassShort = "short"
	ClassLong  = "long"
)

// Service is the record of a service. Its JSON form is the body in schema 2.
type Service struct {
	Name     string       `json:"-"`
	Revision uint64       `json:"-"`
	Host     string       `json:"host,omitempty"`     // Host header for backend servers; default the name of the service
	Deadline clock.Millis `json:"deadline,omitempty"` // maximum deadline of a request, in ms; default 10000
	Limit    int64        `json:"limit,omitempty"`    // maximum size of a request body, in bytes; default and maximum 16 MiB
	Queue    int          `json:"queue,omitempty"`    // maximum number of requests waiting at an instance; default 256
	Class    string       `json:"class,omitempty"`    // auto, short or long; default auto
}

// serviceSchema1 is the body of a service in schema 1.
type serviceSchema1 struct {
	Host    string `json:"host,omitempty"`
	Timeout int    `json:"timeout,omitempty"` // seconds
	MaxSize int64  `json:"max_size,omitempty"`
}

// DecodeService decodes and checks a service of either schema.
func DecodeService(o Object) (Service, error) {
	s := Service{Name: o.Name, Revision: o.Revision}
	s.setDefaults()
	var err error
	switch o.Schema {
	case Schema1:
		err = s.decodeSchema1(o)
	case Schema2:
		err = decode(o, KindService, &s)
	default:
		err = unsupportedSchema(o)
	}
	if err != nil {
		return Service{}, err
	}
	return s, s.check(o)
}

func (s *Service) decodeSchema1(o Object) error {
	body := serviceSchema1{Host: s.Host, Timeout: int(s.Deadline / clock.Second), MaxSize: s.Limit}
	if err := decode(o, KindService, &body); err != nil {
		return err
	}
	if body.Timeout < 1 || body.Timeout > maxTimeoutSeconds {
		return invalid(o, "timeout", body.Timeout, "not within 1 to %d s", maxTimeoutSeconds)
	}
	s.Host, s.Deadline, s.Limit = body.Host, clock.Millis(body.Timeout)*clock.Second, body.MaxSize
	return nil
}

// EncodeService encodes s. Schema 1 has deadlines in whole seconds and no field
// for queue and class: other deadlines and values that differ from the defaults are
// errors.
func EncodeService(s Service, schema int) (Object, error) {
	switch schema {
	case Schema1:
		return s.encodeSchema1()
	case Schema2:
		return encode(KindService, s.Name, schema, s)
	}
	return Object{}, unsupportedSchema(Object{Kind: KindService, Name: s.Name, Schema: schema})
}

func (s Service) encodeSchema1() (Object, error) {
	o := Object{Kind: KindService, Name: s.Name, Schema: Schema1}
	s.setDefaults()
	if s.Deadline%clock.Second != 0 {
		return Object{}, invalid(o, "deadline", s.Deadline, "not a whole number of seconds, as schema 1 requires")
	}
	if err := checkSchema1Default(o, "queue", s.Queue, DefaultQueue); err != nil {
		return Object{}, err
	}
	if err := checkSchema1Default(o, "class", s.Class, ClassAuto); err != nil {
		return Object{}, err
	}
	body := serviceSchema1{Host: s.Host, Timeout: int(s.Deadline / clock.Second), MaxSize: s.Limit}
	return encode(KindService, s.Name, Schema1, body)
}

func (s *Service) setDefaults() {
	if s.Host == "" {
		s.Host = s.Name
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if s.Limit == 0 {
		s.Limit = DefaultLimit
	}
	if s.Queue == 0 {
		s.Queue = DefaultQueue
	}
	if s.Class == "" {
		s.Class = ClassAuto
	}
}

func (s *Service) check(o Object) error {
	switch {
	case len(s.Host) > maxHostSize || !hostPattern.MatchString(s.Host):
		return invalid(o, "host", fmt.Sprintf("%q", s.Host), "not a host name with an optional port")
	case s.Deadline < 1 || s.Deadline > MaxDeadline:
		return invalid(o, "deadline", s.Deadline, "not within 1 to %d ms", MaxDeadline)
	case s.Limit < 1 || s.Limit > DefaultLimit:
		return invalid(o, "limit", s.Limit, "not within 1 to %d bytes", DefaultLimit)
	case s.Queue < 1 || s.Queue > MaxQueue:
		return invalid(o, "queue", s.Queue, "not within 1 to %d", MaxQueue)
	case s.Class != ClassAuto && s.Class != ClassShort && s.Class != ClassLong:
		return invalid(o, "class", fmt.Sprintf("%q", s.Class), "not one of auto, short, long")
	}
	return nil
}
