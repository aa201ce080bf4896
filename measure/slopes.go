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
	summary: "cost of the decision engine per flow, record, endpoint, member and event",
	usage: `Runs the decision engine in this process at several sizes and fits lines by
least squares of the relative differences: cost = base + slope * size.

Endpoints are spread over 11 data centres; all members are in one.

  bytes_*    memory in use, in bytes
  us_*       time of one event, in us, at the size in the name; *_slope per unit of size
  beats_*    bytes of heartbeats sent and received per second, by number of members`,
	defineFlags: func(flags *flag.FlagSet) measureFunc {
		repeats := flags.Int("repeats", 3, "number of times that each cost is measured; the smallest counts")
		return func(_ context.Context, p *printer) error { return slopesRun{p: p, repeats: *repeats}.run() }
	},
}

// Sizes at which costs are measured.
var (
	endpointSizes       = []int{1000, 3000, 6900}
	memberSizes         = []int{8, 67, 740}
	flowSizes           = []int{20_000, 50_000, 100_000}
	designMembers       = 67 // members of a data centre in the deployment that tanagerdock is designed for
	endpointsPerService = 7  // 6,900 endpoints behind 1,000 service addresses
)

const (
	eventsPerRun = 200 // events per measured time
	centreCount  = 11  // data centres that the endpoints are spread over
)

type slopesRun struct {
	p       *printer
	repeats int
}

func (s slopesRun) run() error {
	steps := []func() error{s.flows, s.records, s.endpoints, s.members, s.events, s.heartbeats}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// liveHeap returns the bytes of the heap in use after garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// heapGrowth returns the memory taken by the simulation that build returns.
func heapGrowth(build func() (*simulation, error)) (float64, error) {
	before := liveHeap()
	sm, err := build()
	if err != nil {
		return 0, err
	}
	used := liveHeap() - before
	runtime.KeepAlive(sm)
	return used, nil
}

// flows measures the memory per open flow.
func (s slopesRun) flows() error {
	var points []point
	for _, n := range flowSizes {
		used, err := heapGrowth(func() (*simulation, error) {
			sm, err := newSimulation(endpointsPerService, 8)
			if err != nil {
				return nil, err
			}
			for flow := range uint64(n) {
				sm.handle(sm.probeEvent(flow + 1))
			}
			return sm, nil
		})
		if err != nil {
			return err
		}
		points = append(points, point{float64(n), used})
	}
	_, slope := fitLine(points)
	s.p.line("bytes_per_flow", slope)
	return nil
}

func (sm *simulation) sealToken(owner int, flow uint64) []byte {
	return sm.keys.Seal(token.Token{
		Flow: flow, Owner: token.Hash(entryName(owner)), Incarnation: uint64(simulationStart), Centre: token.Hash(centre),
		Service: token.Hash("service-0"), Issued: sm.now,
	})
}

var consumerAddress = netip.MustParseAddrPort("10.200.0.1:5000")

func (sm *simulation) probeEvent(flow uint64) instance.Event {
	return instance.PacketReceived{From: consumerAddress, Packet: packet.Packet{Version: packet.Version, Kind: packet.KindProbe, Token: sm.sealToken(0, flow), Nonce: 1}}
}

// records measures the memory per service, without and with a rule.
func (s slopesRun) records() error {
	kinds := []struct {
		name  string
		rules bool
	}{{"bytes_per_service", false}, {"bytes_per_service_with_rule", true}}
	for _, k := range kinds {
		var points []point
		for _, n := range endpointSizes {
			used, err := heapGrowth(func() (*simulation, error) {
				objects, err := makeServices(n, k.rules)
				if err != nil {
					return nil, err
				}
				return newSimulationWithRecords(objects, 1)
			})
			if err != nil {
				return err
			}
			points = append(points, point{float64(n), used})
		}
		_, slope := fitLine(points)
		s.p.line(k.name, slope)
	}
	return nil
}

// makeServices returns the records of n services, each with a rule if rules is set.
func makeServices(n int, rules bool) ([]record.Object, error) {
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

// endpoints measures memory and times that grow with the number of endpoints, with
// designMembers members.
func (s slopesRun) endpoints() error {
	var memory, recordChange, memberChange, tick []point
	for _, n := range endpointSizes {
		used, err := heapGrowth(func() (*simulation, error) { return newSimulation(n, 1) })
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(n), used})
		sm, err := newSimulation(n, designMembers)
		if err != nil {
			return err
		}
		recordChange = append(recordChange, point{float64(n), s.minMicros(func() time.Duration { return sm.timeRecordChange(n) })})
		memberChange = append(memberChange, point{float64(n), s.minMicros(sm.timeMemberChange)})
		tick = append(tick, point{float64(n), s.minMicros(sm.timeTick)})
	}
	s.printFit("bytes_per_endpoint", memory)
	s.printFit("us_record_change_per_endpoint", recordChange)
	s.printFit("us_member_change_per_endpoint", memberChange)
	s.printFit("us_tick_per_endpoint", tick)
	return nil
}

// printFit prints the measured points and the fitted printFit.
func (s slopesRun) printFit(name string, points []point) {
	for _, p := range points {
		s.p.line(fmt.Sprintf("%s_at_%.0f", name, p.size), p.cost)
	}
	base, slope := fitLine(points)
	s.p.line(name+"_base", base)
	s.p.line(name+"_slope", slope)
}

// members measures memory and times that grow with the number of members of a data centre.
func (s slopesRun) members() error {
	const endpoints = 1000
	var memory, memberChange, tick []point
	for _, n := range memberSizes {
		used, err := heapGrowth(func() (*simulation, error) { return newSimulation(endpointsPerService, n) })
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(n), used})
		sm, err := newSimulation(endpoints, n)
		if err != nil {
			return err
		}
		memberChange = append(memberChange, point{float64(n), s.minMicros(sm.timeMemberChange)})
		tick = append(tick, point{float64(n), s.minMicros(sm.timeTick)})
	}
	s.printFit("bytes_per_member", memory)
	s.printFit("us_member_change_per_member", memberChange)
	s.printFit("us_tick_per_member", tick)
	return nil
}

// minMicros returns the smallest of the repeatedly measured times, in us.
func (s slopesRun) minMicros(measure func() time.Duration) float64 {
	best := measure()
	for range s.repeats - 1 {
		best = min(best, measure())
	}
	return float64(best.Nanoseconds()) / 1000
}

// timeRecordChange returns the time to handle a change of one backend server's record.
func (sm *simulation) timeRecordChange(endpoints int) time.Duration {
	objects, revision := sm.engine.Objects()
	_ = objects
	o, err := backendRecord(endpoints-1, "service-0")
	if err != nil {
		return 0
	}
	o.Revision = revision + 1
	start := time.Now()
	sm.handle(instance.ObjectsReceived{Objects: []record.Object{o}, Revision: o.Revision, Source: instance.SourcePlatform})
	return time.Since(start)
}

// timeMemberChange returns the time to handle the first message of a restarted member.
func (sm *simulation) timeMemberChange() time.Duration {
	changed := memberRecord(1)
	changed.Incarnation = sm.now + 1
	e := packet.Envelope{Sender: token.Hash(changed.Name), Incarnation: uint64(changed.Incarnation), Hello: &changed}
	sm.now += instance.TickPeriod
	start := time.Now()
	sm.handle(instance.EnvelopeReceived{Envelope: e})
	return time.Since(start)
}

// timeTick returns the mean time of a tick while no heartbeats are answered.
func (sm *simulation) timeTick() time.Duration {
	start := time.Now()
	for range eventsPerRun {
		sm.now++ // so little that at most one heartbeat is due
		sm.handle(instance.Tick{})
	}
	return time.Since(start) / eventsPerRun
}

// events measures the time of packets: one forwarded to the flow's owner, a probe of an
// owned flow and a probe that adds a flow.
func (s slopesRun) events() error {
	sm, err := newSimulation(1000, designMembers)
	if err != nil {
		return err
	}
	sm.answerHeartbeats(20 * clock.Second) // until every member has answered a heartbeat
	kinds := []struct {
		name string
		make func(n uint64) []instance.Event
	}{
		{"us_forwarded", func(n uint64) []instance.Event {
			p := packet.Packet{Version: packet.Version, Kind: packet.KindGot, Token: sm.sealToken(2, n), Request: 1, Next: 1, Count: 1}
			data, _ := packet.Encode(p)
			return []instance.Event{instance.PacketReceived{From: consumerAddress, Packet: p, Data: data}}
		}},
		{"us_owned", func(n uint64) []instance.Event { return []instance.Event{sm.probeEvent(n%8 + 1)} }},
		{"us_new_flow", func(n uint64) []instance.Event { return []instance.Event{sm.probeEvent(1000 + n)} }},
	}
	for _, k := range kinds {
		s.p.line(k.name, s.minMicros(func() time.Duration { return sm.timeEvents(k.make) }))
	}
	return nil
}

// timeEvents returns the mean time of events that are handled in a row.
func (sm *simulation) timeEvents(event func(n uint64) []instance.Event) time.Duration {
	var events []instance.Event
	for n := range uint64(eventsPerRun) {
		events = append(events, event(n)...)
	}
	start := time.Now()
	for _, e := range events {
		sm.handle(e)
	}
	return time.Since(start) / time.Duration(len(events))
}

// heartbeats measures the bytes of an instance's heartbeats by the number of members of its
// data centre.
func (s slopesRun) heartbeats() error {
	for _, n := range memberSizes {
		sm, err := newSimulation(endpointsPerService, n)
		if err != nil {
			return err
		}
		sm.answerHeartbeats(200 * clock.Second) // until every member has answered a heartbeat
		const seconds = 60
		bytes := sm.answerHeartbeats(seconds * clock.Second)
		s.p.line(fmt.Sprintf("beats_bytes_per_s_at_%d", n), float64(2*bytes)/seconds)
	}
	return nil
}
