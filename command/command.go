// Package command implements the command line of tanagerdock.
//
// Each verb parses its flags, runs, and returns an error. Main prints the error after
// the names of the program and the verb, and converts it into an exit code.
//
// # Files
//
//   - command.go: Main, the list of verbs, and the flags and errors that verbs share
//   - apply.go, get.go, delete.go: the verbs that write, read and delete records
//   - documents.go: reads records from YAML and JSON files, and prints them as YAML
//   - status.go: the verb status; reports.go: its flag -store
//   - check.go, send.go, load.go: the verbs of these names
//   - help.go: the help text and the verb version
//
// To add a verb, write a file that defines it and add it to the function verbs.
//
// # Usage
//
//	code := command.Main(ctx, os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
//
// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 the status shows conditions,
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

// programName is the name that usage texts and errors begin with.
const programName = "tanagerdock"

// Exit codes, described in the package comment.
const (
	exitSuccess    = 0
	exitFailure    = 1
	exitUsage      = 2
	exitConditions = 3
	exitNotRun     = 4
	exitUnknown    = 5
)

// Errors that have an exit code of their own.
var (
	// ErrUsage reports invalid flags or arguments.
	ErrUsage = errors.New("wrong usage")
	// ErrConditions reports that the status shows conditions; it is not printed.
	ErrConditions = errors.New("conditions are reported")
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// verb is a subcommand.
type verb struct {
	name    string
	summary string
	usage   string // flags and arguments on the first line, then the description
	run     func(ctx context.Context, v *invocation) error
}

// invocation is a call of a verb with its arguments.
type invocation struct {
	Streams
	verb  *verb
	args  []string
	flags *flag.FlagSet
}

// verbs returns the subcommands in the order in which help lists them.
func verbs() []*verb {
	return []*verb{applyVerb, getVerb, deleteVerb, statusVerb, checkVerb, sendVerb, loadVerb, versionVerb}
}

// Main runs a command line, without the name of the program, and returns the exit code.
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
		fmt.Fprintf(s.Err, "%s: verb %q is unknown; see '%s help'\n", programName, args[0], programName)
		return exitUsage
	}
	return v.execute(ctx, args[1:], s)
}

// findVerb returns the verb with a name, or nil.
func findVerb(name string) *verb {
	for _, v := range verbs() {
		if v.name == name {
			return v
		}
	}
	return nil
}

// execute runs the verb, prints its error and returns the exit code.
func (v *verb) execute(ctx context.Context, args []string, s Streams) int {
	i := newInvocation(v, args, s)
	err := v.run(ctx, i)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitSuccess
	case errors.Is(err, ErrConditions):
		return exitConditions
	}
	fmt.Fprintf(s.Err, "%s %s: %v\n", programName, v.name, err)
	switch {
	case errors.Is(err, ErrUsage):
		return exitUsage
	case errors.Is(err, caller.ErrNotRun):
		return exitNotRun
	case errors.Is(err, caller.ErrOutcomeUnknown):
		return exitUnknown
	}
	return exitFailure
}

func newInvocation(v *verb, args []string, s Streams) *invocation {
	i := &invocation{Streams: s, verb: v, args: args, flags: flag.NewFlagSet(v.name, flag.ContinueOnError)}
	i.flags.SetOutput(io.Discard)
	i.flags.Usage = func() {}
	return i
}

// parse parses the flags and checks the number of the other arguments. A negative maxArgs
// allows any number. With -help, it prints the usage text and returns flag.ErrHelp.
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
		return errors.Wrapf(ErrUsage, "%d arguments given: usage: %s %s %s", n, programName, i.verb.name, firstLine(i.verb.usage))
	}
	return nil
}

func (i *invocation) printUsage(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s %s %s\n\nFlags:\n", programName, i.verb.name, i.verb.usage)
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

// platformVariable is the environment variable that holds the platform's URL.
const platformVariable = "TANAGERDOCK_PLATFORM"

// platformTimeout limits each call to the platform.
const platformTimeout = 5 * clock.Second

// platformFlag defines the flag -platform.
func (i *invocation) platformFlag() *string {
	return i.flags.String("platform", os.Getenv(platformVariable), "`URL` of the platform; default $"+platformVariable)
}

// connect returns a client of the platform at a URL.
func connect(url string) (*platform.Client, error) {
	if url == "" {
		return nil, errors.Wrapf(ErrUsage, "neither flag -platform nor %s is set", platformVariable)
	}
	return platform.NewClient(url, platformTimeout), nil
}
