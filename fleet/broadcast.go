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
	messageOverhead = 400
	changeOverhead  = 70
)

// maxPushSize is how much a watcher tells at once, to all members together, in bytes.
// The smallest links of the platform carry 10 Mbit/s: on those it takes 0.1 s, a
// quarter of the time between two answers of a watch. More than that delays beats,
// others take the duty over, and tell the same.
const maxPushSize = 128 << 10

// canPush reports whether changes are few enough to be told. Otherwise members see
// from the next beat that they lack them, and read them.
func (e *Engine) canPush(changes []steering.Change) bool {
	size := 0
	for i := range changes {
		size += changeSize(&changes[i].Endpoint)
	}
	return size*len(e.peers.list) <= maxPushSize
}

func changeSize(p *steering.Endpoint) int {
	return changeOverhead + len(p.ID) + len(p.Service) + len(p.Centre)
}

// countFitting returns how many of the changes fit into one message, at least one.
func countFitting(changes []steering.Change) int {
	size := messageOverhead
	for i := range changes {
		size += changeSize(&changes[i].Endpoint)
		if size > MaxMessageSize && i > 0 {
			return i
		}
	}
	return len(changes)
}

// pushChanges sends changes in as many messages as it takes. Each goes on from the
// revision where the one before ended.
func (e *Engine) pushChanges(now clock.Millis, since uint64, changes []steering.Change) (actions []Action) {
	if !e.canPush(changes) {
		return nil
	}
	latest := e.RecordState(now)
	for len(changes) > 0 {
		n := countFitting(changes)
		s := latest
		if n < len(changes) {
			s.EndpointsRevision = changes[n-1].Endpoint.Revision
			s.ChangeRevision = s.EndpointsRevision
		}
		actions = append(actions, e.broadcast(EndpointChanges{Since: since, Changes: changes[:n], State: s})...)
		since, changes = s.EndpointsRevision, changes[n:]
	}
	return actions
}

// How tallies are shared.
const (
	// A member tells the next ones in rank, so that each hears from as many however
	// large the data centre is: 24 see enough of an endpoint with others' eyes.
	tallyReceivers = 24
	// Tallies in a message; each has up to 12 bytes, and 10 more when requests were
	// unanswered.
	talliesPerMessage = 50
)

// shareTallies tells some other members what this instance saw of endpoints.
func (e *Engine) shareTallies(tallies []steering.Tally) (actions []Action) {
	n := len(e.peers.list)
	if n == 0 {
		return nil
	}
	first := e.peers.countBefore(e.settings.Self.Name)
	to := make([]netip.AddrPort, min(n, tallyReceivers))
	for i := range to {
		to[i] = e.peers.list[(first+i)%n].Address
	}
	for part := range slices.Chunk(tallies, talliesPerMessage) {
		actions = append(actions, Send{To: to, Message: EndpointTallies{Tallies: part}})
	}
	return actions
}

// probeSilentPeers asks the members that weren't heard for a sign of life, and forgets
// those that gave none for long.
func (e *Engine) probeSilentPeers(now clock.Millis) (actions []Action) {
	var silent []netip.AddrPort
	var expired []string
	for _, p := range e.peers.list {
		if now-p.heardAt < probePeriod {
			continue
		}
		if p.probedSince == 0 {
			p.probedSince = now
		}
		if now-p.probedSince >= probeTimeout {
			expired = append(expired, p.Name)
			continue
		}
		silent = append(silent, p.Address)
	}
	for _, name := range expired {
		e.peers.remove(name)
		actions = append(actions, RemoveMember{Name: name})
	}
	if len(silent) > 0 {
		actions = append(actions, Send{To: silent, Message: Hello{WantReply: true}})
	}
	return actions
}
