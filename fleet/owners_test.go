package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/warmup"
)

// ownerScenario is a case of testdata/owners.yaml: a scenario, with the members that steering
// was told at the end of each step.
type ownerScenario struct {
	Name    string         `yaml:"name"`
	Members int            `yaml:"members"`
	Apart   bool           `yaml:"apart"`
	Steps   []scenarioStep `yaml:"steps"`
	Known   [][]int        `yaml:"known"`  // how many members each one knows, by rank; 0 before it was told, -1 if it has ended
	Owners  []int          `yaml:"owners"` // most running members that take any endpoint as theirs
}

func TestOwners(t *testing.T) {
	var cases []ownerScenario
	script.Read(t, "testdata/owners.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			sm := newSimulation(t, scenario{Members: c.Members, Unlisted: c.Apart})
			require.Len(t, c.Known, len(c.Steps))
			require.Len(t, c.Owners, len(c.Steps))
			for i, s := range c.Steps {
				name := fmt.Sprintf("step %d", i+1)
				sm.step(name, s)
				known := []int{}
				for _, n := range sm.members {
					if n.live {
						known = append(known, len(n.known))
					} else {
						known = append(known, -1)
					}
				}
				require.Equal(t, c.Known[i], known, name)
				require.Equal(t, c.Owners[i], sm.mostOwners(), name)
			}
		})
	}
}

// mostOwners returns the largest number of running members that own the same endpoint.
func (sm *simulation) mostOwners() (most int) {
	for i := range 200 {
		owners := 0
		for _, n := range sm.members {
			if n.live && warmup.Owner(n.known, fmt.Sprintf("e%d", i)) == n.Name {
				owners++
			}
		}
		most = max(most, owners)
	}
	return most
}
