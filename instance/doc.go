// Package instance makes every decision of one entry instance: which instance
// a packet belongs to, which flows and requests it holds, where and when a
// request runs, what is refused and why, and what the status says.
//
// The package has no sockets, goroutines or clock. A daemon (package entry)
// turns what happens into an Event, hands it to Engine.Handle with the time, and
// carries out the returned Actions. The same events at the same times always
// give the same actions, so any bench can drive the decisions.
//
// All state lies on one Board. Controllers, one per concern, read and write it:
//
//	records     records in force, never an older revision after a newer
//	members     which instances are alive, from lists and heartbeats
//	packets     routing by token, flows, request parts, answers
//	dispatch    queues, slots, choice of endpoint or of another instance
//	health      what is learnt about each endpoint
//	silence     runs given up since nothing comes back
//	report      conditions for the status record
//
// # Usage
//
//	e := instance.New(settings, clock.Now())
//	for _, a := range e.Handle(clock.Now(), instance.PacketReceived{From: caller, Packet: p}) {
//		switch a := a.(type) {
//		case instance.SendPacket:
//			...
//		}
//	}
package instance
