package steering

import (
	"slices"
	"strings"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	ID          string       `cbor:"1,keyasint"`
	Number      uint64       `cbor:"2,keyasint,omitempty"` // by which it recognises its packets
	Revision    uint64       `cbor:"3,keyasint"`           // in the store, of its last change
	Service     string       `cbor:"4,keyasint,omitempty"`
	Address     AddrPort     `cbor:"5,keyasint,omitzero"`
	Centre      string       `cbor:"6,keyasint,omitempty"`
	Slots       int          `cbor:"7,keyasint,omitempty"` // requests it works on at once
	Draining    bool         `cbor:"8,keyasint,omitempty"`
	Warmup      clock.Millis `cbor:"9,keyasint,omitempty"`  // how much longer it is slow after its start
	Incarnation clock.Millis `cbor:"10,keyasint,omitempty"` // its start, Unix time; tells starts under one id apart
}

// token folds the endpoint's number. Numbers of up to 32 bits stay as they are.
func (p *Endpoint) token() Token { return Token(uint32(p.Number) ^ uint32(p.Number>>32)) }

// entryState is what the directory knows of an endpoint's life.
type entryState uint8

const (
	listed entryState = iota // its entry is in the store
	lapsed                   // its entry left the store, perhaps only for a while
	gone                     // it has ended
)

// How long the directory holds on to endpoints, in ms.
const (
	// An entry that lapsed with the store away is back within 2 s of its return.
	lapseTimeout = 2500 * clock.Millisecond
	// A flow is at most 60 s old on the platform, so its last packet comes before.
	goneTimeout = 75 * clock.Second
)

// endpointState is an endpoint with what was seen of it.
type endpointState struct {
	Endpoint
	token           Token
	entryState      entryState
	entryChangedAt  clock.Millis // when it got its entry, or lost it
	removedRevision uint64       // revision of its removal; entries up to it are old
	warmedUpAt      clock.Millis // when it stops being slow after its start

	load     load
	silence  silence
	failures failures
}

func (s *endpointState) target() Target {
	return Target{ID: s.ID, Number: s.Number, Address: s.Address, Token: s.token}
}

// directory holds the newest of each endpoint.
type directory struct {
	revision     uint64 // of the store, up to which it is complete
	partlyListed bool   // a part of the first list has been read
	listed       bool   // a whole list has been read
	confirmedAt  clock.Millis
	// When the store answered again after it had not; lapsed entries get a hold from it.
	storeRecoveredAt clock.Millis

	byID      map[string]*endpointState
	byToken   map[Token][]*endpointState
	byService map[string][]*endpointState // those that may get new flows, sorted by id
}

func newDirectory() directory {
	return directory{byID: map[string]*endpointState{}, byToken: map[Token][]*endpointState{}, byService: map[string][]*endpointState{}}
}

// put takes an entry in, unless a newer one is known. It reports whether
// anything changed.
func (d *directory) put(now clock.Millis, p Endpoint) bool {
	s := d.byID[p.ID]
	if s != nil && (p.Revision <= s.Revision || p.Revision <= s.removedRevision) {
		return false
	}
	if s == nil {
		s = &endpointState{}
		d.byID[p.ID] = s
	} else if p.Incarnation != s.Incarnation || p.Address != s.Address {
		// Another start: nothing seen of the earlier one holds.
		s.load, s.silence, s.failures = load{}, silence{}, failures{}
	}
	if s.entryState != listed {
		s.silence = silence{}
	}
	d.unindex(s)
	s.Endpoint, s.entryState, s.entryChangedAt = p, listed, now
	s.warmedUpAt = now + p.Warmup
	s.token = p.token()
	d.index(s)
	return true
}

// remove notes that an entry left the store at a revision.
func (d *directory) remove(now clock.Millis, id string, revision uint64) bool {
	s := d.byID[id]
	if s == nil || s.entryState != listed || revision < s.Revision {
		return false
	}
	s.removedRevision = revision
	s.entryChangedAt = now
	// Also an endpoint that drained may still be answering its last requests.
	s.entryState = lapsed
	d.reindex(s)
	return true
}

// expire turns lapsed endpoints into gone ones, and forgets those long gone. It
// returns the endpoints that turned.
func (d *directory) expire(now clock.Millis) (expired []*endpointState) {
	for id, s := range d.byID {
		switch s.entryState {
		case lapsed:
			// Only while the store answers does an absence mean anything.
			if now-max(s.entryChangedAt, d.storeRecoveredAt) >= lapseTimeout && d.confirmedAt-max(s.entryChangedAt, d.storeRecoveredAt) >= lapseTimeout {
				s.entryState = gone
				d.reindex(s)
				expired = append(expired, s)
			}
		case gone:
			if now-s.entryChangedAt >= goneTimeout {
				d.unindex(s)
				delete(d.byID, id)
			}
		}
	}
	return expired
}

// markUnreadable notes that an endpoint's entry can't be read any more. It gets no new
// flows, and keeps those it has.
func (d *directory) markUnreadable(now clock.Millis, id string, revision uint64) bool {
	s := d.byID[id]
	if s == nil || s.Draining || revision <= s.Revision {
		return false
	}
	s.Revision, s.entryChangedAt = revision, now
	s.Draining = true
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

// confirm notes that the store confirmed the endpoints. After a gap it counts as
// returned, since it may have been away.
func (d *directory) confirm(at, stale clock.Millis) {
	if d.confirmedAt != 0 && at-d.confirmedAt > stale {
		d.storeRecoveredAt = max(d.storeRecoveredAt, at)
	}
	d.confirmedAt = max(d.confirmedAt, at)
}

// acceptsNewFlows reports whether new flows may go to an endpoint.
func (d *directory) acceptsNewFlows(s *endpointState) bool {
	if s.Draining || s.token == 0 || len(d.byToken[s.token]) > 1 {
		return false
	}
	switch s.entryState {
	case listed:
		return true
	case lapsed:
		// Entries lapse on their own while the store is away.
		return d.storeRecoveredAt != 0 && s.entryChangedAt-d.storeRecoveredAt < lapseTimeout
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

// reindexToken brings the lists by service up to date for all endpoints of a token,
// since a token in use twice makes each of them unusable.
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
