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
	// setUp declares the flags and returns the work.
	setUp func(flags *flag.FlagSet) work
}

// work is a measurement whose flags are set.
type work func(ctx context.Context, p *printer) error

// verbs lists the measurements.
var verbs = []verb{relayVerb, flowsVerb, controlVerb, slopesVerb, steeringVerb, policyVerb, bareVerb}

// printer writes the lines of a measurement.
type printer struct{ out io.Writer }

// line prints one figure. Values are printed with at most 4 digits that count.
func (p *printer) line(name string, value float64) {
	fmt.Fprintf(p.out, "%s=%.4g\n", name, value)
}

// whole prints one figure that is a whole number.
func (p *printer) whole(name string, value int64) {
	fmt.Fprintf(p.out, "%s=%d\n", name, value)
}

// spread prints the median, smallest and largest of several figures.
func (p *printer) spread(name string, values []float64) {
	low, middle, high := spreadOf(values)
	p.line(name, middle)
	p.line(name+"_min", low)
	p.line(name+"_max", high)
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
	do := v.setUp(flags)
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
	if err := do(ctx, &printer{out: stdout}); err != nil {
		fmt.Fprintf(stderr, "%s %s: %v\n", programName, v.name, err)
		return program.ExitFailure
	}
	return program.ExitSuccess
}
