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

// EngineState holds all state of one entry instance. The controllers share it and pass
// jobs, services and members to each other through its lists.
type EngineState struct {
	Settings      Settings
	Self          *Member
	Now           clock.Millis
	StartedAt     clock.Millis
	StoppingSince clock.Millis // when the graceful shutdown began, or 0 before that

	Records            Records
	Services           map[uint64]*Service  // by token.Hash of the name
	Endpoints          map[string]*Endpoint // by address
	Members            Members
	Flows              Flows
	Runs               map[uint64]*Job  // jobs that run or are handed over, by run ID
	HandOvers          map[uint64]*Job  // jobs that other instances handed over, by call ID
	BodyBytes          int64            // size of the request and answer bodies in memory
	BodyBytesByService map[uint64]int64 // the same by token.Hash of the service's name
	Report             Report

	servicesByName []*Service  // Services sorted by name
	unplaced       []*Job      // jobs of flows owned here for which placementController must choose an instance
	endedJobs      []endedJob  // jobs whose result must be delivered
	toFill         []*Service  // services whose queue or free slots changed
	forwardedTo    []*Member   // instances that packets or work were sent to during this event
	unreachable    []*Member   // instances to which a connection failed during this event
	reassigned     []*Endpoint // endpoints that another instance dispatches now while runs from here continue
	timers         timers
	actions        []Action
	random         *rand.Rand
	lastRunID      uint64
}

// endedJob is a job with its final result.
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
	st := &EngineState{
		Settings: s, Now: now, StartedAt: now,
		Services: make(map[uint64]*Service), Endpoints: make(map[string]*Endpoint),
		Runs: make(map[uint64]*Job), HandOvers: make(map[uint64]*Job), BodyBytesByService: make(map[uint64]int64),
		random: rand.New(rand.NewPCG(s.RandomSeed, token.Hash(s.Self.Name))),
	}
	st.Records = newRecords()
	st.Members = newMembers()
	st.Flows = newFlows(s.MaxFlows)
	st.Report = newReport()
	st.Self = st.Members.add(s.Self)
	return st
}

// emit adds an action to those that Handle returns for the current event.
func (st *EngineState) emit(a Action) {
	st.actions = append(st.actions, a)
}

// logDecision emits a LogDecision at info level.
func (st *EngineState) logDecision(decision, reason, service, subject, detail string) {
	st.emit(LogDecision{Decision: decision, Reason: reason, Service: service, Subject: subject, Detail: detail, Level: LevelInfo})
}

// nextRunID returns a new run ID.
func (st *EngineState) nextRunID() uint64 {
	st.lastRunID++
	return st.lastRunID
}

// scheduleFill schedules a service whose queue or free slots changed, so that
// dispatchController starts its waiting jobs.
func (st *EngineState) scheduleFill(s *Service) {
	if s.fillScheduled {
		return
	}
	s.fillScheduled = true
	st.toFill = append(st.toFill, s)
}

// endJob passes the final result of a job to answerController. If an earlier run of the
// job may have started, OutcomeNotRun becomes OutcomeUnknown.
func (st *EngineState) endJob(j *Job, r Result) {
	if j.MayHaveRun && r.Outcome == OutcomeNotRun {
		r.Outcome = OutcomeUnknown
	}
	st.endedJobs = append(st.endedJobs, endedJob{job: j, result: r})
}

// refuseJob ends a job that was not started.
func (st *EngineState) refuseJob(j *Job, reason packet.Reason) {
	st.endJob(j, Result{Outcome: OutcomeNotRun, Reason: reason})
}

// Service is a service with its record in force, its queues and its statistics.
type Service struct {
	Record         record.Service
	Hash           uint64
	Rules          []record.Rule
	Endpoints      []*Endpoint                // all endpoints of the service, by address
	Dispatched     []*Endpoint                // those that this instance dispatches
	Dispatchers    map[string][]Dispatcher    // instances that dispatch its endpoints, by data centre
	ShortQueue     []*Job                     // waiting jobs of other classes than long, by deadline
	LongQueue      []*Job                     // waiting jobs of class long, by deadline
	Deferred       []*Job                     // jobs that no instance and no backend server takes now
	RetryBudget    float64                    // retries that may be started now
	RunTimes       [3]MovingAverage           // mean run time by class, in ms
	RunTimesBySize [sizeBuckets]MovingAverage // mean run time by sizeBucket of the request, in ms
	RecentDemand   [3]float64                 // decaying sum of the expected run times of new jobs by class, in short run times
	Running        [3]int                     // runs in progress from this instance by class
	LastStart      [3]clock.Millis            // latest start by class, or 0 when no jobs were left waiting
	StartIntervals [3]MovingAverage           // mean time between starts by class while jobs wait, in ms
	BlockedSince   clock.Millis               // since when no endpoint in Dispatched is usable, or 0
	fillScheduled  bool
}

// Dispatcher is an instance with the endpoints of a service that it dispatches.
type Dispatcher struct {
	Member    *Member
	Capacity  float64 // sum of slots times weight of the endpoints
	Slots     int
	Endpoints []*Endpoint
}

// QueueLength returns the number of jobs that wait for a slot here.
func (s *Service) QueueLength() int {
	return len(s.ShortQueue) + len(s.LongQueue)
}

// UsableSlots returns the number of slots of the usable endpoints dispatched here.
func (s *Service) UsableSlots(now clock.Millis) int {
	slots := 0
	for _, ep := range s.Dispatched {
		if ep.Usable(now) {
			slots += ep.Record.Slots
		}
	}
	return slots
}

// LongBacklog returns the number of jobs of class long that wait or run here.
func (s *Service) LongBacklog() int {
	return len(s.LongQueue) + s.Running[packet.ClassLong]
}

// FreeSlots returns the number of runs that the endpoints dispatched here may get now.
func (s *Service) FreeSlots(now clock.Millis) int {
	free := 0
	for _, ep := range s.Dispatched {
		if ep.Usable(now) {
			free += ep.availableSlots(now)
		}
	}
	return free
}

// hasActiveEndpoint reports whether any endpoint is active by its record.
func (s *Service) hasActiveEndpoint() bool {
	return slices.ContainsFunc(s.Endpoints, func(ep *Endpoint) bool { return ep.Backend.State == record.StateActive })
}

// hasUsableEndpoint reports whether any endpoint dispatched here may get work now.
func (s *Service) hasUsableEndpoint(now clock.Millis) bool {
	return slices.ContainsFunc(s.Dispatched, func(ep *Endpoint) bool { return ep.Usable(now) })
}

// Capacity returns the sum of slots times weight of the endpoints dispatched here.
func (s *Service) Capacity() float64 {
	sum := 0.0
	for _, ep := range s.Dispatched {
		sum += ep.Capacity()
	}
	return sum
}

// Load returns the queue state that is sent to other instances in envelopes.
func (s *Service) Load(now clock.Millis) packet.Load {
	clamp := func(n int) uint16 { return uint16(min(n, math.MaxUint16)) }
	return packet.Load{
		Service: s.Hash, IdleSlots: clamp(s.FreeSlots(now)), QueuedShort: clamp(len(s.ShortQueue)), LongRequests: clamp(s.LongBacklog()),
		Rate: uint32(min(s.Rate(now)*loadRatePeriod, math.MaxUint32)), Utilization: uint16(s.utilization(now) * utilizationScale),
	}
}

// loadRatePeriod is the period that packet.Load.Rate refers to, in ms.
const loadRatePeriod = float64(1000 * clock.Second)

// utilizationScale is the factor from a utilization to packet.Load.Utilization, which is
// in 1/1000.
const utilizationScale = 1000.0

// Job is a completely received request that waits for a slot, runs, or was handed over
// to another instance.
type Job struct {
	Work          Work
	Service       *Service
	Request       *Request     // the request, if its flow is owned here, or nil
	CallID        uint64       // of the HandOverReceived, when Request is nil
	QueuedAt      clock.Millis // when the job was created
	StartedAt     clock.Millis // when its latest run or hand-over started
	Tries         int          // runs and hand-overs tried so far
	RunID         uint64       // while running or handed over, or 0
	Endpoint      *Endpoint    // endpoint that runs it from here, or nil
	Peer          *Member      // instance that it is or will be handed over to, or nil
	AvoidPeer     *Member      // instance of the latest hand-over, which ended without an answer, or nil
	DeferredSince clock.Millis // when it was first deferred, or 0
	RetryAt       clock.Millis // when a deferred job is placed again
	Deferrals     int          // how often it was deferred
	MayHaveRun    bool         // an earlier run may have started
	SilentRuns    int          // runs that were cancelled as silent
	Stalled       bool         // the current run has exceeded its silence time-out
	Dropped       bool         // cancelled by the caller, or past its deadline
}

// MovingAverage is an exponentially weighted moving average.
type MovingAverage struct {
	Value   float64
	Samples int
}

// averageWeight is the weight of the newest sample in a MovingAverage.
const averageWeight = 0.1

// Add adds a sample. Until there are 1/averageWeight samples, all have the same weight.
func (a *MovingAverage) Add(v float64) {
	a.Samples++
	w := max(averageWeight, 1/float64(a.Samples))
	a.Value += w * (v - a.Value)
}
