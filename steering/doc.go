// Package steering decides where the packets of opaque flows go.
//
// A flow runs between a consumer and an endpoint, whose bytes nobody else may
// change. The daemon sees the consumer's packets only: an opening packet is given
// to an endpoint of its route's service, every other packet goes to the endpoint
// that its token names. Nothing has to be agreed on between instances: the token
// is made from the endpoint's id alone.
//
// The package holds decisions without sockets, calls or timers. Packets come to
// Engine.Steer and are answered by a Decision, which costs no allocation. Anything
// else is an Event; Engine.Handle answers it with Actions for the daemon to carry
// out. Points in time are handed in.
//
//	packet.go         packets and decisions on them
//	configuration.go  routes and services that operators wrote
//	endpoint.go       endpoints, and the directory that holds the newest of each
//	flow.go           what passing packets tell of a flow
//	opening.go        decisions on opening packets
//	established.go    decisions on all other packets
//	place.go          the choice among endpoints
//	silence.go        endpoints that fall silent, and how they come back
//	judge.go          endpoints that answer and fail their requests
//	ban.go            endpoints that were found to fail, and how they come back
//	tally.go          what instances tell each other of endpoints' answers
//	doubt.go          requests whose answer another instance may have seen
//	event.go          events and actions
//	engine.go         what comes of events
//
// # Usage
//
//	e := steering.NewEngine(steering.Settings{Centre: "riga-a"})
//	e.Handle(now, steering.ConfigurationRead{Configuration: c})
//	e.Handle(now, steering.EndpointsListed{Endpoints: list, Revision: 530})
//	switch d := e.Steer(now, &p); d.Verdict {
//	case steering.Forward: // to d.Endpoint
//	case steering.Reset: // tell the consumer that the flow is over
//	case steering.Drop: // d.Reason says why
//	}
package steering
