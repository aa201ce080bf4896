package instance

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// Flow is one flow whose requests this instance handles. It holds nothing that
// its token does not, but for requests under way: an idle flow can be forgotten
// and taken up again from its token at any time.
type Flow struct {
	ID            uint64
	ServiceHash   uint64
	PinnedBackend uint64 // backend server it is pinned to, or 0
	Caller        netip.AddrPort
	LastSeen      clock.Millis
	TokenIssued   clock.Millis // issue time of the token last sent
	Requests      []*Request   // under way, in order of arrival
	NewestEnded   uint64       // highest request number that ended
	EndedMask     uint64       // bit i set when request Newest-i ended
	token         []byte
	next          *Flow // less recently used
	prev          *Flow // more recently used
}

// find returns the flow's request under way with a number, or nil.
func (f *Flow) find(number uint64) *Request {
	for _, r := range f.Requests {
		if r.Number == number {
			return r
		}
	}
	return nil
}

// endedWindow is the number of ended requests that Flow.Ended remembers.
const endedWindow = 64

// markEnded remembers that a request ended.
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

// hasEnded reports whether a request is remembered to have ended.
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

// Flows holds the flows of this instance, with the least recently used first to
// be forgotten.
type Flows struct {
	ByID     map[uint64]*Flow
	maxFlows int
	head     Flow // sentinel: head.next is the most recently used, head.prev the least
}

func newFlows(limit int) Flows {
	return Flows{ByID: make(map[uint64]*Flow), maxFlows: limit}
}

// touch returns the flow of a token, taking it up if need be.
func (s *Flows) touch(t token.Token, caller netip.AddrPort, now clock.Millis) (f *Flow, fresh bool) {
	if s.head.next == nil {
		s.head.next, s.head.prev = &s.head, &s.head
	}
	f = s.ByID[t.Flow]
	if f == nil {
		f = &Flow{ID: t.Flow, ServiceHash: t.Service, PinnedBackend: t.Backend}
		s.ByID[t.Flow] = f
		fresh = true
	} else {
		f.unlink()
	}
	s.link(f)
	f.Caller, f.LastSeen = caller, now
	s.evict()
	return f, fresh
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

// evict forgets the least recently used idle flows beyond the limit.
func (s *Flows) evict() {
	const steps = 4 // looks at a few, so that busy flows at the end cost little
	for f, i := s.head.prev, 0; len(s.ByID) > s.maxFlows && f != &s.head && i < steps; i++ {
		older := f.prev
		if len(f.Requests) == 0 {
			s.forget(f)
		}
		f = older
	}
}

func (s *Flows) forget(f *Flow) {
	f.unlink()
	delete(s.ByID, f.ID)
}

// flowIdleTimeout is how long an idle flow is held in memory.
const flowIdleTimeout = 10 * clock.Minute

// expire forgets flows that have been idle for long.
func (s *Flows) expire(now clock.Millis) {
	for f := s.head.prev; f != nil && f != &s.head && now-f.LastSeen > flowIdleTimeout; {
		older := f.prev
		if len(f.Requests) == 0 {
			s.forget(f)
		}
		f = older
	}
}

// RequestState is where a request stands at its flow's owner.
type RequestState uint8

// The states of a request.
const (
	StateReceiving RequestState = iota // parts are missing
	StatePlacing                       // whole; queued here, asking for a permit, running or handed over
	StateAnswering                     // the answer is being sent
	StateRefused                       // refused; kept to repeat the refusal
	StateEnded                         // nothing is left to do
)

// Request is one request of a flow owned here.
type Request struct {
	Flow         *Flow
	Number       uint64
	Once         bool
	Class        packet.Class
	Deadline     clock.Millis
	State        RequestState
	PartCount    uint32           // number of parts of the request
	Assembly     *packet.Assembly // while parts are missing
	UnackedParts int              // new parts since the last Ack
	Job          *Job

	Nonce     uint64       // of the Ask sent, or 0
	Permitted bool         // the caller permitted Nonce
	AskedAt   clock.Millis // when Ask was last sent

	Answer      []byte
	Status      uint16
	Reason      packet.Reason // when refused
	Window      packet.Window
	MaxInFlight uint32       // parts in flight allowed
	Timeout     clock.Millis // until unacknowledged parts are repeated
	SentAt      clock.Millis // when answer parts were last sent
	ExpiresAt   clock.Millis // when it is given up while answering or refused

	timerAt clock.Millis
}
