package fleet

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// ErrMember reports a member that lacks what is needed to reach it.
var ErrMember = errors.New("member is invalid")

// Member is one instance as the others know it.
type Member struct {
	_         struct{}       `cbor:",toarray"`
	Name      string         `json:"name"`
	Centre    string         `json:"centre"`
	Address   netip.AddrPort `json:"address"`        // for datagrams (UDP) and records (TCP)
	StartedAt clock.Millis   `json:"boot,omitempty"` // its start, Unix time
}

// Check reports the first fault.
func (m *Member) Check() error {
	switch {
	case m.Name == "":
		return errors.Wrapf(ErrMember, "field %q: is empty", "name")
	case m.Centre == "":
		return errors.Wrapf(ErrMember, "member %q: field %q: is empty", m.Name, "centre")
	case !m.Address.IsValid() || m.Address.Port() == 0:
		return errors.Wrapf(ErrMember, "member %q: field %q: %q is not an IP address and port", m.Name, "address", m.Address)
	}
	return nil
}

// peer is another member of the data centre, with what was heard of it.
type peer struct {
	Member
	rank      uint64
	heard     clock.Millis // its latest message; 0 for none
	beat      clock.Millis // its latest beat; 0 for none
	state     RecordState  // of that beat
	asked     clock.Millis // since when it owes a sign of life; 0 when it doesn't
	leaving   bool
	direct    clock.Millis // until when it gets this watcher's beats from itself
	askedBeat clock.Millis // when it was last asked for its beats
}

// rank orders the members of a data centre, the same at each of them.
func rank(name string) uint64 { return xxhash.Sum64String(name) }

// members are the other members of the data centre, sorted by rank.
type members struct {
	list []*peer
}

func (s *members) find(name string) *peer {
	for _, p := range s.list {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// put adds a member or renews what is known of it. It reports whether it is new.
func (s *members) put(m Member) (*peer, bool) {
	if p := s.find(m.Name); p != nil {
		if m.StartedAt > p.StartedAt {
			p.leaving, p.beat, p.asked = false, 0, 0
		}
		if m.StartedAt >= p.StartedAt {
			p.Member = m
		}
		return p, false
	}
	p := &peer{Member: m, rank: rank(m.Name)}
	at, _ := slices.BinarySearchFunc(s.list, p, byRank)
	s.list = slices.Insert(s.list, at, p)
	return p, true
}

func (s *members) remove(name string) {
	s.list = slices.DeleteFunc(s.list, func(p *peer) bool { return p.Name == name })
}

func byRank(a, b *peer) int {
	switch {
	case a.rank < b.rank:
		return -1
	case a.rank > b.rank:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// before counts the members of higher rank than name.
func (s *members) before(name string) int {
	self := &peer{Member: Member{Name: name}, rank: rank(name)}
	at, _ := slices.BinarySearchFunc(s.list, self, byRank)
	return at
}
