package fleet

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/demand"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// memberSums is what a member of a simulation knows of the load of its data centre.
type memberSums struct {
	number   uint64
	takenAt  clock.Millis
	parts    map[int]demand.Summary
	partAt   map[int]clock.Millis // when the digests in the part were taken
	partsNow int
}

func (m *memberSums) recordSums(sm *simulation, s demand.Summary) {
	if s.Parts != m.partsNow {
		m.parts, m.partAt, m.partsNow = map[int]demand.Summary{}, map[int]clock.Millis{}, s.Parts
	}
	m.parts[s.Part], m.partAt[s.Part] = s, sm.now-s.Age
}

// asUnderstood returns a message as its receiver reads it. An earlier version mustn't get a
// message that it doesn't know.
func (sm *simulation) asUnderstood(to netip.AddrPort, m Message) Message {
	for _, n := range sm.members {
		if n.Address != to || !n.isOld {
			continue
		}
		switch v := m.(type) {
		case DemandReport:
			require.Fail(sm.t, "an earlier version gets a report of load")
		case Heartbeat:
			v.Demand = nil
			return v
		case RelayedHeartbeat:
			v.Demand = nil
			return v
		}
	}
	return m
}

// takeDemand lets a member report one flow at each endpoint, each period.
func (sm *simulation) takeDemand(n *testMember) {
	if sm.endpoints == 0 || n.isOld || sm.now-n.takenAt < demand.Period {
		return
	}
	n.takenAt = sm.now
	n.number++
	loads := make([]demand.Load, sm.endpoints)
	for i := range loads {
		loads[i] = demand.Load{Token: uint32(i+1) * 2654435761, Flows: 1, Pending: 1, Latency: 150, Answers: 12}
	}
	services := []demand.Service{{Name: "hub-exchange", Placed: 3}, {Name: "pod-archive", Placed: 1}}
	sm.perform(n, n.engine.Handle(sm.now, DemandTaken{Digests: demand.NewDigest(n.number, loads, services)}))
}

func (sm *simulation) expectSums(name string, s scenarioStep) {
	if s.Summed == 0 {
		return
	}
	for i, n := range sm.members {
		if !n.live || n.stalled || n.isOld {
			continue
		}
		require.Len(sm.t, n.parts, n.partsNow, "%s: member %d", name, i)
		endpoints := 0
		for part, sum := range n.parts {
			require.Equal(sm.t, s.Summed, sum.Members, "%s: member %d", name, i)
			require.LessOrEqual(sm.t, sm.now-n.partAt[part], s.MaxSumAge, "%s: member %d: age of the sums", name, i)
			for _, l := range sum.Loads {
				require.Equal(sm.t, s.Summed, l.Flows, "%s: member %d", name, i)
				endpoints++
			}
		}
		require.Equal(sm.t, sm.endpoints, endpoints, "%s: member %d", name, i)
	}
}

// TestDemand plays members that report their load, and checks the sums that they get.
func TestDemand(t *testing.T) {
	var cases []scenario
	script.Read(t, "testdata/demand.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			sm := newSimulation(t, c)
			for i, s := range c.Steps {
				sm.step(fmt.Sprintf("step %d", i+1), s)
				sm.logTraffic(i, s)
			}
		})
	}
}

// logTraffic logs what members sent in a step.
func (sm *simulation) logTraffic(i int, s scenarioStep) {
	total, most, live := 0, 0, 0
	for _, n := range sm.members {
		if n.live {
			total, most, live = total+n.bytesSent, max(most, n.bytesSent), live+1
		}
	}
	seconds := float64(s.Duration) / float64(clock.Second)
	sm.t.Logf("step %d: %d members sent %.0f bytes a second each on average, %.0f at most", i+1, live, float64(total)/float64(live)/seconds, float64(most)/seconds)
}

// TestDemandMessages checks that reports and sums pass as they are, that those beyond their limits
// are rejected, and that a heartbeat goes without sums rather than not at all if they don't fit.
func TestDemandMessages(t *testing.T) {
	from := Member{Name: "edge-1", Centre: "here", Address: netip.MustParseAddrPort("127.0.0.1:7720"), StartedAt: 5}
	sums := demand.Summary{Parts: 1, Members: 20, Age: 250, Loads: demand.Loads{{Token: 7, Flows: 3, Pending: 2, Latency: 40, Answers: 9}}}
	for _, m := range []Message{
		DemandReport{demand.Digest{Number: 4, Parts: 1, Loads: sums.Loads, Services: []demand.Service{{Name: "s", Placed: 1, Sheds: 2}}}},
		Heartbeat{Demand: &sums},
		RelayedHeartbeat{Watcher: from, Demand: &sums},
	} {
		data, err := Encode(from, m)
		require.NoError(t, err)
		_, got, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
	for _, m := range []Message{
		DemandReport{demand.Digest{Parts: 0}}, Heartbeat{Demand: &demand.Summary{Parts: 1, Age: -1}}, RelayedHeartbeat{Watcher: from, Demand: &demand.Summary{Parts: 2, Part: 2}},
	} {
		data, err := Encode(from, m)
		require.NoError(t, err)
		_, _, err = Decode(data)
		require.ErrorIs(t, err, ErrMessage)
	}
	for _, c := range []struct {
		nameSize int
		fits     bool
	}{{10, true}, {maxNameBytes, false}} {
		sm := newSimulation(t, scenario{Members: 17, Endpoints: 80})
		sm.step("", scenarioStep{Duration: 3 * clock.Second, Watchers: []int{0}, Summed: 17, MaxSumAge: 1300})
		n := sm.members[0].engine
		n.settings.Self.Name += strings.Repeat("x", c.nameSize-len(n.settings.Self.Name))
		n.settings.Self.Centre += strings.Repeat("x", c.nameSize-len(n.settings.Self.Centre))
		require.True(t, n.demandOn(sm.now))
		sums, _ := n.takeSums(sm.now)
		require.Equal(t, c.fits, sums != nil)
	}
}

// TestLongNameOfRelay checks that a relay whose name is longer than the watcher's passes on a heartbeat
// without the sums rather than not at all if both don't fit.
func TestLongNameOfRelay(t *testing.T) {
	sm := newSimulation(t, scenario{Members: 38, Endpoints: 80})
	sm.step("", scenarioStep{Duration: 3 * clock.Second, Watchers: []int{0}, Summed: 38, MaxSumAge: 1300})
	watcher := sm.members[0].engine
	sums, _ := watcher.takeSums(sm.now)
	require.NotNil(t, sums)
	sums.Services = nil
	for i := range demand.MaxServices {
		sums.Services = append(sums.Services, demand.Service{Name: fmt.Sprintf("service-%03d", i), Placed: 300})
	}
	sent := map[bool]int{} // relayed heartbeats, by whether they have sums
	for _, n := range sm.members[1:] {
		p := *n.engine.peers.find(sm.members[0].Name)
		p.Centre = strings.Repeat("x", maxNameBytes)
		self := &n.engine.settings.Self
		self.Centre = p.Centre
		for _, size := range []int{len(self.Name), maxNameBytes} {
			self.Name += strings.Repeat("x", size-len(self.Name))
			for _, a := range n.engine.relayHeartbeat(sm.now, &p, Heartbeat{State: watcher.RecordState(sm.now), Demand: sums, Relay: true}) {
				_, err := Encode(*self, a.(Send).Message)
				require.NoError(t, err)
				sent[a.(Send).Message.(RelayedHeartbeat).Demand != nil]++
			}
		}
	}
	require.Positive(t, sent[true])
	require.Positive(t, sent[false])
}
