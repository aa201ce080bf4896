package measure

import (
	"fmt"
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// simulation is a decision engine of one instance in this process, with records, members
// and a simulated clock.
type simulation struct {
	engine *instance.Engine
	keys   *token.Keys
	self   record.Instance
	now    clock.Millis
}

const simulationStart = 1_000_000 * clock.Second

func memberRecord(n int) record.Instance {
	return record.Instance{
		Name: entryName(n), Centre: centre, PacketAddress: address(n, 1), PeerAddress: address(n, 2), ControlAddress: address(n, 3),
		Size: 1, Incarnation: simulationStart, State: record.StateActive, Schema: record.Schema2,
	}
}

// address returns a distinct address for each n and port.
func address(n, port int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), uint16(port)).String()
}

// newSimulation returns a simulation with records for the given number of endpoints and
// with the given number of members, including the engine's own instance.
func newSimulation(endpoints, members int) (*simulation, error) {
	objects, err := makeRecords(endpoints)
	if err != nil {
		return nil, err
	}
	return newSimulationWithRecords(objects, members)
}

func newSimulationWithRecords(objects []record.Object, members int) (*simulation, error) {
	keys, err := token.NewKeys(1, map[uint8][]byte{1: tokenSecret})
	if err != nil {
		return nil, err
	}
	sm := &simulation{keys: keys, self: memberRecord(0), now: simulationStart}
	sm.engine = instance.New(instance.Settings{Self: sm.self, Keys: keys, RandomSeed: 1, MaxFlows: 1 << 20}, sm.now)
	var list []record.Instance
	for n := range members {
		list = append(list, memberRecord(n))
	}
	sm.handle(instance.InstancesListed{Instances: list})
	sm.handle(instance.ObjectsReceived{Objects: objects, Revision: uint64(len(objects)), FullList: true, Source: instance.SourcePlatform})
	sm.answerHeartbeats(4 * clock.Second)
	return sm, nil
}

func (sm *simulation) handle(e instance.Event) []instance.Action { return sm.engine.Handle(sm.now, e) }

// answerHeartbeats advances the clock while every member answers its heartbeats, and
// returns the bytes of heartbeats and answers.
func (sm *simulation) answerHeartbeats(duration clock.Millis) int {
	bytes := 0
	for end := sm.now + duration; sm.now < end; sm.now += instance.TickPeriod {
		for _, a := range append([]instance.Action(nil), sm.handle(instance.Tick{})...) {
			if sent, isEnvelope := a.(instance.SendEnvelope); isEnvelope {
				bytes += sm.answerHeartbeat(sent)
			}
		}
	}
	return bytes
}

func (sm *simulation) answerHeartbeat(sent instance.SendEnvelope) int {
	data, err := packet.EncodeEnvelope(sent.Envelope)
	if err != nil {
		return 0
	}
	host := sent.To.Addr().As4()
	n := int(host[1])<<16 | int(host[2])<<8 | int(host[3])
	reply := packet.Envelope{
		Sender: token.Hash(entryName(n)), Incarnation: uint64(simulationStart), Heartbeat: sent.Envelope.Heartbeat, Reply: true, Revision: sent.Envelope.Revision,
	}
	replyData, err := packet.EncodeEnvelope(reply)
	if err != nil {
		return 0
	}
	sm.handle(instance.EnvelopeReceived{From: sent.To, Envelope: reply})
	return len(data) + len(replyData)
}

// makeRecords returns the records of backend servers with the given number of endpoints
// and of their services.
func makeRecords(endpoints int) ([]record.Object, error) {
	var objects []record.Object
	add := func(o record.Object, err error) error {
		o.Revision = uint64(len(objects) + 1)
		objects = append(objects, o)
		return err
	}
	for n := range endpoints {
		name := fmt.Sprintf("service-%d", n/endpointsPerService)
		if n%endpointsPerService == 0 {
			if err := add(record.EncodeService(record.Service{Name: name, Host: name}, record.Schema2)); err != nil {
				return nil, err
			}
		}
		if err := add(backendRecord(n, name)); err != nil {
			return nil, err
		}
	}
	return objects, nil
}

// endpointCentre returns the data centre of the n-th endpoint. One in centreCount endpoints
// is in the instance's own data centre.
func endpointCentre(n int) string {
	if n%centreCount == 0 {
		return centre
	}
	return fmt.Sprintf("centre-%d", n%centreCount)
}

func backendRecord(n int, service string) (record.Object, error) {
	return record.EncodeBackend(record.Backend{
		Name: fmt.Sprintf("backend-%d", n), Service: service, Centre: endpointCentre(n), State: record.StateActive,
		Endpoints: []record.Endpoint{{Address: address(n, 80), Slots: 2}},
	}, record.Schema2)
}
