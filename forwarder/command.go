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

	"github.com/tanagerdock/tanagerdock/internal/program"
	"github.com/tanagerdock/tanagerdock/platform"
)

const usage = `Usage: tanagerdock-forwarder [-settings FILE] [-metrics PORT] [-check]
       tanagerdock-forwarder -version

Forwards packets of flows to endpoints. Writes its log to standard output. SIGTERM
or SIGINT starts a graceful shutdown, SIGHUP reads the settings file again.

`

// Main runs the command tanagerdock-forwarder and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var metricsPort uint
	commandLine := program.CommandLine{
		Name: "tanagerdock-forwarder", Usage: usage, CheckUsage: "check the settings and exit", EnvVariable: platform.SettingsVariable,
		DefineFlags: func(flags *flag.FlagSet) {
			flags.UintVar(&metricsPort, "metrics", 0, "also serve metrics on `PORT` of the instance's address; 0 for the first internal port only")
		},
		ValidateFlags: func() error {
			if metricsPort > math.MaxUint16 {
				return errors.Errorf("flag -metrics: %d is not a port", metricsPort)
			}
			return nil
		},
		Run: func(settings string, check bool) error { return run(settings, check, uint16(metricsPort), stdout) },
	}
	return commandLine.Main(args, stdout, stderr)
}

func run(file string, check bool, metricsPort uint16, stdout io.Writer) error {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	if check {
		fmt.Fprintf(stdout, "%s: instance %s in %s is usable\n", file, s.Instance, s.Centre)
		return nil
	}
	d, err := Open(Options{Settings: s, SettingsFile: file, Log: stdout, MetricsPort: metricsPort})
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
