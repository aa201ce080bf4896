package measure

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

var slopesVerb = verb{
	name:    "slopes",
	summary: "cost of the decision engine a flow, record, endpoint, member and event",
	usage: `Drives the decision engine in this process at several sizes and fits lines by
least squares of the relative differences: cost = base + slope * size.

Endpoints are spread over 11 data centres, members are of one.

  bytes_*    live memory, in bytes
  us_*       processor time of one event, in us, at the size named; *_slope a unit
  beats_*    heartbeats' bytes a second, sent and received, by members`,
	setUp: func(flags *flag.FlagSet) work {
		repeats := flags.Int("repeats", 3, "times each cost is measured; the smallest counts")
		return func(_ context.Context, p *printer) error { return slopes{p: p, repeats: *repeats}.run() }
	},
}

// Sizes at which costs are measured.
var (
	endpointSizes = []int{1000, 3000, 6900}
	memberSizes   = []int{8, 67, 740}
	flowSizes     = []int{20_000, 50_000, 100_000}
	peersCentre   = 67 // members of a data centre at the size designed for
	perService    = 7  // endpoints a service: 6,900 behind 1,000 addresses
)

const (
	quickEvents = 200 // events measured in a row
	centres     = 11  // data centres that the endpoints are spread over
)

type slopes struct {
	p       *printer
	repeats int
}

func (s slopes) run() error {
	steps := []func() error{s.flows, s.records, s.endpoints, s.members, s.events, s.beats}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// live returns the bytes in use after a collection.
func live() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// grown returns the live memory that build leaves behind.
func grown(build func() (*model, error)) (float64, error) {
	before := live()
	m, err := build()
	if err != nil {
		return 0, err
	}
	used := live() - before
	runtime.KeepAlive(m)
	return used, nil
}

// flows measures the memory of held flows.
func (s slopes) flows() error {
	var points []point
	for _, n := range flowSizes {
		used, err := grown(func() (*model, error) {
			m, err := newModel(perService, 8)
			if err != nil {
				return nil, err
			}
			for flow := range uint64(n) {
				m.handle(m.probe(flow + 1))
			}
			return m, nil
		})
		if err != nil {
			return err
		}
		points = append(points, point{float64(n), used})
	}
	_, slope := fit(points)
	s.p.line("bytes_per_flow", slope)
	return nil
}

func (m *model) token(owner int, flow uint64) []byte {
	return m.keys.Seal(token.Token{
		Flow: flow, Owner: token.Hash(entryName(owner)), Incarnation: uint64(modelStart), Centre: token.Hash(centre),
		Service: token.Hash("service-0"), Issued: m.now,
	})
}

var from = netip.MustParseAddrPort("10.200.0.1:5000")

func (m *model) probe(flow uint64) instance.Event {
	return instance.PacketReceived{From: from, Packet: packet.Packet{Version: packet.Version, Kind: packet.KindProbe, Token: m.token(0, flow), Nonce: 1}}
}

// records measures the memory of services and of rules.
func (s slopes) records() error {
	kinds := []struct {
		name  string
		rules bool
	}{{"bytes_per_service", false}, {"bytes_per_service_with_rule", true}}
	for _, k := range kinds {
		var points []point
		for _, n := range endpointSizes {
			used, err := grown(func() (*model, error) {
				objects, err := servicesOf(n, k.rules)
				if err != nil {
					return nil, err
				}
				return newModelOf(objects, 1)
			})
			if err != nil {
				return err
			}
			points = append(points, point{float64(n), used})
		}
		_, slope := fit(points)
		s.p.line(k.name, slope)
	}
	return nil
}

// servicesOf returns n services, each with a rule if asked for.
func servicesOf(n int, rules bool) ([]record.Object, error) {
	var objects []record.Object
	for i := range n {
		name := fmt.Sprintf("service-%d", i)
		o, err := record.EncodeService(record.Service{Name: name, Host: name}, record.Schema2)
		if err != nil {
			return nil, err
		}
		o.Revision = uint64(len(objects) + 1)
		objects = append(objects, o)
		if !rules {
			continue
		}
		o, err = record.EncodeRule(record.Rule{Name: "rule-" + name, Service: name, Class: record.ClassAny, Spill: true}, record.Schema2)
		if err != nil {
			return nil, err
		}
		o.Revision = uint64(len(objects) + 1)
		objects = append(objects, o)
	}
	return objects, nil
}

// endpoints measures what grows with the endpoints, at the members of one data
// centre.
func (s slopes) endpoints() error {
	var memory, change, death, tick []point
	for _, n := range endpointSizes {
		used, err := grown(func() (*model, error) { return newModel(n, 1) })
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(n), used})
		m, err := newModel(n, peersCentre)
		if err != nil {
			return err
		}
		change = append(change, point{float64(n), s.least(func() time.Duration { return m.changeRecord(n) })})
		death = append(death, point{float64(n), s.least(m.changeMember)})
		tick = append(tick, point{float64(n), s.least(m.ticks)})
	}
	s.line("bytes_per_endpoint", memory)
	s.line("us_record_change_per_endpoint", change)
	s.line("us_member_change_per_endpoint", death)
	s.line("us_tick_per_endpoint", tick)
	return nil
}

// line prints the measured points and the fitted line.
func (s slopes) line(name string, points []point) {
	for _, p := range points {
		s.p.line(fmt.Sprintf("%s_at_%.0f", name, p.size), p.cost)
	}
	base, slope := fit(points)
	s.p.line(name+"_base", base)
	s.p.line(name+"_slope", slope)
}

// members measures what grows with the members of a data centre.
func (s slopes) members() error {
	const endpoints = 1000
	var memory, death, tick []point
	for _, n := range memberSizes {
		used, err := grown(func() (*model, error) { return newModel(perService, n) })
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(n), used})
		m, err := newModel(endpoints, n)
		if err != nil {
			return err
		}
		death = append(death, point{float64(n), s.least(m.changeMember)})
		tick = append(tick, point{float64(n), s.least(m.ticks)})
	}
	s.line("bytes_per_member", memory)
	s.line("us_member_change_per_member", death)
	s.line("us_tick_per_member", tick)
	return nil
}

// least returns the smallest of several measured times, in us.
func (s slopes) least(measure func() time.Duration) float64 {
	best := measure()
	for range s.repeats - 1 {
		best = min(best, measure())
	}
	return float64(best.Nanoseconds()) / 1000
}

// changeRecord measures one changed backend server.
func (m *model) changeRecord(endpoints int) time.Duration {
	objects, revision := m.engine.Objects()
	_ = objects
	o, err := backendOf(endpoints-1, "service-0")
	if err != nil {
		return 0
	}
	o.Revision = revision + 1
	start := time.Now()
	m.handle(instance.ObjectsReceived{Objects: []record.Object{o}, Revision: o.Revision, Source: instance.SourcePlatform})
	return time.Since(start)
}

// changeMember measures one instance that leaves or comes back.
func (m *model) changeMember() time.Duration {
	changed := member(1)
	changed.Incarnation = m.now + 1
	e := packet.Envelope{Sender: token.Hash(changed.Name), Incarnation: uint64(changed.Incarnation), Hello: &changed}
	m.now += instance.TickPeriod
	start := time.Now()
	m.handle(instance.EnvelopeReceived{Envelope: e})
	return time.Since(start)
}

// ticks measures one tick, as the mean of many without heartbeats' answers.
func (m *model) ticks() time.Duration {
	start := time.Now()
	for range quickEvents {
		m.now++ // no more than one heartbeat
		m.handle(instance.Tick{})
	}
	return time.Since(start) / quickEvents
}

// events measures packets and a request.
func (s slopes) events() error {
	m, err := newModel(1000, peersCentre)
	if err != nil {
		return err
	}
	m.answerBeats(20 * clock.Second) // until every member has answered a heartbeat
	kinds := []struct {
		name string
		make func(n uint64) []instance.Event
	}{
		{"us_forwarded", func(n uint64) []instance.Event {
			p := packet.Packet{Version: packet.Version, Kind: packet.KindGot, Token: m.token(2, n), Request: 1, Next: 1, Count: 1}
			data, _ := packet.Encode(p)
			return []instance.Event{instance.PacketReceived{From: from, Packet: p, Data: data}}
		}},
		{"us_owned", func(n uint64) []instance.Event { return []instance.Event{m.probe(n%8 + 1)} }},
		{"us_new_flow", func(n uint64) []instance.Event { return []instance.Event{m.probe(1000 + n)} }},
	}
	for _, k := range kinds {
		s.p.line(k.name, s.least(func() time.Duration { return m.timeEvents(k.make) }))
	}
	return nil
}

// timeEvents returns the mean time of an event after those before it.
func (m *model) timeEvents(event func(n uint64) []instance.Event) time.Duration {
	var events []instance.Event
	for n := range uint64(quickEvents) {
		events = append(events, event(n)...)
	}
	start := time.Now()
	for _, e := range events {
		m.handle(e)
	}
	return time.Since(start) / time.Duration(len(events))
}

// beats measures the heartbeats of one instance against the members of its data
// centre.
func (s slopes) beats() error {
	for _, n := range memberSizes {
		m, err := newModel(perService, n)
		if err != nil {
			return err
		}
		m.answerBeats(200 * clock.Second) // until every member has answered a heartbeat
		const span = 60
		bytes := m.answerBeats(span * clock.Second)
		s.p.line(fmt.Sprintf("beats_bytes_per_s_at_%d", n), float64(2*bytes)/span)
	}
	return nil
}
