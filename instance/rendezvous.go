package instance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvous returns the member with the highest score for key by weighted rendezvous
// hashing, or nil when there are none. Each member gets a share of the keys in proportion
// to its size. When a member is added or removed, only its own keys move.
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

// assignmentSlack is the factor by which a member may exceed its share of the endpoints.
// The slack keeps most endpoints in place when a member is added or removed.
const assignmentSlack = 1.25

// assign returns the member that dispatches each endpoint, or nil when there are no
// members. It is rendezvous hashing with bounded loads: pairs of endpoint and member are
// taken in order of falling score, as long as the member is below its limit, which is its
// share by size times assignmentSlack, rounded up. Because of that order, an endpoint that
// a full member can't take never displaces one with a higher score elsewhere, so few
// endpoints move when a member or an endpoint is added or removed. Instances that know the
// same members and endpoints compute the same assignment.
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

// weightedScore returns size / -ln(u), where u in (0, 1) is a uniform hash of key and of
// the hash of a name. The highest score wins, which gives shares in proportion to size.
func weightedScore(key, hash uint64, size float64) float64 {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:], key)
	binary.LittleEndian.PutUint64(seed[8:], hash)
	const bits = 53
	u := (float64(xxhash.Sum64(seed[:])>>(64-bits)) + 0.5) / (1 << bits)
	return size / -math.Log(u)
}
