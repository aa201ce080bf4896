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

// loadOptions are the flags of load that are not settings.
type loadOptions struct {
	services, sizes, answers, work, ledger, form string
	deadline, period                             time.Duration
	refused, unknown                             int
}

// Defaults of the flags of load.
const (
	defaultSockets     = 4
	defaultFlows       = 50
	defaultRequests    = 1000
	defaultConcurrency = 2
	defaultOnce        = 0.5
)

func loadFlags(i *invocation, s *load.Settings, o *loadOptions) {
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
	f.Float64Var(&s.Long, "long", 0, "share of long requests")
	f.IntVar(&s.LongWork, "longwork", 150, "ms of work of a long request")
	f.Float64Var(&s.Once, "once", defaultOnce, "share of requests that must not be repeated")
	f.BoolVar(&s.Tell, "tell", false, "tell the class with each request")
	f.DurationVar(&o.deadline, "deadline", 10*time.Second, "of each request")
	f.Uint64Var(&s.Seed, "seed", 1, "of every random choice")
	f.StringVar(&o.ledger, "ledger", "", "`ADDRESS,...` control addresses of the backend servers")
	f.IntVar(&o.refused, "refused", -1, "most requests that may be refused; -1 is any number")
	f.IntVar(&o.unknown, "unknown", 0, "most requests whose outcome may be unknown; -1 is any number")
	f.StringVar(&o.form, "o", "table", "`FORM` of the report: table or values")
}

func runLoad(ctx context.Context, i *invocation) error {
	var s load.Settings
	var o loadOptions
	loadFlags(i, &s, &o)
	if err := i.parse(0, 0); err != nil {
		return err
	}
	if err := o.fill(&s); err != nil {
		return err
	}
	s.Progress = progressTo(i.Err)
	t, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	if o.ledger != "" {
		if err := t.ReadLedgers(ctx, urlsOf(o.ledger)); err != nil {
			return err
		}
	}
	if o.form == "values" {
		fmt.Fprint(i.Out, t.Values())
	} else {
		fmt.Fprint(i.Out, t.Table())
	}
	return o.judge(t)
}

// fill reads the flags that need reading.
func (o *loadOptions) fill(s *load.Settings) error {
	if s.Fabric == "" || o.services == "" {
		return errors.Wrap(ErrUsage, "flags -fabric and -service are needed")
	}
	if o.form != "table" && o.form != "values" {
		return errors.Wrapf(ErrUsage, "flag -o: value %q is not one of table, values", o.form)
	}
	for _, word := range strings.Split(o.services, ",") {
		name, host, given := strings.Cut(word, "=")
		if !given {
			host = name
		}
		s.Services = append(s.Services, load.Service{Name: name, Host: host})
	}
	s.Period, s.Deadline = clock.FromDuration(o.period), clock.FromDuration(o.deadline)
	spans := []struct {
		flag, text string
		to         *load.Span
	}{{"sizes", o.sizes, &s.Sizes}, {"answers", o.answers, &s.Answers}, {"work", o.work, &s.Work}}
	for _, span := range spans {
		var err error
		if *span.to, err = parseSpan(span.text); err != nil {
			return errors.Wrapf(ErrUsage, "flag -%s: value %q is not LEAST-MOST", span.flag, span.text)
		}
	}
	return nil
}

func parseSpan(text string) (load.Span, error) {
	first, last, given := strings.Cut(text, "-")
	if !given {
		last = first
	}
	least, err := strconv.Atoi(first)
	if err != nil {
		return load.Span{}, errors.WithStack(err)
	}
	most, err := strconv.Atoi(last)
	return load.Span{Least: least, Most: most}, errors.WithStack(err)
}

func urlsOf(addresses string) []string {
	var urls []string
	for _, a := range strings.Split(addresses, ",") {
		urls = append(urls, "http://"+a)
	}
	return urls
}

// judge turns the tally into the verdict.
func (o *loadOptions) judge(t *load.Tally) error {
	switch {
	case !t.Clean():
		return errors.Wrapf(ErrLoad, "%d broken, %d doubled, %d misdelivered, %d falsely refused", t.Broken, t.Doubled, t.Misdelivered, t.False)
	case o.unknown >= 0 && t.Unknown > o.unknown:
		return errors.Wrapf(ErrLoad, "%d outcomes are unknown, at most %d may be", t.Unknown, o.unknown)
	case o.refused >= 0 && t.Refused > o.refused:
		return errors.Wrapf(ErrLoad, "%d requests were refused, at most %d may be", t.Refused, o.refused)
	}
	return nil
}

// progressTo returns a function that shows progress on a terminal, or nil.
func progressTo(w io.Writer) func(done, all int) {
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
