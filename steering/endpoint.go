package steering

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Endpoint is the entry of an endpoint in the store, which the endpoint itself writes.
type Endpoint struct {
	ID          string       `cbor:"1,keyasint"`
	Number      uint64       `cbor:"2,keyasint,omitempty"` // written into packets, for the endpoint to check
	Revision    uint64       `cbor:"3,keyasint"`           // revision of the store at its last change
	Service     string       `cbor:"4,keyasint,omitempty"`
	Address     AddrPort     `cbor:"5,keyasint,omitzero"`
	Centre      string       `cbor:"6,keyasint,omitempty"`
	Slots       int          `cbor:"7,keyasint,omitempty"` // requests that it processes concurrently
	Draining    bool         `cbor:"8,keyasint,omitempty"`
	Warmup      clock.Millis `cbor:"9,keyasint,omitempty"`  // remaining time in which it is slow after its start
	Incarnation clock.Millis `cbor:"10,keyasint,omitempty"` // start time in Unix ms; distinguishes processes with the same ID
}

// Limits of the fields of an endpoint. Any program may write entries; the limits keep an odd
// one from taking all flows, and its times from exceeding those of a clock.
const (
	MaxNameBytes   = 256                               // of names of endpoints, services, data centres and routes
	MaxSlots       = 1000                              // of an endpoint
	MaxWarmup      = 1 * clock.Hour                    // of an endpoint
	MaxIncarnation = clock.Millis(253_402_300_800_000) // the end of the year 9999
)

// ErrEndpoint reports an endpoint with a field that exceeds its limits.
var ErrEndpoint = errors.New("endpoint is invalid")

// Check returns an error for the first field that exceeds its limits.
func (p *Endpoint) Check() error {
	address := p.Address.Netip().Addr()
	switch {
	case p.ID == "" || len(p.ID) > MaxNameBytes:
		return errors.Wrapf(ErrEndpoint, "name is not a text of 1 to %d bytes", MaxNameBytes)
	case p.Number == 0:
		return errors.Wrap(ErrEndpoint, "number is 0")
	case p.Service == "" || len(p.Service) > MaxNameBytes:
		return errors.Wrapf(ErrEndpoint, "service is not a text of 1 to %d bytes", MaxNameBytes)
	case p.Centre == "" || len(p.Centre) > MaxNameBytes:
		return errors.Wrapf(ErrEndpoint, "data centre is not a text of 1 to %d bytes", MaxNameBytes)
	case p.Address.Port == 0:
		return errors.Wrapf(ErrEndpoint, "address %s has no port", p.Address.Netip())
	case address.IsUnspecified() || address.IsMulticast() || address == broadcastAddress:
		return errors.Wrapf(ErrEndpoint, "address %s is not that of one host", p.Address.Netip())
	case p.Slots < 1 || p.Slots > MaxSlots:
		return errors.Wrapf(ErrEndpoint, "%d slots are not within 1 to %d", p.Slots, MaxSlots)
	case p.Warmup < 0 || p.Warmup > MaxWarmup:
		return errors.Wrapf(ErrEndpoint, "warmup of %d ms is not within 0 to %d", p.Warmup, MaxWarmup)
	case p.Incarnation < 0 || p.Incarnation > MaxIncarnation:
		return errors.Wrapf(ErrEndpoint, "incarnation %d is not within 0 to %d", p.Incarnation, MaxIncarnation)
	}
	return nil
}

// Unreadable returns the entry of an endpoint that is invalid for a cause.
func (p *Endpoint) Unreadable(cause error) EndpointChange {
	id := strings.ToValidUTF8(p.ID[:min(len(p.ID), MaxNameBytes)], "")
	return EndpointChange{Endpoint: Endpoint{ID: id, Revision: p.Revision}, Unreadable: true, Cause: CauseText(cause)}
}

// CauseText returns the text of an error, up to MaxCause bytes. It is valid UTF-8, as members
// reject messages with other text.
func CauseText(cause error) string {
	text := cause.Error()
	return strings.ToValidUTF8(text[:min(len(text), MaxCause)], "")
}

// CheckEndpoint makes the change that of an unreadable entry if its endpoint is invalid.
func (c *EndpointChange) CheckEndpoint() {
	if err := c.Endpoint.Check(); err != nil && !c.Removed && !c.Unreadable {
		*c = c.Endpoint.Unreadable(err)
	}
}

var broadcastAddress = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// token returns the endpoint's number, folded into 32 bits. Numbers of up to 32 bits stay
// as they are.
func (p *Endpoint) token() Token { return Token(uint32(p.Number) ^ uint32(p.Number>>32)) }

// entryState is the state of an endpoint's entry in the store.
type entryState uint8

const (
	listed entryState = iota // the entry is in the store
	lapsed                   // the entry was removed, maybe temporarily
	gone                     // the entry was removed so long ago that the endpoint counts as ended
)

// How long the directory keeps endpoints without an entry.
const (
	// From the removal of the entry, or the recovery of the store if that is later, until
	// the endpoint is gone. Entries that expired during an outage of the store are written
	// again within 2 s after it; until this time after it, their endpoints get new flows.
	lapseTimeout = 2500 * clock.Millisecond
	// From the removal of the entry until a gone endpoint is forgotten. Flows on the
	// platform last 60 s at most, so their last packets arrive before.
	goneTimeout = 75 * clock.Second
)

// endpointState is an endpoint with its entry state, load and faults as this instance
// sees them.
type endpointState struct {
	Endpoint
	token           Token
	entryState      entryState
	entryChangedAt  clock.Millis // when the entry was written or removed
	awaited         bool         // lapsed in an outage of the store, so that the entry may be written again
	removedRevision uint64       // revision at which the entry was removed; entries up to it are outdated
	knownRevision   uint64       // revision of the store up to which changes were read when the latest one of the entry was
	warmedUpAt      clock.Millis // end of the warm-up
	removal         removal      // valid while the endpoint is gone
	knownSince      clock.Millis // when this incarnation at this address became known
	saidDraining    bool         // an entry of this incarnation was draining; a later one that isn't is another writer's

	load     load
	demand   endpointDemand
	silence  silence
	failures failures
	resets   resetSeries
	warmup   endpointWarmup
	observed observed
}

func (s *endpointState) target() Target {
	return Target{ID: s.ID, Number: s.Number, Address: s.Address, Token: s.token}
}

// directory holds the newest known entry of each endpoint.
type directory struct {
	revision     uint64 // revision of the store up to which the directory is complete
	partlyListed bool   // a page of the first list was read
	listed       bool   // a complete list was read
	confirmedAt  clock.Millis
	staleAfter   clock.Millis // age of the last confirmation from which on the records count as stale
	// When the records were last confirmed again after a gap, in which the store may have been
	// unavailable. Until lapseTimeout after it, missing entries are no evidence that flows have to end.
	storeRecoveredAt clock.Millis
	// When the last outage of the store ended that the members' calls prove; 0 if there was none. A
	// gap proves none, as the members may have missed each other or have handed over the watch.
	outageEndedAt clock.Millis

	// Greatest revision with changes of endpoints that were forgotten, or that this instance
	// never knew.
	forgottenRevision uint64

	byID       map[string]*endpointState
	byToken    map[Token][]*endpointState
	byService  map[string][]*endpointState // those that accept new flows, sorted by ID
	unreadable unreadableEntries
}

func newDirectory(staleAfter clock.Millis) directory {
	return directory{
		staleAfter: staleAfter,
		byID:       map[string]*endpointState{}, byToken: map[Token][]*endpointState{}, byService: map[string][]*endpointState{},
		unreadable: unreadableEntries{},
	}
}

// put stores an entry unless a newer one is known, and reports whether it did.
func (d *directory) put(now clock.Millis, p Endpoint) bool {
	s := d.byID[p.ID]
	if s != nil && (p.Revision <= s.Revision || p.Revision <= s.removedRevision) {
		return false
	}
	if s == nil {
		s = &endpointState{knownSince: now}
		d.byID[p.ID] = s
	} else if p.Incarnation != s.Incarnation || p.Address != s.Address {
		// A new process or address: nothing seen of the earlier one applies. The counts of
		// the load go down as the engine detaches its flows.
		s.load.latency, s.load.shedAt = 0, 0
		s.demand = endpointDemand{}
		s.silence, s.failures = silence{}, failures{}
		s.resets, s.observed = resetSeries{}, observed{}
		s.knownSince, s.saidDraining = now, false
	}
	s.saidDraining = s.saidDraining || p.Draining
	if s.entryState != listed {
		s.silence = silence{}
	}
	if p.Draining {
		s.silence.withdrawRefusal()
		if !s.Draining {
			s.silence.lost = false // it has written its entry, so it runs
		}
	}
	d.unindex(s)
	s.Endpoint, s.entryState, s.entryChangedAt, s.removal = p, listed, now, removal{}
	s.awaited = false
	s.warmedUpAt = now + p.Warmup
	s.token = p.token()
	d.index(s)
	return true
}

// remove marks an endpoint as lapsed after its entry was removed at a revision.
func (d *directory) remove(now clock.Millis, id string, revision uint64) bool {
	s := d.byID[id]
	if s == nil || s.entryState != listed || revision < s.Revision {
		return false
	}
	s.removedRevision = revision
	s.entryChangedAt = now
	// Draining endpoints aren't gone at once either: they may still answer requests.
	s.entryState = lapsed
	s.awaited = d.mayReturn(now, s)
	d.reindex(s)
	return true
}

// mayReturn reports whether the entry of a lapsed endpoint may have expired because of an outage
// of the store, and the endpoint still has time to write it again. An entry that was removed
// before the outage left while the store answered. No removal becomes known during an outage,
// which lasts longer than staleAfter.
func (d *directory) mayReturn(now clock.Millis, s *endpointState) bool {
	return d.outageEndedAt != 0 && now-d.outageEndedAt < lapseTimeout && s.entryChangedAt-d.outageEndedAt > -d.staleAfter
}

// endOutage records when an outage of the store ended. Removals during the outage may have become
// known before its end did.
func (d *directory) endOutage(now, at clock.Millis) {
	if at <= d.outageEndedAt {
		return
	}
	d.outageEndedAt = at
	d.storeRecoveredAt = max(d.storeRecoveredAt, at)
	for _, s := range d.byID {
		if s.entryState == lapsed {
			d.setAwaited(s, d.mayReturn(now, s))
		}
	}
}

// suspend forgets the end of the last outage, as the time since then isn't known any more.
func (d *directory) suspend(now clock.Millis) {
	d.storeRecoveredAt, d.outageEndedAt = now, 0
	for _, s := range d.byID {
		d.setAwaited(s, false)
	}
}

func (d *directory) setAwaited(s *endpointState, awaited bool) {
	if s.awaited != awaited {
		s.awaited = awaited
		d.reindex(s)
	}
}

// expire marks lapsed endpoints as gone after lapseTimeout and removes gone ones after
// goneTimeout. It returns the endpoints that are newly gone.
func (d *directory) expire(now clock.Millis) (expired []*endpointState) {
	for id, s := range d.byID {
		switch s.entryState {
		case lapsed:
			d.setAwaited(s, s.awaited && d.mayReturn(now, s))
			// A missing entry is evidence only while the store is reachable.
			if now-max(s.entryChangedAt, d.storeRecoveredAt) >= lapseTimeout && d.confirmedAt-max(s.entryChangedAt, d.storeRecoveredAt) >= lapseTimeout {
				s.entryState = gone
				d.reindex(s)
				expired = append(expired, s)
			}
		case gone:
			if now-s.entryChangedAt >= goneTimeout {
				d.forgottenRevision = max(d.forgottenRevision, s.knownRevision)
				d.unindex(s)
				delete(d.byID, id)
			}
		}
	}
	return expired
}

// markUnreadable marks an endpoint as draining, because its entry can't be decoded any
// more. It gets no new flows: the entry names no endpoint to use. It keeps those that it has:
// whoever wrote the entry, the endpoint's process didn't end with it. Its next own entry
// makes it ready again, and if the entry goes it lapses like any other.
func (d *directory) markUnreadable(now clock.Millis, id string, revision uint64) bool {
	s := d.byID[id]
	if s == nil || revision <= s.Revision {
		return false
	}
	s.Revision, s.entryChangedAt = revision, now
	if s.Draining {
		return false
	}
	s.Draining = true
	s.silence.withdrawRefusal()
	d.reindex(s)
	return true
}

// listedEndpoints returns the endpoints whose entries are in the store.
func (d *directory) listedEndpoints() []Endpoint {
	list := make([]Endpoint, 0, len(d.byID))
	for _, s := range d.byID {
		if s.entryState == listed {
			list = append(list, s.Endpoint)
		}
	}
	return list
}

// confirm records that the store confirmed the endpoints. If the previous confirmation is
// stale, the store may have been unavailable.
func (d *directory) confirm(at clock.Millis) {
	if d.confirmedAt != 0 && at-d.confirmedAt > d.staleAfter {
		d.storeRecoveredAt = max(d.storeRecoveredAt, at)
	}
	d.confirmedAt = max(d.confirmedAt, at)
}

// acceptsNewFlows reports whether new flows may be placed at an endpoint.
func (d *directory) acceptsNewFlows(s *endpointState) bool {
	if s.Draining || s.token == 0 || len(d.byToken[s.token]) > 1 {
		return false
	}
	switch s.entryState {
	case listed:
		return true
	case lapsed:
		// Entries expire during an outage of the store, although their endpoints run.
		return s.awaited
	}
	return false
}

func (d *directory) index(s *endpointState) {
	d.byToken[s.token] = append(d.byToken[s.token], s)
	d.reindexToken(s.token, s)
}

func (d *directory) unindex(s *endpointState) {
	same := slices.DeleteFunc(d.byToken[s.token], func(o *endpointState) bool { return o == s })
	if len(same) == 0 {
		delete(d.byToken, s.token)
	} else {
		d.byToken[s.token] = same
	}
	d.removeFromService(s)
	for _, o := range same {
		d.reindex(o)
	}
}

// reindexToken updates byService for s and the other endpoints with its token. Endpoints
// that share a token accept no new flows.
func (d *directory) reindexToken(t Token, s *endpointState) {
	for _, o := range d.byToken[t] {
		if o != s {
			d.reindex(o)
		}
	}
	d.reindex(s)
}

func (d *directory) reindex(s *endpointState) {
	d.removeFromService(s)
	if !d.acceptsNewFlows(s) {
		return
	}
	list := d.byService[s.Service]
	at, _ := slices.BinarySearchFunc(list, s, func(a, b *endpointState) int { return strings.Compare(a.ID, b.ID) })
	d.byService[s.Service] = slices.Insert(list, at, s)
}

func (d *directory) removeFromService(s *endpointState) {
	list := slices.DeleteFunc(d.byService[s.Service], func(o *endpointState) bool { return o == s })
	if len(list) == 0 {
		delete(d.byService, s.Service)
		return
	}
	d.byService[s.Service] = list
}
