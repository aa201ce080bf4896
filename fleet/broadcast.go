package fleet

import (
	"net/netip"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Sizes in an EndpointChanges message, in bytes: everything except the changes, and a
// change without its strings. Numbers count with the longest encoding they can have.
const (
	messageOverhead = 400
	changeOverhead  = 70
)

// maxPushSize limits the bytes that a watcher sends for one set of changes, summed over
// all members. On the platform's smallest links, of 10 Mbit/s, sending them takes 0.1 s,
// a quarter of the time between two answers of a watch. Larger amounts would delay
// heartbeats, so that other members become watchers and send the same changes.
const maxPushSize = 128 << 10

// canPush reports whether changes are small enough to send to all members. If not,
// members learn from the next heartbeat that they lack them, and fetch them.
func (e *Engine) canPush(changes []steering.EndpointChange) bool {
	size := 0
	for i := range changes {
		size += changeSize(&changes[i])
	}
	return size*len(e.peers.list) <= maxPushSize
}

func changeSize(c *steering.EndpointChange) int {
	return changeOverhead + len(c.Endpoint.ID) + len(c.Endpoint.Service) + len(c.Endpoint.Centre) + len(c.Cause)
}

// countFitting returns the number of changes that fit into one message, at least 1.
func countFitting(changes []steering.EndpointChange) int {
	size := messageOverhead
	for i := range changes {
		size += changeSize(&changes[i])
		if size > MaxMessageSize && i > 0 {
			return i
		}
	}
	return len(changes)
}

// pushChanges sends changes to all members in as many messages as needed. Each message
// starts at the revision where the previous one ended. It stops where no message can end:
// members fetch what is left. A message with a part of the changes confirms records only as the
// state before this read did.
func (e *Engine) pushChanges(now clock.Millis, since uint64, changes []steering.EndpointChange, before RecordState) (actions []Action) {
	if !e.canPush(changes) {
		return nil
	}
	latest := e.RecordState(now)
	for len(changes) > 0 {
		n := countFitting(changes)
		s := latest
		if n < len(changes) {
			if n = countToBoundary(changes[:n], since); n == 0 {
				break
			}
			s.EndpointsRevision = changes[n-1].Endpoint.Revision
			s.ChangeRevision = s.EndpointsRevision
			s.EndpointsAge = before.EndpointsAge
			if s.EndpointsRevision < before.EndpointsRevision {
				s.EndpointsAge = maxRecordAge
			}
		}
		actions = append(actions, e.broadcast(EndpointChanges{Since: since, Changes: changes[:n], State: s})...)
		since, changes = s.EndpointsRevision, changes[n:]
	}
	return actions
}

// countToBoundary returns the number of changes up to the last one whose revision is certain,
// where a message may end. A removal may have the revision of the entry's last change, and an
// unreadable entry the smallest one that it can have. A member that missed such a message would
// take the next one for the continuation of its records.
func countToBoundary(changes []steering.EndpointChange, since uint64) int {
	n := 0
	for i := range changes {
		c := &changes[i]
		if c.Endpoint.Revision <= since {
			continue
		}
		since = c.Endpoint.Revision
		if !c.Unreadable {
			n = i + 1
		}
	}
	return n
}

const (
	// A member sends its tallies to this many members that follow it in rank, so that
	// each member receives tallies from as many others, however large the data centre
	// is. 24 members together send enough requests to an endpoint to judge it.
	tallyReceivers = 24
	// A tally takes up to 12 bytes, and 10 more if it lists unanswered requests.
	talliesPerMessage = 50
)

// shareTallies sends this instance's counts of answers per endpoint to the members that
// follow it in rank.
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

// probeSilentPeers asks members that sent nothing for probePeriod to reply, and removes
// those that haven't replied for probeTimeout.
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
