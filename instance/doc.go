// Package instance makes all decisions of one entry instance: where packets go,
// which flows it owns, where and when requests run, what is refused and why, and
// what its status says. It has no sockets, goroutines or clock, so that tests and
// simulations can run it with any order of events.
//
// # Usage
//
// A daemon (package entry) turns what happens into Events, passes them to
// Engine.Handle with the time, and carries out the Actions that it returns. The same
// events at the same times give the same actions.
//
//	e := instance.New(settings, clock.Now())
//	for _, a := range e.Handle(clock.Now(), instance.PacketReceived{From: caller, Packet: p}) {
//		switch a := a.(type) {
//		case instance.SendPacket:
//			...
//		}
//	}
//
// # Files
//
// EngineState holds all state. Controllers, one per concern, read and change it.
//
// Interface of the package:
//
//	engine.go        Engine: passes events to controllers
//	event.go         events, and the work and results in them
//	action.go        actions
//	settings.go      settings of an engine
//	policy.go        selection of the load balancing policy, and the baseline policies
//
// State:
//
//	state.go         EngineState, services, jobs, moving averages
//	endpoint.go      endpoints of backend servers
//	flow.go          flows and their requests
//	memory.go        limits of the memory for bodies
//	timers.go        timers of requests
//
// Other instances and the platform:
//
//	members.go       which instances are alive, and which dispatches which endpoint
//	heartbeat.go     heartbeats and envelopes
//	rendezvous.go    rendezvous hashing; assignment of endpoints to instances
//	reassignment.go  slots of endpoints that move to another instance
//	watch.go         which instances watch the platform; fetching of newer records
//	records.go       records in force; services and endpoints from them
//	report.go        conditions and the status record
//	shutdown.go      lease and graceful shutdown
//
// Packets, flows and requests of callers:
//
//	packets.go       opening of flows, verification and forwarding of packets
//	route.go         the instance that a packet belongs to
//	router.go        forwarding without the engine
//	owner.go         choice of the owner of a new flow
//	requests.go      assembly, permits, deadlines and refusals of requests
//	class.go         class of a request, short or long
//	answers.go       delivery of answers
//
// From requests to endpoints:
//
//	placement.go     choice of the instance that dispatches a request
//	deferred.go      requests that no instance takes for a while
//	spill.go         hand-over to other data centres
//	handover.go      work that other instances hand over
//	dispatch.go      queues, permits, start and end of runs, retries
//	admission.go     slots for long requests, time left until the deadline
//	rules.go         rules for classes, and pinned flows
//	capacity.go      estimates of run times and capacity
//	health.go        ejection and probes of endpoints
//	silence.go       time-outs of runs without an answer
package instance
