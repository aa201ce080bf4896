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

// programName is the name of the command in its messages.
const programName = "tanagerdock-standin"

// verb is one stand-in as a program.
type verb struct {
	name    string
	summary string
	usage   string
	// start parses the arguments and starts the stand-in.
	start func(flags *flag.FlagSet, args []string) (runningServer, error)
}

// verbs lists the stand-ins.
var verbs = []verb{platformVerb, backendVerb, fabricVerb}

// running is a started stand-in.
type runningServer struct {
	listen  string
	control string
	close   func()
}

// errUsage reports a command line that cannot be understood.
var errUsage = errors.New("usage")

// Main runs the verb named by args until ctx ends, and returns the exit code.
// When the stand-in is ready it prints one line to stdout:
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

// parse parses flags and admits no further arguments.
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

// positive reports a flag's value that is not above 0.
func checkPositive(name string, value float64) error {
	if !(value > 0) {
		return errors.Wrapf(errUsage, "flag %s: %v is not above 0", name, value)
	}
	return nil
}

// notNegative reports a flag's value below 0.
func checkNotNegative(name string, value float64) error {
	if !(value >= 0) {
		return errors.Wrapf(errUsage, "flag %s: %v is below 0", name, value)
	}
	return nil
}

// listenHTTP serves a handler on an address until the returned server is
// closed.
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
