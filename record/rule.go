package record

import "fmt"

// Rule steers the traffic of a service, in schema 2. With several rules for a
// service, the one whose class matches is used before one for any class, and
// among those the first by name.
type Rule struct {
	Name     string   `json:"-"`
	Revision uint64   `json:"-"`
	Service  string   `json:"service"`            // name of the service
	Class    string   `json:"class,omitempty"`    // short, long or any; default any
	Backends []string `json:"backends,omitempty"` // only these backend servers; default all of the service
	Spill    bool     `json:"spill,omitempty"`    // other data centres may take work when local capacity is spent
	Pin      bool     `json:"pin,omitempty"`      // keep a flow on one backend server while that takes work
}

// rule1 is the body of a rule in schema 1.
type rule1 struct {
	Service string `json:"service"`
	Backend string `json:"backend,omitempty"` // the only backend server to use
}

// ClassAny matches requests of every class in a rule.
const ClassAny = "any"

// DecodeRule reads and checks a rule of any supported schema.
func DecodeRule(o Object) (Rule, error) {
	r := Rule{Name: o.Name, Revision: o.Revision, Class: ClassAny}
	var err error
	switch o.Schema {
	case Schema1:
		err = r.decode1(o)
	case Schema2:
		err = decode(o, KindRule, &r)
	default:
		err = badSchema(o)
	}
	if err != nil {
		return Rule{}, err
	}
	return r, r.check(o)
}

func (r *Rule) decode1(o Object) error {
	var old rule1
	if err := decode(o, KindRule, &old); err != nil {
		return err
	}
	r.Service = old.Service
	if old.Backend != "" {
		r.Backends = []string{old.Backend}
	}
	return nil
}

// EncodeRule returns r as an object. Schema 1 holds at most one backend server
// and neither class, spill nor pin; other values are refused.
func EncodeRule(r Rule, schema int) (Object, error) {
	switch schema {
	case Schema1:
		return r.encode1()
	case Schema2:
		return encode(KindRule, r.Name, schema, r)
	}
	return Object{}, badSchema(Object{Kind: KindRule, Name: r.Name, Schema: schema})
}

func (r Rule) encode1() (Object, error) {
	o := Object{Kind: KindRule, Name: r.Name, Schema: Schema1}
	if len(r.Backends) > 1 {
		return Object{}, invalid(o, "backends", len(r.Backends), "more than 1, which schema 1 cannot hold")
	}
	if r.Class != "" {
		if err := checkHeld(o, "class", r.Class, ClassAny); err != nil {
			return Object{}, err
		}
	}
	if err := checkHeld(o, "spill", r.Spill, false); err != nil {
		return Object{}, err
	}
	if err := checkHeld(o, "pin", r.Pin, false); err != nil {
		return Object{}, err
	}
	old := rule1{Service: r.Service}
	if len(r.Backends) == 1 {
		old.Backend = r.Backends[0]
	}
	return encode(KindRule, r.Name, Schema1, old)
}

func (r *Rule) check(o Object) error {
	if err := CheckName(r.Service); err != nil {
		return invalid(o, "service", fmt.Sprintf("%q", r.Service), "not a name")
	}
	if r.Class != ClassAny && r.Class != ClassShort && r.Class != ClassLong {
		return invalid(o, "class", fmt.Sprintf("%q", r.Class), "not one of any, short, long")
	}
	for i, name := range r.Backends {
		if CheckName(name) != nil {
			return invalid(o, fmt.Sprintf("backends[%d]", i), fmt.Sprintf("%q", name), "not a name")
		}
	}
	return nil
}
