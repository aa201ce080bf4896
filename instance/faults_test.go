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
	printCells   = flag.Bool("cells", false, "print one line per cell of the fault matrix")
	tracedCaller = flag.String("trace", "", "log the decisions of instances and the packets of this caller")
	pairSeed     = flag.String("seed", "1", "seed of the cells and of the generated pairs of faults")
	pairCount    = flag.String("count", "60", "number of generated pairs of faults")
)

// step is the stage of the observed request when a fault begins.
type step struct {
	Name     string
	Point    point
	Parts    int
	Work     clock.Millis
	Crowd    int
	Only     string
	Runs     bool // a backend server has received the request
	Uneven   bool // instances receive a new configuration at different times
	Stopping bool // the owner is shutting down
}

// fault is a list of operations and the outcomes that it allows.
type fault struct {
	Name    string
	Planned bool
	Loses   bool
	Needs   string
	Away    bool
	Do      []operation
}

// operation is one failure or change.
type operation struct {
	Op     string
	At     clock.Millis
	For    clock.Millis
	Who    string       // role in the cell, or name of an instance or data centre; see cell.daemons
	To     string       // for "cut": the other party, like Who, or "platform"
	Way    string       // for "cut": "one" cuts only the direction from Who to To
	Lag    clock.Millis // for "uneven": difference between the delays of successive instances
	Drop   float64      // for "noise": probabilities that a datagram is lost, duplicated or delayed
	Twice  float64
	Late   float64
	Spread int // for "noise": upper bound of the random delay of every datagram, in ms
}

// Durations and limits of a cell.
const (
	cellWarmUp       = 2 * clock.Second
	cellDeadline     = 5 * clock.Second
	cellFaultTime    = 7 * clock.Second // from the fault until every request must have ended
	cellRecoveryTime = 5 * clock.Second // from the end of the fault until all instances must have the newest records
	drainTimeout     = 3 * clock.Second
	// Service of the backend servers that are drained.
	drainedService       = "orders"
	crowdRequestsPerFlow = 8 // few enough for half the slots of a data centre to run them before their deadlines
)

// cell is a simulation of one or more faults at one step.
type cell struct {
	sim             *simulation
	step            step
	once            bool          // the observed request must not be repeated
	subject         *fakeCaller   // sends the observed request
	body            string        // of the observed request
	owner           *fakeDaemon   // of the subject's flow
	runner          *fakeDaemon   // dispatches the observed request
	backend         *fakeBackend  // runs the observed request
	bystanders      []*fakeDaemon // instances that no operation has used yet
	drainedAt       map[*fakeBackend]clock.Millis
	filled          map[string]int // runs in progress by instance and endpoint
	revisions       map[string]uint64
	planned         bool // every request must be answered
	mayLose         bool // a permitted request may end as unknown
	lastSerial      int
	requestInterval clock.Millis // between the requests of each background flow
	recoveredAt     clock.Millis // when all faults had ended, or 0
	unknown         int
	refused         int
	problems        []string
}

func (c *cell) addProblem(format string, args ...any) {
	if len(c.problems) < 5 {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

// runCell simulates faults at a step. The cell that it returns lists the violated
// invariants.
func runCell(t *testing.T, s step, once bool, seed uint64, faults ...fault) *cell {
	c := &cell{
		requestInterval: max(200, 3*s.Work/2) * clock.Millis(len(faults)),
		sim:             newSimulation(t, seed), step: s, once: once, planned: true,
		drainedAt: make(map[*fakeBackend]clock.Millis), filled: make(map[string]int), revisions: make(map[string]uint64),
	}
	handedOver := false
	for _, x := range faults {
		c.planned = c.planned && x.Planned
		c.mayLose = c.mayLose || x.Loses
		handedOver = handedOver || x.Away
	}
	c.sim.tracedCaller = *tracedCaller
	c.setUp(handedOver)
	if !c.reachStep() {
		c.addProblem("the step was not reached")
		return c
	}
	for _, x := range faults {
		for _, o := range x.Do {
			c.sim.after(o.At, func() { operations[o.Op](c, o) })
		}
	}
	if s.Name == "idle" {
		c.sim.after(200, func() { c.send(c.subject, c.body, once) })
	}
	c.sim.advance(cellFaultTime)
	c.checkRequests()
	c.endFaults()
	c.checkRecovery()
	c.checkRequests()
	c.checkBackends()
	return c
}

// setUp starts two data centres and the background traffic.
func (c *cell) setUp(handedOver bool) {
	sim := c.sim
	sim.pointReached = c.checkStart
	sim.putJSON(record.KindService, "orders", record.Schema2, record.Service{})
	sim.putJSON(record.KindService, "gallery", record.Schema2, record.Service{})
	for i := range 6 {
		sim.addBackend(fmt.Sprintf("orders-%d", i), "orders", fmt.Sprintf("riga-%d", 1+i/4), fmt.Sprintf("127.3.0.%d:80", i+1), 2, 20)
	}
	sim.addBackend("gallery-0", "gallery", "riga-1", "127.3.1.1:80", 2, 20)
	for i := range 6 {
		sim.addInstance(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("riga-%d", 1+i/4))
	}
	sim.advance(cellWarmUp)
	c.subject = sim.addCaller("orders")
	if handedOver {
		c.chooseHandedOver()
	}
	for i := range 4 {
		other := sim.addCaller([]string{"orders", "orders", "gallery", "orders"}[i])
		for n := range int(4 * clock.Second / c.requestInterval) {
			sim.after(clock.Millis(n)*c.requestInterval+clock.Millis(i*37), func() { c.send(other, c.newBody([]int{1, 3, 1, 40}[(n+i)%4]), n%2 == 0) })
		}
	}
	c.body = c.newBody(c.step.Parts)
}

// chooseHandedOver drains backend servers, so that owners without another one hand requests
// over, and chooses the flow of such an owner.
func (c *cell) chooseHandedOver() {
	var flows []*fakeCaller
	for range 8 {
		flows = append(flows, c.sim.addCaller("orders"))
	}
	c.sim.advance(100)
	for i := range 2 {
		c.putBackend(c.sim.backends[fmt.Sprintf("127.3.0.%d:80", i+1)], record.StateDraining, record.Schema2)
	}
	c.sim.advance(500)
	for _, flow := range flows {
		body := c.newBody(1)
		runner := (*fakeDaemon)(nil)
		c.sim.pointReached = func(p point, from *fakeCaller, d *fakeDaemon, _ string) {
			if p == pointRunning && from == flow {
				runner = d
			}
		}
		flow.request(body, false, cellDeadline)
		c.sim.advance(100)
		if runner != flow.owner {
			c.subject = flow
		}
	}
	c.sim.pointReached = c.checkStart
}

// newBody returns a unique request body of a number of parts.
func (c *cell) newBody(parts int) string {
	c.lastSerial++
	return fmt.Sprintf("request %d ", c.lastSerial) + strings.Repeat("x", (parts-1)*packet.MaxPayload)
}

func (c *cell) send(from *fakeCaller, body string, once bool) {
	from.request(body, once, cellDeadline)
}

// checkStart checks each start of a run: an instance has at most as many runs at an endpoint
// as it has slots, the endpoint belongs to the request's service, and it wasn't drained
// longer than drainTimeout ago.
func (c *cell) checkStart(p point, from *fakeCaller, d *fakeDaemon, endpoint string) {
	if p != pointRunning {
		return
	}
	b := c.sim.backends[endpoint]
	runs := 0
	for _, r := range b.openRuns {
		if r.daemon == d {
			runs++
		}
	}
	if runs > b.slots {
		c.addProblem("%s runs %d requests at %s, which has %d slots", d.self.Name, runs, endpoint, b.slots)
	}
	if from.service != b.host {
		c.addProblem("a request for %s ran at %s of %s", from.service, endpoint, b.host)
	}
	if from.service != drainedService {
		return // the address was reused by the other service, which wasn't drained
	}
	if c.drainedAt[b] != 0 && c.isolated() {
		c.drainedAt[b] = c.sim.now // the drain can't be learned yet; the time-out counts from the end of the isolation
	}
	if at, ok := c.drainedAt[b]; ok && c.sim.now > at+drainTimeout {
		c.addProblem("%s got new work %d ms after it was drained", endpoint, c.sim.now-at)
	}
}

// isolated reports whether no instance of the first data centre can reach the platform,
// directly or through an instance of the second one.
func (c *cell) isolated() bool {
	if c.sim.store.down {
		return true
	}
	links := c.sim.cutLinks
	return !slices.ContainsFunc(c.sim.daemons, func(d *fakeDaemon) bool {
		canReach := !d.dead && !d.stalled && !links[d.self.Name+">platform"]
		return canReach && (d.self.Centre == "riga-1" || !links["entry-1>"+d.self.Name])
	})
}

// reachStep runs the simulation until the observed request is at the cell's step.
func (c *cell) reachStep() bool {
	sim := c.sim
	sim.advance(300)
	for _, b := range sim.backends {
		b.runTime = c.step.Work
	}
	if c.step.Uneven {
		for i, d := range sim.daemons {
			d.platformLag = clock.Millis(i) * 700
		}
		c.writeRecord()
	}
	if c.step.Name == "idle" {
		c.send(c.subject, c.newBody(1), c.once)
		sim.advance(1000)
		c.owner = c.subject.owner
	}
	for range c.step.Crowd / crowdRequestsPerFlow {
		flow := sim.addCaller("orders")
		for range crowdRequestsPerFlow {
			c.send(flow, c.newBody(1), false)
		}
	}
	if c.step.Name == "opening" {
		c.subject = sim.addCaller("orders")
	}
	done := c.step.Point == "" || c.step.Point == pointOpen
	sim.pointReached = func(p point, from *fakeCaller, d *fakeDaemon, endpoint string) {
		c.checkStart(p, from, d, endpoint)
		if from != c.subject || d == nil {
			return
		}
		if p == pointDispatched {
			c.runner, c.backend = d, sim.backends[endpoint]
		}
		done = done || p == c.step.Point
	}
	if c.step.Name != "idle" {
		c.send(c.subject, c.body, c.once)
	}
	if !sim.advanceUntil(3*clock.Second, func() bool { return done }) {
		return false
	}
	sim.pointReached = c.checkStart
	c.owner = c.subject.owner
	c.assignRoles()
	if c.step.Stopping {
		c.owner.handle(instance.StopRequested{})
		sim.advance(100)
	}
	return true
}

// assignRoles chooses the owner and the backend server, if the step didn't determine them,
// and the bystanders.
func (c *cell) assignRoles() {
	for _, d := range c.sim.daemons[:4] {
		switch {
		case c.owner == nil:
			c.owner = d
		case d != c.owner && d != c.runner:
			c.bystanders = append(c.bystanders, d)
		}
	}
	if c.backend == nil {
		c.backend = c.sim.backends["127.3.0.3:80"]
	}
}

// daemons returns the instances that an operation affects.
func (c *cell) daemons(who string) []*fakeDaemon {
	var found []*fakeDaemon
	switch who {
	case "owner":
		return []*fakeDaemon{c.owner}
	case "runner":
		return []*fakeDaemon{c.runner}
	case "bystander":
		d := c.bystanders[0]
		if len(c.bystanders) > 1 {
			c.bystanders = c.bystanders[1:]
		}
		return []*fakeDaemon{d}
	case "riga-1", "riga-2":
		for _, d := range c.sim.daemons {
			if d.self.Centre == who {
				found = append(found, d)
			}
		}
	default:
		found = append(found, c.sim.daemon(who))
	}
	return found
}

// linkNames returns the names in cutLinks of a party of an operation.
func (c *cell) linkNames(who string) []string {
	if who == "platform" {
		return []string{who}
	}
	var names []string
	for _, d := range c.daemons(who) {
		names = append(names, d.self.Name)
	}
	if who == "riga-1" { // all callers are in this data centre
		for _, from := range c.sim.callers {
			names = append(names, from.name)
		}
	}
	return names
}

// targets returns the backend servers that an operation affects.
func (c *cell) targets(who string) []*fakeBackend {
	if who == "backend" {
		return []*fakeBackend{c.backend}
	}
	var found []*fakeBackend
	for _, b := range c.sim.backends {
		found = append(found, b)
	}
	slices.SortFunc(found, func(x, y *fakeBackend) int { return cmp.Compare(x.address, y.address) })
	return found
}

// operations is the table of operations by their name in testdata/faults.yaml.
var operations = map[string]func(c *cell, o operation){
	"kill":    func(c *cell, o operation) { c.daemons(o.Who)[0].kill() },
	"leave":   func(c *cell, o operation) { c.daemons(o.Who)[0].handle(instance.StopRequested{}) },
	"join":    func(c *cell, o operation) { c.sim.addInstance(o.Who, "riga-1") },
	"replace": func(c *cell, o operation) { c.replace(c.daemons(o.Who)[0]) },
	"restart": func(c *cell, o operation) {
		d := c.daemons(o.Who)[0]
		d.kill()
		c.sim.after(300, func() { c.sim.addInstance(d.self.Name, d.self.Centre) })
	},
	"pause": func(c *cell, o operation) {
		d := c.daemons(o.Who)[0]
		d.stall()
		c.sim.after(o.For, d.resume)
	},
	"cut": (*cell).cut,
	"uneven": func(c *cell, o operation) {
		for i, d := range c.sim.daemons {
			d.platformLag = clock.Millis(i) * o.Lag
		}
		c.endAfter(o, func() {
			for _, d := range c.sim.daemons {
				d.platformLag = 0
			}
		})
	},
	"drain": func(c *cell, _ operation) {
		c.putBackend(c.backend, record.StateDraining, record.Schema2)
		c.drainedAt[c.backend] = c.sim.now
	},
	"draining": func(c *cell, _ operation) { c.backend.draining = true },
	"schema":   func(c *cell, _ operation) { c.putBackend(c.backend, record.StateActive, record.Schema1) },
	"reuse":    func(c *cell, _ operation) { c.reuseAddress(c.backend) },
	"write":    func(c *cell, _ operation) { c.writeRecord() },
	"crash": func(c *cell, o operation) {
		b := c.backend
		b.kill()
		c.endAfter(o, func() { b.dead = false })
	},
	"shed":   flagOperation(func(b *fakeBackend) *bool { return &b.shed }),
	"unwell": flagOperation(func(b *fakeBackend) *bool { return &b.unhealthy }),
	"fail":   flagOperation(func(b *fakeBackend) *bool { return &b.failing }),
	"mute":   flagOperation(func(b *fakeBackend) *bool { return &b.silent }),
	"slow": func(c *cell, o operation) {
		b := c.backend
		before := b.runTime
		b.runTime = 10*before + 200
		c.endAfter(o, func() { b.runTime = before })
	},
	"lose": func(c *cell, o operation) {
		for _, b := range c.targets(o.Who) {
			for _, d := range c.sim.daemons {
				b.brokenConnections[d.self.Name] = true
			}
		}
	},
	"down": func(c *cell, o operation) {
		c.sim.store.down = true
		c.endAfter(o, func() { c.sim.store.down = false })
	},
	"unanswered": func(c *cell, o operation) {
		c.sim.store.unanswered = true
		c.endAfter(o, func() { c.sim.store.unanswered = false })
	},
	"freeze": func(c *cell, o operation) {
		c.sim.store.staleList = c.sim.store.instances(c.sim.now)
		c.endAfter(o, func() { c.sim.store.staleList = nil })
	},
	// The platform delivers a full list that is o.For old.
	"rollback": func(c *cell, o operation) {
		for _, d := range c.sim.daemons {
			d.seenRevision, d.platformLag = 0, o.For
		}
		c.endAfter(o, func() {
			for _, d := range c.sim.daemons {
				d.platformLag = 0
			}
		})
	},
	"noise": (*cell).noise,
}

func flagOperation(field func(*fakeBackend) *bool) func(*cell, operation) {
	return func(c *cell, o operation) {
		set := field(c.backend)
		*set = true
		c.endAfter(o, func() { *set = false })
	}
}

// endAfter schedules the end of an operation that has a duration. The others last until
// endFaults.
func (c *cell) endAfter(o operation, undo func()) {
	if o.For > 0 {
		c.sim.after(o.For, undo)
	}
}

func (c *cell) cut(o operation) {
	from, to := c.linkNames(o.Who), c.linkNames(o.To)
	set := func(on bool) {
		for _, a := range from {
			for _, b := range to {
				c.sim.cutLinks[a+">"+b] = on
				if o.Way != "one" {
					c.sim.cutLinks[b+">"+a] = on
				}
			}
		}
	}
	set(true)
	c.endAfter(o, func() { set(false) })
}

func (c *cell) noise(o operation) {
	r := c.sim.random
	c.sim.networkFault = func(_, _ string) datagramFault {
		x := datagramFault{drop: r.Float64() < o.Drop, duplicate: r.Float64() < o.Twice}
		if o.Spread > 0 {
			x.delay = clock.Millis(r.IntN(o.Spread))
		}
		if r.Float64() < o.Late {
			x.delay += 500 + clock.Millis(r.IntN(1000))
		}
		return x
	}
	c.endAfter(o, func() { c.sim.networkFault = nil })
}

// replace shuts an instance down and then starts a new process of the same name.
func (c *cell) replace(d *fakeDaemon) {
	d.handle(instance.StopRequested{})
	var wait func()
	wait = func() {
		if d.stopped || d.dead {
			c.sim.addInstance(d.self.Name, d.self.Centre)
			return
		}
		c.sim.after(50, wait)
	}
	c.sim.after(50, wait)
}

func (c *cell) putBackend(b *fakeBackend, state string, schema int) {
	i := slices.Index([]string{"127.3.0.1:80", "127.3.0.2:80", "127.3.0.3:80", "127.3.0.4:80", "127.3.0.5:80", "127.3.0.6:80"}, b.address)
	r := record.Backend{
		Name: fmt.Sprintf("orders-%d", i), Service: drainedService, Centre: fmt.Sprintf("riga-%d", 1+i/4), State: state,
		Endpoints: []record.Endpoint{{Address: b.address, Slots: b.slots}},
	}
	o, err := record.EncodeBackend(r, schema)
	require.NoError(c.sim.t, err)
	c.sim.store.put(o)
}

// reuseAddress gives a backend server's address to another service. The process changes
// before the records do.
func (c *cell) reuseAddress(b *fakeBackend) {
	b.host = "gallery"
	i := strings.TrimSuffix(strings.TrimPrefix(b.address, "127.3.0."), ":80")
	c.sim.after(100, func() {
		c.sim.store.put(record.Object{Kind: record.KindBackend, Name: fmt.Sprintf("orders-%d", int(i[0]-'1')), Schema: record.Schema2, Deleted: true})
		c.sim.putJSON(record.KindBackend, "gallery-9", record.Schema2, record.Backend{Service: "gallery", Centre: "riga-1", Endpoints: []record.Endpoint{{Address: b.address, Slots: b.slots}}})
	})
}

// writeRecord changes a record that no request depends on.
func (c *cell) writeRecord() {
	c.lastSerial++
	c.sim.putJSON(record.KindService, "gallery", record.Schema2, record.Service{Queue: 1000 + c.lastSerial})
}

// endFaults ends all faults that are still in effect.
func (c *cell) endFaults() {
	c.sim.networkFault = nil
	clear(c.sim.cutLinks)
	c.sim.store.down, c.sim.store.unanswered, c.sim.store.staleList = false, false, nil
	for _, d := range c.sim.daemons {
		d.platformLag = 0
		if d.stalled {
			d.resume()
		}
	}
	for _, b := range c.sim.backends {
		b.dead, b.shed, b.silent, b.failing, b.unhealthy = false, false, false, false, false
		clear(b.brokenConnections)
	}
}

// checkRecovery checks after the faults that the newest records are in force at all
// instances, and sends requests on old and new flows.
func (c *cell) checkRecovery() {
	c.writeRecord()
	c.checkRecords()
	c.sim.advance(cellRecoveryTime)
	c.checkRecords()
	for _, d := range c.sim.daemons {
		if _, revision := d.engine.Objects(); !d.dead && !d.stopped && revision != c.sim.store.revision {
			c.addProblem("%s has configuration %d of %d, %d ms after it was accepted", d.self.Name, revision, c.sim.store.revision, cellRecoveryTime)
		}
	}
	c.recoveredAt = c.sim.now
	c.sim.addCaller("orders")
	for i, from := range c.sim.callers {
		c.send(from, c.newBody(1+2*(i%2)), i%2 == 0)
	}
	c.sim.advanceUntil(cellDeadline+1500, func() bool {
		return !slices.ContainsFunc(c.sim.callers, func(from *fakeCaller) bool { return !from.allEnded() })
	})
	c.sim.advance(10 * linkDelay)
}

// checkRecords checks that no instance replaced a record by an older revision.
func (c *cell) checkRecords() {
	for i, d := range c.sim.daemons {
		objects, _ := d.engine.Objects()
		for _, o := range objects {
			key := fmt.Sprint(i, o.Key())
			if o.Revision < c.revisions[key] {
				c.addProblem("%s went from revision %d to %d of %s", d.self.Name, c.revisions[key], o.Revision, o.Key())
			}
			c.revisions[key] = o.Revision
		}
	}
}

// checkRequests checks the result of each request so far.
func (c *cell) checkRequests() {
	for _, from := range c.sim.callers {
		for number := uint64(1); number <= from.lastCall; number++ {
			c.checkRequest(from, from.bodies[number])
		}
	}
}

func (c *cell) checkRequest(from *fakeCaller, body string) {
	name := fmt.Sprintf("%s %.12q once=%v", from.name, body, from.once[body])
	if body == c.body {
		name = "observed " + name
	}
	ended, ok := from.results[body]
	runs := c.sim.runsOf(body)
	late := ok && from.endedAt[body] > from.deadlines[body]+clock.Second
	if late || !ok && c.sim.now > from.deadlines[body]+clock.Second {
		c.addProblem("%s did not end by its deadline", name)
	}
	if from.once[body] && runs > 1 {
		c.addProblem("%s was started %d times", name, runs)
	}
	if errors.Is(ended.Err, caller.ErrNotRun) && runs > 0 {
		c.addProblem("%s was reported as not run, but was started: %v", name, ended.Err)
	}
	if ok && !from.checked[body] {
		from.checked[body] = true
		c.checkResult(from, body, name, ended)
	}
}

// checkResult checks the result of a request that has ended.
func (c *cell) checkResult(from *fakeCaller, body, name string, ended caller.RequestEnded) {
	sentAfterRecovery := c.recoveredAt != 0 && from.deadlines[body] >= c.recoveredAt+cellDeadline
	switch {
	case ended.Err == nil && string(ended.Answer.Body) != "answer to "+body:
		c.addProblem("%s got an answer of %d bytes that is not its own", name, len(ended.Answer.Body))
	case ended.Err == nil:
	case errors.Is(ended.Err, caller.ErrNotRun):
		c.refused++
	default:
		c.unknown++
		if !c.mayLose || sentAfterRecovery || !from.permitted[body] {
			c.addProblem("%s has an unknown outcome: %v", name, ended.Err)
		}
	}
	if ended.Err != nil && (c.planned || sentAfterRecovery || !from.once[body]) {
		c.addProblem("%s got no answer: %v", name, ended.Err)
	}
}

func (c *cell) checkBackends() {
	for _, b := range c.sim.backends {
		if len(b.openRuns) > 0 {
			c.addProblem("%s still runs %d requests", b.address, len(b.openRuns))
		}
	}
}

// verdict returns the result of a cell in one line.
func (c *cell) verdict() string {
	if len(c.problems) > 0 {
		return "failed: " + strings.Join(c.problems, "; ")
	}
	return fmt.Sprintf("passed (unknown %d, refused %d, over slots %d)", c.unknown, c.refused, c.maxExcess())
}

// maxExcess returns the highest number of runs beyond an endpoint's slots, which occur while
// several instances dispatch it.
func (c *cell) maxExcess() int {
	worst := 0
	for _, b := range c.sim.backends {
		worst = max(worst, b.maxRunning-b.slots)
	}
	return worst
}

// whyImpossible returns why a fault can't occur at a step with a kind of request, or "".
func whyImpossible(x fault, s step, kind string) string {
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

// faultMatrix collects the verdicts of cells.
type faultMatrix struct {
	mu     sync.Mutex
	lines  []string
	passed int
	failed int
}

func (m *faultMatrix) add(name string, c *cell) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = append(m.lines, name+" "+c.verdict())
	if len(c.problems) == 0 {
		m.passed++
	} else {
		m.failed++
	}
}

// runFault runs one fault at one step, with a request that must not be repeated and with one
// that may.
func (m *faultMatrix) runFault(t *testing.T, x fault, s step, seed uint64) {
	for n, kind := range []string{"once", "repeatable"} {
		name := x.Name + " " + s.Name + " " + kind
		if why := whyImpossible(x, s, kind); why != "" {
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

// TestFaults runs each fault at each step. It guards against requests that end wrong, late or
// not at all, run twice, or run at a drained or wrong endpoint, and against old records.
func TestFaults(t *testing.T) {
	steps, faults := readFaults(t)
	base, err := strconv.ParseUint(*pairSeed, 10, 32)
	require.NoError(t, err)
	var m faultMatrix
	t.Run("cells", func(t *testing.T) {
		for i, x := range faults {
			for k, s := range steps {
				m.runFault(t, x, s, base<<20+uint64(1000*i+10*k))
			}
		}
	})
	if *printCells {
		slices.Sort(m.lines)
		fmt.Println(strings.Join(m.lines, "\n"))
		fmt.Printf("%d passed, %d failed\n", m.passed, m.failed)
	}
}

// TestFaultPairs runs two faults at a random step, the second a random time after the first.
// It guards against failures that need two faults at once.
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
		if whyImpossible(x, s, kind) != "" || whyImpossible(y, s, kind) != "" {
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
