package measure

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/program"
)

func TestFitFindsTheLine(t *testing.T) {
	base, slope := fitLine([]point{{10, 35}, {100, 305}, {1000, 3005}})
	require.InDelta(t, 5, base, 1e-6)
	require.InDelta(t, 3, slope, 1e-9)
	base, slope = fitLine([]point{{10, 35}})
	require.Zero(t, base)
	require.Zero(t, slope)
}

func TestMinMedianMax(t *testing.T) {
	lowest, median, highest := minMedianMax([]float64{3, 1, 2})
	require.Equal(t, []float64{1, 2, 3}, []float64{lowest, median, highest})
	lowest, median, highest = minMedianMax(nil)
	require.Equal(t, []float64{0, 0, 0}, []float64{lowest, median, highest})
}

func TestCommandLines(t *testing.T) {
	cases := []struct {
		args []string
		code int
		text string
	}{
		{nil, program.ExitUsage, "Usage:"},
		{[]string{"help"}, program.ExitSuccess, "relay"},
		{[]string{"nothing"}, program.ExitUsage, `verb "nothing" does not exist`},
		{[]string{"relay", "-nothing"}, program.ExitUsage, "flag provided but not defined"},
		{[]string{"relay", "more"}, program.ExitUsage, `argument "more" is not a flag`},
		{[]string{"flows", "-help"}, program.ExitSuccess, "flow_bytes"},
		{[]string{"bare", "-to", "nowhere"}, program.ExitFailure, `value "nowhere"`},
		{[]string{"relay", "-bin", "/does/not/exist"}, program.ExitFailure, "tanagerdock-standin"},
	}
	for _, c := range cases {
		var out bytes.Buffer
		require.Equal(t, c.code, Main(context.Background(), c.args, &out, &out), "%v", c.args)
		require.Contains(t, out.String(), c.text, "%v", c.args)
	}
}
