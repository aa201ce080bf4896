package evacuation

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
)

// applyCase is a case of testdata/apply.yaml: sets of changes, and the orders after each.
type applyCase struct {
	Name  string `yaml:"name"`
	Steps []struct {
		Changes  []string `yaml:"changes"` // "CENTRE=REVISION", "lifted CENTRE=REVISION" or "COUNT orders from=REVISION"
		Revision uint64   `yaml:"revision"`
		Relisted bool     `yaml:"relisted"` // the changes are a list of all orders
		Want     string   `yaml:"want"`     // "REVISION [CENTRE=REVISION]... [partial]"
		Evacuate []string `yaml:"evacuate"` // data centres that must be evacuated
	} `yaml:"steps"`
}

func TestApply(t *testing.T) {
	var cases []applyCase
	script.Read(t, "testdata/apply.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var o Orders
			require.False(t, o.Known())
			for i, s := range c.Steps {
				name, before := fmt.Sprintf("step %d", i+1), o
				earlier := describe(before)
				if s.Relisted {
					before = Orders{}
				}
				o = before.Apply(parseChanges(t, s.Changes), s.Revision)
				require.Equal(t, s.Want, describe(o), name)
				require.True(t, s.Relisted || earlier == describe(before), "%s: the earlier orders stay as they were", name)
				require.NoError(t, o.Check(), name)
				require.True(t, o.Known(), name)
				for _, centre := range s.Evacuate {
					require.True(t, o.InForce(centre), "%s: %s", name, centre)
				}
				require.False(t, o.InForce("nowhere"), name)
			}
		})
	}
}

func describe(o Orders) string {
	text := strconv.FormatUint(o.Revision, 10)
	for _, v := range o.List {
		text += fmt.Sprintf(" %s=%d", v.Centre, v.Revision)
	}
	if o.Partial {
		text += " partial"
	}
	return text
}

func parseChanges(t *testing.T, list []string) (changes []Change) {
	for _, text := range list {
		centre, number, _ := strings.Cut(text, "=")
		revision, err := strconv.ParseUint(number, 10, 64)
		require.NoError(t, err, "change %q", text)
		centre, lifted := strings.CutPrefix(centre, "lifted ")
		count, isSeries := strings.CutSuffix(centre, " orders from")
		if !isSeries {
			changes = append(changes, Change{Order: Order{Centre: centre, Revision: revision}, Lifted: lifted})
			continue
		}
		n, err := strconv.Atoi(count)
		require.NoError(t, err, "change %q", text)
		for i := range n {
			changes = append(changes, Change{Order: Order{Centre: string(rune('a' + i)), Revision: revision + uint64(i)}, Lifted: lifted})
		}
	}
	return changes
}

// checkCase is a case of testdata/check.yaml: orders of another instance that aren't accepted.
type checkCase struct {
	Name     string   `yaml:"name"`
	Revision uint64   `yaml:"revision"`
	Orders   []string `yaml:"orders"` // as applyCase.Changes; LONG is a name of 129 bytes
	Cause    string   `yaml:"cause"`  // part of the error; empty if the orders are valid
}

func TestCheck(t *testing.T) {
	var cases []checkCase
	script.Read(t, "testdata/check.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			o := Orders{Revision: c.Revision}
			for _, v := range parseChanges(t, c.Orders) {
				v.Centre = strings.ReplaceAll(v.Centre, "LONG", strings.Repeat("x", MaxNameBytes+1))
				o.List = append(o.List, v.Order)
			}
			err := o.Check()
			if c.Cause == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrOrders)
			require.Contains(t, err.Error(), c.Cause)
		})
	}
}
