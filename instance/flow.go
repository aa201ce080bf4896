package instance

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Flow is one flow whose requests this instance handles. Apart from the requests in
// progress, its state can be restored from its token, so an idle flow may be evicted
// at any time.
type Flow struct {
	ID            uint64
	ServiceHash   uint64
	PinnedBackend uint64 // token.Hash of the name of the backend server it is pinned to, or 0
	Caller        netip.AddrPort
	LastSeen      clock.Millis
	TokenIssued   clock.Millis // issue time of the token last sent
	Requests      []*Request   // in progress, in order of arrival
	NewestEnded   uint64       // highest request number that ended
	EndedMask     uint64       // bit i is set when request NewestEnded-i has ended
	token         []byte
	next          *Flow // less recently used
	prev          *Flow // more recently used
}

// findRequest returns the request in progress with the given number, or nil.
func (f *Flow) findRequest(number uint64) *Request {
	for _, r := range f.Requests {
		if r.Number == number {
			return r
		}
	}
	return nil
}

// endedWindow is the number of request numbers that Flow.EndedMask covers.
const endedWindow = 64

// markEnded records in EndedMask that a request ended, so that late or repeated parts
// of it don't start it again.
func (f *Flow) markEnded(number uint64) {
	if number > f.NewestEnded {
		shift := number - f.NewestEnded
		f.EndedMask <<= min(shift, endedWindow)
		f.NewestEnded = number
	}
	if age := f.NewestEnded - number; age < endedWindow {
		f.EndedMask |= 1 << age
	}
}

// hasEnded reports whether EndedMask shows that a request ended.
func (f *Flow) hasEnded(number uint64) bool {
	if number > f.NewestEnded || f.NewestEnded-number >= endedWindow {
		return false
	}
	return f.EndedMask&(1<<(f.NewestEnded-number)) != 0
}

func (f *Flow) removeRequest(r *Request) {
	for i, other := range f.Requests {
		if other == r {
			f.Requests = append(f.Requests[:i], f.Requests[i+1:]...)
			return
		}
	}
}

// Flows holds the flows of this instance as an LRU list.
type Flows struct {
	ByID     map[uint64]*Flow
	maxFlows int
	head     Flow // sentinel: head.next is the most recently used, head.prev the least
}

func newFlows(limit int) Flows {
	return Flows{ByID: make(map[uint64]*Flow), maxFlows: limit}
}

// touch returns the flow of a token and marks it as most recently used. It adds the
// flow and returns added as true if it isn't in memory.
func (s *Flows) touch(t token.Token, caller netip.AddrPort, now clock.Millis) (f *Flow, added bool) {
	if s.head.next == nil {
		s.head.next, s.head.prev = &s.head, &s.head
	}
	f = s.ByID[t.Flow]
	if f == nil {
		f = &Flow{ID: t.Flow, ServiceHash: t.Service, PinnedBackend: t.Backend}
		s.ByID[t.Flow] = f
		added = true
	} else {
		f.unlink()
	}
	s.link(f)
	f.Caller, f.LastSeen = caller, now
	s.evict()
	return f, added
}

func (s *Flows) link(f *Flow) {
	f.next, f.prev = s.head.next, &s.head
	f.next.prev = f
	s.head.next = f
}

func (f *Flow) unlink() {
	f.prev.next, f.next.prev = f.next, f.prev
	f.next, f.prev = nil, nil
}

// evict removes the least recently used idle flows while there are more than maxFlows.
func (s *Flows) evict() {
	const steps = 4 // limits the cost when the least recently used flows are busy
	for f, i := s.head.prev, 0; len(s.ByID) > s.maxFlows && f != &s.head && i < steps; i++ {
		older := f.prev
		if len(f.Requests) == 0 {
			s.remove(f)
		}
		f = older
	}
}

func (s *Flows) remove(f *Flow) {
	f.unlink()
	delete(s.ByID, f.ID)
}

// flowIdleTimeout is how long an idle flow stays in memory.
const flowIdleTimeout = 10 * clock.Minute

// expire removes the flows that have been idle for flowIdleTimeout.
func (s *Flows) expire(now clock.Millis) {
	for f := s.head.prev; f != nil && f != &s.head && now-f.LastSeen > flowIdleTimeout; {
		older := f.prev
		if len(f.Requests) == 0 {
			s.remove(f)
		}
		f = older
	}
}

// RequestState is the state of a request at its flow's owner.
type RequestState uint8

// The states of a request.
const (
	StateReceiving RequestState = iota // parts are missing
	StatePlacing                       // all parts arrived; the request waits for an instance, a permit or a slot, runs, or is handed over
	StateAnswering                     // the answer is being sent
	StateRefused                       // refused; kept in memory so that the refusal can be repeated
	StateEnded                         // finished
)

// Request is one request of a flow owned here.
type Request struct {
	Flow         *Flow
	Number       uint64
	Once         bool // it must not be repeated and needs a Permit to start
	Class        packet.Class
	Deadline     clock.Millis
	State        RequestState
	PartCount    uint32
	Assembly     *packet.Assembly // while parts are missing
	UnackedParts int              // parts received since the last Ack was sent
	Job          *Job

	Nonce     uint64       // nonce of the Ask that was sent, or 0
	Permitted bool         // the caller sent its Permit for Nonce
	AskedAt   clock.Millis // when Ask was last sent

	Answer      []byte
	Status      uint16
	Reason      packet.Reason // when refused
	Window      packet.Window
	MaxInFlight uint32       // answer parts that may be unacknowledged at once
	Timeout     clock.Millis // retransmission time-out of answer parts
	SentAt      clock.Millis // when answer parts were last sent
	ExpiresAt   clock.Millis // when it is removed, in StateAnswering and StateRefused

	timerAt clock.Millis
}
