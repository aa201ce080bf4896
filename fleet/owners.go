package fleet

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// settleTime is the time from a member's first list of the members until it takes part in what
// members divide among themselves by their names. Members that start together find each other
// within it, and those that ran before know it by its Hello. So members with different lists, which
// would both take an endpoint as theirs, are at most a few that missed a message.
const settleTime = 8 * clock.Second

// notifyMembers tells steering the members of the data centre when they are known and whenever
// they change. Members that have ended stay in the list until they are removed: a member
// without messages may be running, and one too many costs less than two owners.
func (e *Engine) notifyMembers(now clock.Millis) []Action {
	if !e.settings.NotifyMembers || e.listedAt == 0 || now-e.listedAt < settleTime || !e.peers.changed {
		return nil
	}
	e.peers.changed = false
	names := []string{e.settings.Self.Name}
	for _, p := range e.peers.list {
		names = append(names, p.Name)
	}
	return []Action{NotifySteering{Event: steering.MembersKnown{Names: names}}}
}
