package soak

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/program"
)

const programName = "tanagerdock-soak"

// Main runs the command tanagerdock-soak and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	s := Settings{}
	flags := flag.NewFlagSet(programName, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&s.Program, "program", "bin/tanagerdock-forwarder", "executable `FILE` of the forwarder")
	seed := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Uint64("seeds", 1, "number of consecutive seeds to run")
	flags.IntVar(&s.Centres, "centres", 2, "data centres")
	flags.IntVar(&s.Instances, "instances", 3, "instances in each data centre")
	flags.IntVar(&s.Endpoints, "endpoints", 4, "endpoints of each service in each data centre")
	flags.IntVar(&s.Users, "users", 12, "users in each data centre")
	duration := flags.Int64("span", 20_000, "time during which faults are injected for each seed, in `MS`")
	disturbed := flags.Int64("disturbed", 10_000, "time after the faults during which sound endpoints are disturbed for each seed, in `MS`")
	flags.BoolVar(&s.CheckTimings, "timed", true, "also check time bounds")
	keep := flags.String("keep", "", "keep settings and logs in `FOLDER`, also those of seeds that pass")
	if err := flags.Parse(args); err != nil {
		return program.ExitUsage
	}
	s.Duration, s.Disturbed = clock.Millis(*duration), clock.Millis(*disturbed)
	failed := 0
	for n := range *seeds {
		s.Seed = *seed + n
		violations, err := runSeed(s, *keep, stdout)
		if err != nil {
			fmt.Fprintf(stderr, "%s: run: %v\n", programName, err)
			return program.ExitFailure
		}
		failed += min(violations, 1)
	}
	fmt.Fprintf(stdout, "%d of %d seeds passed\n", int(*seeds)-failed, *seeds)
	if failed > 0 {
		return program.ExitFailure
	}
	return program.ExitSuccess
}

// runSeed runs one seed, prints its result and returns the number of violations. The
// settings and logs of a failed seed are always kept.
func runSeed(s Settings, keep string, stdout io.Writer) (int, error) {
	var err error
	if s.Folder, err = CreateFolder(keep, s.Seed); err != nil {
		return 0, err
	}
	if s.Program, err = filepath.Abs(s.Program); err != nil {
		return 0, errors.WithStack(err)
	}
	r, err := Run(s)
	if err != nil {
		return 0, err
	}
	fmt.Fprintln(stdout, r)
	if len(r.Violations) == 0 {
		if keep == "" {
			return 0, errors.WithStack(os.RemoveAll(s.Folder))
		}
		return 0, nil
	}
	for _, f := range r.Faults {
		fmt.Fprintln(stdout, "  injected", f)
	}
	for _, f := range r.Violations {
		fmt.Fprintln(stdout, "  VIOLATION", f)
	}
	fmt.Fprintln(stdout, "  logs in", s.Folder)
	return len(r.Violations), nil
}
