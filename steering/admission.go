package steering

import (
	"github.com/tanagerdock/tanagerdock/admission"
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/demand"
)

const (
	// An answer is a refusal if it is that much smaller than the others of its route, and that much
	// earlier than those of its service. An endpoint at capacity refuses at once.
	refusalSize    = 0.35
	refusalLatency = 0.25
	answerWeight   = 0.01 // of an answer in these means
	// How long answers of another data centre show whether it has room.
	otherCentreValidity = 2 * clock.Second
)

// admissions decides which new flows are refused while room is short.
type admissions struct {
	configuration *Configuration
	wanted        map[string]bool // services to which routes have different priorities
	services      map[string]*serviceAdmission
	wrong         int64 // small first answers of flows that were placed while room was short
}

// serviceAdmission is the gate of a service, and its answers in other data centres.
type serviceAdmission struct {
	gate   admission.Gate
	sums   uint64 // number of the sums that the gate has
	others map[string]*centreAnswers
	// Mean bytes of the answers of each route, and their mean latency in ms, without refusals.
	sizes   map[AddrPort]float64
	latency float64
}

// centreAnswers says how another data centre answers the requests of this instance.
type centreAnswers struct {
	refusedAt clock.Millis
	normalAt  clock.Millis
}

// AdmissionState says where admission was wrong, for the metrics.
type AdmissionState struct {
	WrongRefusals   int64 // flows that were refused although the next sums showed room
	WrongAdmissions int64 // flows placed while room was short whose first request got a small answer
}

// AdmissionState returns the counts since the start.
func (e *Engine) AdmissionState() AdmissionState {
	v := AdmissionState{WrongAdmissions: e.admissions.wrong}
	for _, a := range e.admissions.services {
		v.WrongRefusals += a.gate.Wrong()
	}
	return v
}

// admissionOf returns the state of a service whose routes have different priorities, or nil.
func (e *Engine) admissionOf(service string) *serviceAdmission {
	v := &e.admissions
	if v.configuration != e.configuration {
		v.configuration, v.wanted = e.configuration, e.configuration.competing()
	}
	if !v.wanted[service] {
		return nil
	}
	if v.services == nil {
		v.services = map[string]*serviceAdmission{}
	}
	if v.services[service] == nil {
		v.services[service] = &serviceAdmission{others: map[string]*centreAnswers{}, sizes: map[AddrPort]float64{}}
	}
	return v.services[service]
}

// competing returns the services to which several routes with goals and timeouts have different
// priorities.
func (c *Configuration) competing() map[string]bool {
	first, wanted := map[string]int{}, map[string]bool{}
	for _, r := range c.Routes {
		if r.LatencyGoal == 0 || r.Timeout == 0 {
			continue
		}
		for _, s := range r.Shares {
			if s.Weight <= 0 {
				continue
			}
			if p, found := first[s.Service]; found && p != r.Priority {
				wanted[s.Service] = true
			}
			first[s.Service] = r.Priority
		}
	}
	return wanted
}

// admit decides whether a new flow is placed at the endpoint that was found for it.
func (e *Engine) admit(now clock.Millis, p *Packet, route *Route, s *endpointState) bool {
	a := e.admissionOf(s.Service)
	if a == nil || p.mayBeCopied() || route.LatencyGoal == 0 || route.Timeout == 0 {
		return true
	}
	usable := e.sumsRecent(now) && now >= e.stalledUntil && !e.isolated(now) && !e.roomElsewhere(now, a, s.Service)
	if usable && a.sums != e.demand.sums {
		a.sums = e.demand.sums
		a.gate.Observe(now, e.admissionSums(now, s.Service))
	}
	o := admission.Opening{Address: p.Consumer.Address, Flow: p.key().hash(), Priority: route.Priority, Timeout: route.Timeout, Usable: usable}
	if usable {
		o.Wait = e.earliestAnswer(now, s.Service)
	}
	return a.gate.Admit(now, &o)
}

// admissionSums returns the sums of a service in the data centre.
func (e *Engine) admissionSums(now clock.Millis, service string) *admission.Sums {
	d := e.demandOf(service)
	v := &admission.Sums{TakenAt: now, Refused: float64(d.sheds)}
	for _, p := range e.demand.parts {
		v.TakenAt = min(v.TakenAt, p.takenAt)
	}
	for _, s := range e.directory.byService[service] {
		if s.Centre != e.settings.Centre || s.silence.avoided(now) || s.failures.excluded(now) {
			continue
		}
		v.Slots += s.Slots
		v.Pending += s.demand.otherPending + s.load.pendingRequests
		if s.demand.latency > 0 {
			v.Answers += (1 - answerDecay) * s.demand.answersBehind
		}
	}
	return v
}

// earliestAnswer returns the shortest mean latency of the endpoints that may be chosen, or 0 if
// one of them has none.
func (e *Engine) earliestAnswer(now clock.Millis, service string) clock.Millis {
	least := clock.Millis(demand.MaxLatency)
	for _, s := range e.directory.byService[service] {
		if s.silence.avoided(now) || s.failures.excluded(now) {
			continue
		}
		if s.demand.latency == 0 {
			return 0
		}
		least = min(least, clock.Millis(s.demand.latency))
	}
	return least
}

// roomElsewhere reports whether another data centre has an endpoint that may be chosen, unless its latest answer to
// this instance was a refusal.
func (e *Engine) roomElsewhere(now clock.Millis, a *serviceAdmission, service string) bool {
	for _, s := range e.directory.byService[service] {
		if s.Centre == e.settings.Centre || s.silence.avoided(now) || s.failures.excluded(now) {
			continue
		}
		o := a.others[s.Centre]
		if o == nil || now-o.refusedAt > otherCentreValidity || o.normalAt >= o.refusedAt {
			return true
		}
	}
	return false
}

// recordAdmission counts an answer of a flow.
func (e *Engine) recordAdmission(now clock.Millis, destination AddrPort, w *flow, size int, latency clock.Millis) {
	s := w.endpoint
	a := e.admissionOf(s.Service)
	if a == nil {
		return
	}
	refused := a.isRefusal(destination, float64(min(size, maxAnswerSize)), float64(latency))
	if refused {
		e.demandOf(s.Service).ownSheds++
		if w.placedShort {
			e.admissions.wrong++
		}
	}
	w.placedShort = false
	if s.Centre == e.settings.Centre {
		a.gate.RecordAnswer(refused)
		return
	}
	a.recordElsewhere(now, s.Centre, refused)
}

// isRefusal reports whether an answer is the refusal of an endpoint at capacity. Refusals don't
// count in the means, however many there are.
func (a *serviceAdmission) isRefusal(destination AddrPort, size, latency float64) bool {
	mean, found := a.sizes[destination]
	if found && size < refusalSize*mean && latency < refusalLatency*a.latency {
		return true
	}
	if !found {
		mean = size
	}
	if a.latency == 0 {
		a.latency = latency
	}
	a.sizes[destination] = mean + answerWeight*(size-mean)
	a.latency += answerWeight * (latency - a.latency)
	return false
}

func (a *serviceAdmission) recordElsewhere(now clock.Millis, centre string, refused bool) {
	o := a.others[centre]
	if o == nil {
		o = &centreAnswers{}
		a.others[centre] = o
	}
	if refused {
		o.refusedAt = now
	} else {
		o.normalAt = now
	}
}

// isShort reports whether room is short for a service.
func (e *Engine) isShort(service string) bool {
	a := e.admissionOf(service)
	return a != nil && a.gate.Short()
}
