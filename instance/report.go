package instance

import (
	"cmp"
	"slices"
	"strings"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

// Types of conditions, worst first. See docs/OPERATING.md.
const (
	conditionPlatform  = "PlatformUnreachable"
	conditionNoBackend = "NoBackend"
	conditionMisrouted = "Misrouted"
	conditionBackend   = "BackendFailing"
	conditionSilent    = "BackendSilent"
	conditionInstance  = "InstanceSilent"
	conditionRejected  = "RecordRejected"
	conditionOverload  = "Overloaded"
	conditionSlow      = "BackendSlow"
	conditionDraining  = "BackendDraining"
	conditionStopping  = "Stopping"
)

// conditionOrder lists the types of conditions, worst first.
var conditionOrder = []string{
	conditionPlatform, conditionNoBackend, conditionMisrouted, conditionBackend, conditionSilent,
	conditionInstance, conditionRejected, conditionOverload, conditionSlow, conditionDraining, conditionStopping,
}

// ConditionRank orders types of conditions: worse ones come first.
func ConditionRank(kind string) int {
	if rank := slices.Index(conditionOrder, kind); rank >= 0 {
		return rank
	}
	return len(conditionOrder)
}

// Intervals between writes of the status.
const (
	minStatusInterval = 5 * clock.Second  // limits the load on the platform
	maxStatusInterval = 60 * clock.Second // the status is also written when nothing has changed
)

// Report holds the conditions in the instance's status.
type Report struct {
	conditions map[conditionKey]*record.Condition
	dirty      bool
	writtenAt  clock.Millis
}

type conditionKey struct {
	kind    string
	subject string
}

func newReport() Report {
	return Report{conditions: make(map[conditionKey]*record.Condition), dirty: true}
}

// raise adds or updates a condition about subject. action states what the instance does
// about it.
func (r *Report) raise(now clock.Millis, kind, subject, reason, action string) {
	key := conditionKey{kind, subject}
	known := r.conditions[key]
	if known == nil {
		known = &record.Condition{Type: kind, Subject: subject, Since: now}
		r.conditions[key] = known
		r.dirty = true
	}
	if known.Reason != reason || known.Action != action {
		known.Reason, known.Action = reason, action
		r.dirty = true
	}
	known.Count++
}

// clear removes a condition that no longer holds.
func (r *Report) clear(kind, subject string) {
	key := conditionKey{kind, subject}
	if r.conditions[key] != nil {
		delete(r.conditions, key)
		r.dirty = true
	}
}

// reportController writes the instance's status to the platform when it has changed.
type reportController struct{ state *EngineState }

func (c reportController) platformCalled(ev PlatformCalled) {
	if ev.Answered {
		c.state.Report.clear(conditionPlatform, "platform")
		return
	}
	c.state.Report.raise(c.state.Now, conditionPlatform, "platform", "calls are not answered", "serving on the records in force")
}

func (c reportController) tick() {
	r := &c.state.Report
	since := c.state.Now - r.writtenAt
	if (!r.dirty || since < minStatusInterval) && since < maxStatusInterval {
		return
	}
	c.prune()
	r.dirty = false
	r.writtenAt = c.state.Now
	c.state.emit(WriteStatus{Status: c.status()})
}

// prune removes conditions about deleted services, and about endpoints that were deleted or
// are now dispatched, and reported on, by another instance.
func (c reportController) prune() {
	current := make(map[string]bool)
	for _, s := range c.state.sortedServices() {
		current["service/"+s.Record.Name] = true
		for _, ep := range s.Dispatched {
			current[ep.subject()] = true
		}
	}
	for key := range c.state.Report.conditions {
		kind, _, _ := strings.Cut(key.subject, "/")
		removable := kind == string(record.KindService) || kind == string(record.KindBackend)
		if removable && key.kind != conditionRejected && !current[key.subject] {
			delete(c.state.Report.conditions, key)
		}
	}
}

// status returns the instance's status record, with the worst conditions first.
func (c reportController) status() record.Status {
	s := record.Status{
		Instance: c.state.Self.Instance.Name, Centre: c.state.Self.Instance.Centre,
		Incarnation: c.state.Self.Instance.Incarnation, Updated: c.state.Now, Revision: c.state.Records.Revision, Conditions: []record.Condition{},
	}
	for _, condition := range c.state.Report.conditions {
		s.Conditions = append(s.Conditions, *condition)
	}
	slices.SortFunc(s.Conditions, func(x, y record.Condition) int {
		return cmp.Or(
			cmp.Compare(ConditionRank(x.Type), ConditionRank(y.Type)),
			cmp.Compare(x.Subject, y.Subject),
		)
	})
	return s
}
