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

// standing is what the directory knows of an endpoint's life.
type standing uint8

const (
	listed standing = iota // its entry is in the store
	lapsed                 // its entry left the store, perhaps only for a while
	gone                   // it has ended
)

// How long the directory holds on to endpoints, in ms.
const (
	// An entry that lapsed with the store away is back within 2 s of its return.
	lapseHold = 2500 * clock.Millisecond
	// A flow is at most 60 s old on the platform, so its last packet comes before.
	goneHold = 75 * clock.Second
)

// server is an endpoint with what was seen of it.
type server struct {
	Endpoint
	token    Token
	standing standing
	since    clock.Millis // when it got its entry, or lost it
	removed  uint64       // revision of its removal; entries up to it are old
	warm     clock.Millis // when it stops being slow after its start

	load      load
	silence   silence
	judgement judgement
}

func (s *server) target() Target {
	return Target{ID: s.ID, Number: s.Number, Address: s.Address, Token: s.token}
}

// directory holds the newest of each endpoint.
type directory struct {
	revision  uint64 // of the store, up to which it is complete
	begun     bool   // a part of the first list has been read
	listed    bool   // a whole list has been read
	confirmed clock.Millis
	// When the store answered again after it had not; lapsed entries get a hold from it.
	returned clock.Millis

	byID      map[string]*server
	byToken   map[Token][]*server
	byService map[string][]*server // those that may get new flows, sorted by id
}

func newDirectory() directory {
	return directory{byID: map[string]*server{}, byToken: map[Token][]*server{}, byService: map[string][]*server{}}
}

// put takes an entry in, unless a newer one is known. It reports whether
// anything changed.
func (d *directory) put(now clock.Millis, p Endpoint) bool {
	s := d.byID[p.ID]
	if s != nil && (p.Revision <= s.Revision || p.Revision <= s.removed) {
		return false
	}
	if s == nil {
		s = &server{}
		d.byID[p.ID] = s
	} else if p.Incarnation != s.Incarnation || p.Address != s.Address {
		// Another start: nothing seen of the earlier one holds.
		s.load, s.silence, s.judgement = load{}, silence{}, judgement{}
	}
	if s.standing != listed {
		s.silence = silence{}
	}
	d.unindex(s)
	s.Endpoint, s.standing, s.since = p, listed, now
	s.warm = now + p.Warmup
	s.token = p.token()
	d.index(s)
	return true
}

// remove notes that an entry left the store at a revision.
func (d *directory) remove(now clock.Millis, id string, revision uint64) bool {
	s := d.byID[id]
	if s == nil || s.standing != listed || revision < s.Revision {
		return false
	}
	s.removed = revision
	s.since = now
	// Also an endpoint that drained may still be answering its last requests.
	s.standing = lapsed
	d.reindex(s)
	return true
}

// expire turns lapsed endpoints into gone ones, and forgets those long gone. It
// returns the endpoints that turned.
func (d *directory) expire(now clock.Millis) (turned []*server) {
	for id, s := range d.byID {
		switch s.standing {
		case lapsed:
			// Only while the store answers does an absence mean anything.
			if now-max(s.since, d.returned) >= lapseHold && d.confirmed-max(s.since, d.returned) >= lapseHold {
				s.standing = gone
				d.reindex(s)
				turned = append(turned, s)
			}
		case gone:
			if now-s.since >= goneHold {
				d.unindex(s)
				delete(d.byID, id)
			}
		}
	}
	return turned
}

// spoil notes that an endpoint's entry can't be read any more. It gets no new
// flows, and keeps those it has.
func (d *directory) spoil(now clock.Millis, id string, revision uint64) bool {
	s := d.byID[id]
	if s == nil || s.Draining || revision <= s.Revision {
		return false
	}
	s.Revision, s.since = revision, now
	s.Draining = true
	d.reindex(s)
	return true
}

// list returns the endpoints whose entries are in the store.
func (d *directory) list() []Endpoint {
	list := make([]Endpoint, 0, len(d.byID))
	for _, s := range d.byID {
		if s.standing == listed {
			list = append(list, s.Endpoint)
		}
	}
	return list
}

// confirm notes that the store confirmed the endpoints. After a gap it counts as
// returned, since it may have been away.
func (d *directory) confirm(at, stale clock.Millis) {
	if d.confirmed != 0 && at-d.confirmed > stale {
		d.returned = max(d.returned, at)
	}
	d.confirmed = max(d.confirmed, at)
}

// usable reports whether new flows may go to an endpoint.
func (d *directory) usable(s *server) bool {
	if s.Draining || s.token == 0 || len(d.byToken[s.token]) > 1 {
		return false
	}
	switch s.standing {
	case listed:
		return true
	case lapsed:
		// Entries lapse on their own while the store is away.
		return d.returned != 0 && s.since-d.returned < lapseHold
	}
	return false
}

func (d *directory) index(s *server) {
	d.byToken[s.token] = append(d.byToken[s.token], s)
	d.refresh(s.token, s)
}

func (d *directory) unindex(s *server) {
	same := slices.DeleteFunc(d.byToken[s.token], func(o *server) bool { return o == s })
	if len(same) == 0 {
		delete(d.byToken, s.token)
	} else {
		d.byToken[s.token] = same
	}
	d.drop(s)
	for _, o := range same {
		d.reindex(o)
	}
}

// refresh brings the lists by service up to date for all endpoints of a token,
// since a token in use twice makes each of them unusable.
func (d *directory) refresh(t Token, s *server) {
	for _, o := range d.byToken[t] {
		if o != s {
			d.reindex(o)
		}
	}
	d.reindex(s)
}

func (d *directory) reindex(s *server) {
	d.drop(s)
	if !d.usable(s) {
		return
	}
	list := d.byService[s.Service]
	at, _ := slices.BinarySearchFunc(list, s, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	d.byService[s.Service] = slices.Insert(list, at, s)
}

func (d *directory) drop(s *server) {
	list := slices.DeleteFunc(d.byService[s.Service], func(o *server) bool { return o == s })
	if len(list) == 0 {
		delete(d.byService, s.Service)
		return
	}
	d.byService[s.Service] = list
}
