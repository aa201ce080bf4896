package fleet

// When all instances of a large data centre start at once, their lists of records fill the
// store's link. Only one in startFanout reads the store then, and passes the records on.
const (
	startFanout = 4
	// In a smaller data centre, all members read the store.
	minStartMembers = 8
)

// StartParent returns the member from which this member takes its first records, or false if
// it reads the store. All members with the same list of members agree on who reads the store.
func (e *Engine) StartParent() (Member, bool) {
	n := len(e.peers.list) + 1
	if n < minStartMembers {
		return Member{}, false
	}
	readers := (n + startFanout - 1) / startFanout
	position := e.peers.countBefore(e.settings.Self.Name)
	if position < readers {
		return Member{}, false
	}
	return e.peers.list[position%readers].Member, true // the list lacks this member, which comes after the readers
}

// Fresh reports whether records in this state are recent enough to start with. Evacuation orders
// may be missing: the store is read for them then.
func (e *Engine) Fresh(s RecordState, v *EvacuationState) bool {
	age := max(s.ConfigurationAge, s.EndpointsAge)
	if v != nil && e.settings.Evacuations {
		age = max(age, v.Age)
	}
	return age <= fractionOf(e.settings.RecordBound, staleFraction)
}
