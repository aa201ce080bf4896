package instance

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

// minShutdownTime is how long a stopping instance forwards packets at least. In that time
// the fabric and the other instances get to know that it leaves.
const minShutdownTime = 2 * clock.Second

// soleShutdownTime is how long a stopping instance still takes new requests when it knows no
// other instance: others may have started and not be listed yet.
const soleShutdownTime = 10 * clock.Second

// leaseRenewPeriod is the time between renewals of the instance's lease.
const leaseRenewPeriod = 30 * clock.Second

// shutdownController renews the instance's lease, and shuts the instance down gracefully,
// without interrupting requests.
type shutdownController struct {
	state    *EngineState
	members  memberController
	progress *shutdownProgress
}

type shutdownProgress struct {
	leaseRenewedAt clock.Millis
	stopped        bool
}

// begin starts the graceful shutdown: the other instances take over the endpoints, idle
// flows and waiting jobs at once, and running requests are completed here.
func (c shutdownController) begin() {
	if c.state.StoppingSince != 0 {
		return
	}
	c.state.StoppingSince = c.state.Now
	c.state.Self.Instance.State = record.StateLeaving
	c.state.Members.dirty, c.state.Members.routerDirty = true, true
	c.state.logDecision("stop", "requested", "", "instance/"+c.state.Self.Instance.Name, "")
	c.state.Report.raise(c.state.Now, conditionStopping, "instance/"+c.state.Self.Instance.Name, "a graceful shutdown was asked for", "requests under way end here, new ones go to other instances")
	c.renewLease()
	for _, m := range c.state.Members.All {
		m.HeartbeatSentAt = 0
	}
	c.members.sendHeartbeats()
}

func (c shutdownController) renewLease() {
	c.progress.leaseRenewedAt = c.state.Now
	c.state.emit(RenewLease{Instance: c.state.Self.Instance})
}

func (c shutdownController) tick() {
	if c.progress.leaseRenewedAt == 0 || c.state.Now-c.progress.leaseRenewedAt >= leaseRenewPeriod {
		c.renewLease()
	}
	if c.state.StoppingSince == 0 || c.progress.stopped || c.state.Now-c.state.StoppingSince < minShutdownTime {
		return
	}
	if len(c.state.Runs) > 0 || len(c.state.HandOvers) > 0 || c.hasOpenRequests() {
		return
	}
	c.progress.stopped = true
	c.state.logDecision("stop", "done", "", "instance/"+c.state.Self.Instance.Name, "")
	c.state.emit(Stopped{})
}

// hasOpenRequests reports whether any request is neither answered nor refused yet.
func (c shutdownController) hasOpenRequests() bool {
	for _, f := range c.state.Flows.ByID {
		for _, r := range f.Requests {
			if r.State != StateRefused && r.State != StateEnded {
				return true
			}
		}
	}
	return false
}
