package instance

import (
	"cmp"
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

// roomSlack is how much more than its share of the endpoints a member may hold, so
// that one that comes or goes moves few endpoints of the others.
const assignmentSlack = 1.25

// assign returns the dispatching member of each endpoint, or nil when there are
// no members. Pairs of endpoint and member are taken by falling score while the
// member has room; room is its share of the endpoints by its size with some slack,
// rounded up. Going by score, an endpoint that is turned away by a full member
// turns away none that fits its member better, so little moves when a member or an
// endpoint comes or goes. Every instance with the same view computes the same.
func assign(endpoints []*Endpoint, members []*Member) []*Member {
	if len(members) == 0 {
		return nil
	}
	totalSize := 0.0
	for _, m := range members {
		totalSize += m.Instance.Size
	}
	limits := make([]int, len(members))
	for i, m := range members {
		limits[i] = int(math.Ceil(assignmentSlack * float64(len(endpoints)) * m.Instance.Size / totalSize))
	}
	type pair struct {
		score            float64
		endpoint, member int
	}
	pairs := make([]pair, 0, len(endpoints)*len(members))
	for e, ep := range endpoints {
		for i, m := range members {
			pairs = append(pairs, pair{rendezvousScore(ep.Hash, m), e, i})
		}
	}
	slices.SortStableFunc(pairs, func(x, y pair) int { return cmp.Compare(y.score, x.score) })
	assigned := make([]*Member, len(endpoints))
	for _, p := range pairs {
		if assigned[p.endpoint] == nil && limits[p.member] > 0 {
			assigned[p.endpoint] = members[p.member]
			limits[p.member]--
		}
	}
	return assigned
}

func rendezvousScore(key uint64, m *Member) float64 {
	return weightedScore(key, m.Hash, m.Instance.Size)
}

// drawScore is size / -ln(u) for a uniform u in (0, 1) drawn from key and the hash
// of a name, which gives shares in proportion to size.
func weightedScore(key, hash uint64, size float64) float64 {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:], key)
	binary.LittleEndian.PutUint64(seed[8:], hash)
	const bits = 53
	u := (float64(xxhash.Sum64(seed[:])>>(64-bits)) + 0.5) / (1 << bits)
	return size / -math.Log(u)
}
