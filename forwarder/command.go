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
	var metrics uint
	line := program.CommandLine{
		Name: "tanagerdock-forwarder", Usage: usage, CheckUsage: "check the settings and exit", EnvVariable: platform.SettingsVariable,
		DefineFlags: func(flags *flag.FlagSet) {
			flags.UintVar(&metrics, "metrics", 0, "serve metrics on `PORT` of the instance's address; 0 for the inner port alone")
		},
		ValidateFlags: func() error {
			if metrics > math.MaxUint16 {
				return errors.Errorf("flag -metrics: %d is not a port", metrics)
			}
			return nil
		},
		Run: func(settings string, check bool) error { return do(settings, check, uint16(metrics), stdout) },
	}
	return line.Main(args, stdout, stderr)
}

func do(file string, check bool, metrics uint16, stdout io.Writer) error {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	if check {
		fmt.Fprintf(stdout, "%s: instance %s in %s is usable\n", file, s.Instance, s.Centre)
		return nil
	}
	d, err := Open(Options{Settings: s, SettingsFile: file, Log: stdout, MetricsPort: metrics})
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
