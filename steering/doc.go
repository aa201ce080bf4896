// Package steering decides to which endpoint each packet of a flow is forwarded. It also
// detects endpoints that are unreachable, overloaded or failing, and places new flows
// elsewhere. It resets open flows only on proof that their endpoint's process has ended.
//
// A flow is a connection between a consumer and an endpoint, whose bytes must not be
// modified on the way. An instance sees only the packets of consumers. An opening packet
// is placed at an endpoint of its route's service; every other packet carries a token that
// identifies its endpoint. The token is derived from the endpoint's number alone, so
// instances need no shared flow state.
//
// The package does no I/O and has no timers; the current time is an argument. Engine.Steer
// returns a Decision on a packet without allocating. All other input is an Event, for which
// Engine.Handle returns the Actions that the daemon has to carry out.
//
// Files:
//
//	engine.go         the engine: handling of events, conditions
//	event.go          events and actions
//	packet.go         packets and decisions
//	configuration.go  routes, and deltas between configurations
//	endpoint.go       endpoints and the directory of them
//	history.go        changes of endpoints since a revision, for other instances
//	unreadable.go     entries and configurations that can't be decoded
//	flow.go           the flow table
//	opening.go        decisions on opening packets
//	established.go    decisions on all other packets
//	placement.go      choice of the endpoint for a new flow
//	demand.go         choice by the sums of the data centre, and digests for them
//	evacuation.go     evacuated data centres, which get no new flows
//	silence.go        detection of endpoints that don't answer, by packets and probes
//	proof.go          proof that the process of an endpoint has ended, and resets of its flows
//	outlier.go        detection of endpoints that fail requests
//	query.go          queries to other instances about unanswered requests
//	ejection.go       ejection of failing endpoints, and probation
//	warmup.go         limit of the new flows of cold endpoints
//	contradiction.go  resets that turned out wrong
//	evidence.go       what was known of an endpoint when its flows were reset
//	tally.go          counts of answers, exchanged between instances
//
// # Usage
//
//	e := steering.NewEngine(steering.Settings{Centre: "riga-a"})
//	e.Handle(now, steering.ConfigurationRead{Configuration: c})
//	e.Handle(now, steering.EndpointsListed{Endpoints: list, Revision: 530})
//	switch d := e.Steer(now, &p); d.Verdict {
//	case steering.Forward: // send the packet to d.Endpoint
//	case steering.Reset: // send a reset to the consumer
//	case steering.Drop: // discard the packet; d.Reason says why
//	}
package steering
