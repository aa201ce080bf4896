package record

import (
	"fmt"
	"net/netip"
)

// Defaults and bounds of backend server fields.
const (
	DefaultSlots       = 1
	MaxSlots           = 10_000
	DefaultConnections = 2000
	MaxConnections     = 1_000_000
	DefaultWeight      = 1.0
	MaxEndpoints       = 256
)

// States of a backend server, set by an operator. A draining one gets no new
// requests. StateActive is also a state of instances.
const (
	StateActive   = "active"
	StateDraining = "draining"
)

// Backend is the record of a backend server. Its JSON form is the body in
// schema 2.
type Backend struct {
	Name      string     `json:"-"`
	Revision  uint64     `json:"-"`
	Service   string     `json:"service"`         // name of the service that it serves
	Centre    string     `json:"centre"`          // name of its data centre
	State     string     `json:"state,omitempty"` // active or draining; default active
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is an address and port on which a backend server accepts requests.
type Endpoint struct {
	Address     string  `json:"address"`               // IP address and port
	Slots       int     `json:"slots,omitempty"`       // maximum number of concurrent requests; default 1
	Connections int     `json:"connections,omitempty"` // maximum number of connections; default 2000
	Weight      float64 `json:"weight,omitempty"`      // initial estimate of its speed relative to other endpoints; default 1
}

// backendSchema1 is the body of a backend server record in schema 1, which has a
// single endpoint.
type backendSchema1 struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Slots   int    `json:"slots,omitempty"`
	Drain   bool   `json:"drain,omitempty"`
}

// DecodeBackend decodes and checks a backend server record of either schema.
func DecodeBackend(o Object) (Backend, error) {
	b := Backend{Name: o.Name, Revision: o.Revision, State: StateActive}
	var err error
	switch o.Schema {
	case Schema1:
		err = b.decodeSchema1(o)
	case Schema2:
		err = decode(o, KindBackend, &b)
	default:
		err = unsupportedSchema(o)
	}
	if err != nil {
		return Backend{}, err
	}
	return b, b.check(o)
}

// UnmarshalJSON decodes an endpoint and sets missing fields to their defaults.
func (e *Endpoint) UnmarshalJSON(data []byte) error {
	type plain Endpoint // has no UnmarshalJSON, which would recurse
	var p Endpoint
	p.setDefaults()
	if err := unmarshal(data, (*plain)(&p)); err != nil {
		return err
	}
	*e = p
	return nil
}

func (b *Backend) decodeSchema1(o Object) error {
	var e Endpoint
	e.setDefaults()
	body := backendSchema1{Slots: e.Slots}
	if err := decode(o, KindBackend, &body); err != nil {
		return err
	}
	e.Address, e.Slots = body.Address, body.Slots
	b.Service, b.Centre, b.Endpoints = body.Service, body.Zone, []Endpoint{e}
	if body.Drain {
		b.State = StateDraining
	}
	return nil
}

// EncodeBackend encodes b. Schema 1 has a single endpoint and no field for its
// weight and connections: other than one endpoint and values that differ from the
// defaults are errors.
func EncodeBackend(b Backend, schema int) (Object, error) {
	switch schema {
	case Schema1:
		return b.encodeSchema1()
	case Schema2:
		return encode(KindBackend, b.Name, schema, b)
	}
	return Object{}, unsupportedSchema(Object{Kind: KindBackend, Name: b.Name, Schema: schema})
}

func (b Backend) encodeSchema1() (Object, error) {
	o := Object{Kind: KindBackend, Name: b.Name, Schema: Schema1}
	if len(b.Endpoints) != 1 {
		return Object{}, invalid(o, "endpoints", len(b.Endpoints), "not 1, as schema 1 requires")
	}
	e := b.Endpoints[0]
	e.setDefaults()
	if err := checkSchema1Default(o, "endpoints[0].connections", e.Connections, DefaultConnections); err != nil {
		return Object{}, err
	}
	if err := checkSchema1Default(o, "endpoints[0].weight", e.Weight, DefaultWeight); err != nil {
		return Object{}, err
	}
	body := backendSchema1{Service: b.Service, Zone: b.Centre, Address: e.Address, Slots: e.Slots, Drain: b.State == StateDraining}
	return encode(KindBackend, b.Name, Schema1, body)
}

func (e *Endpoint) setDefaults() {
	if e.Slots == 0 {
		e.Slots = DefaultSlots
	}
	if e.Connections == 0 {
		e.Connections = DefaultConnections
	}
	if e.Weight == 0 {
		e.Weight = DefaultWeight
	}
}

func (b *Backend) check(o Object) error {
	if err := CheckName(b.Service); err != nil {
		return invalid(o, "service", fmt.Sprintf("%q", b.Service), "not a name")
	}
	if err := CheckName(b.Centre); err != nil {
		return invalid(o, "centre", fmt.Sprintf("%q", b.Centre), "not a name")
	}
	if b.State != StateActive && b.State != StateDraining {
		return invalid(o, "state", fmt.Sprintf("%q", b.State), "not one of active, draining")
	}
	if len(b.Endpoints) < 1 || len(b.Endpoints) > MaxEndpoints {
		return invalid(o, "endpoints", len(b.Endpoints), "not within 1 to %d", MaxEndpoints)
	}
	seen := make(map[netip.AddrPort]bool, len(b.Endpoints))
	for i, e := range b.Endpoints {
		field := fmt.Sprintf("endpoints[%d]", i)
		if err := e.check(o, field); err != nil {
			return err
		}
		address := netip.MustParseAddrPort(e.Address)
		if seen[address] {
			return invalid(o, field+".address", fmt.Sprintf("%q", e.Address), "a duplicate")
		}
		seen[address] = true
	}
	return nil
}

// Bounds of the weight of an endpoint and of the size of an instance.
const (
	minWeight = 0.001
	maxWeight = 1000
)

func (e *Endpoint) check(o Object, field string) error {
	if err := checkAddress(o, field+".address", e.Address); err != nil {
		return err
	}
	switch {
	case e.Slots < 1 || e.Slots > MaxSlots:
		return invalid(o, field+".slots", e.Slots, "not within 1 to %d", MaxSlots)
	case e.Connections < 1 || e.Connections > MaxConnections:
		return invalid(o, field+".connections", e.Connections, "not within 1 to %d", MaxConnections)
	case e.Weight < minWeight || e.Weight > maxWeight:
		return invalid(o, field+".weight", e.Weight, "not within %v to %v", minWeight, maxWeight)
	}
	return nil
}
