package steering

import (
	"math"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/warmup"
)

// WarmupBounds limit the new flows of cold endpoints, over all instances.
type WarmupBounds struct {
	Excess, Slack float64      // see warmup.Limit
	ReportPeriod  clock.Millis // time between two reports of an endpoint to the store
}

// MembersKnown carries the names of the instances of the data centre, with that of this one. One
// of them owns each cold endpoint. An instance that doesn't know them yet owns none.
type MembersKnown struct{ Names []string }

func (MembersKnown) event() {}

// CentreWarmup makes the daemon log that most endpoints of a data centre have become cold, or that
// all of them are warm again.
type CentreWarmup struct {
	Centre    string
	Cold      bool
	Endpoints int // number of its cold endpoints
	Owned     int // number of those that this instance owns
}

func (CentreWarmup) action() {}

// warmups is what the engine knows for the warm-up of endpoints.
type warmups struct {
	members     []string
	knownAt     clock.Millis    // when the members became known; 0 if they aren't
	coldCentres map[string]bool // data centres that were reported as cold
}

// endpointWarmup is the warm-up of an endpoint.
type endpointWarmup struct {
	// Until when it counts as cold because an entry that says so may be on its way, unless its
	// entry changed after a revision.
	assumedUntil    clock.Millis
	assumedRevision uint64
	owned           bool // this instance is the owner
	// Flows that this instance placed there, also while it seemed warm: its entry may say late that
	// it is cold.
	window warmup.Window
}

// reportsAwaited is the number of report periods for which an endpoint counts as cold if it may
// have started again: its report may have just missed one, and the next one takes time to get here.
const reportsAwaited = 2

// cold reports whether the new flows of an endpoint are limited, because it is warming up.
func (e *Engine) cold(now clock.Millis, s *endpointState) bool {
	if e.settings.Warmup == nil || now >= max(s.warmedUpAt, s.warmup.assumedUntil) || e.configuration == nil {
		return false
	}
	return e.configuration.Services[s.Service].Warmup > 0
}

// admitsCold reports whether this instance may send an opening packet to a cold endpoint.
func (e *Engine) admitsCold(now clock.Millis, s *endpointState) bool {
	if !s.warmup.owned {
		return false
	}
	b := e.settings.Warmup
	limit := warmup.Limit(e.configuration.Services[s.Service].WarmupRate, b.Excess, b.Slack)
	return s.warmup.window.Admits(now, warmup.Share(limit))
}

// admitCopy reports whether a copy of an opening packet may go to the endpoint that got an earlier
// one, and if so counts it: the endpoint takes each as a new flow.
func (e *Engine) admitCopy(now clock.Millis, s *endpointState) bool {
	if e.cold(now, s) && !e.admitsCold(now, s) {
		return false
	}
	e.recordOpening(now, s)
	return true
}

// hasRoom reports whether a warm endpoint can take a new flow, as far as this instance sees.
// Cold endpoints are spared while it can.
func (e *Engine) hasRoom(now clock.Millis, s *endpointState) bool {
	return !s.silence.avoided(now) && !s.failures.excluded(now) && !s.congested(now)
}

// choice is the choice of an endpoint for a new flow: the one with the lowest cost among the
// warm ones and among the cold ones that may be used.
type choice struct {
	warm, cold, spare             *endpointState // spare is a cold one whose limit doesn't hold if it is the last resort
	warmCost, coldCost, spareCost float64
	room                          bool // a warm one has room
	warmAvoided                   bool // the warm one is silent or ejected
}

func newChoice() choice {
	return choice{warmCost: math.Inf(1), coldCost: math.Inf(1), spareCost: math.Inf(1)}
}

// offer adds an endpoint to the choice.
func (c *choice) offer(now clock.Millis, e *Engine, s *endpointState, cost float64) {
	if e.cold(now, s) {
		if cost < c.coldCost && !s.silence.avoided(now) && !s.failures.excluded(now) && e.admitsCold(now, s) {
			c.cold, c.coldCost = s, cost
		}
		if cost < c.spareCost && e.limitIsSoft(s) {
			c.spare, c.spareCost = s, cost
		}
		return
	}
	if cost < c.warmCost {
		c.warm, c.warmCost = s, cost
		c.warmAvoided = s.silence.avoided(now) || s.failures.excluded(now)
	}
	c.room = c.room || e.settings.Warmup != nil && e.hasRoom(now, s)
}

// best returns the endpoint for the flow, or nil.
func (c *choice) best() *endpointState {
	switch {
	case c.cold != nil && !c.room:
		return c.cold
	case c.warm == nil, c.warmAvoided && c.spareCost < c.warmCost:
		return c.spare
	}
	return c.warm
}

// limitIsSoft reports whether a cold endpoint may get more flows than its limit while the service
// has no warm one that may answer. Without a rate in the configuration, the limit says only how much
// it should be spared, and a late answer is better for the consumer than a refusal.
func (e *Engine) limitIsSoft(s *endpointState) bool {
	return e.configuration.Services[s.Service].WarmupRate == 0
}

// onlyTried returns the endpoint that a flow got no answer from, if it may be used again.
func (e *Engine) onlyTried(now clock.Millis, list []*endpointState, tried *endpointState) *endpointState {
	if tried == nil || !slices.Contains(list, tried) || !e.admits(now, tried) {
		return nil
	}
	if e.cold(now, tried) && !e.limitIsSoft(tried) && !e.admitsCold(now, tried) {
		return nil
	}
	return tried
}

// recordOpening counts an opening packet that is sent to an endpoint.
func (e *Engine) recordOpening(now clock.Millis, s *endpointState) {
	if e.settings.Warmup != nil {
		s.warmup.window.Add(now)
	}
}

// assumeCold makes an endpoint count as cold until its entry changes after a revision, or until it
// would have.
func (e *Engine) assumeCold(now clock.Millis, s *endpointState, revision uint64) {
	if e.settings.Warmup == nil || s.Revision > revision {
		return
	}
	s.warmup.assumedUntil, s.warmup.assumedRevision = now+reportsAwaited*e.settings.Warmup.ReportPeriod, revision
}

// updateWarmup updates the warm-up of an endpoint after its entry changed.
func (e *Engine) updateWarmup(now clock.Millis, s *endpointState, wasKnown bool) {
	if e.settings.Warmup == nil {
		return
	}
	if s.Revision > s.warmup.assumedRevision {
		s.warmup.assumedUntil = 0
	}
	if !wasKnown && now-e.warmups.knownAt <= warmup.Span {
		s.warmup.window = warmup.Unknown(now)
	}
	s.warmup.owned = e.owns(s)
}

// owns reports whether this instance is the owner of an endpoint while that is cold.
func (e *Engine) owns(s *endpointState) bool {
	return s.Centre == e.settings.Centre && e.warmups.knownAt != 0 && warmup.Owner(e.warmups.members, s.ID) == e.settings.Instance
}

func (e *Engine) applyMembers(now clock.Millis, v MembersKnown) {
	if e.settings.Warmup == nil {
		return
	}
	first := e.warmups.knownAt == 0
	if first {
		e.warmups.knownAt = now
	}
	e.warmups.members = v.Names
	for _, s := range e.directory.byID {
		s.warmup.owned = e.owns(s)
		if first {
			s.warmup.window = warmup.Unknown(now)
		}
	}
}

// assumeCentreCold makes the endpoints of a data centre count as cold when its evacuation was
// lifted at a revision. They may have started again during it.
func (e *Engine) assumeCentreCold(now clock.Millis, centre string, revision uint64) {
	for _, s := range e.directory.byID {
		if s.Centre == centre {
			e.assumeCold(now, s, revision)
		}
	}
}

// OwnedCold returns the number of cold endpoints that this instance owns.
func (e *Engine) OwnedCold(now clock.Millis) int {
	_, owned := e.coldByCentre(now)
	return owned[e.settings.Centre]
}

// reportWarmups reports the data centres whose endpoints have become cold or warm together.
func (e *Engine) reportWarmups(now clock.Millis, actions []Action) []Action {
	if e.settings.Warmup == nil {
		return actions
	}
	cold, owned := e.coldByCentre(now)
	for centre := range e.warmups.coldCentres {
		if cold[centre] == 0 {
			delete(e.warmups.coldCentres, centre)
			actions = append(actions, CentreWarmup{Centre: centre})
		}
	}
	for centre, n := range cold {
		if e.warmups.coldCentres[centre] || 2*n < e.listedIn(centre) {
			continue
		}
		e.warmups.coldCentres[centre] = true
		actions = append(actions, CentreWarmup{Centre: centre, Cold: true, Endpoints: n, Owned: owned[centre]})
	}
	return actions
}

// coldByCentre returns the numbers of cold endpoints, and of those that this instance owns.
func (e *Engine) coldByCentre(now clock.Millis) (cold, owned map[string]int) {
	for _, s := range e.directory.byID {
		if s.entryState != listed || !e.cold(now, s) {
			continue
		}
		if cold == nil {
			cold, owned = map[string]int{}, map[string]int{}
		}
		cold[s.Centre]++
		if s.warmup.owned {
			owned[s.Centre]++
		}
	}
	return cold, owned
}

// listedIn returns the number of endpoints of a data centre whose entries are in the store.
func (e *Engine) listedIn(centre string) int {
	n := 0
	for _, s := range e.directory.byID {
		if s.entryState == listed && s.Centre == centre {
			n++
		}
	}
	return n
}
