package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

// stopLinger is how long a stopping instance passes packets on at least, while
// the fabric and the other instances learn that it leaves.
const stopLinger = 2 * clock.Second

// stopAlone is how long a stopping instance that knows of no other goes on
// taking requests: others may have started and not be listed yet.
const stopAlone = 10 * clock.Second

// announcePeriod is the time between renewals of the instance's lease.
const announcePeriod = 30 * clock.Second

// stopController announces the instance, and ends it without cutting a request.
type stopController struct {
	b       *EngineState
	members memberController
	state   *stopState
}

type stopState struct {
	announced clock.Millis
	stopped   bool
}

// request starts the graceful shutdown: the others take over the endpoints, idle
// flows and waiting work at once; requests under way end here.
func (c stopController) request() {
	if c.b.StoppingSince != 0 {
		return
	}
	c.b.StoppingSince = c.b.Now
	c.b.Self.Instance.State = record.StateLeaving
	c.b.Members.changed, c.b.Members.moved = true, true
	c.b.note("stop", "requested", "", "instance/"+c.b.Self.Instance.Name, "")
	c.b.Report.raise(c.b.Now, conditionStopping, "instance/"+c.b.Self.Instance.Name, "a graceful shutdown was asked for", "requests under way end here, new ones go to other instances")
	c.announce()
	for _, m := range c.b.Members.All {
		m.HeartbeatSentAt = 0
	}
	c.members.greet()
}

func (c stopController) announce() {
	c.state.announced = c.b.Now
	c.b.do(RenewLease{Instance: c.b.Self.Instance})
}

func (c stopController) tick() {
	if c.state.announced == 0 || c.b.Now-c.state.announced >= announcePeriod {
		c.announce()
	}
	if c.b.StoppingSince == 0 || c.state.stopped || c.b.Now-c.b.StoppingSince < stopLinger {
		return
	}
	if len(c.b.Runs) > 0 || len(c.b.HandOvers) > 0 || c.busy() {
		return
	}
	c.state.stopped = true
	c.b.note("stop", "done", "", "instance/"+c.b.Self.Instance.Name, "")
	c.b.do(Stopped{})
}

// busy reports whether a request is not yet answered.
func (c stopController) busy() bool {
	for _, f := range c.b.Flows.ByID {
		for _, r := range f.Requests {
			if r.State != StateRefused && r.State != StateEnded {
				return true
			}
		}
	}
	return false
}
