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
	DefaultLimit    = 16 << 20 // bytes
	DefaultQueue    = 256      // requests per instance
	MaxQueue        = 100_000

	maxTimeout = int(MaxDeadline / clock.Second) // of schema 1, in seconds
	maxHost    = 253                             // bytes
)

var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?(:[0-9]{1,5})?$`)

// Classes a service's requests may have by record.
const (
	ClassAuto  = "auto"
	ClassShort = "short"
	ClassLong  = "long"
)

// Service describes one service, in schema 2.
type Service struct {
	Name     string       `json:"-"`
	Revision uint64       `json:"-"`
	Host     string       `json:"host,omitempty"`     // Host header sent to backend servers; default: the name
	Deadline clock.Millis `json:"deadline,omitempty"` // longest time for a request, in ms; default 10000
	Limit    int64        `json:"limit,omitempty"`    // largest request, in bytes; default and maximum 16 MiB
	Queue    int          `json:"queue,omitempty"`    // requests an instance lets wait; default 256
	Class    string       `json:"class,omitempty"`    // auto, short or long; default auto
}

// service1 is the body of a service in schema 1.
type service1 struct {
	Host    string `json:"host,omitempty"`
	Timeout int    `json:"timeout,omitempty"` // seconds
	MaxSize int64  `json:"max_size,omitempty"`
}

// DecodeService reads and checks a service of any supported schema.
func DecodeService(o Object) (Service, error) {
	s := Service{Name: o.Name, Revision: o.Revision}
	s.setDefaults()
	var err error
	switch o.Schema {
	case Schema1:
		err = s.decode1(o)
	case Schema2:
		err = decode(o, KindService, &s)
	default:
		err = badSchema(o)
	}
	if err != nil {
		return Service{}, err
	}
	return s, s.check(o)
}

func (s *Service) decode1(o Object) error {
	old := service1{Host: s.Host, Timeout: int(s.Deadline / clock.Second), MaxSize: s.Limit}
	if err := decode(o, KindService, &old); err != nil {
		return err
	}
	if old.Timeout < 1 || old.Timeout > maxTimeout {
		return invalid(o, "timeout", old.Timeout, "not within 1 to %d s", maxTimeout)
	}
	s.Host, s.Deadline, s.Limit = old.Host, clock.Millis(old.Timeout)*clock.Second, old.MaxSize
	return nil
}

// EncodeService returns s as an object. Schema 1 holds deadlines in whole
// seconds and neither queue nor class; other values are refused.
func EncodeService(s Service, schema int) (Object, error) {
	switch schema {
	case Schema1:
		return s.encode1()
	case Schema2:
		return encode(KindService, s.Name, schema, s)
	}
	return Object{}, badSchema(Object{Kind: KindService, Name: s.Name, Schema: schema})
}

func (s Service) encode1() (Object, error) {
	o := Object{Kind: KindService, Name: s.Name, Schema: Schema1}
	s.setDefaults()
	if s.Deadline%clock.Second != 0 {
		return Object{}, invalid(o, "deadline", s.Deadline, "not a whole number of seconds, as schema 1 requires")
	}
	if err := checkHeld(o, "queue", s.Queue, DefaultQueue); err != nil {
		return Object{}, err
	}
	if err := checkHeld(o, "class", s.Class, ClassAuto); err != nil {
		return Object{}, err
	}
	old := service1{Host: s.Host, Timeout: int(s.Deadline / clock.Second), MaxSize: s.Limit}
	return encode(KindService, s.Name, Schema1, old)
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
	case len(s.Host) > maxHost || !hostPattern.MatchString(s.Host):
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
