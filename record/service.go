package record

import (
	"fmt"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Defaults and bounds of service fields.
const (
	DefaultDeadline = 10 * clock.Second
	MaxDeadline     = 10 * clock.Minute
	DefaultLimit    = 16 << 20 // bytes
	DefaultQueue    = 256      // requests per instance
	MaxQueue        = 100_000
)

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
	var s Service
	switch o.Schema {
	case Schema1:
		var old service1
		if err := decode(o, KindService, &old); err != nil {
			return Service{}, err
		}
		s = Service{Host: old.Host, Deadline: clock.Millis(old.Timeout) * clock.Second, Limit: old.MaxSize}
	case Schema2:
		if err := decode(o, KindService, &s); err != nil {
			return Service{}, err
		}
	default:
		return Service{}, badSchema(o)
	}
	s.Name, s.Revision = o.Name, o.Revision
	s.setDefaults()
	return s, s.check(o)
}

// EncodeService returns s as an object. Schema 1 holds deadlines in whole
// seconds and neither queue nor class.
func EncodeService(s Service, schema int) (Object, error) {
	switch schema {
	case Schema1:
		old := service1{Host: s.Host, Timeout: int(s.Deadline / clock.Second), MaxSize: s.Limit}
		return encode(KindService, s.Name, schema, old)
	case Schema2:
		return encode(KindService, s.Name, schema, s)
	}
	return Object{}, badSchema(Object{Kind: KindService, Name: s.Name, Schema: schema})
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
