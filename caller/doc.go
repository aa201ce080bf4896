// Package caller is the client library for programs that send requests to a service
// through tanagerdock. It opens flows over UDP, sends request bodies in parts, resends
// what is lost, and reports for each request its answer or whether it may have run.
//
// # Usage
//
//	c, err := caller.Dial("127.0.0.1:7001")
//	defer c.Close()
//	f, err := c.Open(ctx, "orders")
//	answer, err := f.Do(ctx, caller.Request{Body: body, Once: true, Deadline: 5 * clock.Second})
//	switch {
//	case errors.Is(err, caller.ErrNotRun): // safe to send again
//	case errors.Is(err, caller.ErrOutcomeUnknown): // may have run once
//	}
//
// # How a request passes
//
//	opening   Open is sent again until an instance answers with the flow's token,
//	          which names the instance that owns the flow
//	sending   the body is sent in parts within a congestion window; an Ack says
//	          which parts the owner has
//	waiting   the last part is sent again at intervals; if the owner is gone, another
//	          instance adopts the flow and answers
//	permit    the owner runs a request that must not be repeated only after the
//	          caller has answered its Ask with a Permit; a request number gets one
//	          permit, for one nonce
//	answer    parts are collected separately for each owner, and reported with Got
//
// Every packet from an instance may carry a newer token of the flow, and the
// newest one is sent back. When it names a new owner, the bodies of requests are
// sent again from the start. A request with a permit stays with the owner that
// asked for it, and its packets carry that owner's token: no other instance may run
// it. Packets may come from any address, so the UDP socket isn't connected.
//
// # Outcome of a request
//
// A request ends with an answer or with one of two errors. ErrNotRun is returned
// only if the request did not run: it must not be repeated and no permit was
// granted, or not all of its parts were sent, or every owner that sent a packet
// about it refused it. All other requests end with ErrOutcomeUnknown; those that may
// be repeated can then be sent again without harm.
//
// The last case of ErrNotRun has a limit: the caller doesn't know of an instance that
// adopted the flow if all its packets were lost. A request that may be repeated can
// have run there nonetheless.
//
// # Files
//
//	conn.go      Conn: the UDP socket, and the engines of all flows on it
//	flow.go      Flow: sending a request and waiting for its answer
//	request.go   requests, answers and errors
//	engine.go    Engine: all decisions about one flow; it has no socket, goroutine or
//	             clock: an Event goes in with the time, Actions come out
//	event.go     events that the engine handles
//	action.go    actions that the engine returns
//	opening.go   opening and reopening of a flow, probes of an idle one
//	call.go      state of a request in flight
//	sending.go   start of a request, sending of its parts, Acks
//	upload.go    which parts are sent when: congestion window, losses, timeouts
//	rtt.go       round-trip time and reordering
//	permit.go    permits for requests that must not be repeated
//	answer.go    parts of answers
//	assembly.go  the parts of one owner's answer
//	ending.go    refusals, retries, cancellation, closing
//	budget.go    the retry budget
//	counters.go  counters of a connection
package caller
