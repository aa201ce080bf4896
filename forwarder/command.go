package forwarder

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
)

// Exit codes of the command.
const (
	exitDone  = 0
	exitError = 1
	exitUsage = 2
)

const program = "tanagerdock-forwarder"

const usage = `Usage: tanagerdock-forwarder [-settings FILE] [-metrics PORT] [-check]
       tanagerdock-forwarder -version

Forwards packets of flows to endpoints. Writes its log to standard output. SIGTERM
or SIGINT starts a graceful shutdown, SIGHUP reads the settings file again.

`

// command is a parsed command line.
type command struct {
	settings string
	metrics  uint
	check    bool
	version  bool
}

func parseCommand(args []string, stderr io.Writer) (command, error) {
	var c command
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	flags.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "read the platform's settings from `FILE`")
	flags.UintVar(&c.metrics, "metrics", 0, "serve metrics on `PORT` of the instance's address; 0 for the inner port alone")
	flags.BoolVar(&c.check, "check", false, "check the settings and exit")
	flags.BoolVar(&c.version, "version", false, "print the version and exit")
	if err := flags.Parse(args); err != nil {
		return c, err
	}
	if flags.NArg() > 0 {
		return c, refuse(stderr, "argument %q is not expected", flags.Arg(0))
	}
	if c.metrics > math.MaxUint16 {
		return c, refuse(stderr, "flag -metrics: %d is not a port", c.metrics)
	}
	if c.settings == "" && !c.version {
		return c, refuse(stderr, "flag -settings is missing, and %s is not set", platform.SettingsVariable)
	}
	return c, nil
}

func refuse(stderr io.Writer, format string, args ...any) error {
	err := errors.Errorf(format, args...)
	fmt.Fprintf(stderr, "%s: parse: %v\n%s", program, err, usage)
	return err
}

// Main runs the command tanagerdock-forwarder and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	c, err := parseCommand(args, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		return exitUsage
	case c.version:
		fmt.Fprintln(stdout, program, daemon.Version())
		return exitDone
	}
	verb := "run"
	if c.check {
		verb = "check"
	}
	if err := c.do(stdout); err != nil {
		fmt.Fprintf(stderr, "%s: %s: %v\n", program, verb, err)
		return exitError
	}
	return exitDone
}

func (c command) do(stdout io.Writer) error {
	s, err := platform.ReadSettings(c.settings)
	if err != nil {
		return err
	}
	if c.check {
		fmt.Fprintf(stdout, "%s: instance %s in %s is usable\n", c.settings, s.Instance, s.Centre)
		return nil
	}
	d, err := Open(Options{Settings: s, File: c.settings, Log: stdout, Metrics: uint16(c.metrics)})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	go func() {
		for v := range signals {
			if v == syscall.SIGHUP {
				d.Reload()
				continue
			}
			d.Stop()
		}
	}()
	return d.Run(context.Background())
}
