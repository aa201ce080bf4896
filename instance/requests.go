package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// Timing of packets and limits of requests.
const (
	ackParts          = 8                      // an Ack is sent after this many new parts
	ackDelay          = 10 * clock.Millisecond // or this long after a new part arrived
	permitRepeatDelay = 60 * clock.Millisecond // an unanswered Ask is sent again after this
	refusalLifetime   = 5 * clock.Second       // how long a refusal stays in memory so that it can be repeated
	cancelDelay       = 50 * clock.Millisecond // from the deadline until the run is cancelled
	maxFlowRequests   = endedWindow            // requests in progress on one flow
)

// requestController assembles requests from their parts, and runs their timers until they
// are answered or refused.
type requestController struct{ state *EngineState }

func (c requestController) receivePart(f *Flow, s *Service, p *packet.Packet) {
	if f.hasEnded(p.Request) {
		return
	}
	r := f.findRequest(p.Request)
	if r == nil {
		r = c.begin(f, s, p)
	}
	switch r.State {
	case StateReceiving:
		c.addPart(r, s, p)
	case StateRefused:
		c.state.sendRefusal(r)
	case StatePlacing, StateAnswering:
		c.state.sendAck(r)
	}
}

// begin creates a request when its first part arrives, or refuses it.
func (c requestController) begin(f *Flow, s *Service, p *packet.Packet) *Request {
	r := &Request{Flow: f, Number: p.Request, Once: p.Once, Class: p.Class, PartCount: p.Count}
	if len(f.Requests) >= maxFlowRequests {
		r.State, r.Reason = StateEnded, packet.ReasonBusy
		c.state.sendRefusal(r)
		return r
	}
	f.Requests = append(f.Requests, r)
	timeLeft := min(p.Deadline, s.Record.Deadline)
	if p.Deadline == 0 {
		timeLeft = s.Record.Deadline
	}
	r.Deadline = c.state.Now + timeLeft
	switch {
	case c.state.StoppingSince != 0 && c.state.Now-c.state.StoppingSince > soleShutdownTime:
		c.state.refuseRequest(r, packet.ReasonStopping, "no other instance accepts the request")
	case int64(p.Count-1)*packet.MaxPayload >= s.Record.Limit:
		c.state.refuseRequest(r, packet.ReasonSize, "number of parts exceeds the service's size limit")
	default:
		r.Assembly = packet.NewAssembly(p.Count)
		c.state.timers.set(r, r.Deadline)
	}
	return r
}

// addPart stores one part of a request. When all parts have arrived, the request becomes a
// job.
func (c requestController) addPart(r *Request, s *Service, p *packet.Packet) {
	if p.Count != r.PartCount || p.Once != r.Once {
		c.state.refuseRequest(r, packet.ReasonMalformed, "parts of the request are inconsistent")
		return
	}
	if !c.state.hasMemory(s.Hash, int64(len(p.Payload))) {
		c.state.refuseRequest(r, packet.ReasonMemory, "request and answer bodies exceed the memory limit")
		return
	}
	inOrder := p.Part == r.Assembly.Next
	if r.Assembly.Add(p.Part, p.Payload) {
		c.state.addBodyBytes(r.Flow.ServiceHash, int64(len(p.Payload)))
		r.UnackedParts++
	} else {
		inOrder = false
	}
	if r.Assembly.Done() {
		c.complete(r, s)
		return
	}
	if !inOrder || r.UnackedParts >= ackParts {
		c.state.sendAck(r)
	}
	if r.UnackedParts > 0 {
		c.state.timers.set(r, min(r.Deadline, c.state.Now+ackDelay))
	}
}

// complete creates the job of a request whose parts have all arrived.
func (c requestController) complete(r *Request, s *Service) {
	body := r.Assembly.Body()
	c.state.sendAck(r)
	r.Assembly = nil
	if int64(len(body)) > s.Record.Limit {
		c.state.addBodyBytes(r.Flow.ServiceHash, -int64(len(body)))
		c.state.refuseRequest(r, packet.ReasonSize, "body exceeds the service's size limit")
		return
	}
	r.State = StatePlacing
	r.Job = &Job{
		Service: s, Request: r, QueuedAt: c.state.Now,
		Work: Work{
			Flow: r.Flow.ID, Request: r.Number, Service: s.Record.Name, Class: c.state.classOf(s, r.Class, len(body)),
			Once: r.Once, Deadline: r.Deadline, Body: body,
		},
	}
	r.Job.Work.PinnedBackend = c.state.pinFlow(r.Flow, s, r.Job.Work.Class)
	c.state.timers.set(r, r.Deadline+cancelDelay)
	c.state.unplaced = append(c.state.unplaced, r.Job)
}

// receivePermit processes the caller's permit to start a request that must not be repeated.
// It is valid once, and only with the nonce of this instance's Ask.
func (c requestController) receivePermit(f *Flow, p *packet.Packet) {
	r := f.findRequest(p.Request)
	if r == nil || r.State != StatePlacing || r.Nonce == 0 || r.Nonce != p.Nonce || r.Permitted {
		return
	}
	r.Permitted = true
	r.Job.Work.Nonce = r.Nonce
	if r.Job.Peer != nil && r.Job.RunID == 0 {
		c.state.unplaced = append(c.state.unplaced, r.Job)
		return
	}
	c.state.scheduleFill(r.Job.Service)
}

// requestPermit sends an Ask to the caller, which answers it with a permit to start a
// request that must not be repeated.
func (st *EngineState) requestPermit(r *Request) {
	if r.Nonce == 0 {
		r.Nonce = st.random.Uint64() | 1
	}
	if r.AskedAt != 0 && st.Now-r.AskedAt < permitRepeatDelay {
		return
	}
	r.AskedAt = st.Now
	st.emit(SendPacket{To: r.Flow.Caller, Packet: packet.Packet{Kind: packet.KindAsk, Token: r.Flow.token, Request: r.Number, Nonce: r.Nonce}})
	st.timers.set(r, min(r.Deadline+cancelDelay, st.Now+permitRepeatDelay))
}

func (c requestController) cancel(f *Flow, p *packet.Packet) {
	r := f.findRequest(p.Request)
	if r == nil {
		f.markEnded(p.Request)
		return
	}
	switch r.State {
	case StateReceiving:
		c.state.refuseRequest(r, packet.ReasonCancelled, "cancelled by the caller")
	case StatePlacing:
		c.state.dropJob(r.Job)
	case StateAnswering:
		c.state.finishRequest(r)
	case StateRefused:
		c.state.sendRefusal(r)
	}
}

// handleTimer processes the expired timer of a request.
func (c requestController) handleTimer(r *Request) {
	switch r.State {
	case StateReceiving:
		c.checkReceiving(r)
	case StatePlacing:
		c.checkPlacing(r)
	case StateAnswering:
		c.state.repeatAnswer(r)
	case StateRefused:
		c.state.finishRequest(r)
	}
}

func (c requestController) checkReceiving(r *Request) {
	if c.state.Now >= r.Deadline {
		c.state.refuseRequest(r, packet.ReasonDeadline, "not all parts arrived before the deadline")
		return
	}
	if r.UnackedParts > 0 {
		c.state.sendAck(r)
	}
	c.state.timers.set(r, r.Deadline)
}

func (c requestController) checkPlacing(r *Request) {
	switch {
	case c.state.Now >= r.Deadline+cancelDelay:
		c.state.dropJob(r.Job)
	case r.Nonce != 0 && !r.Permitted:
		c.state.requestPermit(r)
	default:
		c.state.timers.set(r, r.Deadline+cancelDelay)
	}
}

func (st *EngineState) sendAck(r *Request) {
	r.UnackedParts = 0
	p := packet.Packet{Kind: packet.KindAck, Token: r.Flow.token, Request: r.Number, Next: r.PartCount, Count: r.PartCount}
	if r.Assembly != nil {
		p.Next, p.Mask = r.Assembly.Next, r.Assembly.Mask()
	}
	st.emit(SendPacket{To: r.Flow.Caller, Packet: p})
}

// refuseRequest sends a refusal with a reason. The request stays in memory for
// refusalLifetime so that the refusal can be repeated.
func (st *EngineState) refuseRequest(r *Request, reason packet.Reason, detail string) {
	if r.Assembly != nil {
		st.addBodyBytes(r.Flow.ServiceHash, -int64(r.Assembly.Size))
		r.Assembly = nil
	}
	r.State, r.Reason = StateRefused, reason
	r.ExpiresAt = st.Now + refusalLifetime
	name := ""
	if s := st.Services[r.Flow.ServiceHash]; s != nil {
		name = s.Record.Name
	}
	st.emit(LogDecision{Decision: "refuse", Reason: reason.String(), Service: name, Subject: r.Flow.Caller.String(), Detail: detail, Level: LevelInfo})
	st.sendRefusal(r)
	st.timers.set(r, r.ExpiresAt)
}

func (st *EngineState) sendRefusal(r *Request) {
	st.emit(SendPacket{To: r.Flow.Caller, Packet: packet.Packet{
		Kind: packet.KindRefuse, Token: r.Flow.token, Request: r.Number, Reason: r.Reason, Nonce: r.Nonce,
	}})
}

// finishRequest removes a request from its flow.
func (st *EngineState) finishRequest(r *Request) {
	st.addBodyBytes(r.Flow.ServiceHash, -int64(len(r.Answer)))
	r.Answer = nil
	r.State = StateEnded
	r.Flow.markEnded(r.Number)
	r.Flow.removeRequest(r)
}
