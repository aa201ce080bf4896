package instance

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvous returns the member with the highest weighted score for key, or nil
// when there are none. When a member comes or goes, only the keys it wins or
// held move, and each member wins a share of keys in proportion to its size.
func rendezvous(key uint64, members []*Member) *Member {
	var best *Member
	bestScore := math.Inf(-1)
	for _, m := range members {
		score := rendezvousScore(key, m)
		if score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// assign returns the dispatching member of each endpoint, or nil when there are
// no members. Each endpoint goes to the member with the highest score that has
// room for it; room is a member's share of the endpoints by its size, rounded
// up. Every instance with the same view computes the same.
func assign(endpoints []*Endpoint, members []*Member) []*Member {
	if len(members) == 0 {
		return nil
	}
	sizes := 0.0
	for _, m := range members {
		sizes += m.Instance.Size
	}
	room := make(map[*Member]int, len(members))
	for _, m := range members {
		room[m] = int(math.Ceil(float64(len(endpoints)) * m.Instance.Size / sizes))
	}
	chosen := make([]*Member, len(endpoints))
	open := slices.Clone(members)
	for i, ep := range endpoints {
		m := rendezvous(ep.Hash, open)
		chosen[i] = m
		room[m]--
		if room[m] == 0 {
			open = slices.DeleteFunc(open, func(x *Member) bool { return x == m })
		}
	}
	return chosen
}

// rendezvousScore is size / -ln(u) for a uniform u in (0, 1) drawn from key and
// member, which gives shares in proportion to size.
func rendezvousScore(key uint64, m *Member) float64 {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:], key)
	binary.LittleEndian.PutUint64(seed[8:], m.Hash)
	const bits = 53
	u := (float64(xxhash.Sum64(seed[:])>>(64-bits)) + 0.5) / (1 << bits)
	return m.Instance.Size / -math.Log(u)
}
