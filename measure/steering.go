package measure

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/steering"
)

var steeringVerb = verb{
	name:    "steering",
	summary: "cost of steering per packet, flow, endpoint, tick and message",
	usage: `Runs the decisions on opaque flows in this process at several sizes. A size is the last
part of a name.

  bytes_* memory in use, in bytes per flow or endpoint
  ns_* time, in ns: of a packet of an open flow and a tick, by the number of flows; of
             an opening packet and a change of an endpoint, by the number of endpoints
  message_* bytes of one message between members
  fleet_* messages and bytes per second that a watcher sends at rest, by members`,
	defineFlags: func(flags *flag.FlagSet) measureFunc {
		repeats := flags.Int("repeats", 3, "number of times that each cost is measured; the smallest counts")
		return func(_ context.Context, p *printer) error { return steeringRun{p: p, repeats: *repeats}.run() }
	},
}

// steeringRun measures the cost of package steering and of fleet's messages.
type steeringRun struct {
	p       *printer
	repeats int
}

// Sizes at which costs of steering are measured. The intended deployment has 8 million
// flows over 740 daemons, 10,800 each, and 627 endpoints in a data centre.
var (
	steeringFlowCounts     = []int{1000, 4000, 10_800}
	steeringEndpointCounts = []int{150, 627, 6900}
	steeringMemberCounts   = []int{8, 26, 67}
)

// packetsPerRun is the number of packets per measured time.
const packetsPerRun = 200_000

var routeAddress = steering.AddrPort{Address: 1, Port: 443}

// newSteeringEngine returns an engine with one route and the given number of endpoints.
func newSteeringEngine(endpoints int) *steering.Engine {
	e := steering.NewEngine(steering.Settings{Centre: "here", StaleAfter: clock.Second, Seed: 1})
	e.Handle(1, steering.ConfigurationRead{Configuration: &steering.Configuration{
		Version: 1, Revision: 1, IdleTimeout: clock.Minute,
		Routes: map[steering.AddrPort]steering.Route{routeAddress: {Name: "r", Shares: []steering.Share{{Service: "s", Weight: 1}}}},
	}})
	list := steering.EndpointsListed{Revision: 2}
	for n := range endpoints {
		list.Endpoints = append(list.Endpoints, steeringEndpoint(n, 2))
	}
	e.Handle(1, list)
	return e
}

func steeringEndpoint(n int, revision uint64) steering.Endpoint {
	return steering.Endpoint{
		ID: fmt.Sprintf("i-%08x", n+1), Number: uint64(n + 1), Revision: revision, Service: "s", Centre: "here", Slots: 2,
		Address: steering.AddrPort{Address: uint32(n + 1), Port: 80}, Incarnation: 1,
	}
}

// flowPacket returns a packet of an open flow.
func flowPacket(flow, endpoints int, ack uint32) steering.Packet {
	return steering.Packet{
		Consumer: steering.AddrPort{Address: uint32(flow), Port: 1}, Destination: routeAddress, Flags: steering.Acknowledge,
		Sequence: 1, Ack: ack, Length: 100, Token: steering.Token(flow%endpoints + 1),
	}
}

func (s steeringRun) run() error {
	for _, n := range steeringFlowCounts {
		s.flows(n)
	}
	for _, n := range steeringEndpointCounts {
		s.endpoints(n)
	}
	for _, n := range steeringMemberCounts {
		if err := s.members(n); err != nil {
			return err
		}
	}
	return s.messages()
}

// minNanos returns the smallest of the repeatedly measured times of do, in ns per unit.
func (s steeringRun) minNanos(units int, do func()) float64 {
	best := 0.0
	for range s.repeats {
		start := time.Now()
		do()
		if elapsed := float64(time.Since(start).Nanoseconds()) / float64(units); best == 0 || elapsed < best {
			best = elapsed
		}
	}
	return best
}

func (s steeringRun) flows(n int) {
	const endpoints = 150
	before := liveHeap()
	e := newSteeringEngine(endpoints)
	empty := liveHeap()
	for f := range n {
		p := flowPacket(f, endpoints, 1)
		e.Steer(2, &p)
	}
	s.p.line(fmt.Sprintf("bytes_flow_%d", n), (liveHeap()-empty)/float64(n))
	s.p.line("bytes_endpoint", (empty-before)/endpoints)
	ack := uint32(1)
	s.p.line(fmt.Sprintf("ns_packet_%d", n), s.minNanos(packetsPerRun, func() {
		for i := range packetsPerRun {
			if i%n == 0 {
				ack++
			}
			p := flowPacket(i%n, endpoints, ack)
			e.Steer(3, &p)
		}
	}))
	tick := s.minNanos(1, func() { e.Handle(4, steering.Ticked{}) })
	s.p.line(fmt.Sprintf("ns_tick_%d", n), tick)
}

func (s steeringRun) endpoints(n int) {
	e := newSteeringEngine(n)
	flow := 0
	const openings = 2000
	s.p.line(fmt.Sprintf("ns_opening_%d", n), s.minNanos(openings, func() {
		for range openings {
			flow++
			p := steering.Packet{Consumer: steering.AddrPort{Address: uint32(flow), Port: 2}, Destination: routeAddress, Flags: steering.Open}
			e.Steer(2, &p)
		}
	}))
	revision := uint64(10)
	s.p.line(fmt.Sprintf("ns_change_%d", n), s.minNanos(openings, func() {
		for i := range openings {
			revision++
			change := steering.EndpointChange{Endpoint: steeringEndpoint(i%n, revision)}
			e.Handle(3, steering.EndpointsChanged{Changes: []steering.EndpointChange{change}, Revision: revision})
		}
	}))
}

// fleetMember returns the n-th member of a data centre.
func fleetMember(n int) fleet.Member {
	address := netip.AddrFrom4([4]byte{10, 1, byte(n / 250), byte(n%250 + 1)})
	return fleet.Member{Name: fmt.Sprintf("edge-riga-a-%d", n), Centre: "riga-a", Address: netip.AddrPortFrom(address, 7720), StartedAt: 1}
}

// members measures the messages and bytes per second that a watcher sends at rest.
func (s steeringRun) members(n int) error {
	self := fleetMember(0)
	e := fleet.NewEngine(fleet.Settings{Self: self, RecordBound: 3 * clock.Second}, 1)
	var others []fleet.Member
	for i := 1; i < n; i++ {
		others = append(others, fleetMember(i))
	}
	e.Handle(1, fleet.MembersListed{Members: others})
	e.Handle(2, fleet.RecordsRead{})
	messages, bytes := 0, 0
	const duration = 10 * clock.Second
	for now := clock.Millis(3); now < duration; now += 100 {
		e.Handle(now, fleet.RecordsRead{}) // the store answers the watch in time
		for _, a := range e.Handle(now, fleet.Ticked{}) {
			send, isSend := a.(fleet.Send)
			if !isSend {
				continue
			}
			data, err := fleet.Encode(self, send.Message)
			if err != nil {
				return err
			}
			messages += len(send.To)
			bytes += len(send.To) * len(data)
		}
	}
	s.p.line(fmt.Sprintf("fleet_watcher_messages_%d", n), float64(messages)/10)
	s.p.line(fmt.Sprintf("fleet_watcher_bytes_%d", n), float64(bytes)/10)
	return nil
}

func (s steeringRun) messages() error {
	tallies := make([]steering.Tally, 40)
	for i := range tallies {
		tallies[i] = steering.Tally{Token: 1 << 31, Normal: 5}
	}
	for _, m := range []struct {
		name    string
		message fleet.Message
	}{
		{"beat", fleet.Heartbeat{State: fleet.RecordState{ConfigurationRevision: 1 << 20, ConfirmedRevision: 1 << 20, ChangeRevision: 1 << 20, EndpointsRevision: 1 << 20}}},
		{"change", fleet.EndpointChanges{Since: 1 << 20, Changes: []steering.EndpointChange{{Endpoint: steeringEndpoint(1, 1<<20)}}}},
		{"tallies_40", fleet.EndpointTallies{Tallies: tallies}},
	} {
		data, err := fleet.Encode(fleetMember(1), m.message)
		if err != nil {
			return err
		}
		s.p.integer("message_"+m.name, int64(len(data)))
	}
	return nil
}
