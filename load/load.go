// Package load is a load generator that checks every answer.
//
// It sends generated requests to services over many flows and compares each
// answer byte for byte with the expected one. After the load, the ledgers of the
// backend servers show which requests were run more than once, by the wrong
// service, or although the caller was told that they were not run.
//
// Every request body begins with the line "work=<ms> answer=<bytes> id=<id>", which
// tells the stand-in backend server (package standin) how long to work and how
// large an answer to return.
//
// # Files
//
//   - load.go: settings, and the closed and open loop that send the requests
//   - plan.go: generates requests and arrival times from the seed
//   - tally.go: checks answers and counts the outcomes of requests
//   - ledger.go: compares the ledgers of the backend servers with the outcomes
//   - report.go: formats a tally as a table or as name=value lines
//
// # Usage
//
//	r, err := load.Run(ctx, load.Settings{Fabric: "127.0.0.1:7001", Services: services, Flows: 50, Requests: 1000})
//	err = r.ReadLedgers(ctx, urls)
//	fmt.Println(r.Table())
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/caller"
	"github.com/tanagerdock/tanagerdock/clock"
)

// ErrSettings reports settings that are missing or out of range.
var ErrSettings = errors.New("invalid load settings")

// Service is a service to send requests to. Host is the host name that its
// backend servers put into their answers and ledgers.
type Service struct {
	Name string
	Host string
}

// Range is a range of integers, both ends included.
type Range struct {
	Min int
	Max int
}

// Settings describes a load.
type Settings struct {
	Fabric       string // IP address and UDP port of the fabric
	Services     []Service
	Sockets      int          // UDP sockets that the flows are spread over
	Flows        int          // total over all services
	Requests     int          // total over all flows
	Concurrency  int          // requests in flight on each flow in a closed loop
	Rate         float64      // requests per second in an open loop; 0 selects a closed loop
	Swing        float64      // amplitude of the sinusoidal change of Rate, as a fraction of Rate
	Period       clock.Millis // period of the change of Rate
	RequestSizes Range        // bytes of a request, log-uniformly distributed
	AnswerSizes  Range        // bytes of an answer, log-uniformly distributed
	ShortWork    Range        // work of a short request, in ms on a backend server of speed 1
	LongWork     int          // work of a long request, in ms on a backend server of speed 1
	LongShare    float64      // fraction of requests that are long
	OnceShare    float64      // fraction of requests that must not be run more than once
	SendClass    bool         // send the class of each request with it
	Deadline     clock.Millis // of each request
	Seed         uint64
	Progress     func(done, all int) // called about once a second, unless nil
}

func (s *Settings) check() error {
	switch {
	case len(s.Services) == 0:
		return errors.Wrap(ErrSettings, "no service is given")
	case s.Flows < 1 || s.Requests < 1 || s.Sockets < 1:
		return errors.Wrapf(ErrSettings, "%d sockets, %d flows and %d requests: each must be at least 1", s.Sockets, s.Flows, s.Requests)
	case s.Rate == 0 && s.Concurrency < 1:
		return errors.Wrapf(ErrSettings, "concurrency is %d, must be at least 1", s.Concurrency)
	case s.Rate < 0 || s.Swing < 0 || s.Swing > 1:
		return errors.Wrapf(ErrSettings, "rate %v with swing %v: rate must not be negative, swing must be within 0 to 1", s.Rate, s.Swing)
	case s.Swing > 0 && s.Period < 1:
		return errors.Wrapf(ErrSettings, "swing period is %d ms, must be at least 1", s.Period)
	}
	return nil
}

// flow is an open flow and the service that it leads to.
type flow struct {
	flow    *caller.Flow
	service Service
}

// runner sends the requests of a plan.
type runner struct {
	settings  Settings
	flows     []flow
	plan      *plan
	tally     *Tally
	completed atomic.Int64
}

// Run opens the flows, sends all requests and waits until each has an outcome.
func Run(ctx context.Context, s Settings) (*Tally, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &runner{settings: s, plan: newPlan(s), tally: newTally()}
	conns, err := r.open(ctx)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	stop := r.startProgress()
	start := time.Now()
	if s.Rate > 0 {
		r.openLoop(ctx)
	} else {
		r.closedLoop(ctx)
	}
	r.tally.Elapsed = clock.FromDuration(time.Since(start))
	stop()
	for _, c := range conns {
		r.tally.addCounters(c.Counters())
	}
	return r.tally, nil
}

// open opens all flows: sequentially on each socket, and on all sockets in parallel.
// The caller closes the returned connections, also after an error.
func (r *runner) open(ctx context.Context) ([]*caller.Conn, error) {
	var conns []*caller.Conn
	for range r.settings.Sockets {
		c, err := caller.Dial(r.settings.Fabric)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
	}
	r.flows = make([]flow, r.settings.Flows)
	results := make(chan error, len(conns))
	for n, c := range conns {
		go func() { results <- r.openFlows(ctx, c, n) }()
	}
	var openErr error
	for range conns {
		if err := <-results; err != nil {
			openErr = err
		}
	}
	return conns, openErr
}

// openFlows opens every Sockets-th flow, beginning with the first, on one socket.
func (r *runner) openFlows(ctx context.Context, c *caller.Conn, first int) error {
	for i := first; i < len(r.flows); i += r.settings.Sockets {
		service := r.settings.Services[i%len(r.settings.Services)]
		f, err := c.Open(ctx, service.Name)
		if err != nil {
			return errors.Wrapf(err, "open a flow to service %q at %s", service.Name, r.settings.Fabric)
		}
		r.flows[i] = flow{flow: f, service: service}
	}
	return nil
}

// closedLoop keeps Concurrency requests in flight on each flow: the next is sent
// when one has ended.
func (r *runner) closedLoop(ctx context.Context) {
	var workers sync.WaitGroup
	var next atomic.Int64
	for _, f := range r.flows {
		for range r.settings.Concurrency {
			workers.Go(func() {
				for next.Add(1) <= int64(r.settings.Requests) && ctx.Err() == nil {
					r.send(ctx, f)
				}
			})
		}
	}
	workers.Wait()
}

// openLoop sends requests at Rate on random flows, whether or not earlier ones have
// ended.
func (r *runner) openLoop(ctx context.Context) {
	var workers sync.WaitGroup
	arrivals := newArrivals(r.settings)
	start := time.Now()
	for range r.settings.Requests {
		time.Sleep(time.Until(start.Add(arrivals.next())))
		if ctx.Err() != nil {
			break
		}
		f := r.flows[arrivals.random.IntN(len(r.flows))]
		workers.Go(func() { r.send(ctx, f) })
	}
	workers.Wait()
}

// send sends one request and adds its outcome to the tally.
func (r *runner) send(ctx context.Context, f flow) {
	q := r.plan.next(f.service)
	start := time.Now()
	answer, err := f.flow.Do(ctx, caller.Request{Body: q.body, Once: q.once, Class: q.class, Deadline: r.settings.Deadline})
	r.tally.add(q, answer, err, time.Since(start))
	r.completed.Add(1)
}

// startProgress calls Progress about once a second until the returned function is
// called.
func (r *runner) startProgress() func() {
	if r.settings.Progress == nil {
		return func() {}
	}
	stopped := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.settings.Progress(int(r.completed.Load()), r.settings.Requests)
			case <-stopped:
				return
			}
		}
	}()
	return func() { close(stopped) }
}

// newRandom returns a random generator. The stream keeps generators with the same
// seed independent of each other.
func newRandom(s Settings, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, stream))
}
