package warmup

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

type limitCase struct {
	Name   string  `yaml:"name"`
	Rate   float64 `yaml:"rate"`
	Excess float64 `yaml:"excess"`
	Slack  float64 `yaml:"slack"`
	Want   int     `yaml:"want"`
	Share  int     `yaml:"share"`
}

func TestLimits(t *testing.T) {
	var cases []limitCase
	script.Read(t, "testdata/limit.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			limit := Limit(c.Rate, c.Excess, c.Slack)
			require.Equal(t, c.Want, limit)
			require.Equal(t, c.Share, Share(limit))
		})
	}
	require.Zero(t, Limit(math.NaN(), 1, 1))
}

// windowCase has the times at which flows are asked for, and those that a window admits.
type windowCase struct {
	Name    string         `yaml:"name"`
	Limit   int            `yaml:"limit"`
	Unknown bool           `yaml:"unknown"` // the window is that of a new process at time 0
	Asked   []clock.Millis `yaml:"asked"`
	Placed  []clock.Millis `yaml:"placed"`
}

func TestWindows(t *testing.T) {
	var cases []windowCase
	script.Read(t, "testdata/window.yaml", &cases)
	require.NotEmpty(t, cases)
	const start = 1_000_000
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var w Window
			if c.Unknown {
				w = Unknown(start)
			}
			var placed []clock.Millis
			for _, at := range c.Asked {
				if w.Admits(start+at, c.Limit) {
					w.Add(start + at)
					placed = append(placed, at)
				}
			}
			require.Equal(t, c.Placed, placed)
		})
	}
}

// ownerCase has members, and the owners of endpoints e1 to eCOUNT among them.
type ownerCase struct {
	Name    string `yaml:"name"`
	Members int    `yaml:"members"` // named m1, m2 and so on
	Count   int    `yaml:"count"`   // of endpoints
	Least   int    `yaml:"least"`   // endpoints that each member owns at least
	Most    int    `yaml:"most"`    // and at most
	Without string `yaml:"without"` // a member without which only its own endpoints get other owners
}

func TestOwners(t *testing.T) {
	var cases []ownerCase
	script.Read(t, "testdata/owner.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var members, reversed, rest []string
			for i := range c.Members {
				m := fmt.Sprintf("m%d", i+1)
				members, reversed = append(members, m), append([]string{m}, reversed...)
				if m != c.Without {
					rest = append(rest, m)
				}
			}
			owned := map[string]int{}
			for i := range c.Count {
				endpoint := fmt.Sprintf("e%d", i+1)
				owner := Owner(members, endpoint)
				owned[owner]++
				require.Equal(t, owner, Owner(reversed, endpoint), "order of the members")
				if owner != c.Without {
					require.Equal(t, owner, Owner(rest, endpoint), "owner of %s", endpoint)
				}
			}
			for _, m := range members {
				require.True(t, owned[m] >= c.Least && owned[m] <= c.Most, "%s owns %d", m, owned[m])
			}
		})
	}
	require.Empty(t, Owner(nil, "e1"))
}
