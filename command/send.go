package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

var sendVerb = &verb{
	name:    "send",
	summary: "send one request to a service",
	usage: `-fabric ADDRESS -service NAME [-once] [-class short|long] [-deadline DURATION] [-in FILE] [-out FILE]

Sends a request from a file or standard input, and writes the answer to a file or
standard output. The exit code is 4 if the request was not run, and 5 if it is unknown
whether it was run.`,
	run: send,
}

// sendOptions are the flags of send.
type sendOptions struct {
	fabric, service, class, in, out string
	once                            bool
	deadline                        time.Duration
}

func send(ctx context.Context, i *invocation) error {
	var o sendOptions
	i.flags.StringVar(&o.fabric, "fabric", "", "`ADDRESS` of the fabric: IP address and UDP port")
	i.flags.StringVar(&o.service, "service", "", "`NAME` of the service")
	i.flags.BoolVar(&o.once, "once", false, "the request must not be run more than once")
	i.flags.StringVar(&o.class, "class", "", "expected run time, short or long; by default the system estimates it")
	i.flags.DurationVar(&o.deadline, "deadline", caller.DefaultDeadline.Duration(), "longest time to wait for the answer")
	i.flags.StringVar(&o.in, "in", "", "read the request from `FILE`; default standard input")
	i.flags.StringVar(&o.out, "out", "", "write the answer to `FILE`; default standard output")
	if err := i.parse(0, 0); err != nil {
		return err
	}
	class, err := o.check()
	if err != nil {
		return err
	}
	body, err := readInput(o.in, i.In)
	if err != nil {
		return err
	}
	request := caller.Request{Body: body, Once: o.once, Class: class, Deadline: clock.FromDuration(o.deadline)}
	answer, err := sendRequest(ctx, o, request)
	if err != nil {
		return err
	}
	return writeOutput(o.out, i.Out, answer.Body)
}

// check checks the flags and returns the class that they name.
func (o *sendOptions) check() (packet.Class, error) {
	if o.fabric == "" || o.service == "" {
		return 0, errors.Wrap(ErrUsage, "flags -fabric and -service are required")
	}
	for c, name := range map[packet.Class]string{packet.ClassUnknown: "", packet.ClassShort: "short", packet.ClassLong: "long"} {
		if name == o.class {
			return c, nil
		}
	}
	return 0, errors.Wrapf(ErrUsage, "flag -class: value %q is not one of short, long", o.class)
}

func sendRequest(ctx context.Context, o sendOptions, r caller.Request) (caller.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, o.deadline)
	defer cancel()
	c, err := caller.Dial(o.fabric)
	if err != nil {
		return caller.Answer{}, err
	}
	defer func() { _ = c.Close() }()
	f, err := c.Open(ctx, o.service)
	if err != nil {
		return caller.Answer{}, errors.Wrapf(err, "open a flow to service %q at %s", o.service, o.fabric)
	}
	defer f.Close()
	return f.Do(ctx, r)
}

// readInput reads the request from a file, or from standard input if there is none. From
// standard input it reads at most one byte more than a request may have, enough for the
// caller to refuse the request as too large.
func readInput(file string, in io.Reader) ([]byte, error) {
	if file == "" {
		body, err := io.ReadAll(io.LimitReader(in, packet.MaxBody+1))
		return body, errors.Wrap(err, "read standard input")
	}
	body, err := os.ReadFile(file)
	return body, errors.WithStack(err)
}

// answerFileMode is the mode of the file that -out creates.
const answerFileMode = 0o600

func writeOutput(file string, out io.Writer, body []byte) error {
	if file != "" {
		return errors.WithStack(os.WriteFile(file, body, answerFileMode))
	}
	_, err := out.Write(body)
	return errors.WithStack(err)
}
