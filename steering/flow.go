package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// flow is what passing packets tell of one flow. It is a help for placing and
// for finding silent endpoints; a daemon that lacks it forwards all the same.
type flow struct {
	endpoint      *endpointState
	service       string // of the route when it was placed
	openedAt      clock.Millis
	lastPacketAt  clock.Millis // of the latest packet
	requestAt     clock.Millis // since when a request waits for its answer; 0 for none
	endSequence   uint32       // sequence number after the last new byte of data
	ack           uint32
	copies        uint32       // of the opening packet
	retransmits   uint32       // packets with data that was sent before, since asked
	waitHandled   bool         // that it waits has been handed on
	queriedAt     clock.Millis // when the other instances were asked for it; 0 for not
	suspectedLost bool         // they haven't seen it go on either
	requestAck    uint32       // ack when it was asked
	streakNumber  uint32       // of the endpoint's run of small answers that smalls belongs to
	smallAnswers  uint8
	established   bool
	closing       bool // the consumer is done
	counted       bool // in the load of its server
}

// flows holds the flows of a daemon, the latest ones only.
type flows struct {
	byKey map[key]*flow
	limit int
	idle  clock.Millis
	free  []*flow // to use again
}

// How many flows a daemon remembers, and for how long at most, in ms.
const (
	// 100 bytes each; the whole table stays within a tenth of the smallest
	// instance's 84 MB.
	maxFlows = 65536
	// The platform's flows are discarded after 15 s without a packet, and a
	// shorter limit may be configured.
	defaultIdle = 15 * clock.Second
	// An opening that nobody answered has been given up by its consumer after 1.4 s.
	openingTimeout = 1500 * clock.Millisecond
)

func newFlows() flows {
	return flows{byKey: map[key]*flow{}, limit: maxFlows, idle: defaultIdle}
}

// add returns a new flow, or nil when there is no room.
func (f *flows) add(k key) *flow {
	if len(f.byKey) >= f.limit {
		return nil
	}
	var w *flow
	if n := len(f.free); n > 0 {
		w, f.free = f.free[n-1], f.free[:n-1]
		*w = flow{}
	} else {
		w = &flow{}
	}
	f.byKey[k] = w
	return w
}

// remove forgets a flow.
func (f *flows) remove(k key, w *flow) {
	w.detach()
	delete(f.byKey, k)
	if len(f.free) < maxFreeFlows {
		f.free = append(f.free, w)
	}
}

// maxFreeFlows bounds the forgotten flows kept for use; a second of new flows at the
// size designed for is about 100 a daemon.
const maxFreeFlows = 1024

// expire forgets flows that are idle, and openings that were given up. It hands
// those on that wait for their endpoint.
func (f *flows) expire(now clock.Millis, checkWaiting func(k key, w *flow)) {
	for k, w := range f.byKey {
		limit := f.idle
		switch {
		case !w.established:
			limit = openingTimeout
			if now-w.lastPacketAt >= openingProbeDelay && !w.waitHandled {
				checkWaiting(k, w)
			}
		case w.closing:
			limit = closingTimeout
		case w.requestAt != 0 && now-w.requestAt >= requestProbeDelay && !w.suspectedLost:
			checkWaiting(k, w)
		}
		if now-w.lastPacketAt >= limit {
			f.remove(k, w)
		}
	}
}

// closingTimeout is how long a flow is remembered after its consumer was done: a
// few of the repeats that start at 200 ms.
const closingTimeout = 2 * clock.Second

// attach counts a flow in the load of an endpoint.
func (w *flow) attach(s *endpointState) {
	w.detach()
	w.endpoint = s
	w.counted = true
	s.load.flows++
}

// detach takes a flow out of the load of its endpoint.
func (w *flow) detach() {
	if !w.counted {
		return
	}
	w.counted = false
	w.endpoint.load.flows--
	if w.requestAt != 0 {
		w.endpoint.load.waiting--
		w.requestAt = 0
	}
}

// startRequest notes that a request waits for its answer.
func (w *flow) startRequest(now clock.Millis) {
	if w.requestAt == 0 {
		w.requestAt = now
		w.retransmits, w.waitHandled, w.queriedAt, w.suspectedLost = 0, false, 0, false
		w.requestAck = w.ack
		w.endpoint.load.waiting++
	}
}

// endRequest notes that the request got its endRequest, and returns the time it took.
func (w *flow) endRequest(now clock.Millis) clock.Millis {
	took := now - w.requestAt
	w.requestAt, w.retransmits = 0, 0
	w.endpoint.load.waiting--
	return took
}

// sequenceAfter reports whether sequence number a is past b. They wrap around.
func sequenceAfter(a, b uint32) bool { return int32(a-b) > 0 }
