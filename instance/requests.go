package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Limits of requests.
const (
	ackEvery        = 8                      // an Ack is sent after this many new parts
	ackDelay        = 10 * clock.Millisecond // or this long after a new part
	askEvery        = 60 * clock.Millisecond // an unanswered Ask is repeated
	refusedFor      = 5 * clock.Second       // a refusal is remembered, to be repeated
	runGrace        = 50 * clock.Millisecond // after the deadline until a run is cancelled
	maxFlowRequests = endedBits              // under way on one flow
)

// requestController collects the parts of requests, and follows them by timers
// until they are answered or refused.
type requestController struct{ b *EngineState }

func (c requestController) part(f *Flow, s *Service, p *packet.Packet) {
	if f.hasEnded(p.Request) {
		return
	}
	r := f.find(p.Request)
	if r == nil {
		r = c.begin(f, s, p)
	}
	switch r.State {
	case StateReceiving:
		c.add(r, s, p)
	case StateRefused:
		c.b.sendRefusal(r)
	case StatePlacing, StateAnswering:
		c.b.sendAck(r)
	}
}

// begin takes in a new request, or refuses it.
func (c requestController) begin(f *Flow, s *Service, p *packet.Packet) *Request {
	r := &Request{Flow: f, Number: p.Request, Once: p.Once, Class: p.Class, PartCount: p.Count}
	if len(f.Requests) >= maxFlowRequests {
		r.State, r.Reason = StateEnded, packet.ReasonBusy
		c.b.sendRefusal(r)
		return r
	}
	f.Requests = append(f.Requests, r)
	span := min(p.Deadline, s.Record.Deadline)
	if p.Deadline == 0 {
		span = s.Record.Deadline
	}
	r.Deadline = c.b.Now + span
	switch {
	case c.b.StoppingSince != 0 && c.b.Now-c.b.StoppingSince > stopAlone:
		c.b.refuseRequest(r, packet.ReasonStopping, "no other instance takes it")
	case int64(p.Count-1)*packet.MaxPayload >= s.Record.Limit:
		c.b.refuseRequest(r, packet.ReasonSize, "parts exceed the service's limit")
	default:
		r.Assembly = packet.NewAssembly(p.Count)
		c.b.timers.set(r, r.Deadline)
	}
	return r
}

// add stores one part and hands the request on when it is whole.
func (c requestController) add(r *Request, s *Service, p *packet.Packet) {
	if p.Count != r.PartCount || p.Once != r.Once {
		c.b.refuseRequest(r, packet.ReasonMalformed, "parts contradict each other")
		return
	}
	if !c.b.hasMemory(s.Hash, int64(len(p.Payload))) {
		c.b.refuseRequest(r, packet.ReasonMemory, "bodies fill the memory set aside")
		return
	}
	inOrder := p.Part == r.Assembly.Next
	if r.Assembly.Add(p.Part, p.Payload) {
		c.b.holdBytes(r.Flow.ServiceHash, int64(len(p.Payload)))
		r.UnackedParts++
	} else {
		inOrder = false
	}
	if r.Assembly.Done() {
		c.whole(r, s)
		return
	}
	if !inOrder || r.UnackedParts >= ackEvery {
		c.b.sendAck(r)
	}
	if r.UnackedParts > 0 {
		c.b.timers.set(r, min(r.Deadline, c.b.Now+ackDelay))
	}
}

// whole turns a request whose parts are all held into a job.
func (c requestController) whole(r *Request, s *Service) {
	body := r.Assembly.Body()
	c.b.sendAck(r)
	r.Assembly = nil
	if int64(len(body)) > s.Record.Limit {
		c.b.holdBytes(r.Flow.ServiceHash, -int64(len(body)))
		c.b.refuseRequest(r, packet.ReasonSize, "body exceeds the service's limit")
		return
	}
	r.State = StatePlacing
	r.Job = &Job{
		Service: s, Request: r, QueuedAt: c.b.Now,
		Work: Work{
			Flow: r.Flow.ID, Request: r.Number, Service: s.Record.Name, Class: c.b.classOf(s, r.Class, len(body)),
			Once: r.Once, Deadline: r.Deadline, Body: body,
		},
	}
	r.Job.Work.PinnedBackend = c.b.pin(r.Flow, s, r.Job.Work.Class)
	c.b.timers.set(r, r.Deadline+runGrace)
	c.b.ready = append(c.b.ready, r.Job)
}

// permit takes in the caller's leave to start a request that must not be
// repeated. It counts for the nonce that this instance asked with, and only once.
func (c requestController) permit(f *Flow, p *packet.Packet) {
	r := f.find(p.Request)
	if r == nil || r.State != StatePlacing || r.Nonce == 0 || r.Nonce != p.Nonce || r.Permitted {
		return
	}
	r.Permitted = true
	r.Job.Work.Nonce = r.Nonce
	if r.Job.Peer != nil && r.Job.RunID == 0 {
		c.b.ready = append(c.b.ready, r.Job)
		return
	}
	c.b.pump(r.Job.Service)
}

// ask asks the caller for leave to start a request that must not be repeated.
func (b *EngineState) ask(r *Request) {
	if r.Nonce == 0 {
		r.Nonce = b.random.Uint64() | 1
	}
	if r.AskedAt != 0 && b.Now-r.AskedAt < askEvery {
		return
	}
	r.AskedAt = b.Now
	b.do(SendPacket{To: r.Flow.Caller, Packet: packet.Packet{Kind: packet.KindAsk, Token: r.Flow.token, Request: r.Number, Nonce: r.Nonce}})
	b.timers.set(r, min(r.Deadline+runGrace, b.Now+askEvery))
}

func (c requestController) cancel(f *Flow, p *packet.Packet) {
	r := f.find(p.Request)
	if r == nil {
		f.markEnded(p.Request)
		return
	}
	switch r.State {
	case StateReceiving:
		c.b.refuseRequest(r, packet.ReasonCancelled, "by the caller")
	case StatePlacing:
		c.b.dropJob(r.Job)
	case StateAnswering:
		c.b.finish(r)
	case StateRefused:
		c.b.sendRefusal(r)
	}
}

// timer looks after a request whose time has come.
func (c requestController) timer(r *Request) {
	switch r.State {
	case StateReceiving:
		c.receiving(r)
	case StatePlacing:
		c.placing(r)
	case StateAnswering:
		c.b.repeatAnswer(r)
	case StateRefused:
		c.b.finish(r)
	}
}

func (c requestController) receiving(r *Request) {
	if c.b.Now >= r.Deadline {
		c.b.refuseRequest(r, packet.ReasonDeadline, "parts are missing")
		return
	}
	if r.UnackedParts > 0 {
		c.b.sendAck(r)
	}
	c.b.timers.set(r, r.Deadline)
}

func (c requestController) placing(r *Request) {
	switch {
	case c.b.Now >= r.Deadline+runGrace:
		c.b.dropJob(r.Job)
	case r.Nonce != 0 && !r.Permitted:
		c.b.ask(r)
	default:
		c.b.timers.set(r, r.Deadline+runGrace)
	}
}

func (b *EngineState) sendAck(r *Request) {
	r.UnackedParts = 0
	p := packet.Packet{Kind: packet.KindAck, Token: r.Flow.token, Request: r.Number, Next: r.PartCount, Count: r.PartCount}
	if r.Assembly != nil {
		p.Next, p.Mask = r.Assembly.Next, r.Assembly.Mask()
	}
	b.do(SendPacket{To: r.Flow.Caller, Packet: p})
}

// refuseRequest ends a request with a typed reason, and remembers it for a while
// so that the refusal can be repeated.
func (b *EngineState) refuseRequest(r *Request, reason packet.Reason, detail string) {
	if r.Assembly != nil {
		b.holdBytes(r.Flow.ServiceHash, -int64(r.Assembly.Size))
		r.Assembly = nil
	}
	r.State, r.Reason = StateRefused, reason
	r.ExpiresAt = b.Now + refusedFor
	name := ""
	if s := b.Services[r.Flow.ServiceHash]; s != nil {
		name = s.Record.Name
	}
	b.do(LogDecision{Decision: "refuse", Reason: reason.String(), Service: name, Subject: r.Flow.Caller.String(), Detail: detail, Level: LevelInfo})
	b.sendRefusal(r)
	b.timers.set(r, r.ExpiresAt)
}

func (b *EngineState) sendRefusal(r *Request) {
	b.do(SendPacket{To: r.Flow.Caller, Packet: packet.Packet{
		Kind: packet.KindRefuse, Token: r.Flow.token, Request: r.Number, Reason: r.Reason, Nonce: r.Nonce,
	}})
}

// finish forgets a request.
func (b *EngineState) finish(r *Request) {
	b.holdBytes(r.Flow.ServiceHash, -int64(len(r.Answer)))
	r.Answer = nil
	r.State = StateEnded
	r.Flow.markEnded(r.Number)
	r.Flow.drop(r)
}
