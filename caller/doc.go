// Package caller is the library for programs that call a service through
// tanagerdock.
//
// Engine makes every decision about one flow and has no sockets, goroutines or
// clock: an Event goes in with the time, Actions come out. Conn and Flow put
// the engines of many flows on one UDP socket. Answers may come from any
// address, so the socket is not connected.
//
// How a request passes:
//
//	opening   Open is repeated until an instance answers with the flow's token
//	sending   parts go out in a window, an Ack tells what the owner holds
//	waiting   the last part is repeated now and then, so that another instance
//	          adopts the flow when its owner is gone
//	permit    a request that must not be repeated is started by the owner only
//	          after the caller answered its Ask, for one nonce in its life
//	answer    parts are assembled apart for each owner, and reported with Got
//
// Every packet from an instance may carry a newer token of the flow, and the
// newest one is sent back. When it names a new owner, the bodies of requests are
// sent again from the start. A request for which a permit was granted stays with
// the owner that asked for it, and its packets carry that owner's token: nobody
// else may run it.
//
// A request ends with an answer or with one of two errors. ErrNotRun is only
// given when the request did not run: it must not be repeated and no permit was
// granted, or it never left as a whole, or every owner that was heard about it
// refused it. Anything else is ErrOutcomeUnknown; a request that may be repeated can then
// be sent again without harm. The last of these has a limit: an instance that
// adopted the flow and whose every packet was lost is not known to the caller, so
// a request that may be repeated can have run there all the same.
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
package caller
