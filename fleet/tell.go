package fleet

import (
	"net/netip"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Sizes in a message, in bytes: all besides changes, and all of a change besides its
// names. The numbers in them are the longest that the encoding has.
const (
	newsOverhead   = 400
	changeOverhead = 70
)

// pushMost is how much a watcher tells at once, to all members together, in bytes.
// The smallest links of the platform carry 10 Mbit/s: on those it takes 0.1 s, a
// quarter of the time between two answers of a watch. More than that delays beats,
// others take the duty over, and tell the same.
const pushMost = 128 << 10

// pushes reports whether changes are few enough to be told. Otherwise members see
// from the next beat that they lack them, and read them.
func (e *Engine) pushes(changes []steering.EndpointChange) bool {
	size := 0
	for i := range changes {
		size += changeSize(&changes[i].Endpoint)
	}
	return size*len(e.members.list) <= pushMost
}

func changeSize(p *steering.Endpoint) int {
	return changeOverhead + len(p.ID) + len(p.Service) + len(p.Centre)
}

// fitting returns how many of the changes fit into one message, at least one.
func fitting(changes []steering.EndpointChange) int {
	size := newsOverhead
	for i := range changes {
		size += changeSize(&changes[i].Endpoint)
		if size > MaxMessageSize && i > 0 {
			return i
		}
	}
	return len(changes)
}

// tellChanges sends changes in as many messages as it takes. Each goes on from the
// revision where the one before ended.
func (e *Engine) tellChanges(now clock.Millis, from uint64, changes []steering.EndpointChange) (actions []Action) {
	if !e.pushes(changes) {
		return nil
	}
	whole := e.RecordState(now)
	for len(changes) > 0 {
		n := fitting(changes)
		s := whole
		if n < len(changes) {
			s.EndpointsRevision = changes[n-1].Endpoint.Revision
			s.ChangeRevision = s.EndpointsRevision
		}
		actions = append(actions, e.tell(EndpointChanges{Since: from, Changes: changes[:n], State: s})...)
		from, changes = s.EndpointsRevision, changes[n:]
	}
	return actions
}

// How tallies are shared.
const (
	// A member tells the next ones in rank, so that each hears from as many however
	// large the data centre is: 24 see enough of an endpoint with others' eyes.
	sharedWith = 24
	// Tallies in a message; each has up to 12 bytes, and 10 more when requests were
	// unanswered.
	talliesPerMessage = 50
)

// share tells some other members what this instance saw of endpoints.
func (e *Engine) share(tallies []steering.Tally) (actions []Action) {
	n := len(e.members.list)
	if n == 0 {
		return nil
	}
	first := e.members.before(e.settings.Self.Name)
	to := make([]netip.AddrPort, min(n, sharedWith))
	for i := range to {
		to[i] = e.members.list[(first+i)%n].Address
	}
	for part := range slices.Chunk(tallies, talliesPerMessage) {
		actions = append(actions, Send{To: to, Message: EndpointTallies{Tallies: part}})
	}
	return actions
}

// askSigns asks the members that weren't heard for a sign of life, and forgets
// those that gave none for long.
func (e *Engine) askSigns(now clock.Millis) (actions []Action) {
	var silent []netip.AddrPort
	var ended []string
	for _, p := range e.members.list {
		if now-p.heard < signPeriod {
			continue
		}
		if p.asked == 0 {
			p.asked = now
		}
		if now-p.asked >= forgetPeriod {
			ended = append(ended, p.Name)
			continue
		}
		silent = append(silent, p.Address)
	}
	for _, name := range ended {
		e.members.remove(name)
		actions = append(actions, RemoveMember{Name: name})
	}
	if len(silent) > 0 {
		actions = append(actions, Send{To: silent, Message: Hello{WantReply: true}})
	}
	return actions
}
