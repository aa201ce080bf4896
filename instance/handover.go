package instance

import (
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// handOverReceived queues work that another instance hands over, or refuses it. The work
// is never handed over again.
func (c dispatchController) handOverReceived(ev HandOverReceived) {
	s := c.state.Services[token.Hash(ev.Work.Service)]
	j := &Job{Work: ev.Work, Service: s, CallID: ev.CallID, QueuedAt: c.state.Now}
	c.state.HandOvers[ev.CallID] = j
	c.state.addBodyBytes(token.Hash(ev.Work.Service), int64(len(ev.Work.Body)))
	switch {
	case s == nil:
		c.state.refuseJob(j, packet.ReasonService)
	case c.state.StoppingSince != 0:
		c.state.refuseJob(j, packet.ReasonStopping)
	case len(s.Dispatched) == 0, len(s.allowedEndpoints(j, s.Dispatched, c.state.Now)) == 0:
		c.state.refuseJob(j, packet.ReasonBackend)
	case s.QueueLength() >= s.Record.Queue, c.state.expectedLate(j):
		c.state.refuseJob(j, packet.ReasonBusy)
	default:
		c.state.enqueue(j)
	}
}

func (c dispatchController) handOverCancelled(ev HandOverCancelled) {
	if j := c.state.HandOvers[ev.CallID]; j != nil {
		c.state.dropJob(j)
	}
}
