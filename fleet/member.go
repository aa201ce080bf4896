package fleet

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// maxNameBytes limits the names of members and data centres, so that each message has room
// for its sender.
const maxNameBytes = 128

// ErrMember reports a member without a valid name, data centre or address.
var ErrMember = errors.New("member is invalid")

// Member identifies an instance to the others. It is sent in messages and stored in the
// instance's object in the store.
type Member struct {
	_         struct{}       `cbor:",toarray"`
	Name      string         `json:"name"`
	Centre    string         `json:"centre"`
	Address   netip.AddrPort `json:"address"`        // for datagrams (UDP) and records (TCP)
	StartedAt clock.Millis   `json:"boot,omitempty"` // Unix time; 0 in the store
}

// Check returns an error for the first invalid field.
func (m *Member) Check() error {
	switch {
	case m.Name == "" || len(m.Name) > maxNameBytes:
		return errors.Wrapf(ErrMember, "field %q: is not 1 to %d bytes", "name", maxNameBytes)
	case m.Centre == "" || len(m.Centre) > maxNameBytes:
		return errors.Wrapf(ErrMember, "member %q: field %q: is not 1 to %d bytes", m.Name, "centre", maxNameBytes)
	case m.StartedAt < 0 || m.StartedAt > steering.MaxIncarnation:
		return errors.Wrapf(ErrMember, "member %q: field %q: %d is not within 0 to %d", m.Name, "boot", m.StartedAt, steering.MaxIncarnation)
	case !m.Address.IsValid() || m.Address.Port() == 0:
		return errors.Wrapf(ErrMember, "member %q: field %q: %q is not an IP address and port", m.Name, "address", m.Address)
	}
	return nil
}

// peer is another member of the data centre, with what its messages said and when they
// arrived.
type peer struct {
	Member
	rank        uint64
	heardAt     clock.Millis // when its latest message arrived; 0 for none
	heartbeatAt clock.Millis // when its latest record state arrived, in a heartbeat or with changes; 0 for none
	state       RecordState  // received at that time
	// When the store last confirmed its evacuation orders, by its latest heartbeat.
	evacuationsConfirmedAt clock.Millis
	probedSince            clock.Millis // since when it hasn't answered probes; 0 if none is unanswered
	leaving                bool         // it has stopped watching
	directUntil            clock.Millis // until when this member, as watcher, sends it heartbeats without a relay
	summedAt               clock.Millis // when its latest heartbeat with sums arrived; 0 for none
	missedSentAt           clock.Millis // when it was last sent a HeartbeatMissed
}

// rank returns the hash that orders the members of a data centre. The smallest hash has
// the highest rank. All members compute the same order, so they need no agreement.
func rank(name string) uint64 { return xxhash.Sum64String(name) }

// peerList has the other members of the data centre, sorted by rank.
type peerList struct {
	list    []*peer
	changed bool // since steering was told the members
}

func (s *peerList) find(name string) *peer {
	for _, p := range s.list {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// put adds a member, or updates it unless m is from an earlier start of the instance. After
// a later start the member counts as no watcher until its next heartbeat, and its unanswered
// probes are forgotten. It reports whether the member is new.
func (s *peerList) put(m Member) (*peer, bool) {
	if p := s.find(m.Name); p != nil {
		if m.StartedAt > p.StartedAt {
			p.leaving, p.heartbeatAt, p.probedSince, p.summedAt = false, 0, 0, 0
		}
		if m.StartedAt >= p.StartedAt {
			p.Member = m
		}
		return p, false
	}
	p := &peer{Member: m, rank: rank(m.Name)}
	at, _ := slices.BinarySearchFunc(s.list, p, compareRank)
	s.list, s.changed = slices.Insert(s.list, at, p), true
	return p, true
}

// forgetProbes makes all unanswered probes void. After a stall, answers may still wait to be
// handled.
func (s *peerList) forgetProbes() {
	for _, p := range s.list {
		p.probedSince = 0
	}
}

func (s *peerList) remove(name string) {
	s.list, s.changed = slices.DeleteFunc(s.list, func(p *peer) bool { return p.Name == name }), true
}

func compareRank(a, b *peer) int {
	switch {
	case a.rank < b.rank:
		return -1
	case a.rank > b.rank:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// countBefore returns the number of members with a higher rank than name.
func (s *peerList) countBefore(name string) int {
	target := &peer{Member: Member{Name: name}, rank: rank(name)}
	at, _ := slices.BinarySearchFunc(s.list, target, compareRank)
	return at
}
