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
	summary: "drive a load at services and check every answer",
	usage: `-fabric ADDRESS -service NAME[=HOST],... [FLAGS]

Sends requests over many flows and checks each answer byte for byte. The backend
servers must be stand-ins (tanagerdock-standin backend). With -rate it is an open
loop whose rate may swing, else each flow keeps -concurrency requests under way.
With -ledger it asks the backend servers what they ran, and finds doubled and
misdelivered requests. Fails unless broken, doubled, misdelivered and false
refusals are 0, and refused and unknown stay within -refused and -unknown.`,
	run: runLoad,
}

// ErrLoad reports a load that did not go as it must.
var ErrLoad = errors.New("load did not go as it must")

// loadFlagValues are the flags of load that are not settings.
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
	defaultOnce        = 0.5
)

func defineLoadFlags(i *invocation, s *load.Settings, o *loadFlagValues) {
	f := i.flags
	f.StringVar(&s.Fabric, "fabric", "", "`ADDRESS` of the fabric: IP address and UDP port")
	f.StringVar(&o.services, "service", "", "`NAME[=HOST],...` of the services, with the host that their backend servers answer for")
	f.IntVar(&s.Sockets, "sockets", defaultSockets, "UDP sockets")
	f.IntVar(&s.Flows, "flows", defaultFlows, "flows")
	f.IntVar(&s.Requests, "requests", defaultRequests, "requests")
	f.IntVar(&s.Concurrency, "concurrency", defaultConcurrency, "requests of one flow at once, without -rate")
	f.Float64Var(&s.Rate, "rate", 0, "requests a second; 0 sends the next when one has ended")
	f.Float64Var(&s.Swing, "swing", 0, "share of the rate by which it swings")
	f.DurationVar(&o.period, "period", 4*time.Second, "of the swing")
	f.StringVar(&o.sizes, "sizes", "1-65536", "`LEAST-MOST` bytes of a request")
	f.StringVar(&o.answers, "answers", "1-65536", "`LEAST-MOST` bytes of an answer")
	f.StringVar(&o.work, "work", "1-5", "`LEAST-MOST` ms of work of a short request")
	f.Float64Var(&s.LongShare, "long", 0, "share of long requests")
	f.IntVar(&s.LongWork, "longwork", 150, "ms of work of a long request")
	f.Float64Var(&s.OnceShare, "once", defaultOnce, "share of requests that must not be repeated")
	f.BoolVar(&s.SendClass, "tell", false, "tell the class with each request")
	f.DurationVar(&o.deadline, "deadline", 10*time.Second, "of each request")
	f.Uint64Var(&s.Seed, "seed", 1, "of every random choice")
	f.StringVar(&o.ledger, "ledger", "", "`ADDRESS,...` control addresses of the backend servers")
	f.IntVar(&o.refused, "refused", -1, "most requests that may be refused; -1 is any number")
	f.IntVar(&o.unknown, "unknown", 0, "most requests whose outcome may be unknown; -1 is any number")
	f.StringVar(&o.format, "o", "table", "`FORM` of the report: table or values")
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

// fillSettings reads the flags that need reading.
func (o *loadFlagValues) fillSettings(s *load.Settings) error {
	if s.Fabric == "" || o.services == "" {
		return errors.Wrap(ErrUsage, "flags -fabric and -service are needed")
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
			return errors.Wrapf(ErrUsage, "flag -%s: value %q is not LEAST-MOST", r.flag, r.text)
		}
	}
	return nil
}

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

func httpURLs(addresses string) []string {
	var urls []string
	for _, a := range strings.Split(addresses, ",") {
		urls = append(urls, "http://"+a)
	}
	return urls
}

// checkTally turns the tally into the verdict.
func (o *loadFlagValues) checkTally(t *load.Tally) error {
	switch {
	case !t.Clean():
		return errors.Wrapf(ErrLoad, "%d broken, %d doubled, %d misdelivered, %d falsely refused", t.Broken, t.Doubled, t.Misdelivered, t.FalseRefusals)
	case o.unknown >= 0 && t.Unknown > o.unknown:
		return errors.Wrapf(ErrLoad, "%d outcomes are unknown, at most %d may be", t.Unknown, o.unknown)
	case o.refused >= 0 && t.Refused > o.refused:
		return errors.Wrapf(ErrLoad, "%d requests were refused, at most %d may be", t.Refused, o.refused)
	}
	return nil
}

// progressPrinter returns a function that shows progress on a terminal, or nil.
func progressPrinter(w io.Writer) func(done, all int) {
	file, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return nil
	}
	return func(done, all int) {
		fmt.Fprintf(file, "\r%d of %d requests ended", done, all)
		if done == all {
			fmt.Fprintln(file)
		}
	}
}
