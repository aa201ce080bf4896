// Package warmup limits the new flows of endpoints that are cold: for some seconds after its
// start an endpoint bears fewer requests. One instance of the endpoint's data centre, its
// owner, places flows there meanwhile.
//
// # Usage
//
//	limit := warmup.Limit(rate, excess, slack)
//	if warmup.Owner(members, "srv-17") == self && window.Admits(now, warmup.Share(limit)) {
//		window.Add(now)
//	}
package warmup

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// maxLimit is more than any endpoint takes. It keeps odd settings within the range of an int.
const maxLimit = 1_000_000_000

// Limit returns the number of new flows that a cold endpoint may get within any second, over all
// instances. It answers the return of endpoints that bear fewer requests at first.
func Limit(rate, excess, slack float64) int {
	limit := math.Floor(rate*excess + slack)
	if !(limit > 0) {
		return 0
	}
	return int(min(limit, maxLimit))
}

// Share returns the part of a limit that one owner uses. It answers members that join while
// endpoints are cold: until the earlier owner knows the new one, both place flows.
func Share(limit int) int { return limit / 2 }

// Owner returns the member that places flows at an endpoint while it is cold, or "" if there
// are no members. It answers the return of a whole data centre at once, in which all members
// would choose the same endpoints: each of them gets a part. Members with the same list agree, and a
// member that joins or leaves changes only the owners of the endpoints that become or were its own.
func Owner(members []string, endpoint string) string {
	owner, highest := "", uint64(0)
	at := xxhash.Sum64String(endpoint)
	for _, m := range members {
		score := mix(at ^ mix(xxhash.Sum64String(m)))
		if owner == "" || score > highest || score == highest && m < owner {
			owner, highest = m, score
		}
	}
	return owner
}

// mix spreads each bit of x over all bits of the result (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
