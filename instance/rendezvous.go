package instance

import (
	"encoding/binary"
	"math"

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
