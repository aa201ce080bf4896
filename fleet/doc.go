// Package fleet decides which instances of a data centre read the platform's store, and
// distributes what they read to the others, so that the calls to the store don't grow with
// the number of instances. Instances also exchange their findings about endpoints and flows
// through it.
//
// One instance of a data centre, the watcher, watches the store and sends changes to the
// other members in datagrams. No agreement is needed to choose it: all members order the
// known members by the same hash, and the first one watches. The watcher's heartbeats carry
// the age of its records. A member whose records get too old, for whatever reason, starts
// to watch, members of higher rank earlier; it stops when it gets heartbeats from a working
// watcher of higher rank. So if the watcher dies, stalls, or loses its connection to the
// members or to the store, the other members' records stay within the record bound. Two
// watchers at once only cost additional calls.
//
// Records carry revisions of the store, so a member may take them from any source. A member
// that missed a message finds that out from the next heartbeat, and fetches the records.
//
// # Usage
//
//	e := fleet.NewEngine(fleet.Settings{Self: self, RecordBound: 3 * clock.Second}, now)
//	e.Handle(now, fleet.MembersListed{Members: list})
//	for _, a := range e.Handle(now, fleet.MessageReceived{From: sender, Message: m}) { ... }
//
// # Files
//
//	engine.go        the engine, and how it handles events and messages
//	event.go         events and actions of the engine
//	message.go       messages between members, and their encoding
//	member.go        members and their ranks
//	watcher.go       which member watches the store
//	outage.go        what proves an outage of the store
//	relay.go         heartbeats, and their relays in a large data centre
//	start.go         who reads the store when all members start at once
//	registration.go  when a member writes its object to the store
//	broadcast.go     endpoint changes, tallies and probes of silent members
//	demand.go        load of the members, and its sum
//	evacuation.go    evacuation orders in messages and records
//	owners.go        the members among which steering divides cold endpoints
//	report.go        the report to operators
package fleet
