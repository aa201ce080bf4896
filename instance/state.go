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

// EngineState holds all state of one entry instance. Controllers read and write it,
// and pass work to each other through its lists; none of them calls another.
type EngineState struct {
	Settings      Settings
	Self          *Member
	Now           clock.Millis
	StartedAt     clock.Millis
	StoppingSince clock.Millis // when the graceful shutdown began, or 0

	Records            Records
	Services           map[uint64]*Service  // by token.Hash of the name; see order
	Endpoints          map[string]*Endpoint // by address
	Members            Members
	Flows              Flows
	Runs               map[uint64]*Job  // by run number
	HandOvers          map[uint64]*Job  // work of other instances, by call number
	BodyBytes          int64            // request and answer bodies held
	BodyBytesByService map[uint64]int64 // the same by token.Hash of the service
	Report             Report

	servicesByName []*Service  // Services by name
	unplaced       []*Job      // whole requests of flows owned here that need a place
	endedJobs      []endedJob  // jobs with a result not yet passed on
	toFill         []*Service  // services whose queue or slots changed
	forwardedTo    []*Member   // instances that traffic was passed on to
	unreachable    []*Member   // instances that could not be reached
	reassigned     []*Endpoint // dispatched by others now, with runs from here
	timers         timers
	actions        []Action
	random         *rand.Rand
	lastRunID      uint64
}

// endedJob is a job whose result is known.
type endedJob struct {
	job    *Job
	result Result
}

func newEngineState(s Settings, now clock.Millis) *EngineState {
	if s.MemoryLimit == 0 {
		s.MemoryLimit = DefaultMemoryLimit
	}
	if s.MaxFlows == 0 {
		s.MaxFlows = DefaultMaxFlows
	}
	b := &EngineState{
		Settings: s, Now: now, StartedAt: now,
		Services: make(map[uint64]*Service), Endpoints: make(map[string]*Endpoint),
		Runs: make(map[uint64]*Job), HandOvers: make(map[uint64]*Job), BodyBytesByService: make(map[uint64]int64),
		random: rand.New(rand.NewPCG(s.RandomSeed, token.Hash(s.Self.Name))),
	}
	b.Records = newRecords()
	b.Members = newMembers()
	b.Flows = newFlows(s.MaxFlows)
	b.Report = newReport()
	b.Self = b.Members.add(s.Self)
	return b
}

// emit adds an action to the answer to the current event.
func (st *EngineState) emit(a Action) {
	st.actions = append(st.actions, a)
}

// logDecision reports a decision, at info level.
func (st *EngineState) logDecision(decision, reason, service, subject, detail string) {
	st.emit(LogDecision{Decision: decision, Reason: reason, Service: service, Subject: subject, Detail: detail, Level: LevelInfo})
}

// nextRunID returns a run number that was not used before.
func (st *EngineState) nextRunID() uint64 {
	st.lastRunID++
	return st.lastRunID
}

// scheduleFill marks a service whose queue or slots changed.
func (st *EngineState) scheduleFill(s *Service) {
	if s.fillScheduled {
		return
	}
	s.fillScheduled = true
	st.toFill = append(st.toFill, s)
}

// endJob records the result of a job for the answers controller. A job of which an
// earlier run may have started is never said not to have run.
func (st *EngineState) endJob(j *Job, r Result) {
	if j.MayHaveRun && r.Outcome == OutcomeNotRun {
		r.Outcome = OutcomeUnknown
	}
	st.endedJobs = append(st.endedJobs, endedJob{job: j, result: r})
}

// refuseJob ends a job that certainly did not run.
func (st *EngineState) refuseJob(j *Job, reason packet.Reason) {
	st.endJob(j, Result{Outcome: OutcomeNotRun, Reason: reason})
}

// Service is a service record in force with what is learnt about it.
type Service struct {
	Record         record.Service
	Hash           uint64
	Rules          []record.Rule
	Endpoints      []*Endpoint                // of its own data centre, by address
	Dispatched     []*Endpoint                // those dispatched by this instance
	Dispatchers    map[string][]Dispatcher    // by data centre: instances that dispatch its endpoints
	ShortQueue     []*Job                     // waiting, first come first
	LongQueue      []*Job                     // waiting, first come first
	Deferred       []*Job                     // no instance or backend server takes them now
	RetryBudget    float64                    // retries allowed now
	RunTimes       [3]MovingAverage           // run time by class, in ms
	RunTimesBySize [sizeBuckets]MovingAverage // run time by the power of 2 of the request's size, in ms
	RecentDemand   [3]float64                 // run time asked for of late by class, in ms
	Running        [3]int                     // runs under way here by class
	LastStart      [3]clock.Millis            // latest start by class while jobs wait, or 0
	StartIntervals [3]MovingAverage           // time between starts by class while jobs wait, in ms
	BlockedSince   clock.Millis               // since when none of Mine can be used, or 0
	fillScheduled  bool
}

// Dispatcher is an instance that dispatches endpoints of a service.
type Dispatcher struct {
	Member    *Member
	Capacity  float64 // slots times weight of the endpoints
	Slots     int
	Endpoints []*Endpoint
}

// QueueLength returns the number of queued jobs.
func (s *Service) QueueLength() int {
	return len(s.ShortQueue) + len(s.LongQueue)
}

// UsableSlots returns the number of slots this instance may use now.
func (s *Service) UsableSlots(now clock.Millis) int {
	slots := 0
	for _, ep := range s.Dispatched {
		if ep.Usable(now) {
			slots += ep.Record.Slots
		}
	}
	return slots
}

// LongBacklog returns the number of long jobs that wait or run here.
func (s *Service) LongBacklog() int {
	return len(s.LongQueue) + s.Running[packet.ClassLong]
}

// FreeSlots returns the number of idle slots this instance may fill now.
func (s *Service) FreeSlots(now clock.Millis) int {
	free := 0
	for _, ep := range s.Dispatched {
		if ep.Usable(now) {
			free += ep.availableSlots(now)
		}
	}
	return free
}

// hasActiveEndpoint reports whether an endpoint may come to take work: its record says so.
func (s *Service) hasActiveEndpoint() bool {
	return slices.ContainsFunc(s.Endpoints, func(ep *Endpoint) bool { return ep.Backend.State == record.StateActive })
}

// hasUsableEndpoint reports whether an endpoint dispatched here may get work now.
func (s *Service) hasUsableEndpoint(now clock.Millis) bool {
	return slices.ContainsFunc(s.Dispatched, func(ep *Endpoint) bool { return ep.Usable(now) })
}

// Capacity returns slots times weight of the endpoints dispatched here.
func (s *Service) Capacity() float64 {
	sum := 0.0
	for _, ep := range s.Dispatched {
		sum += ep.Capacity()
	}
	return sum
}

// Load returns the queue state that is attached to envelopes.
func (s *Service) Load(now clock.Millis) packet.Load {
	short := func(n int) uint16 { return uint16(min(n, math.MaxUint16)) }
	return packet.Load{
		Service: s.Hash, IdleSlots: short(s.FreeSlots(now)), QueuedShort: short(len(s.ShortQueue)), LongRequests: short(s.LongBacklog()),
		Rate: uint32(min(s.Rate(now)*loadRatePeriod, math.MaxUint32)), Utilization: uint16(s.utilization(now) * utilizationScale),
	}
}

// loadRatePeriod is the span that packet.Load.Rate counts requests in, in ms.
const loadRatePeriod = float64(1000 * clock.Second)

// utilizationScale is what packet.Load.Used counts a whole in.
const utilizationScale = 1000.0

// Job is one whole request that waits for a slot, holds one, or was handed over.
type Job struct {
	Work          Work
	Service       *Service
	Request       *Request     // of a flow owned here, or nil
	CallID        uint64       // number of the PeerCalled when Request is nil
	QueuedAt      clock.Millis // when it joined the queue
	StartedAt     clock.Millis // when its run started
	Tries         int          // places tried so far
	RunID         uint64       // run number while running or handed over, or 0
	Endpoint      *Endpoint    // endpoint that runs it, or nil
	Peer          *Member      // instance it is handed over to, or nil
	AvoidPeer     *Member      // instance that just refused it, or nil
	DeferredSince clock.Millis // when no place was found for it at first, or 0
	RetryAt       clock.Millis // when a held job is placed again
	Deferrals     int          // how often it was held
	MayHaveRun    bool         // an earlier run may have started
	SilentRuns    int          // runs given up since nothing came back
	Stalled       bool         // nothing came back of the present run for long
	Dropped       bool         // no longer wanted
}

// MovingAverage is an exponentially weighted mean.
type MovingAverage struct {
	Value   float64
	Samples int
}

// averageWeight is the share of the newest value in an Average.
const averageWeight = 0.1

// Add takes in a value. The first values count equally.
func (a *MovingAverage) Add(v float64) {
	a.Samples++
	w := max(averageWeight, 1/float64(a.Samples))
	a.Value += w * (v - a.Value)
}
