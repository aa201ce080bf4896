package instance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

type assignCase struct {
	Name      string    `yaml:"name"`
	Endpoints int       `yaml:"endpoints"`
	Sizes     []float64 `yaml:"sizes"`
	MaxMoved  float64   `yaml:"moved"`
	MaxShare  float64   `yaml:"share"`
}

// Guards against assignments that move more endpoints than necessary when a member or endpoint
// is removed, or that give a member much more than its share.
func TestAssignMovesFewEndpoints(t *testing.T) {
	var cases []assignCase
	script.Read(t, "testdata/assign.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, c.check)
	}
}

func (c assignCase) check(t *testing.T) {
	const fleets = 20
	moved, minMoved := 0, 0
	share, mean := 0.0, 0.0
	for fleet := range fleets {
		endpoints, members := c.fleet(fleet)
		before := assign(endpoints, members)
		require.Equal(t, before, assign(endpoints, members))
		for i, m := range members {
			others := slices.Delete(slices.Clone(members), i, i+1)
			after := assign(endpoints, others)
			for e := range endpoints {
				moved += count(after[e] != before[e])
				minMoved += count(before[e] == m)
			}
		}
		for e := range endpoints {
			fewer := slices.Delete(slices.Clone(endpoints), e, e+1)
			after := assign(fewer, members)
			expected := slices.Delete(slices.Clone(before), e, e+1)
			for i := range fewer {
				moved += count(after[i] != expected[i])
			}
			moved++
			minMoved++
		}
		largest := c.largestShare(members, before)
		share, mean = max(share, largest), mean+largest/fleets
	}
	t.Logf("moved %.3f times the least possible, largest share %.2f times that by size (mean over fleets %.2f)", float64(moved)/float64(minMoved), share, mean)
	require.LessOrEqual(t, float64(moved)/float64(minMoved), c.MaxMoved)
	require.LessOrEqual(t, share, c.MaxShare)
}

// fleet returns endpoints and members whose names differ from those of all other fleets.
func (c assignCase) fleet(n int) ([]*Endpoint, []*Member) {
	var endpoints []*Endpoint
	for i := range c.Endpoints {
		endpoints = append(endpoints, &Endpoint{Hash: token.Hash(fmt.Sprintf("127.0.%d.%d:80", n, i))})
	}
	var members []*Member
	for i, size := range c.Sizes {
		name := fmt.Sprintf("entry-%d-%d", n, i)
		members = append(members, &Member{Hash: token.Hash(name), Instance: record.Instance{Name: name, Size: size}})
	}
	return endpoints, members
}

// largestShare returns the highest ratio of a member's share of the endpoints to its share by
// size.
func (c assignCase) largestShare(members []*Member, chosen []*Member) float64 {
	sizes, counts := 0.0, make(map[*Member]float64)
	for _, m := range members {
		sizes += m.Instance.Size
	}
	for _, m := range chosen {
		counts[m]++
	}
	largest := 0.0
	for _, m := range members {
		largest = max(largest, counts[m]/float64(c.Endpoints)/(m.Instance.Size/sizes))
	}
	return largest
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}
