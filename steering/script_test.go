package steering

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/evacuation"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// scriptCase is a case of testdata: events and packets in order, with the expected
// decisions and actions.
type scriptCase struct {
	Name       string       `yaml:"name"`
	TickPeriod clock.Millis `yaml:"period"` // 0 if ticks need not come in time
	Evacuate   bool         `yaml:"evacuate"`
	Warmup     []float64    `yaml:"warmup"` // excess and slack of the limit of cold endpoints, and the period of reports; nil for no limit
	Steps      []step       `yaml:"steps"`
}

// step is one event or packet. Endpoints are written as "ID SERVICE CENTRE", followed by
// differences from a ready endpoint with 2 slots, as in "a1 desk here draining revision=7
// born=2 at=9". Packets are written as "CONSUMER KIND", followed by fields, as in "c1 data
// token=a1 sequence=100 length=50 ack=7 route=other".
type step struct {
	At             clock.Millis       `yaml:"at"`
	Configuration  *configurationStep `yaml:"configuration"`
	Page           []string           `yaml:"found"` // a page of a list
	List           []string           `yaml:"list"`
	Change         []string           `yaml:"change"` // an endpoint, "removed ID revision=N" or "unreadable ID revision=N"
	Revision       uint64             `yaml:"revision"`
	Members        []string           `yaml:"members"`  // instances of the data centre; this one is called self
	Orders         string             `yaml:"orders"`   // "REVISION [CENTRE=REVISION]... [partial]": all evacuation orders
	Confirm        bool               `yaml:"confirm"`  // the store confirms all records now
	StoreRecovered bool               `yaml:"returned"` // the same, after an outage of the store
	Packet         string             `yaml:"packet"`
	Answers        string             `yaml:"answers"` // "CONSUMER ID COUNT SIZE [ROUTE]": requests on a flow, each answered at once
	ProbeResult    string             `yaml:"probe"`   // "ID RESULT [late=N]" of the last probe, or "ID RESULT earlier" of the one before
	FaultReport    string             `yaml:"report"`  // "ID INSTANCE hung" (or refused, failing, trial): a fault that another instance reports
	Tally          string             `yaml:"counts"`  // "INSTANCE ID normal=N small=N overdue=N unanswered=AGE": a tally of another instance
	FlowQuery      string             `yaml:"asked"`   // "INSTANCE CONSUMER ACK [ROUTE]": a query from another instance
	FlowReport     string             `yaml:"seen"`    // "CONSUMER ACK [ROUTE]": a flow progressed at another instance
	Stalled        bool               `yaml:"woke"`
	TickDelay      clock.Millis       `yaml:"late"`   // how late the tick is
	Unread         clock.Millis       `yaml:"unread"` // how long packets may have waited unread at the tick
	Tick           bool               `yaml:"tick"`

	Want        string         `yaml:"want"`       // "VERDICT REASON [ID]" for the packet, or a prefix of it
	WantNot     string         `yaml:"not"`        // endpoint that the packet must not be forwarded to
	WantControl string         `yaml:"control"`    // control endpoint of the probe that the step requests, or "none"
	WantActions []string       `yaml:"tells"`      // actions in any order, as describeAction writes them; nil for any
	Services    map[string]int `yaml:"services"`   // MaxFlows by service of the configuration in force; nil for any
	Conditions  []string       `yaml:"conditions"` // "TYPE SUBJECT" of each condition; nil for any
}

type configurationStep struct {
	Version    int64                     `yaml:"version"`
	Revision   uint64                    `yaml:"revision"`
	Routes     map[string]map[string]int `yaml:"routes"`   // weights by service, by route
	Idempotent []string                  `yaml:"safe"`     // routes with idempotent requests
	Services   map[string]int            `yaml:"services"` // MaxFlows by service; nil if the services aren't known
	From       uint64                    `yaml:"from"`     // if set, sent as changes since this revision
	// Names of unreadable routes, "service NAME", or "all" for the whole configuration.
	Faults []string           `yaml:"faults"`
	Warm   map[string]float64 `yaml:"warm"` // services with a warm-up, and the rates that their cold endpoints bear
}

var routeAddresses = map[string]AddrPort{"desk": {1, 443}, "other": {1, 80}, "third": {2, 443}, "": {1, 443}}

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
				settings := Settings{Centre: "here", Instance: "self", StaleAfter: 1650, TickPeriod: c.TickPeriod, Seed: 1, Evacuations: c.Evacuate}
				if c.Warmup != nil {
					settings.Warmup = &WarmupBounds{Excess: c.Warmup[0], Slack: c.Warmup[1], ReportPeriod: clock.Millis(c.Warmup[2])}
				}
				e := NewEngine(settings)
				for i, s := range c.Steps {
					runStep(t, e, fmt.Sprintf("step %d at %d", i+1, s.At), s)
				}
			})
		}
	}
}

// startTime is the time at the start of scripts, in ms. It is not 0, since the clock of a
// daemon never is, and 0 means no time in the engine.
const startTime = 1_000_000

func runStep(t *testing.T, e *Engine, name string, s step) {
	t.Helper()
	now := startTime + s.At
	var got []string
	collect := func(actions []Action) {
		for _, a := range actions {
			if v, ok := a.(Probe); ok && s.WantControl != "" {
				require.Equal(t, s.WantControl, describeControl(e, v), name)
			}
			if text := describeAction(a); text != "" {
				got = append(got, text)
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
	if s.Answers != "" {
		s.steerAnswers(t, e, name, now)
		collect(e.TakeActions())
	}
	if s.Services != nil {
		services := map[string]int{}
		for name, v := range e.Configuration().Services {
			services[name] = v.MaxFlows
		}
		require.Equal(t, s.Services, services, name)
	}
	if s.Conditions != nil {
		conditions := []string{}
		for _, c := range e.Conditions(now) {
			conditions = append(conditions, c.Type+" "+c.Subject)
		}
		require.Equal(t, s.Conditions, conditions, name)
	}
	if s.WantActions != nil {
		require.ElementsMatch(t, s.WantActions, got, name)
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
	add(s.Page != nil, func() Event {
		v := EndpointsPageRead{}
		for _, text := range s.Page {
			v.Endpoints = append(v.Endpoints, parseChange(t, text).Endpoint)
		}
		return v
	})
	add(s.List != nil, func() Event { return listEvent(t, *s) })
	add(s.Change != nil, func() Event { return s.changes(t) })
	add(s.Members != nil, func() Event { return MembersKnown{Names: s.Members} })
	add(s.Orders != "", func() Event { return EvacuationsRead{Orders: parseOrders(t, s.Orders)} })
	add(s.Confirm || s.StoreRecovered, func() Event {
		v := RecordsConfirmed{ConfigurationAt: now, EndpointsAt: now}
		if s.StoreRecovered {
			v.StoreRecoveredAt = now
		}
		return v
	})
	add(s.ProbeResult != "", func() Event {
		return parseProbe(t, e, s.ProbeResult)
	})
	add(s.FaultReport != "", func() Event {
		words := strings.Fields(s.FaultReport)
		probation := words[2] == "trial"
		f := EndpointFault{Endpoint: "i-" + words[0], Incarnation: 1, Refused: words[2] == "refused", Failing: probation || words[2] == "failing", Probation: probation}
		return FaultReported{Sender: words[1], EndpointFault: f}
	})
	add(s.Tally != "", func() Event { return parseTally(t, s.Tally) })
	add(s.FlowQuery != "", func() Event {
		sender, flow, _ := strings.Cut(s.FlowQuery, " ")
		return FlowsQueried{Sender: sender, Flows: []FlowProgress{parseFlow(t, flow)}}
	})
	add(s.FlowReport != "", func() Event { return FlowsReported{Flows: []FlowProgress{parseFlow(t, s.FlowReport)}} })
	add(s.Stalled, func() Event { return ProcessStalled{} })
	add(s.Tick || s.TickDelay > 0 || s.Unread > 0, func() Event { return Ticked{Delay: s.TickDelay, Unread: s.Unread} })
	return events
}

func (s *step) changes(t *testing.T) Event {
	v := EndpointsChanged{Revision: s.Revision}
	for _, text := range s.Change {
		v.Changes = append(v.Changes, parseChange(t, text))
	}
	return v
}

// steer sends the packet of a step and checks the decision.
func (s *step) steer(t *testing.T, e *Engine, name string, now clock.Millis) {
	t.Helper()
	p := parsePacket(t, s.Packet)
	d := e.Steer(now, &p)
	got := fmt.Sprintf("%s %s", d.Verdict, d.Reason)
	if d.Verdict == Forward {
		got += " " + strings.TrimPrefix(d.Endpoint.ID, "i-")
	}
	require.True(t, strings.HasPrefix(got+" ", s.Want), "%s: %s is %q, want %q", name, s.Packet, got, s.Want)
	if s.WantNot != "" {
		require.NotEqual(t, "i-"+s.WantNot, d.Endpoint.ID, "%s: %s", name, s.Packet)
	}
}

// steerAnswers sends the packets of the consumer for the answers of a step.
func (s *step) steerAnswers(t *testing.T, e *Engine, name string, now clock.Millis) {
	t.Helper()
	words := append(strings.Fields(s.Answers), "")
	count, err := strconv.Atoi(words[2])
	require.NoError(t, err, "answers %q", s.Answers)
	size, err := strconv.ParseUint(words[3], 10, 32)
	require.NoError(t, err, "answers %q", s.Answers)
	p := parsePacket(t, fmt.Sprintf("%s data token=%s route=%s", words[0], words[1], words[4]))
	if w := e.flows.byKey[p.key()]; w != nil {
		p.Sequence, p.Ack = w.endSequence, w.ack
	}
	for range count {
		p.Length = 10
		require.Equal(t, Forward, e.Steer(now, &p).Verdict, name)
		p.Sequence, p.Ack, p.Length = p.Sequence+10, p.Ack+uint32(size), 0
		require.Equal(t, Forward, e.Steer(now, &p).Verdict, name)
	}
}

// services returns the services of a configuration, or nil if it has none.
func (c *configurationStep) services() map[string]Service {
	if c.Services == nil && c.Warm == nil {
		return nil
	}
	list := map[string]Service{}
	for name, limit := range c.Services {
		list[name] = Service{MaxFlows: limit}
	}
	for name, rate := range c.Warm {
		list[name] = Service{MaxFlows: c.Services[name], Warmup: coldTime, WarmupRate: rate}
	}
	return list
}

func configurationEvent(t *testing.T, e *Engine, c *configurationStep) Event {
	n := &Configuration{Version: c.Version, Revision: c.Revision, IdleTimeout: 15000, Routes: map[AddrPort]Route{}}
	for name, weights := range c.Routes {
		at, known := routeAddresses[name]
		require.True(t, known, "route %q", name)
		r := Route{Name: name}
		for _, service := range []string{"desk", "gallery"} {
			if w, given := weights[service]; given {
				r.Shares = append(r.Shares, Share{service, w})
			}
		}
		for _, safe := range c.Idempotent {
			r.Idempotent = r.Idempotent || safe == name
		}
		n.Routes[at] = r
	}
	n.Services = c.services()
	if c.From == 0 {
		read := ConfigurationRead{Configuration: n}
		for _, name := range c.Faults {
			if name == "all" {
				return ConfigurationRead{Faults: []ConfigurationFault{{Revision: c.Revision, Cause: "odd"}}}
			}
			f := ConfigurationFault{Revision: c.Revision, Cause: "odd"}
			if service, found := strings.CutPrefix(name, "service "); found {
				f.Service = service
			} else {
				f.Route = name
			}
			read.Faults = append(read.Faults, f)
		}
		return read
	}
	d := n.DeltaFrom(e.Configuration())
	d.From = c.From
	data, err := cbor.Marshal(d)
	require.NoError(t, err)
	var received Delta
	require.NoError(t, cbor.Unmarshal(data, &received))
	require.NoError(t, received.Check())
	return ConfigurationRevised{Delta: received}
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

func parseOrders(t *testing.T, text string) evacuation.Orders {
	words := strings.Fields(text)
	number := func(text string) uint64 {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, "orders %q", text)
		return n
	}
	o := evacuation.Orders{Revision: number(words[0])}
	for _, w := range words[1:] {
		if w == "partial" {
			o.Partial = true
			continue
		}
		centre, revision, _ := strings.Cut(w, "=")
		o.List = append(o.List, evacuation.Order{Centre: centre, Revision: number(revision)})
	}
	require.NoError(t, o.Check(), "orders %q", text)
	return o
}

func parseFlow(t *testing.T, text string) FlowProgress {
	words := append(strings.Fields(text), "")
	v := FlowProgress{Destination: routeAddresses[words[2]]}
	_, err := fmt.Sscanf(text, "c%d %d", &v.Consumer.Address, &v.Ack)
	require.NoError(t, err, "flow %q", text)
	v.Consumer.Port = 1000
	return v
}

func parseTally(t *testing.T, text string) TalliesReported {
	words := strings.Fields(text)
	v := Tally{Token: Token(parseEndpoint(t, words[1:2]).Number)}
	for _, w := range words[2:] {
		name, value, _ := strings.Cut(w, "=")
		n, err := strconv.Atoi(value)
		require.NoError(t, err)
		switch name {
		case "normal":
			v.Normal = n
		case "small":
			v.Small = n
		case "overdue":
			v.Overdue = n
		case "unanswered":
			v.UnansweredAges = append(v.UnansweredAges, clock.Millis(n))
		default:
			require.Fail(t, "tally", "field %q does not exist", name)
		}
	}
	return TalliesReported{Tallies: []Tally{v}}
}

func describeFlows(flows []FlowProgress) string {
	var words []string
	for _, s := range flows {
		words = append(words, fmt.Sprintf(" c%d %d", s.Consumer.Address, s.Ack))
	}
	slices.Sort(words) // the engine iterates over flows in random order
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
	p := Packet{Consumer: AddrPort{uint32(consumer), 1000}, Destination: routeAddresses[""], Flags: flags, Sequence: 100, Ack: 50}
	if words[1] == "open" {
		p.Ack = 0
	}
	for _, w := range words[2:] {
		name, value, _ := strings.Cut(w, "=")
		if name == "route" {
			p.Destination = routeAddresses[value]
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
		case "waited":
			p.Waited = clock.Millis(n)
		default:
			require.Fail(t, "packet", "field %q does not exist", name)
		}
	}
	return p
}

func parseProbe(t *testing.T, e *Engine, text string) ProbeEnded {
	words := append(strings.Fields(text), "late=0")
	v := ProbeEnded{Endpoint: "i-" + words[0], Incarnation: 1, Result: parseProbeResult(t, words[1])}
	v.Number = e.directory.byID[v.Endpoint].silence.probeNumber
	if words[2] == "earlier" {
		v.Number--
		return v
	}
	_, err := fmt.Sscanf(words[2], "late=%d", &v.Delay)
	require.NoError(t, err, "probe %q", text)
	return v
}

func parseProbeResult(t *testing.T, name string) ProbeResult {
	for result, n := range probeResultNames {
		if n == name {
			return result
		}
	}
	require.Fail(t, "probe", "result %q does not exist", name)
	return ProbeTimedOut
}

// describeControl returns the endpoint that a probe uses as its control.
func describeControl(e *Engine, v Probe) string {
	for id, s := range e.directory.byID {
		if s.Address == v.Control {
			return strings.TrimPrefix(id, "i-")
		}
	}
	return "none"
}

// describeAction returns an action as scripts write it, or "" for actions that they ignore.
func describeAction(a Action) string {
	short := func(id string) string { return strings.TrimPrefix(id, "i-") }
	switch v := a.(type) {
	case Probe:
		return "probe " + short(v.Endpoint)
	case ConfigurationAccepted:
		return fmt.Sprintf("configuration %d", v.Version)
	case CentreWarmup:
		if v.Cold {
			return fmt.Sprintf("%s cold %d owned %d", v.Centre, v.Endpoints, v.Owned)
		}
		return v.Centre + " warm"
	case EvacuationOrdered:
		text := fmt.Sprintf("ordered %s=%d", v.Centre, v.Revision)
		if !v.Known {
			text += " unknown"
		}
		return text
	case EvacuationLifted:
		return fmt.Sprintf("lifted %s at %d", v.Centre, v.Revision)
	case EndpointStateChanged:
		return short(v.Endpoint) + " " + v.State
	case EndpointUnreadable:
		return strings.TrimSpace("unreadable " + short(v.Endpoint))
	case ConfigurationUnreadable:
		return strings.TrimSpace("configuration unreadable " + v.Route + v.Service)
	case EndpointSilent:
		return short(v.Endpoint) + " silent"
	case ReportFault:
		switch {
		case v.Refused:
			return "report " + short(v.Endpoint) + " refused"
		case v.Failing:
			return "report " + short(v.Endpoint) + " failing"
		}
		return "report " + short(v.Endpoint) + " hung"
	case QueryFlows:
		return "query" + describeFlows(v.Flows)
	case SendTallies:
		return "send tallies"
	case ReportFlows:
		return "report to " + v.Receiver + describeFlows(v.Flows)
	case EndpointEjected:
		return fmt.Sprintf("%s failing %s", short(v.Endpoint), v.Cause)
	case ResetFlow:
		return fmt.Sprintf("reset c%d", v.Consumer.Address)
	case ResetsContradicted:
		return fmt.Sprintf("%s contradicted %s %d by %s after %d, %s", short(v.Endpoint), v.Cause, v.ResetFlows, v.By, v.Delay, v.State)
	case EndpointLost:
		return fmt.Sprintf("%s lost %s", short(v.Endpoint), v.Cause)
	}
	return ""
}
