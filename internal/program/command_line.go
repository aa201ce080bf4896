package program

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/internal/daemon"
)

// CommandLine is the command line of a daemon. It has the flags -settings, -check and
// -version, and those that DefineFlags adds.
type CommandLine struct {
	Name          string
	Usage         string
	CheckUsage    string // what -check does
	EnvVariable   string // environment variable that names the settings file; empty for none
	DefineFlags   func(flags *flag.FlagSet)
	ValidateFlags func() error // reports an own flag that can't be used; nil when all can
	Run           func(settings string, check bool) error
}

// Main parses args, does what they say and returns the exit code.
func (l *CommandLine) Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(l.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, l.Usage)
		flags.PrintDefaults()
	}
	settings := flags.String("settings", os.Getenv(l.EnvVariable), "read settings from `FILE`")
	check := flags.Bool("check", false, l.CheckUsage)
	version := flags.Bool("version", false, "print the version and exit")
	l.DefineFlags(flags)
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return ExitSuccess
	case err != nil:
		return ExitUsage // the flag set has told it
	}
	if err := l.refuse(flags, *settings == "" && !*version); err != nil {
		fmt.Fprintf(stderr, "%s: parse: %v\n%s", l.Name, err, l.Usage)
		return ExitUsage
	}
	if *version {
		fmt.Fprintln(stdout, l.Name, daemon.Version())
		return ExitSuccess
	}
	verb := "run"
	if *check {
		verb = "check"
	}
	if err := l.Run(*settings, *check); err != nil {
		fmt.Fprintf(stderr, "%s: %s: %v\n", l.Name, verb, err)
		return ExitFailure
	}
	return ExitSuccess
}

// refuse reports what is wrong with a command line whose flags are known.
func (l *CommandLine) refuse(flags *flag.FlagSet, unset bool) error {
	if flags.NArg() > 0 {
		return errors.Errorf("argument %q is not expected", flags.Arg(0))
	}
	if l.ValidateFlags != nil {
		if err := l.ValidateFlags(); err != nil {
			return err
		}
	}
	switch {
	case unset && l.EnvVariable != "":
		return errors.Errorf("flag -settings is missing, and %s is not set", l.EnvVariable)
	case unset:
		return errors.New("flag -settings is missing")
	}
	return nil
}
