package fleet

import "github.com/tanagerdock/tanagerdock/clock"

// listLag is the greatest age of a list of members. A list that is younger than that relative
// to the write of an object may not have it yet.
const listLag = 30 * clock.Second

// Registration decides when a member writes its object to the store. Another member that
// didn't hear from it for a while, because it or its network stalled, may have deleted the
// object. It would then be unknown to members that start later.
type Registration struct {
	writtenAt clock.Millis // 0 before the first write
}

// Due reports whether the object has to be written, given whether a list has it.
func (r *Registration) Due(now clock.Millis, listed bool) bool {
	return !listed && (r.writtenAt == 0 || now-r.writtenAt > listLag)
}

// Written records that the object was written.
func (r *Registration) Written(now clock.Millis) { r.writtenAt = now }
