package measure

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/internal/program"
)

// programName is the name of the command in its messages.
const programName = "tanagerdock-measure"

// verb is one measurement.
type verb struct {
	name    string
	summary string
	usage   string
	// defineFlags defines the flags and returns the measurement, which runs after they
	// are parsed.
	defineFlags func(flags *flag.FlagSet) measureFunc
}

// measureFunc runs a measurement and prints its figures.
type measureFunc func(ctx context.Context, p *printer) error

// verbs lists the measurements.
var verbs = []verb{relayVerb, flowsVerb, controlVerb, slopesVerb, steeringVerb, policyVerb, bareVerb}

// printer writes the lines of a measurement.
type printer struct{ out io.Writer }

// line prints one figure with 4 significant digits.
func (p *printer) line(name string, value float64) {
	fmt.Fprintf(p.out, "%s=%.4g\n", name, value)
}

// integer prints one figure that is an integer, with all digits.
func (p *printer) integer(name string, value int64) {
	fmt.Fprintf(p.out, "%s=%d\n", name, value)
}

// spread prints the median, smallest and largest of several figures.
func (p *printer) spread(name string, values []float64) {
	lowest, median, highest := minMedianMax(values)
	p.line(name, median)
	p.line(name+"_min", lowest)
	p.line(name+"_max", highest)
}

// Main runs the measurement named by args and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	t := program.Verbs{Name: programName, Purpose: "Measures and prints lines name=value.", NameWidth: 8}
	for _, v := range verbs {
		t.List = append(t.List, program.Verb{Name: v.name, Summary: v.summary, Run: v.run})
	}
	return t.Main(ctx, args, stdout, stderr)
}

func (v *verb) run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(v.name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "Usage: %s %s [FLAGS]\n\n%s\n\nFlags:\n", programName, v.name, v.usage)
		flags.PrintDefaults()
	}
	measure := v.defineFlags(flags)
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return program.ExitSuccess
	case err != nil:
		return program.ExitUsage
	case flags.NArg() > 0:
		fmt.Fprintf(stderr, "%s %s: argument %q is not a flag\n", programName, v.name, flags.Arg(0))
		return program.ExitUsage
	}
	if err := measure(ctx, &printer{out: stdout}); err != nil {
		fmt.Fprintf(stderr, "%s %s: %v\n", programName, v.name, err)
		return program.ExitFailure
	}
	return program.ExitSuccess
}
