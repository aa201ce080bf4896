package instance

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// Board holds all state of one entry instance. Controllers read and write it,
// and pass work to each other through its lists; none of them calls another.
type Board struct {
	Settings Settings
	Self     *Member
	Now      clock.Millis
	Started  clock.Millis
	Stopping clock.Millis // when the graceful shutdown began, or 0

	Records   Records
	Services  map[uint64]*Service  // by token.Hash of the name; see order
	Endpoints map[string]*Endpoint // by address
	Members   Members
	Flows     Flows
	Runs      map[uint64]*Job  // by run number
	Calls     map[uint64]*Job  // work of other instances, by call number
	Bytes     int64            // request and answer bodies held
	Bodies    map[uint64]int64 // the same by token.Hash of the service
	Report    Report

	sorted  []*Service  // Services by name
	ready   []*Job      // whole requests of flows owned here that need a place
	ended   []ended     // jobs with a result not yet passed on
	pumps   []*Service  // services whose queue or slots changed
	used    []*Member   // instances that traffic was passed on to
	doubted []*Member   // instances that could not be reached
	moved   []*Endpoint // dispatched by others now, with runs from here
	timers  timers
	actions []Action
	random  *rand.Rand
	lastRun uint64
}

// ended is a job whose result is known.
type ended struct {
	job    *Job
	result Result
}

func newBoard(s Settings, now clock.Millis) *Board {
	if s.Memory == 0 {
		s.Memory = DefaultMemory
	}
	if s.Flows == 0 {
		s.Flows = DefaultFlows
	}
	b := &Board{
		Settings: s, Now: now, Started: now,
		Services: make(map[uint64]*Service), Endpoints: make(map[string]*Endpoint),
		Runs: make(map[uint64]*Job), Calls: make(map[uint64]*Job), Bodies: make(map[uint64]int64),
		random: rand.New(rand.NewPCG(s.Seed, token.Hash(s.Self.Name))),
	}
	b.Records = newRecords()
	b.Members = newMembers()
	b.Flows = newFlows(s.Flows)
	b.Report = newReport()
	b.Self = b.Members.add(s.Self)
	return b
}

// do adds an action to the answer to the current event.
func (b *Board) do(a Action) {
	b.actions = append(b.actions, a)
}

// note reports a decision, at info level.
func (b *Board) note(decision, reason, service, subject, detail string) {
	b.do(Note{Decision: decision, Reason: reason, Service: service, Subject: subject, Detail: detail, Level: LevelInfo})
}

// nextRun returns a run number that was not used before.
func (b *Board) nextRun() uint64 {
	b.lastRun++
	return b.lastRun
}

// pump marks a service whose queue or slots changed.
func (b *Board) pump(s *Service) {
	if s.pumping {
		return
	}
	s.pumping = true
	b.pumps = append(b.pumps, s)
}

// end records the result of a job for the answers controller. A job of which an
// earlier run may have started is never said not to have run.
func (b *Board) end(j *Job, r Result) {
	if j.Doubt && r.Outcome == OutcomeNotRun {
		r.Outcome = OutcomeUnknown
	}
	b.ended = append(b.ended, ended{job: j, result: r})
}

// refuse ends a job that certainly did not run.
func (b *Board) refuse(j *Job, reason packet.Reason) {
	b.end(j, Result{Outcome: OutcomeNotRun, Reason: reason})
}

// Service is a service record in force with what is learnt about it.
type Service struct {
	Record    record.Service
	Hash      uint64
	Rules     []record.Rule
	Endpoints []*Endpoint        // of its own data centre, by address
	Mine      []*Endpoint        // those dispatched by this instance
	Places    map[string][]Place // by data centre: instances that dispatch its endpoints
	Short     []*Job             // waiting, first come first
	Long      []*Job             // waiting, first come first
	Held      []*Job             // no instance or backend server takes them now
	Budget    float64            // retries allowed now
	Times     [3]Average         // run time by class, in ms
	Sizes     [sizes]Average     // run time by the power of 2 of the request's size, in ms
	Demand    [3]float64         // run time asked for of late by class, in ms
	Running   [3]int             // runs under way here by class
	StartedAt [3]clock.Millis    // latest start by class while jobs wait, or 0
	Gaps      [3]Average         // time between starts by class while jobs wait, in ms
	Blocked   clock.Millis       // since when none of Mine can be used, or 0
	pumping   bool
}

// Place is an instance that dispatches endpoints of a service.
type Place struct {
	Member    *Member
	Capacity  float64 // slots times weight of the endpoints
	Slots     int
	Endpoints []*Endpoint
}

// Waiting returns the number of queued jobs.
func (s *Service) Waiting() int {
	return len(s.Short) + len(s.Long)
}

// Slots returns the number of slots this instance may use now.
func (s *Service) Slots(now clock.Millis) int {
	slots := 0
	for _, ep := range s.Mine {
		if ep.Usable(now) {
			slots += ep.Record.Slots
		}
	}
	return slots
}

// Backlog returns the number of long jobs that wait or run here.
func (s *Service) Backlog() int {
	return len(s.Long) + s.Running[packet.ClassLong]
}

// Free returns the number of idle slots this instance may fill now.
func (s *Service) Free(now clock.Millis) int {
	free := 0
	for _, ep := range s.Mine {
		if ep.Usable(now) {
			free += ep.room(now)
		}
	}
	return free
}

// active reports whether an endpoint may come to take work: its record says so.
func (s *Service) active() bool {
	return slices.ContainsFunc(s.Endpoints, func(ep *Endpoint) bool { return ep.Backend.State == record.StateActive })
}

// usable reports whether an endpoint dispatched here may get work now.
func (s *Service) usable(now clock.Millis) bool {
	return slices.ContainsFunc(s.Mine, func(ep *Endpoint) bool { return ep.Usable(now) })
}

// Capacity returns slots times weight of the endpoints dispatched here.
func (s *Service) Capacity() float64 {
	sum := 0.0
	for _, ep := range s.Mine {
		sum += ep.Capacity()
	}
	return sum
}

// Load returns the queue state that is attached to envelopes.
func (s *Service) Load(now clock.Millis) packet.Load {
	short := func(n int) uint16 { return uint16(min(n, math.MaxUint16)) }
	return packet.Load{
		Service: s.Hash, IdleSlots: short(s.Free(now)), QueuedShort: short(len(s.Short)), LongRequests: short(s.Backlog()),
		Rate: uint32(min(s.Rate(now)*rateSpan, math.MaxUint32)), Utilization: uint16(s.used(now) * usedUnit),
	}
}

// rateSpan is the span that packet.Load.Rate counts requests in, in ms.
const rateSpan = float64(1000 * clock.Second)

// usedUnit is what packet.Load.Used counts a whole in.
const usedUnit = 1000.0

// Job is one whole request that waits for a slot, holds one, or was handed over.
type Job struct {
	Work    Work
	Service *Service
	Request *Request     // of a flow owned here, or nil
	Call    uint64       // number of the PeerCalled when Request is nil
	Queued  clock.Millis // when it joined the queue
	Begun   clock.Millis // when its run started
	Tries   int          // places tried so far
	Run     uint64       // run number while running or handed over, or 0
	At      *Endpoint    // endpoint that runs it, or nil
	Peer    *Member      // instance it is handed over to, or nil
	Avoid   *Member      // instance that just refused it, or nil
	Held    clock.Millis // when no place was found for it at first, or 0
	Again   clock.Millis // when a held job is placed again
	Holds   int          // how often it was held
	Doubt   bool         // an earlier run may have started
	Silent  int          // runs given up since nothing came back
	Stalled bool         // nothing came back of the present run for long
	Dropped bool         // no longer wanted
}

// Average is an exponentially weighted mean.
type Average struct {
	Value float64
	Count int
}

// averageWeight is the share of the newest value in an Average.
const averageWeight = 0.1

// Add takes in a value. The first values count equally.
func (a *Average) Add(v float64) {
	a.Count++
	w := max(averageWeight, 1/float64(a.Count))
	a.Value += w * (v - a.Value)
}
