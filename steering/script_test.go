package steering

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// scriptCase is one script of testdata: events and packets in order, and what has
// to come of each.
type scriptCase struct {
	Name  string `yaml:"name"`
	Steps []step `yaml:"steps"`
}

// step is one event or packet. Endpoints are written "ID SERVICE CENTRE" and
// what else differs from a ready one of 2 slots, as in "a1 desk here draining
// revision=7 born=2 at=9". Packets are written "CONSUMER KIND" with fields, as in
// "c1 data token=a1 sequence=100 length=50 ack=7 route=other".
type step struct {
	At            clock.Millis       `yaml:"at"`
	Configuration *configurationStep `yaml:"configuration"`
	Found         []string           `yaml:"found"` // a part of a list
	List          []string           `yaml:"list"`
	Change        []string           `yaml:"change"` // an endpoint, "removed ID revision=N" or "unreadable ID revision=N"
	Revision      uint64             `yaml:"revision"`
	Confirm       bool               `yaml:"confirm"`  // the store confirms all records now
	Returned      bool               `yaml:"returned"` // and had not answered before
	Packet        string             `yaml:"packet"`
	Probe         string             `yaml:"probe"`  // "ID END": a probe ends
	Report        string             `yaml:"report"` // "ID INSTANCE hung", refused, failing or trial: another instance's word
	Asked         string             `yaml:"asked"`  // "INSTANCE CONSUMER ACK [ROUTE]": another instance asks for a flow
	Seen          string             `yaml:"seen"`   // "CONSUMER ACK [ROUTE]": a flow went on at another instance
	Woke          bool               `yaml:"woke"`
	Late          clock.Millis       `yaml:"late"`
	Tick          bool               `yaml:"tick"`

	Want  string   `yaml:"want"`  // "VERDICT REASON [ID]" of the packet
	Not   string   `yaml:"not"`   // endpoint that the packet must not go to
	Tells []string `yaml:"tells"` // what actions say, in any order; nil for any
}

type configurationStep struct {
	Version  int64                     `yaml:"version"`
	Revision uint64                    `yaml:"revision"`
	Routes   map[string]map[string]int `yaml:"routes"` // weights by service, by route
	Safe     []string                  `yaml:"safe"`   // routes whose requests may be repeated
	From     uint64                    `yaml:"from"`   // sent as what changes since this revision
}

var routeEnds = map[string]AddrPort{"desk": {1, 443}, "other": {1, 80}, "third": {2, 443}, "": {1, 443}}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		var cases []scriptCase
		script.Read(t, file, &cases)
		require.NotEmpty(t, cases)
		for _, c := range cases {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".yaml")+"/"+c.Name, func(t *testing.T) {
				e := NewEngine(Settings{Centre: "here", StaleAfter: 1650, Seed: 1})
				for i, s := range c.Steps {
					play(t, e, fmt.Sprintf("step %d at %d", i+1, s.At), s)
				}
			})
		}
	}
}

// start is when scripts begin: no clock of a daemon starts at 0.
const start = 1_000_000

func play(t *testing.T, e *Engine, name string, s step) {
	t.Helper()
	now := start + s.At
	var told []string
	collect := func(actions []Action) {
		for _, a := range actions {
			if text := tell(a); text != "" {
				told = append(told, text)
			}
		}
	}
	for _, v := range s.events(t, e, now) {
		collect(e.Handle(now, v))
	}
	if s.Packet != "" {
		s.steer(t, e, name, now)
		collect(e.TakeActions())
	}
	if s.Tells != nil {
		require.ElementsMatch(t, s.Tells, told, name)
	}
}

// events returns the events of a step, in order.
func (s *step) events(t *testing.T, e *Engine, now clock.Millis) (events []Event) {
	add := func(wanted bool, v func() Event) {
		if wanted {
			events = append(events, v())
		}
	}
	add(s.Configuration != nil, func() Event { return configurationEvent(t, e, s.Configuration) })
	add(s.Found != nil, func() Event {
		v := EndpointsPageRead{}
		for _, text := range s.Found {
			v.Endpoints = append(v.Endpoints, parseChange(t, text).Endpoint)
		}
		return v
	})
	add(s.List != nil, func() Event { return listEvent(t, *s) })
	add(s.Change != nil, func() Event { return s.changes(t) })
	add(s.Confirm || s.Returned, func() Event {
		v := RecordsConfirmed{ConfigurationAt: now, EndpointsAt: now}
		if s.Returned {
			v.StoreRecoveredAt = now
		}
		return v
	})
	add(s.Probe != "", func() Event {
		id, end, _ := strings.Cut(s.Probe, " ")
		return ProbeEnded{Endpoint: "i-" + id, Incarnation: 1, Result: endNamed(t, end)}
	})
	add(s.Report != "", func() Event {
		words := strings.Fields(s.Report)
		trial := words[2] == "trial"
		f := EndpointFault{Endpoint: "i-" + words[0], Incarnation: 1, Refused: words[2] == "refused", Failing: trial || words[2] == "failing", Probation: trial}
		return FaultReported{Sender: words[1], EndpointFault: f}
	})
	add(s.Asked != "", func() Event {
		by, sight, _ := strings.Cut(s.Asked, " ")
		return FlowsQueried{Sender: by, Flows: []FlowProgress{parseSight(t, sight)}}
	})
	add(s.Seen != "", func() Event { return FlowsReported{Flows: []FlowProgress{parseSight(t, s.Seen)}} })
	add(s.Woke, func() Event { return ProcessStalled{} })
	add(s.Tick || s.Late > 0, func() Event { return Ticked{Delay: s.Late} })
	return events
}

func (s *step) changes(t *testing.T) Event {
	v := EndpointsChanged{Revision: s.Revision}
	for _, text := range s.Change {
		v.Changes = append(v.Changes, parseChange(t, text))
	}
	return v
}

// steer plays the packet of a step and checks the decision on it.
func (s *step) steer(t *testing.T, e *Engine, name string, now clock.Millis) {
	t.Helper()
	p := parsePacket(t, s.Packet)
	d := e.Steer(now, &p)
	got := fmt.Sprintf("%s %s", d.Verdict, d.Reason)
	if d.Verdict == Forward {
		got += " " + strings.TrimPrefix(d.Endpoint.ID, "i-")
	}
	require.True(t, strings.HasPrefix(got+" ", s.Want), "%s: %s is %q, want %q", name, s.Packet, got, s.Want)
	if s.Not != "" {
		require.NotEqual(t, "i-"+s.Not, d.Endpoint.ID, "%s: %s", name, s.Packet)
	}
}

func configurationEvent(t *testing.T, e *Engine, c *configurationStep) Event {
	n := &Configuration{Version: c.Version, Revision: c.Revision, IdleTimeout: 15000, Routes: map[AddrPort]Route{}}
	for name, weights := range c.Routes {
		at, known := routeEnds[name]
		require.True(t, known, "route %q", name)
		r := Route{Name: name}
		for _, service := range []string{"desk", "gallery"} {
			if w, given := weights[service]; given {
				r.Shares = append(r.Shares, Share{service, w})
			}
		}
		for _, safe := range c.Safe {
			r.Idempotent = r.Idempotent || safe == name
		}
		n.Routes[at] = r
	}
	if c.From == 0 {
		return ConfigurationRead{Configuration: n}
	}
	d := n.DeltaFrom(e.Configuration())
	d.From = c.From
	return ConfigurationRevised{Delta: d}
}

func listEvent(t *testing.T, s step) Event {
	v := EndpointsListed{Revision: s.Revision}
	for _, text := range s.List {
		if c := parseChange(t, text); c.Unreadable {
			v.Unreadable = append(v.Unreadable, c)
		} else {
			v.Endpoints = append(v.Endpoints, c.Endpoint)
		}
	}
	return v
}

func parseChange(t *testing.T, text string) EndpointChange {
	words := strings.Fields(text)
	if words[0] == "removed" || words[0] == "unreadable" {
		p := parseEndpoint(t, words[1:])
		return EndpointChange{Endpoint: p, Removed: words[0] == "removed", Unreadable: words[0] == "unreadable"}
	}
	return EndpointChange{Endpoint: parseEndpoint(t, words)}
}

func parseEndpoint(t *testing.T, words []string) Endpoint {
	number, err := strconv.ParseUint(words[0], 16, 64)
	require.NoError(t, err)
	p := Endpoint{ID: "i-" + words[0], Number: number, Revision: 1, Slots: 2, Incarnation: 1, Address: AddrPort{uint32(number), 80}}
	place := []*string{&p.Service, &p.Centre}
	for _, w := range words[1:] {
		name, value, given := strings.Cut(w, "=")
		switch {
		case w == "draining":
			p.Draining = true
		case !given:
			*place[0], place = w, place[1:]
		default:
			n, err := strconv.ParseUint(value, 10, 64)
			require.NoError(t, err)
			switch name {
			case "revision":
				p.Revision = n
			case "born":
				p.Incarnation = clock.Millis(n)
			case "at":
				p.Address.Address = uint32(n)
			case "warmup":
				p.Warmup = clock.Millis(n)
			default:
				require.Fail(t, "endpoint", "field %q does not exist", name)
			}
		}
	}
	return p
}

func parseSight(t *testing.T, text string) FlowProgress {
	words := append(strings.Fields(text), "")
	v := FlowProgress{Destination: routeEnds[words[2]]}
	_, err := fmt.Sscanf(text, "c%d %d", &v.Consumer.Address, &v.Ack)
	require.NoError(t, err, "flow %q", text)
	v.Consumer.Port = 1000
	return v
}

func tellSights(sights []FlowProgress) string {
	var words []string
	for _, s := range sights {
		words = append(words, fmt.Sprintf(" c%d %d", s.Consumer.Address, s.Ack))
	}
	slices.Sort(words) // flows are looked at in any order
	return strings.Join(words, "")
}

var packetFlags = map[string]Flags{
	"open": Open, "data": Acknowledge, "ack": Acknowledge, "finish": Acknowledge | Finish, "abort": Abort,
	"forged": Open | Acknowledge,
}

func parsePacket(t *testing.T, text string) Packet {
	words := strings.Fields(text)
	consumer, err := strconv.ParseUint(strings.TrimPrefix(words[0], "c"), 10, 16)
	require.NoError(t, err)
	flags, known := packetFlags[words[1]]
	require.True(t, known, "packet %q", text)
	p := Packet{Consumer: AddrPort{uint32(consumer), 1000}, Destination: routeEnds[""], Flags: flags, Sequence: 100, Ack: 50}
	if words[1] == "open" {
		p.Ack = 0
	}
	for _, w := range words[2:] {
		name, value, _ := strings.Cut(w, "=")
		if name == "route" {
			p.Destination = routeEnds[value]
			continue
		}
		base := 10
		if name == "token" {
			base = 16
		}
		n, err := strconv.ParseUint(value, base, 64)
		require.NoError(t, err)
		switch name {
		case "token":
			p.Token = Token(uint32(n) ^ uint32(n>>32))
		case "sequence":
			p.Sequence = uint32(n)
		case "length":
			p.Length = int(n)
		case "ack", "copy":
			p.Ack = uint32(n)
		case "port":
			p.Consumer.Port = uint16(n)
		default:
			require.Fail(t, "packet", "field %q does not exist", name)
		}
	}
	return p
}

func endNamed(t *testing.T, name string) ProbeResult {
	for end, n := range probeResultNames {
		if n == name {
			return end
		}
	}
	require.Fail(t, "probe", "end %q does not exist", name)
	return ProbeTimedOut
}

// tell puts an action into the words of scripts. Answers aren't told.
func tell(a Action) string {
	short := func(id string) string { return strings.TrimPrefix(id, "i-") }
	switch v := a.(type) {
	case Probe:
		return "probe " + short(v.Endpoint)
	case ConfigurationAccepted:
		return fmt.Sprintf("configuration %d", v.Version)
	case EndpointStateChanged:
		return short(v.Endpoint) + " " + v.State
	case EndpointSilent:
		return short(v.Endpoint) + " silent"
	case ReportFault:
		if v.Refused {
			return "told others " + short(v.Endpoint) + " refused"
		}
		return "told others " + short(v.Endpoint) + " hung"
	case QueryFlows:
		return "ask for" + tellSights(v.Flows)
	case SendTallies:
		return "share tallies"
	case ReportFlows:
		return "tell " + v.Receiver + tellSights(v.Flows)
	case EndpointEjected:
		return fmt.Sprintf("%s failing %s", short(v.Endpoint), v.Cause)
	case ResetFlow:
		return fmt.Sprintf("reset c%d", v.Consumer.Address)
	case EndpointLost:
		return fmt.Sprintf("%s lost %s", short(v.Endpoint), v.Cause)
	}
	return ""
}
