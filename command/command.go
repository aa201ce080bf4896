// Package command is the command line of tanagerdock.
//
// Each verb has a file of its own with its usage text, flags and work; the table
// verbs lists them, so that a new verb is a file and a row. A verb parses its
// flags, does its work with the platform or a service, and returns an error;
// Main prints the error with the program's and the verb's name and turns it into
// an exit code.
//
// # Usage
//
//	code := command.Main(ctx, os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
//
// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the status shows conditions,
// 4 a request was not run, 5 the outcome of a request is unknown.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
)

const program = "tanagerdock"

// Exit codes.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = 2
	exitConditions = 3
	exitNotRun     = 4
	exitUnknown    = 5
)

// Errors that choose an exit code.
var (
	// ErrUsage reports a command line that cannot be understood.
	ErrUsage = errors.New("wrong usage")
	// ErrConditions reports that the status shows conditions.
	ErrConditions = errors.New("conditions are reported")
)

// Streams are the standard streams of a run.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// verb is one subcommand.
type verb struct {
	name    string
	summary string
	usage   string // what follows the verb's name, and an explanation
	run     func(ctx context.Context, v *invocation) error
}

// invocation is one call of a verb.
type invocation struct {
	Streams
	verb  *verb
	args  []string
	flags *flag.FlagSet
}

// verbs returns the table of subcommands, in the order in which help lists them.
func verbs() []*verb {
	return []*verb{applyVerb, getVerb, deleteVerb, statusVerb, checkVerb, sendVerb, loadVerb, versionVerb}
}

// Main runs one command line and returns the exit code.
func Main(ctx context.Context, args []string, s Streams) int {
	if len(args) == 0 {
		printHelp(s.Err)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		return help(args[1:], s)
	}
	v := findVerb(args[0])
	if v == nil {
		fmt.Fprintf(s.Err, "%s: verb %q is unknown; see '%s help'\n", program, args[0], program)
		return exitUsage
	}
	return v.execute(ctx, args[1:], s)
}

func findVerb(name string) *verb {
	for _, v := range verbs() {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (v *verb) execute(ctx context.Context, args []string, s Streams) int {
	i := newInvocation(v, args, s)
	err := v.run(ctx, i)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.Is(err, ErrConditions):
		return exitConditions
	}
	fmt.Fprintf(s.Err, "%s %s: %v\n", program, v.name, err)
	switch {
	case errors.Is(err, ErrUsage):
		return exitUsage
	case errors.Is(err, caller.ErrNotRun):
		return exitNotRun
	case errors.Is(err, caller.ErrOutcomeUnknown):
		return exitUnknown
	}
	return exitFailed
}

func newInvocation(v *verb, args []string, s Streams) *invocation {
	i := &invocation{Streams: s, verb: v, args: args, flags: flag.NewFlagSet(v.name, flag.ContinueOnError)}
	i.flags.SetOutput(io.Discard)
	i.flags.Usage = func() {}
	return i
}

// parse reads the flags. The number of other arguments must be within bounds; a
// negative most means any number.
func (i *invocation) parse(minArgs, maxArgs int) error {
	err := i.flags.Parse(i.args)
	if errors.Is(err, flag.ErrHelp) {
		i.printUsage(i.Out)
		return err
	}
	if err != nil {
		return errors.Wrap(ErrUsage, err.Error())
	}
	n := i.flags.NArg()
	if n < minArgs || (maxArgs >= 0 && n > maxArgs) {
		return errors.Wrapf(ErrUsage, "%d arguments given: usage: %s %s %s", n, program, i.verb.name, firstLine(i.verb.usage))
	}
	return nil
}

func (i *invocation) printUsage(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s %s %s\n\nFlags:\n", program, i.verb.name, i.verb.usage)
	i.flags.SetOutput(w)
	i.flags.PrintDefaults()
	i.flags.SetOutput(io.Discard)
}

func firstLine(text string) string {
	for n, r := range text {
		if r == '\n' {
			return text[:n]
		}
	}
	return text
}

// platformVariable names the environment variable with the platform's URL.
const platformVariable = "TANAGERDOCK_PLATFORM"

// platformTimeout is how long one call to the platform may take.
const platformTimeout = 5 * clock.Second

// platformFlag adds the flag for the platform's URL.
func (i *invocation) platformFlag() *string {
	return i.flags.String("platform", os.Getenv(platformVariable), "`URL` of the platform; default $"+platformVariable)
}

// connect returns the platform at a URL.
func connect(url string) (*platform.Client, error) {
	if url == "" {
		return nil, errors.Wrapf(ErrUsage, "flag -platform is missing and %s is not set", platformVariable)
	}
	return platform.NewClient(url, platformTimeout), nil
}
