package entry

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/internal/program"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/token"
)

const usage = `Usage: tanagerdock-entry -settings FILE [-check] [-profile FILE]
       tanagerdock-entry -version

Runs one entry instance. Prints a line starting with "ready" to standard output
when it takes packets, and logs to standard error. SIGTERM or SIGINT starts a
graceful shutdown; a second one ends the process at once.

`

// PlatformFactory returns a client of the platform at a URL.
type PlatformFactory func(url string) platform.Platform

// Main runs the command tanagerdock-entry and returns its exit status.
func Main(args []string, stdout, stderr io.Writer, newPlatform PlatformFactory) int {
	var profile string
	line := program.CommandLine{
		Name: "tanagerdock-entry", Usage: usage, CheckUsage: "print the settings in force as YAML and exit",
		DefineFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&profile, "profile", "", "write a CPU profile of the whole run to `FILE`")
		},
		Run: func(settings string, check bool) error {
			s, err := ReadSettings(settings)
			if err != nil {
				return err
			}
			keys, err := ReadKeys(s.KeyFile)
			if err != nil {
				return err
			}
			if check {
				return printSettings(stdout, s)
			}
			return runDaemon(s, keys, profile, stdout, stderr, newPlatform)
		},
	}
	return line.Main(args, stdout, stderr)
}

// runDaemon runs an instance until a signal stops it.
func runDaemon(s Settings, keys *token.Keys, profile string, stdout, stderr io.Writer, newPlatform PlatformFactory) error {
	d, err := Open(Options{
		Settings: s, Keys: keys, Platform: newPlatform(s.PlatformURL),
		Logger: newLogger(stderr, s.Log).With("instance", s.Name),
	})
	if err != nil {
		return err
	}
	stopProfile, err := startCPUProfile(profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	fmt.Fprintln(stdout, d.ReadyLine())
	return runUntilSignal(signals, d)
}

// startCPUProfile writes a CPU profile to a file until stop is called. It does
// nothing when the file name is empty.
func startCPUProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "profile to %s", file)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

func printSettings(w io.Writer, s Settings) error {
	data, err := s.YAML()
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Wrap(err, "print settings")
}

var slogLevels = map[string]slog.Level{
	LevelDebug: slog.LevelDebug,
	LevelInfo:  slog.LevelInfo,
	LevelWarn:  slog.LevelWarn,
	LevelError: slog.LevelError,
}

func newLogger(w io.Writer, l LogSettings) *slog.Logger {
	options := &slog.HandlerOptions{Level: slogLevels[l.Level]}
	if l.Format == FormatJSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// runUntilSignal runs d. The first signal starts a graceful shutdown; a second one
// makes it return ErrInterrupted at once.
func runUntilSignal(signals <-chan os.Signal, d *Daemon) error {
	ended := make(chan error, 1)
	go func() { ended <- d.Run(context.Background()) }()
	for received := 0; received < 2; {
		select {
		case err := <-ended:
			return err
		case <-signals:
			received++
			d.Stop()
		}
	}
	return errors.WithStack(ErrInterrupted)
}
