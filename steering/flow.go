package steering

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

// flow is the state of one flow as seen from its consumer's packets. It serves placement
// and fault detection; packets of a flow without it are forwarded by their token.
type flow struct {
	endpoint      *endpointState
	service       string // service of the route for which it was placed
	openedAt      clock.Millis
	lastPacketAt  clock.Millis
	requestAt     clock.Millis // when the pending request was sent; 0 if none is pending
	endSequence   uint32       // sequence number after the highest byte of data so far
	ack           uint32
	openingCopies uint32       // copies of the opening packet so far
	retransmits   uint32       // packets that retransmit the pending request
	waitHandled   bool         // checkWaiting has handled the present wait
	queriedAt     clock.Millis // when the flow was added to a query; 0 if it wasn't
	suspectedLost bool         // no other instance reported progress
	requestAck    uint32       // ack when the pending request was sent
	streakNumber  uint32       // streak of the endpoint that smallAnswers belongs to
	smallAnswers  uint8
	established   bool
	consumerDone  bool // finished or aborted by the consumer
	counted       bool // counted in the load of its endpoint
	placedShort   bool // placed while room was short; until its first answer
}

// flows is the table of the flows that an instance tracks.
type flows struct {
	byKey       map[key]*flow
	limit       int
	idleTimeout clock.Millis
	free        []*flow // removed flows for reuse
}

// Limits of the flow table.
const (
	// Flows in the table. At 100 bytes each it takes less than a tenth of the 84 MB of the
	// smallest instance.
	maxFlows = 65536
	// The platform discards flows after 15 s without a packet. Operators may configure a
	// shorter time.
	defaultIdleTimeout = 15 * clock.Second
	// Consumers give up an unanswered opening after 1.4 s.
	openingTimeout = 1500 * clock.Millisecond
)

func newFlows() flows {
	return flows{byKey: map[key]*flow{}, limit: maxFlows, idleTimeout: defaultIdleTimeout}
}

// add inserts and returns a new flow, or returns nil if the table is full.
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

// remove deletes a flow from the table, unless it was deleted before.
func (f *flows) remove(k key, w *flow) {
	if f.byKey[k] != w {
		return
	}
	w.detach()
	delete(f.byKey, k)
	if len(f.free) < maxFreeFlows {
		f.free = append(f.free, w)
	}
}

// maxFreeFlows is the maximum number of removed flows kept for reuse. An instance gets
// about 100 new flows per second at the design size.
const maxFreeFlows = 1024

// expire removes idle flows and abandoned openings. It calls checkWaiting for flows that
// have waited long for their endpoint.
func (f *flows) expire(now clock.Millis, checkWaiting func(k key, w *flow)) {
	for k, w := range f.byKey {
		limit := f.idleTimeout
		switch {
		case !w.established:
			limit = openingTimeout
			if now-w.lastPacketAt >= openingProbeDelay && !w.waitHandled {
				checkWaiting(k, w)
			}
		case w.consumerDone:
			limit = closingTimeout
		case w.requestAt != 0 && now-w.requestAt >= requestProbeDelay && !w.suspectedLost:
			checkWaiting(k, w)
		}
		if now-w.lastPacketAt >= limit {
			f.remove(k, w)
		}
	}
}

// closingTimeout is how long a flow is kept after its consumer finished or aborted it. It
// covers a few retransmissions, which start after 200 ms.
const closingTimeout = 2 * clock.Second

// attach assigns the flow to an endpoint and counts it in the endpoint's load.
func (w *flow) attach(s *endpointState) {
	w.detach()
	w.endpoint = s
	w.counted = true
	s.load.flows++
}

// detach removes the flow from the load of its endpoint.
func (w *flow) detach() {
	if !w.counted {
		return
	}
	w.counted = false
	w.endpoint.load.flows--
	if w.requestAt != 0 {
		w.endpoint.load.pendingRequests--
		w.requestAt = 0
	}
}

// detachAll detaches the flows of an endpoint that was replaced by a new process. Most of
// them have ended, so they are neither load nor evidence until the endpoint answers them.
func (f *flows) detachAll(s *endpointState) {
	for _, w := range f.byKey {
		if w.endpoint == s {
			w.detach()
		}
	}
}

// startRequest marks a request as pending, unless one is pending already.
func (w *flow) startRequest(now clock.Millis) {
	if w.requestAt == 0 {
		w.requestAt = now
		w.retransmits, w.waitHandled, w.queriedAt, w.suspectedLost = 0, false, 0, false
		w.requestAck = w.ack
		w.endpoint.load.pendingRequests++
	}
}

// endRequest marks the pending request as answered.
func (w *flow) endRequest() {
	w.requestAt, w.retransmits = 0, 0
	w.endpoint.load.pendingRequests--
}

// sequenceAfter reports whether sequence number a is after b, with wrap-around.
func sequenceAfter(a, b uint32) bool { return int32(a-b) > 0 }
