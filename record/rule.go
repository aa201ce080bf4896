package record

import "fmt"

// Rule is the record of a routing rule of a service. Its JSON form is the body in
// schema 2. One rule applies to a request: of the rules of its service, one for its
// class has priority over one for any class, then the first by name.
type Rule struct {
	Name     string   `json:"-"`
	Revision uint64   `json:"-"`
	Service  string   `json:"service"`            // name of the service
	Class    string   `json:"class,omitempty"`    // short, long or any; default any
	Backends []string `json:"backends,omitempty"` // names of the backend servers to use; default all of the service
	Spill    bool     `json:"spill,omitempty"`    // other data centres may run requests when local capacity is exhausted
	Pin      bool     `json:"pin,omitempty"`      // send all requests of a flow to one backend server while it accepts them
}

// ruleSchema1 is the body of a rule in schema 1.
type ruleSchema1 struct {
	Service string `json:"service"`
	Backend string `json:"backend,omitempty"` // the only backend server to use
}

// ClassAny is the class of a rule for requests of every class.
const ClassAny = "any"

// DecodeRule decodes and checks a rule of either schema.
func DecodeRule(o Object) (Rule, error) {
	r := Rule{Name: o.Name, Revision: o.Revision, Class: ClassAny}
	var err error
	switch o.Schema {
	case Schema1:
		err = r.decodeSchema1(o)
	case Schema2:
		err = decode(o, KindRule, &r)
	default:
		err = unsupportedSchema(o)
	}
	if err != nil {
		return Rule{}, err
	}
	return r, r.check(o)
}

func (r *Rule) decodeSchema1(o Object) error {
	var body ruleSchema1
	if err := decode(o, KindRule, &body); err != nil {
		return err
	}
	r.Service = body.Service
	if body.Backend != "" {
		r.Backends = []string{body.Backend}
	}
	return nil
}

// EncodeRule encodes r. Schema 1 has at most one backend server and no field for
// class, spill and pin: more backend servers and values that differ from the
// defaults are errors.
func EncodeRule(r Rule, schema int) (Object, error) {
	switch schema {
	case Schema1:
		return r.encodeSchema1()
	case Schema2:
		return encode(KindRule, r.Name, schema, r)
	}
	return Object{}, unsupportedSchema(Object{Kind: KindRule, Name: r.Name, Schema: schema})
}

func (r Rule) encodeSchema1() (Object, error) {
	o := Object{Kind: KindRule, Name: r.Name, Schema: Schema1}
	if len(r.Backends) > 1 {
		return Object{}, invalid(o, "backends", len(r.Backends), "more than 1, which schema 1 cannot hold")
	}
	if r.Class != "" {
		if err := checkSchema1Default(o, "class", r.Class, ClassAny); err != nil {
			return Object{}, err
		}
	}
	if err := checkSchema1Default(o, "spill", r.Spill, false); err != nil {
		return Object{}, err
	}
	if err := checkSchema1Default(o, "pin", r.Pin, false); err != nil {
		return Object{}, err
	}
	body := ruleSchema1{Service: r.Service}
	if len(r.Backends) == 1 {
		body.Backend = r.Backends[0]
	}
	return encode(KindRule, r.Name, Schema1, body)
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
