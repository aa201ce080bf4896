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
	CheckUsage    string                    // help text of -check
	EnvVariable   string                    // environment variable that names the settings file; empty for none
	DefineFlags   func(flags *flag.FlagSet) // adds the daemon's own flags
	ValidateFlags func() error              // checks the values of those flags; may be nil
	Run           func(settings string, check bool) error
}

// Main parses args, calls Run unless they are invalid or ask for the help or the version,
// and returns the exit code.
func (c *CommandLine) Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, c.Usage)
		flags.PrintDefaults()
	}
	settings := flags.String("settings", os.Getenv(c.EnvVariable), "read settings from `FILE`")
	check := flags.Bool("check", false, c.CheckUsage)
	version := flags.Bool("version", false, "print the version and exit")
	c.DefineFlags(flags)
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return ExitSuccess
	case err != nil:
		return ExitUsage // the flag set has printed the error
	}
	if err := c.validate(flags, *settings == "" && !*version); err != nil {
		fmt.Fprintf(stderr, "%s: parse: %v\n%s", c.Name, err, c.Usage)
		return ExitUsage
	}
	if *version {
		fmt.Fprintln(stdout, c.Name, daemon.Version())
		return ExitSuccess
	}
	operation := "run"
	if *check {
		operation = "check"
	}
	if err := c.Run(*settings, *check); err != nil {
		fmt.Fprintf(stderr, "%s: %s: %v\n", c.Name, operation, err)
		return ExitFailure
	}
	return ExitSuccess
}

// validate checks the command line after its flags were parsed.
func (c *CommandLine) validate(flags *flag.FlagSet, settingsMissing bool) error {
	if flags.NArg() > 0 {
		return errors.Errorf("argument %q is not expected", flags.Arg(0))
	}
	if c.ValidateFlags != nil {
		if err := c.ValidateFlags(); err != nil {
			return err
		}
	}
	switch {
	case settingsMissing && c.EnvVariable != "":
		return errors.Errorf("flag -settings is missing, and %s is not set", c.EnvVariable)
	case settingsMissing:
		return errors.New("flag -settings is missing")
	}
	return nil
}
