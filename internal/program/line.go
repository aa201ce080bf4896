package program

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/internal/daemon"
)

// Line is the command line of a daemon. It has the flags -settings, -check and
// -version, and those that Declare adds.
type Line struct {
	Name     string
	Usage    string
	Check    string // what -check does
	Variable string // environment variable that names the settings file; empty for none
	Declare  func(flags *flag.FlagSet)
	Usable   func() error // reports an own flag that can't be used; nil when all can
	Do       func(settings string, check bool) error
}

// Main parses args, does what they say and returns the exit code.
func (l *Line) Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(l.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, l.Usage)
		flags.PrintDefaults()
	}
	settings := flags.String("settings", os.Getenv(l.Variable), "read settings from `FILE`")
	check := flags.Bool("check", false, l.Check)
	version := flags.Bool("version", false, "print the version and exit")
	l.Declare(flags)
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return Done
	case err != nil:
		return Usage // the flag set has told it
	}
	if err := l.refuse(flags, *settings == "" && !*version); err != nil {
		fmt.Fprintf(stderr, "%s: parse: %v\n%s", l.Name, err, l.Usage)
		return Usage
	}
	if *version {
		fmt.Fprintln(stdout, l.Name, daemon.Version())
		return Done
	}
	verb := "run"
	if *check {
		verb = "check"
	}
	if err := l.Do(*settings, *check); err != nil {
		fmt.Fprintf(stderr, "%s: %s: %v\n", l.Name, verb, err)
		return Failed
	}
	return Done
}

// refuse reports what is wrong with a command line whose flags are known.
func (l *Line) refuse(flags *flag.FlagSet, unset bool) error {
	if flags.NArg() > 0 {
		return errors.Errorf("argument %q is not expected", flags.Arg(0))
	}
	if l.Usable != nil {
		if err := l.Usable(); err != nil {
			return err
		}
	}
	switch {
	case unset && l.Variable != "":
		return errors.Errorf("flag -settings is missing, and %s is not set", l.Variable)
	case unset:
		return errors.New("flag -settings is missing")
	}
	return nil
}
