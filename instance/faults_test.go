package instance_test

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

var (
	printCells = flag.Bool("cells", false, "print one line a cell of the fault matrix")
	traced     = flag.String("trace", "", "log the notes of instances and the packets of this caller")
	pairSeed   = flag.String("seed", "1", "seed of the cells and of the generated pairs of faults")
	pairCount  = flag.String("count", "60", "number of generated pairs of faults")
)

// step is where the request under watch stands when a fault begins.
type step struct {
	Name     string
	Point    point
	Parts    int
	Work     clock.Millis
	Crowd    int
	Only     string
	Runs     bool // a backend server has the request
	Uneven   bool // a configuration is accepted, but not everywhere
	Stopping bool // the owner is shutting down
}

// fault is a list of operations, and what it excuses.
type fault struct {
	Name    string
	Planned bool
	Loses   bool
	Needs   string
	Away    bool
	Do      []operation
}

// operation is one thing that goes wrong or is changed.
type operation struct {
	Op     string
	At     clock.Millis
	For    clock.Millis
	Who    string
	To     string
	Way    string
	Lag    clock.Millis
	Drop   float64
	Twice  float64
	Late   float64
	Spread int
}

// Spans of a cell.
const (
	cellWarm     = 2 * clock.Second
	cellDeadline = 5 * clock.Second
	cellSpan     = 7 * clock.Second // from the fault until every request must have ended
	cellSettle   = 5 * clock.Second // from the end of the fault until all is as before
	drainLimit   = 3 * clock.Second
	// Whose backend servers are drained; the address of one may go to the other service.
	drainedService = "orders"
	crowdFlow      = 8 // requests of a crowd on one flow, as a data centre with half its slots can run in time
)

// cell is one fault, or several, at one step.
type cell struct {
	f        *frame
	step     step
	once     bool
	subject  *fakeCaller
	body     string
	owner    *node
	runner   *node
	backend  *fakeBackend
	others   []*node // bystanders not yet taken
	drained  map[*fakeBackend]clock.Millis
	filled   map[string]int // runs under way by instance and endpoint
	kept     map[string]uint64
	planned  bool
	loses    bool
	serial   int
	pause    clock.Millis // between the requests of one flow beside the one under watch
	healed   clock.Millis // when the faults were taken back, or 0
	unknown  int
	refused  int
	problems []string
}

func (c *cell) problem(format string, args ...any) {
	if len(c.problems) < 5 {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

// runCell plays faults at a step and returns what went against the invariants.
func runCell(t *testing.T, s step, once bool, seed uint64, faults ...fault) *cell {
	c := &cell{
		pause: max(200, 3*s.Work/2) * clock.Millis(len(faults)),
		f:     newFrame(t, seed), step: s, once: once, planned: true,
		drained: make(map[*fakeBackend]clock.Millis), filled: make(map[string]int), kept: make(map[string]uint64),
	}
	away := false
	for _, x := range faults {
		c.planned = c.planned && x.Planned
		c.loses = c.loses || x.Loses
		away = away || x.Away
	}
	c.f.trace = *traced
	c.start(away)
	if !c.reach() {
		c.problem("the step was not reached")
		return c
	}
	for _, x := range faults {
		for _, o := range x.Do {
			c.f.after(o.At, func() { operations[o.Op](c, o) })
		}
	}
	if s.Name == "idle" {
		c.f.after(200, func() { c.send(c.subject, c.body, once) })
	}
	c.f.run(cellSpan)
	c.checkRequests()
	c.heal()
	c.afterwards()
	c.checkRequests()
	c.checkBackends()
	return c
}

// start builds two data centres, and traffic beside the request under watch.
func (c *cell) start(away bool) {
	f := c.f
	f.reached = c.watchRuns
	f.putJSON(record.KindService, "orders", record.Schema2, record.Service{})
	f.putJSON(record.KindService, "gallery", record.Schema2, record.Service{})
	for i := range 6 {
		f.addBackend(fmt.Sprintf("orders-%d", i), "orders", fmt.Sprintf("riga-%d", 1+i/4), fmt.Sprintf("127.3.0.%d:80", i+1), 2, 20)
	}
	f.addBackend("gallery-0", "gallery", "riga-1", "127.3.1.1:80", 2, 20)
	for i := range 6 {
		f.addNode(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("riga-%d", 1+i/4))
	}
	f.run(cellWarm)
	c.subject = f.addCaller("orders")
	if away {
		c.chooseAway()
	}
	for i := range 4 {
		other := f.addCaller([]string{"orders", "orders", "gallery", "orders"}[i])
		for n := range int(4 * clock.Second / c.pause) {
			f.after(clock.Millis(n)*c.pause+clock.Millis(i*37), func() { c.send(other, c.newBody([]int{1, 3, 1, 40}[(n+i)%4]), n%2 == 0) })
		}
	}
	c.body = c.newBody(c.step.Parts)
}

// chooseAway drains backend servers until the request's owner has none, so that
// it hands the request over.
func (c *cell) chooseAway() {
	var flows []*fakeCaller
	for range 8 {
		flows = append(flows, c.f.addCaller("orders"))
	}
	c.f.run(100)
	for i := range 2 {
		c.putBackend(c.f.backends[fmt.Sprintf("127.3.0.%d:80", i+1)], record.StateDraining, record.Schema2)
	}
	c.f.run(500)
	for _, flow := range flows {
		body := c.newBody(1)
		runner := (*node)(nil)
		c.f.reached = func(p point, from *fakeCaller, d *node, _ string) {
			if p == pointRunning && from == flow {
				runner = d
			}
		}
		flow.request(body, false, cellDeadline)
		c.f.run(100)
		if runner != flow.owner {
			c.subject = flow
		}
	}
	c.f.reached = c.watchRuns
}

// newBody returns a request body that names its service last by sender, and is
// unlike any other.
func (c *cell) newBody(parts int) string {
	c.serial++
	return fmt.Sprintf("request %d ", c.serial) + strings.Repeat("x", (parts-1)*packet.MaxPayload)
}

func (c *cell) send(from *fakeCaller, body string, once bool) {
	from.request(body, once, cellDeadline)
}

// watchRuns checks every start of a run: not more at an endpoint from one
// instance than it has slots, and only work of its own service.
func (c *cell) watchRuns(p point, from *fakeCaller, d *node, endpoint string) {
	if p != pointRunning {
		return
	}
	b := c.f.backends[endpoint]
	mine := 0
	for _, r := range b.open {
		if r.d == d {
			mine++
		}
	}
	if mine > b.slots {
		c.problem("%s runs %d requests at %s, which has %d slots", d.self.Name, mine, endpoint, b.slots)
	}
	if from.service != b.host {
		c.problem("a request for %s ran at %s of %s", from.service, endpoint, b.host)
	}
	if from.service != drainedService {
		return // the address is the other service's by now, and the drain isn't its own
	}
	if c.drained[b] != 0 && c.isolated() {
		c.drained[b] = c.f.now // no news can come: the limit counts from its end
	}
	if at, ok := c.drained[b]; ok && c.f.now > at+drainLimit {
		c.problem("%s got new work %d ms after it was drained", endpoint, c.f.now-at)
	}
}

// isolated reports whether no instance of the first data centre reaches the
// platform, nor one of the second that does.
func (c *cell) isolated() bool {
	if c.f.store.down {
		return true
	}
	links := c.f.links
	return !slices.ContainsFunc(c.f.nodes, func(d *node) bool {
		up := !d.dead && !d.paused && !links[d.self.Name+">platform"]
		return up && (d.self.Centre == "riga-1" || !links["entry-1>"+d.self.Name])
	})
}

// reach lets time pass until the request under watch is at the cell's step.
func (c *cell) reach() bool {
	f := c.f
	f.run(300)
	for _, b := range f.backends {
		b.work = c.step.Work
	}
	if c.step.Uneven {
		for i, d := range f.nodes {
			d.lag = clock.Millis(i) * 700
		}
		c.write()
	}
	if c.step.Name == "idle" {
		c.send(c.subject, c.newBody(1), c.once)
		f.run(1000)
		c.owner = c.subject.owner
	}
	for range c.step.Crowd / crowdFlow {
		crowd := f.addCaller("orders")
		for range crowdFlow {
			c.send(crowd, c.newBody(1), false)
		}
	}
	if c.step.Name == "opening" {
		c.subject = f.addCaller("orders")
	}
	done := c.step.Point == "" || c.step.Point == pointOpen
	f.reached = func(p point, from *fakeCaller, d *node, endpoint string) {
		c.watchRuns(p, from, d, endpoint)
		if from != c.subject || d == nil {
			return
		}
		if p == pointDispatched {
			c.runner, c.backend = d, f.backends[endpoint]
		}
		done = done || p == c.step.Point
	}
	if c.step.Name != "idle" {
		c.send(c.subject, c.body, c.once)
	}
	if !f.until(3*clock.Second, func() bool { return done }) {
		return false
	}
	f.reached = c.watchRuns
	c.owner = c.subject.owner
	c.cast()
	if c.step.Stopping {
		c.owner.handle(instance.StopRequested{})
		f.run(100)
	}
	return true
}

// cast fills the parts that are not given by the step.
func (c *cell) cast() {
	for _, d := range c.f.nodes[:4] {
		switch {
		case c.owner == nil:
			c.owner = d
		case d != c.owner && d != c.runner:
			c.others = append(c.others, d)
		}
	}
	if c.backend == nil {
		c.backend = c.f.backends["127.3.0.3:80"]
	}
}

// nodes returns the instances that an operation is about.
func (c *cell) nodes(who string) []*node {
	var found []*node
	switch who {
	case "owner":
		return []*node{c.owner}
	case "runner":
		return []*node{c.runner}
	case "bystander":
		d := c.others[0]
		if len(c.others) > 1 {
			c.others = c.others[1:]
		}
		return []*node{d}
	case "riga-1", "riga-2":
		for _, d := range c.f.nodes {
			if d.self.Centre == who {
				found = append(found, d)
			}
		}
	default:
		found = append(found, c.f.node(who))
	}
	return found
}

// links returns the names under which the frame knows a party.
func (c *cell) links(who string) []string {
	if who == "platform" {
		return []string{who}
	}
	var names []string
	for _, d := range c.nodes(who) {
		names = append(names, d.self.Name)
	}
	if who == "riga-1" { // all callers are near this data centre
		for _, from := range c.f.callers {
			names = append(names, from.name)
		}
	}
	return names
}

// target returns the backend servers that an operation is about.
func (c *cell) targets(who string) []*fakeBackend {
	if who == "backend" {
		return []*fakeBackend{c.backend}
	}
	var found []*fakeBackend
	for _, d := range c.f.backends {
		found = append(found, d)
	}
	slices.SortFunc(found, func(x, y *fakeBackend) int { return cmp.Compare(x.address, y.address) })
	return found
}

// operations is the table of what faults are made of.
var operations = map[string]func(c *cell, o operation){
	"kill":    func(c *cell, o operation) { c.nodes(o.Who)[0].kill() },
	"leave":   func(c *cell, o operation) { c.nodes(o.Who)[0].handle(instance.StopRequested{}) },
	"join":    func(c *cell, o operation) { c.f.addNode(o.Who, "riga-1") },
	"replace": func(c *cell, o operation) { c.replace(c.nodes(o.Who)[0]) },
	"restart": func(c *cell, o operation) {
		d := c.nodes(o.Who)[0]
		d.kill()
		c.f.after(300, func() { c.f.addNode(d.self.Name, d.self.Centre) })
	},
	"pause": func(c *cell, o operation) {
		d := c.nodes(o.Who)[0]
		d.pause()
		c.f.after(o.For, d.resume)
	},
	"cut": (*cell).cut,
	"uneven": func(c *cell, o operation) {
		for i, d := range c.f.nodes {
			d.lag = clock.Millis(i) * o.Lag
		}
		c.forSpan(o, func() {
			for _, d := range c.f.nodes {
				d.lag = 0
			}
		})
	},
	"drain": func(c *cell, _ operation) {
		c.putBackend(c.backend, record.StateDraining, record.Schema2)
		c.drained[c.backend] = c.f.now
	},
	"draining": func(c *cell, _ operation) { c.backend.draining = true },
	"schema":   func(c *cell, _ operation) { c.putBackend(c.backend, record.StateActive, record.Schema1) },
	"reuse":    func(c *cell, _ operation) { c.reuse(c.backend) },
	"write":    func(c *cell, _ operation) { c.write() },
	"crash": func(c *cell, o operation) {
		b := c.backend
		b.kill()
		c.forSpan(o, func() { b.dead = false })
	},
	"shed":   flagOperation(func(b *fakeBackend) *bool { return &b.shed }),
	"unwell": flagOperation(func(b *fakeBackend) *bool { return &b.unwell }),
	"fail":   flagOperation(func(b *fakeBackend) *bool { return &b.failing }),
	"mute":   flagOperation(func(b *fakeBackend) *bool { return &b.silent }),
	"slow": func(c *cell, o operation) {
		b := c.backend
		before := b.work
		b.work = 10*before + 200
		c.forSpan(o, func() { b.work = before })
	},
	"lose": func(c *cell, o operation) {
		for _, b := range c.targets(o.Who) {
			for _, d := range c.f.nodes {
				b.lost[d.self.Name] = true
			}
		}
	},
	"down": func(c *cell, o operation) {
		c.f.store.down = true
		c.forSpan(o, func() { c.f.store.down = false })
	},
	"unanswered": func(c *cell, o operation) {
		c.f.store.unanswered = true
		c.forSpan(o, func() { c.f.store.unanswered = false })
	},
	"freeze": func(c *cell, o operation) {
		c.f.store.frozen = c.f.store.instances(c.f.now)
		c.forSpan(o, func() { c.f.store.frozen = nil })
	},
	"rollback": func(c *cell, o operation) {
		for _, d := range c.f.nodes {
			d.seen, d.lag = 0, o.For
		}
		c.forSpan(o, func() {
			for _, d := range c.f.nodes {
				d.lag = 0
			}
		})
	},
	"noise": (*cell).noise,
}

func flagOperation(field func(*fakeBackend) *bool) func(*cell, operation) {
	return func(c *cell, o operation) {
		set := field(c.backend)
		*set = true
		c.forSpan(o, func() { *set = false })
	}
}

// forSpan takes an operation back when it has an end.
func (c *cell) forSpan(o operation, back func()) {
	if o.For > 0 {
		c.f.after(o.For, back)
	}
}

func (c *cell) cut(o operation) {
	from, to := c.links(o.Who), c.links(o.To)
	set := func(on bool) {
		for _, a := range from {
			for _, b := range to {
				c.f.links[a+">"+b] = on
				if o.Way != "one" {
					c.f.links[b+">"+a] = on
				}
			}
		}
	}
	set(true)
	c.forSpan(o, func() { set(false) })
}

func (c *cell) noise(o operation) {
	r := c.f.random
	c.f.fault = func(_, _ string) fate {
		x := fate{drop: r.Float64() < o.Drop, twice: r.Float64() < o.Twice}
		if o.Spread > 0 {
			x.delay = clock.Millis(r.IntN(o.Spread))
		}
		if r.Float64() < o.Late {
			x.delay += 500 + clock.Millis(r.IntN(1000))
		}
		return x
	}
	c.forSpan(o, func() { c.f.fault = nil })
}

// replace stops an instance and starts its successor of the same name when it
// has stopped.
func (c *cell) replace(d *node) {
	d.handle(instance.StopRequested{})
	var wait func()
	wait = func() {
		if d.stopped || d.dead {
			c.f.addNode(d.self.Name, d.self.Centre)
			return
		}
		c.f.after(50, wait)
	}
	c.f.after(50, wait)
}

func (c *cell) putBackend(b *fakeBackend, state string, schema int) {
	i := slices.Index([]string{"127.3.0.1:80", "127.3.0.2:80", "127.3.0.3:80", "127.3.0.4:80", "127.3.0.5:80", "127.3.0.6:80"}, b.address)
	r := record.Backend{
		Name: fmt.Sprintf("orders-%d", i), Service: drainedService, Centre: fmt.Sprintf("riga-%d", 1+i/4), State: state,
		Endpoints: []record.Endpoint{{Address: b.address, Slots: b.slots}},
	}
	o, err := record.EncodeBackend(r, schema)
	require.NoError(c.f.t, err)
	c.f.store.put(o)
}

// reuse gives a backend server's address to another service: first the process,
// then the records.
func (c *cell) reuse(b *fakeBackend) {
	b.host = "gallery"
	i := strings.TrimSuffix(strings.TrimPrefix(b.address, "127.3.0."), ":80")
	c.f.after(100, func() {
		c.f.store.put(record.Object{Kind: record.KindBackend, Name: fmt.Sprintf("orders-%d", int(i[0]-'1')), Schema: record.Schema2, Deleted: true})
		c.f.putJSON(record.KindBackend, "gallery-9", record.Schema2, record.Backend{Service: "gallery", Centre: "riga-1", Endpoints: []record.Endpoint{{Address: b.address, Slots: b.slots}}})
	})
}

// write changes a record that no request depends on.
func (c *cell) write() {
	c.serial++
	c.f.putJSON(record.KindService, "gallery", record.Schema2, record.Service{Queue: 1000 + c.serial})
}

// heal takes every fault back that would not end by itself.
func (c *cell) heal() {
	c.f.fault = nil
	clear(c.f.links)
	c.f.store.down, c.f.store.unanswered, c.f.store.frozen = false, false, nil
	for _, d := range c.f.nodes {
		d.lag = 0
		if d.paused {
			d.resume()
		}
	}
	for _, b := range c.f.backends {
		b.dead, b.shed, b.silent, b.failing, b.unwell = false, false, false, false, false
		clear(b.lost)
	}
}

// afterwards sends requests on old and new flows once the fault is over, and
// checks that the newest configuration is in force everywhere.
func (c *cell) afterwards() {
	c.write()
	c.checkRecords()
	c.f.run(cellSettle)
	c.checkRecords()
	for _, d := range c.f.nodes {
		if _, revision := d.engine.Objects(); !d.dead && !d.stopped && revision != c.f.store.revision {
			c.problem("%s has configuration %d of %d, %d ms after it was accepted", d.self.Name, revision, c.f.store.revision, cellSettle)
		}
	}
	c.healed = c.f.now
	c.f.addCaller("orders")
	for i, from := range c.f.callers {
		c.send(from, c.newBody(1+2*(i%2)), i%2 == 0)
	}
	c.f.until(cellDeadline+1500, func() bool {
		return !slices.ContainsFunc(c.f.callers, func(from *fakeCaller) bool { return !from.done() })
	})
	c.f.run(10 * frameHop)
}

// checkRecords checks that no instance went back to an older record.
func (c *cell) checkRecords() {
	for i, d := range c.f.nodes {
		objects, _ := d.engine.Objects()
		for _, o := range objects {
			key := fmt.Sprint(i, o.Key())
			if o.Revision < c.kept[key] {
				c.problem("%s went from revision %d to %d of %s", d.self.Name, c.kept[key], o.Revision, o.Key())
			}
			c.kept[key] = o.Revision
		}
	}
}

// checkRequests checks the end of every request so far.
func (c *cell) checkRequests() {
	for _, from := range c.f.callers {
		for number := uint64(1); number <= from.next; number++ {
			c.checkRequest(from, from.bodies[number])
		}
	}
}

func (c *cell) checkRequest(from *fakeCaller, body string) {
	name := fmt.Sprintf("%s %.12q once=%v", from.name, body, from.once[body])
	if body == c.body {
		name = "watched " + name
	}
	ended, ok := from.ends[body]
	runs := c.f.runsOf(body)
	late := ok && from.times[body] > from.due[body]+clock.Second
	if late || !ok && c.f.now > from.due[body]+clock.Second {
		c.problem("%s did not end by its deadline", name)
	}
	if from.once[body] && runs > 1 {
		c.problem("%s was started %d times", name, runs)
	}
	if errors.Is(ended.Err, caller.ErrNotRun) && runs > 0 {
		c.problem("%s was said not to have run, but was started: %v", name, ended.Err)
	}
	if ok && !from.judged[body] {
		from.judged[body] = true
		c.judge(from, body, name, ended)
	}
}

// judge checks what a request ended with, once.
func (c *cell) judge(from *fakeCaller, body, name string, ended caller.RequestEnded) {
	after := c.healed != 0 && from.due[body] >= c.healed+cellDeadline
	switch {
	case ended.Err == nil && string(ended.Answer.Body) != "answer to "+body:
		c.problem("%s got an answer of %d bytes that is not its own", name, len(ended.Answer.Body))
	case ended.Err == nil:
	case errors.Is(ended.Err, caller.ErrNotRun):
		c.refused++
	default:
		c.unknown++
		if !c.loses || after || !from.permitted[body] {
			c.problem("%s is unknown: %v", name, ended.Err)
		}
	}
	if ended.Err != nil && (c.planned || after || !from.once[body]) {
		c.problem("%s got no answer: %v", name, ended.Err)
	}
}

func (c *cell) checkBackends() {
	for _, b := range c.f.backends {
		if len(b.open) > 0 {
			c.problem("%s still runs %d requests", b.address, len(b.open))
		}
	}
}

// verdict is the line of a cell.
func (c *cell) verdict() string {
	if len(c.problems) > 0 {
		return "failed: " + strings.Join(c.problems, "; ")
	}
	return fmt.Sprintf("passed (unknown %d, refused %d, over slots %d)", c.unknown, c.refused, c.excess())
}

// excess returns the most runs beyond an endpoint's slots, while several instances
// believed that they dispatch it.
func (c *cell) excess() int {
	most := 0
	for _, b := range c.f.backends {
		most = max(most, b.peak-b.slots)
	}
	return most
}

// cannot returns why a fault can't occur at a step with a kind of request, or "".
func cannot(x fault, s step, kind string) string {
	switch {
	case x.Needs == "runs" && !s.Runs:
		return "no instance has dispatched the request yet"
	case s.Only != "" && s.Only != kind:
		return "no permit is asked for"
	}
	return ""
}

func readFaults(t *testing.T) (steps []step, faults []fault) {
	script.Read(t, "testdata/steps.yaml", &steps)
	script.Read(t, "testdata/faults.yaml", &faults)
	return steps, faults
}

// matrix collects the verdicts of cells.
type matrix struct {
	mu     sync.Mutex
	lines  []string
	passed int
	failed int
}

func (m *matrix) add(name string, c *cell) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = append(m.lines, name+" "+c.verdict())
	if len(c.problems) == 0 {
		m.passed++
	} else {
		m.failed++
	}
}

// play plays one fault at one step, with a request that must not be repeated and
// with one that may.
func (m *matrix) play(t *testing.T, x fault, s step, seed uint64) {
	for n, kind := range []string{"once", "repeatable"} {
		name := x.Name + " " + s.Name + " " + kind
		if why := cannot(x, s, kind); why != "" {
			m.lines = append(m.lines, name+" cannot occur: "+why)
			continue
		}
		t.Run(strings.ReplaceAll(name, " ", "/"), func(t *testing.T) {
			t.Parallel()
			c := runCell(t, s, kind == "once", seed+uint64(n), x)
			m.add(name, c)
			if len(c.problems) > 0 {
				t.Error(c.verdict())
			}
		})
	}
}

func TestFaults(t *testing.T) {
	steps, faults := readFaults(t)
	base, err := strconv.ParseUint(*pairSeed, 10, 32)
	require.NoError(t, err)
	var m matrix
	t.Run("cells", func(t *testing.T) {
		for i, x := range faults {
			for k, s := range steps {
				m.play(t, x, s, base<<20+uint64(1000*i+10*k))
			}
		}
	})
	if *printCells {
		slices.Sort(m.lines)
		fmt.Println(strings.Join(m.lines, "\n"))
		fmt.Printf("%d passed, %d failed\n", m.passed, m.failed)
	}
}

// TestFaultPairs plays two faults at once, at a random step and distance.
func TestFaultPairs(t *testing.T) {
	steps, faults := readFaults(t)
	for name, value := range map[string]string{"rapid.seed": *pairSeed, "rapid.shrinktime": "2s", "rapid.checks": *pairCount, "rapid.nofailfile": "true"} {
		require.NoError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(r *rapid.T) {
		s := rapid.SampledFrom(steps).Draw(r, "step")
		x := rapid.SampledFrom(faults).Draw(r, "first")
		y := rapid.SampledFrom(faults).Draw(r, "second")
		distance := clock.Millis(rapid.IntRange(0, 2000).Draw(r, "distance"))
		once := s.Only == "once" || rapid.Bool().Draw(r, "once")
		kind := map[bool]string{true: "once", false: "repeatable"}[once]
		seed := rapid.Uint64Range(0, 1<<20).Draw(r, "seed")
		if cannot(x, s, kind) != "" || cannot(y, s, kind) != "" {
			r.Skip("cannot occur")
		}
		second := y
		second.Do = slices.Clone(y.Do)
		for i := range second.Do {
			second.Do[i].At += distance
		}
		c := runCell(t, s, once, seed, x, second)
		if len(c.problems) > 0 {
			r.Fatalf("%s and %s at %s: %s", x.Name, y.Name, s.Name, c.verdict())
		}
	})
}
