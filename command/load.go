package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/term"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/load"
)

var loadVerb = &verb{
	name:    "load",
	summary: "generate load and check every answer",
	usage: `-fabric ADDRESS -service NAME[=HOST],... [FLAGS]

Sends requests over many flows and checks each answer byte for byte. The backend
servers must be stand-ins (tanagerdock-standin backend). With -rate, requests are
sent at that rate (open loop), which -swing makes rise and fall; otherwise each flow
keeps -concurrency requests in flight (closed loop). With -ledger, the ledgers of the
backend servers are checked for doubled, misdelivered and falsely refused requests.
Fails unless broken, doubled, misdelivered and false refusals are 0, and refused and
unknown are within -refused and -unknown.`,
	run: runLoad,
}

// ErrLoad reports a load with more wrong, refused or unknown outcomes than allowed.
var ErrLoad = errors.New("load check failed")

// loadFlagValues are the flags of load that are not fields of load.Settings or must be
// parsed first.
type loadFlagValues struct {
	services, sizes, answers, work, ledger, format string
	deadline, period                               time.Duration
	refused, unknown                               int
}

// Defaults of the flags of load.
const (
	defaultSockets     = 4
	defaultFlows       = 50
	defaultRequests    = 1000
	defaultConcurrency = 2
	defaultOnceShare   = 0.5
)

// defineLoadFlags defines the flags of load, with their values in s and o.
func defineLoadFlags(i *invocation, s *load.Settings, o *loadFlagValues) {
	f := i.flags
	f.StringVar(&s.Fabric, "fabric", "", "`ADDRESS` of the fabric: IP address and UDP port")
	f.StringVar(&o.services, "service", "", "`NAME[=HOST],...` of the services, with the host that their backend servers answer for")
	f.IntVar(&s.Sockets, "sockets", defaultSockets, "number of UDP sockets")
	f.IntVar(&s.Flows, "flows", defaultFlows, "number of flows")
	f.IntVar(&s.Requests, "requests", defaultRequests, "number of requests")
	f.IntVar(&s.Concurrency, "concurrency", defaultConcurrency, "requests in flight on each flow, without -rate")
	f.Float64Var(&s.Rate, "rate", 0, "requests per second; 0 sends the next request when one has ended")
	f.Float64Var(&s.Swing, "swing", 0, "amplitude of the change of the rate, as a fraction of the rate")
	f.DurationVar(&o.period, "period", 4*time.Second, "period of the change of the rate")
	f.StringVar(&o.sizes, "sizes", "1-65536", "`MIN-MAX` bytes of a request")
	f.StringVar(&o.answers, "answers", "1-65536", "`MIN-MAX` bytes of an answer")
	f.StringVar(&o.work, "work", "1-5", "`MIN-MAX` ms of work of a short request")
	f.Float64Var(&s.LongShare, "long", 0, "fraction of requests that are long")
	f.IntVar(&s.LongWork, "longwork", 150, "ms of work of a long request")
	f.Float64Var(&s.OnceShare, "once", defaultOnceShare, "fraction of requests that must not be repeated")
	f.BoolVar(&s.SendClass, "tell", false, "send the class of each request with it")
	f.DurationVar(&o.deadline, "deadline", 10*time.Second, "deadline of each request")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the random generators")
	f.StringVar(&o.ledger, "ledger", "", "control `ADDRESS,...` of the backend servers")
	f.IntVar(&o.refused, "refused", -1, "largest number of requests that may be refused; -1 is any number")
	f.IntVar(&o.unknown, "unknown", 0, "largest number of requests whose outcome may be unknown; -1 is any number")
	f.StringVar(&o.format, "o", "table", "report `FORMAT`: table or values")
}

func runLoad(ctx context.Context, i *invocation) error {
	var s load.Settings
	var o loadFlagValues
	defineLoadFlags(i, &s, &o)
	if err := i.parse(0, 0); err != nil {
		return err
	}
	if err := o.fillSettings(&s); err != nil {
		return err
	}
	s.Progress = progressPrinter(i.Err)
	t, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	if o.ledger != "" {
		if err := t.ReadLedgers(ctx, httpURLs(o.ledger)); err != nil {
			return err
		}
	}
	if o.format == "values" {
		fmt.Fprint(i.Out, t.Values())
	} else {
		fmt.Fprint(i.Out, t.Table())
	}
	return o.checkTally(t)
}

// fillSettings checks the flags, and parses the values in o into s.
func (o *loadFlagValues) fillSettings(s *load.Settings) error {
	if s.Fabric == "" || o.services == "" {
		return errors.Wrap(ErrUsage, "flags -fabric and -service are required")
	}
	if o.format != "table" && o.format != "values" {
		return errors.Wrapf(ErrUsage, "flag -o: value %q is not one of table, values", o.format)
	}
	for _, spec := range strings.Split(o.services, ",") {
		name, host, found := strings.Cut(spec, "=")
		if !found {
			host = name
		}
		s.Services = append(s.Services, load.Service{Name: name, Host: host})
	}
	s.Period, s.Deadline = clock.FromDuration(o.period), clock.FromDuration(o.deadline)
	ranges := []struct {
		flag, text string
		dest       *load.Range
	}{{"sizes", o.sizes, &s.RequestSizes}, {"answers", o.answers, &s.AnswerSizes}, {"work", o.work, &s.ShortWork}}
	for _, r := range ranges {
		var err error
		if *r.dest, err = parseRange(r.text); err != nil {
			return errors.Wrapf(ErrUsage, "flag -%s: value %q does not have the form MIN-MAX", r.flag, r.text)
		}
	}
	return nil
}

// parseRange parses MIN-MAX, or a single number that is both.
func parseRange(text string) (load.Range, error) {
	minText, maxText, found := strings.Cut(text, "-")
	if !found {
		maxText = minText
	}
	minValue, err := strconv.Atoi(minText)
	if err != nil {
		return load.Range{}, errors.WithStack(err)
	}
	maxValue, err := strconv.Atoi(maxText)
	return load.Range{Min: minValue, Max: maxValue}, errors.WithStack(err)
}

// httpURLs returns the HTTP URLs of comma-separated addresses.
func httpURLs(addresses string) []string {
	var urls []string
	for _, a := range strings.Split(addresses, ",") {
		urls = append(urls, "http://"+a)
	}
	return urls
}

// checkTally returns an error if the tally has wrong outcomes, or more refused or unknown
// ones than the flags allow.
func (o *loadFlagValues) checkTally(t *load.Tally) error {
	switch {
	case !t.Clean():
		return errors.Wrapf(ErrLoad, "%d broken, %d doubled, %d misdelivered, %d falsely refused", t.Broken, t.Doubled, t.Misdelivered, t.FalseRefusals)
	case o.unknown >= 0 && t.Unknown > o.unknown:
		return errors.Wrapf(ErrLoad, "%d outcomes are unknown, at most %d are allowed", t.Unknown, o.unknown)
	case o.refused >= 0 && t.Refused > o.refused:
		return errors.Wrapf(ErrLoad, "%d requests were refused, at most %d are allowed", t.Refused, o.refused)
	}
	return nil
}

// progressPrinter returns a function that prints the progress if w is a terminal, else
// nil.
func progressPrinter(w io.Writer) func(done, all int) {
	file, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return nil
	}
	return func(done, all int) {
		fmt.Fprintf(file, "\r%d of %d requests completed", done, all)
		if done == all {
			fmt.Fprintln(file)
		}
	}
}
