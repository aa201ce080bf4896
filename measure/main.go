package measure

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Exit codes of Main.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// program is the name of the command in its messages.
const program = "tanagerdock-measure"

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
	if len(args) == 0 {
		printUsage(stderr)
		return exitUsage
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		printUsage(stdout)
		return exitDone
	}
	for _, v := range verbs {
		if v.name == args[0] {
			return v.run(ctx, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "%s: verb %q does not exist; see %s help\n", program, args[0], program)
	return exitUsage
}

func printUsage(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s VERB [FLAGS]\n\nMeasures and prints lines name=value.\n\nVerbs:\n", program)
	for _, v := range verbs {
		fmt.Fprintf(w, "  %-8s %s\n", v.name, v.summary)
	}
	fmt.Fprintf(w, "\n%s VERB -help describes a verb.\n", program)
}

func (v *verb) run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(v.name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "Usage: %s %s [FLAGS]\n\n%s\n\nFlags:\n", program, v.name, v.usage)
		flags.PrintDefaults()
	}
	do := v.setUp(flags)
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		return exitUsage
	case flags.NArg() > 0:
		fmt.Fprintf(stderr, "%s %s: argument %q is not a flag\n", program, v.name, flags.Arg(0))
		return exitUsage
	}
	if err := do(ctx, &printer{out: stdout}); err != nil {
		fmt.Fprintf(stderr, "%s %s: %v\n", program, v.name, err)
		return exitFailed
	}
	return exitDone
}
