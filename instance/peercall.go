package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// peerCalled takes in work that another instance hands over. It runs here or is
// refused; it is never handed on.
func (c dispatchController) peerCalled(ev PeerCalled) {
	s := c.b.Services[token.Hash(ev.Work.Service)]
	j := &Job{Work: ev.Work, Service: s, Call: ev.Call, Queued: c.b.Now}
	c.b.Calls[ev.Call] = j
	c.b.holdBytes(token.Hash(ev.Work.Service), int64(len(ev.Work.Body)))
	switch {
	case s == nil:
		c.b.refuse(j, packet.ReasonService)
	case c.b.Stopping != 0:
		c.b.refuse(j, packet.ReasonStopping)
	case len(s.Mine) == 0, len(s.among(j, s.Mine, c.b.Now)) == 0:
		c.b.refuse(j, packet.ReasonBackend)
	case s.Waiting() >= s.Record.Queue, c.b.late(j):
		c.b.refuse(j, packet.ReasonBusy)
	default:
		c.b.enqueue(j)
	}
}

func (c dispatchController) peerCancelled(ev PeerCancelled) {
	if j := c.b.Calls[ev.Call]; j != nil {
		c.b.dropJob(j)
	}
}
