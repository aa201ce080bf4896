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

// States an operator gives a backend server.
const (
	StateActive   = "active"
	StateDraining = "draining"
)

// Backend describes one backend server, in schema 2.
type Backend struct {
	Name      string     `json:"-"`
	Revision  uint64     `json:"-"`
	Service   string     `json:"service"`         // name of the service it serves
	Centre    string     `json:"centre"`          // name of its data centre
	State     string     `json:"state,omitempty"` // active or draining; default active
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one port of a backend server.
type Endpoint struct {
	Address     string  `json:"address"`               // IP address and port
	Slots       int     `json:"slots,omitempty"`       // requests it runs at once; default 1
	Connections int     `json:"connections,omitempty"` // connections it accepts; default 2000
	Weight      float64 `json:"weight,omitempty"`      // speed relative to others, a first guess; default 1
}

// backend1 is the body of a backend server in schema 1, with a single endpoint.
type backend1 struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Slots   int    `json:"slots,omitempty"`
	Drain   bool   `json:"drain,omitempty"`
}

// DecodeBackend reads and checks a backend server of any supported schema.
func DecodeBackend(o Object) (Backend, error) {
	b := Backend{Name: o.Name, Revision: o.Revision, State: StateActive}
	var err error
	switch o.Schema {
	case Schema1:
		err = b.decode1(o)
	case Schema2:
		err = decode(o, KindBackend, &b)
	default:
		err = badSchema(o)
	}
	if err != nil {
		return Backend{}, err
	}
	return b, b.check(o)
}

// UnmarshalJSON reads an endpoint whose missing fields have their defaults.
func (e *Endpoint) UnmarshalJSON(data []byte) error {
	type plain Endpoint // without this method
	var p Endpoint
	p.setDefaults()
	if err := unmarshal(data, (*plain)(&p)); err != nil {
		return err
	}
	*e = p
	return nil
}

func (b *Backend) decode1(o Object) error {
	var e Endpoint
	e.setDefaults()
	old := backend1{Slots: e.Slots}
	if err := decode(o, KindBackend, &old); err != nil {
		return err
	}
	e.Address, e.Slots = old.Address, old.Slots
	b.Service, b.Centre, b.Endpoints = old.Service, old.Zone, []Endpoint{e}
	if old.Drain {
		b.State = StateDraining
	}
	return nil
}

// EncodeBackend returns b as an object. Schema 1 holds a single endpoint
// without weight and connections; other values are refused.
func EncodeBackend(b Backend, schema int) (Object, error) {
	switch schema {
	case Schema1:
		return b.encode1()
	case Schema2:
		return encode(KindBackend, b.Name, schema, b)
	}
	return Object{}, badSchema(Object{Kind: KindBackend, Name: b.Name, Schema: schema})
}

func (b Backend) encode1() (Object, error) {
	o := Object{Kind: KindBackend, Name: b.Name, Schema: Schema1}
	if len(b.Endpoints) != 1 {
		return Object{}, invalid(o, "endpoints", len(b.Endpoints), "not 1, as schema 1 requires")
	}
	e := b.Endpoints[0]
	e.setDefaults()
	if err := checkHeld(o, "endpoints[0].connections", e.Connections, DefaultConnections); err != nil {
		return Object{}, err
	}
	if err := checkHeld(o, "endpoints[0].weight", e.Weight, DefaultWeight); err != nil {
		return Object{}, err
	}
	old := backend1{Service: b.Service, Zone: b.Centre, Address: e.Address, Slots: e.Slots, Drain: b.State == StateDraining}
	return encode(KindBackend, b.Name, Schema1, old)
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
			return invalid(o, field+".address", fmt.Sprintf("%q", e.Address), "a repetition")
		}
		seen[address] = true
	}
	return nil
}

// Bounds of the weight of an endpoint.
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
