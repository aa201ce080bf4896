package standin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/internal/program"
)

// programName is the command name printed in usage texts and errors.
const programName = "tanagerdock-standin"

// verb is a subcommand, which runs one stand-in.
type verb struct {
	name    string
	summary string
	usage   string
	// start parses args and starts the stand-in. It returns an error that wraps
	// errUsage when args are invalid.
	start func(flags *flag.FlagSet, args []string) (runningServer, error)
}

var verbs = []verb{platformVerb, backendVerb, fabricVerb}

// runningServer is a started stand-in.
type runningServer struct {
	listen  string // IP address and port of the service
	control string // IP address and TCP port of the control handler
	close   func()
}

// errUsage reports an invalid command line.
var errUsage = errors.New("usage")

// Main runs the verb args[0] until ctx is cancelled, and returns the exit code.
// When the stand-in accepts traffic, Main prints one line to stdout, from which
// scripts read the addresses:
//
//	ready listen=IP:PORT control=IP:PORT
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	t := program.Verbs{Name: programName, Purpose: "Runs a stand-in for tests until it gets SIGTERM or SIGINT.", NameWidth: 10}
	for _, v := range verbs {
		t.List = append(t.List, program.Verb{Name: v.name, Summary: v.summary, Run: v.run})
	}
	return t.Main(ctx, args, stdout, stderr)
}

func (v *verb) run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(v.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	r, err := v.start(flags, args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		v.printUsage(flags, stdout)
		return program.ExitSuccess
	case errors.Is(err, errUsage):
		fmt.Fprintf(stderr, "%s %s: %v; see %s %s -help\n", programName, v.name, err, programName, v.name)
		return program.ExitUsage
	case err != nil:
		fmt.Fprintf(stderr, "%s %s: %v\n", programName, v.name, err)
		return program.ExitFailure
	}
	defer r.close()
	fmt.Fprintf(stdout, "ready listen=%s control=%s\n", r.listen, r.control)
	<-ctx.Done()
	return program.ExitSuccess
}

func (v *verb) printUsage(flags *flag.FlagSet, w io.Writer) {
	fmt.Fprintf(w, "Usage: %s %s [FLAGS]\n\n%s\n\nFlags:\n", programName, v.name, v.usage)
	flags.SetOutput(w)
	flags.PrintDefaults()
}

// parseFlags parses args, which may hold flags only.
func parseFlags(flags *flag.FlagSet, args []string) error {
	err := flags.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return errors.Wrap(errUsage, err.Error())
	}
	if err == nil && flags.NArg() > 0 {
		return errors.Wrapf(errUsage, "argument %q is not a flag", flags.Arg(0))
	}
	return err
}

// checkPositive returns an error unless the value of a flag is above 0.
func checkPositive(name string, value float64) error {
	if !(value > 0) {
		return errors.Wrapf(errUsage, "flag %s: %v is not above 0", name, value)
	}
	return nil
}

// checkNotNegative returns an error if the value of a flag is below 0.
func checkNotNegative(name string, value float64) error {
	if !(value >= 0) {
		return errors.Wrapf(errUsage, "flag %s: %v is below 0", name, value)
	}
	return nil
}

// listenHTTP serves handler on address until the returned server is closed. It
// also returns the address with the port in use.
func listenHTTP(address string, handler http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintf(os.Stderr, "%s: serve %s: %v\n", programName, l.Addr(), err)
		}
	}()
	return l.Addr().String(), server, nil
}
