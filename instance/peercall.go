package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// peerCalled takes in work that another instance hands over. It runs here or is
// refused; it is never handed on.
func (c dispatchController) peerCalled(ev HandOverReceived) {
	s := c.b.Services[token.Hash(ev.Work.Service)]
	j := &Job{Work: ev.Work, Service: s, CallID: ev.CallID, QueuedAt: c.b.Now}
	c.b.HandOvers[ev.CallID] = j
	c.b.holdBytes(token.Hash(ev.Work.Service), int64(len(ev.Work.Body)))
	switch {
	case s == nil:
		c.b.refuse(j, packet.ReasonService)
	case c.b.StoppingSince != 0:
		c.b.refuse(j, packet.ReasonStopping)
	case len(s.Dispatched) == 0, len(s.among(j, s.Dispatched, c.b.Now)) == 0:
		c.b.refuse(j, packet.ReasonBackend)
	case s.QueueLength() >= s.Record.Queue, c.b.late(j):
		c.b.refuse(j, packet.ReasonBusy)
	default:
		c.b.enqueue(j)
	}
}

func (c dispatchController) peerCancelled(ev HandOverCancelled) {
	if j := c.b.HandOvers[ev.CallID]; j != nil {
		c.b.dropJob(j)
	}
}
