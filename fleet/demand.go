package fleet

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/demand"
	"github.com/tanagerdock/tanagerdock/steering"
)

// DemandTaken reports this member's load, each demand.Period while the configuration asks for
// sums. The engine sends it to the watcher that this member follows.
type DemandTaken struct{ Digests []demand.Digest }

func (DemandTaken) event() {}

// DemandReport is sent to a watcher whose heartbeats carry sums. Older versions don't know it.
type DemandReport struct {
	demand.Digest
}

func (DemandReport) message() {}

// demandSums is what a watcher knows of the load of its data centre.
type demandSums struct {
	takenAt  clock.Millis // latest DemandTaken
	ledger   demand.Ledger
	nextPart int // of the sums, in the next heartbeat
}

// demandOn reports whether this member takes part in sums.
func (e *Engine) demandOn(now clock.Millis) bool {
	return e.demand.takenAt != 0 && now-e.demand.takenAt <= demand.MaxAge && len(e.peers.list)+1 >= steering.MinDemandMembers
}

// followed returns the watcher whose sums this member uses, or nil if it is this member itself
// or there is none.
func (e *Engine) followed(now clock.Millis) *peer {
	if e.watching {
		return nil
	}
	for _, p := range e.peers.list {
		if e.isActiveWatcher(now, p) {
			return p
		}
	}
	return nil
}

func (e *Engine) handleDemandTaken(now clock.Millis, v DemandTaken) (actions []Action) {
	e.demand.takenAt = now
	if !e.demandOn(now) {
		return nil
	}
	if e.watching {
		for _, d := range v.Digests {
			e.demand.ledger.Add(now, e.settings.Self.Name, e.settings.Self.StartedAt, d)
		}
		return nil
	}
	p := e.followed(now)
	if p == nil || now-p.summedAt > e.heartbeatTimeout() {
		return nil
	}
	for _, d := range v.Digests {
		actions = append(actions, Send{To: []netip.AddrPort{p.Address}, Message: DemandReport{d}})
	}
	return actions
}

func (e *Engine) handleDemandReport(now clock.Millis, p *peer, m DemandReport) {
	if p != nil && e.watching {
		e.demand.ledger.Add(e.sentAt(now), p.Name, p.StartedAt, m.Digest)
	}
}

// handleSums takes the sums of a watcher's heartbeat.
func (e *Engine) handleSums(now clock.Millis, p *peer, sums *demand.Summary) []Action {
	if sums == nil {
		return nil
	}
	p.summedAt = now
	if e.followed(now) != p {
		return nil
	}
	return []Action{NotifySteering{Event: steering.DemandSummed{Summary: *e.delaySums(now, sums)}}}
}

// delaySums makes sums older by the time that they may have waited here.
func (e *Engine) delaySums(now clock.Millis, sums *demand.Summary) *demand.Summary {
	if sums == nil {
		return nil
	}
	delayed := *sums
	delayed.Age = min(sums.Age+now-e.sentAt(now), demand.MaxSummaryAge)
	return &delayed
}

// withSums returns a heartbeat to relay with the sums, or without them if they don't fit beside the
// name of this member, which the watcher doesn't count.
func (e *Engine) withSums(now clock.Millis, m RelayedHeartbeat, sums *demand.Summary) RelayedHeartbeat {
	if sums == nil {
		return m
	}
	full := m
	full.Demand = e.delaySums(now, sums)
	if _, err := Encode(e.settings.Self, full); err != nil {
		return m
	}
	return full
}

// takeSums returns the part of the sums for the next heartbeat, or nil if there are none, and
// passes all parts to steering.
func (e *Engine) takeSums(now clock.Millis) (*demand.Summary, []Action) {
	if !e.demandOn(now) {
		return nil, nil
	}
	parts := e.demand.ledger.Summaries(now)
	var actions []Action
	for _, s := range parts {
		actions = append(actions, NotifySteering{Event: steering.DemandSummed{Summary: s}})
	}
	part := parts[e.demand.nextPart%len(parts)]
	e.demand.nextPart++
	if _, err := Encode(e.settings.Self, RelayedHeartbeat{Watcher: e.settings.Self, State: e.RecordState(now), Evacuations: e.EvacuationState(now), Demand: &part}); err != nil {
		return nil, actions // long names leave no room; the records come first
	}
	return &part, actions
}
