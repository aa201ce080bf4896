// Package load drives requests at services and checks every answer.
//
// A plan decides what each request is: service, size, work, class, whether it
// must not be repeated. The runner sends them over many flows, either each flow
// one after the other (closed loop) or at a rate that may swing (open loop). The
// tally checks each answer byte for byte, and the ledgers of the backend servers
// tell afterwards what was run twice or by the wrong service.
//
// Bodies begin with the line "work=<ms> answer=<bytes> id=<id>" that the
// stand-in backend server understands (package standin).
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

// ErrSettings reports settings that make no load.
var ErrSettings = errors.New("load is not possible")

// Service is a service to send to, and the host its backend servers answer for.
type Service struct {
	Name string
	Host string
}

// Span is a range of whole numbers, both ends included.
type Span struct {
	Least int
	Most  int
}

// Settings describe a load.
type Settings struct {
	Fabric      string
	Services    []Service
	Sockets     int          // UDP sockets the flows share
	Flows       int          // flows over all services
	Requests    int          // requests over all flows
	Concurrency int          // requests of one flow at once, in a closed loop
	Rate        float64      // requests a second in an open loop; 0 is a closed loop
	Swing       float64      // share of Rate by which it swings
	Period      clock.Millis // of the swing
	Sizes       Span         // bytes of a request, drawn evenly on a log scale
	Answers     Span         // bytes of an answer, likewise
	Work        Span         // ms of work of a short request at speed 1
	LongWork    int          // ms of work of a long request at speed 1
	Long        float64      // share of long requests
	Once        float64      // share of requests that must not be repeated
	Tell        bool         // tell the class with each request
	Deadline    clock.Millis
	Seed        uint64
	Progress    func(done, all int) // called about once a second, or nil
}

func (s *Settings) check() error {
	switch {
	case len(s.Services) == 0:
		return errors.Wrap(ErrSettings, "no service is named")
	case s.Flows < 1 || s.Requests < 1 || s.Sockets < 1:
		return errors.Wrapf(ErrSettings, "%d sockets, %d flows and %d requests: each must be at least 1", s.Sockets, s.Flows, s.Requests)
	case s.Rate == 0 && s.Concurrency < 1:
		return errors.Wrapf(ErrSettings, "concurrency %d is not at least 1", s.Concurrency)
	case s.Rate < 0 || s.Swing < 0 || s.Swing > 1:
		return errors.Wrapf(ErrSettings, "rate %v with swing %v is not possible", s.Rate, s.Swing)
	case s.Swing > 0 && s.Period < 1:
		return errors.Wrapf(ErrSettings, "period %d ms is not at least 1", s.Period)
	}
	return nil
}

// flow is one open flow and its service.
type flow struct {
	flow    *caller.Flow
	service Service
}

// runner sends the requests of a plan.
type runner struct {
	settings Settings
	flows    []flow
	plan     *plan
	tally    *Tally
	done     atomic.Int64
}

// Run opens the flows, sends all requests and waits for their ends.
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
	stop := r.progress()
	began := time.Now()
	if s.Rate > 0 {
		r.openLoop(ctx)
	} else {
		r.closedLoop(ctx)
	}
	r.tally.Span = clock.FromDuration(time.Since(began))
	stop()
	for _, c := range conns {
		r.tally.addCounters(c.Counters())
	}
	return r.tally, nil
}

// open opens all flows, those of each socket one after the other.
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
	failures := make(chan error, len(conns))
	for n, c := range conns {
		go func() { failures <- r.openSome(ctx, c, n) }()
	}
	var failed error
	for range conns {
		if err := <-failures; err != nil {
			failed = err
		}
	}
	return conns, failed
}

func (r *runner) openSome(ctx context.Context, c *caller.Conn, first int) error {
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

// closedLoop lets each flow send its next request when one has ended.
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

// openLoop sends requests at the rate, whether or not earlier ones have ended.
func (r *runner) openLoop(ctx context.Context) {
	var workers sync.WaitGroup
	arrivals := newArrivals(r.settings)
	began := time.Now()
	for range r.settings.Requests {
		time.Sleep(time.Until(began.Add(arrivals.next())))
		if ctx.Err() != nil {
			break
		}
		f := r.flows[arrivals.random.IntN(len(r.flows))]
		workers.Go(func() { r.send(ctx, f) })
	}
	workers.Wait()
}

// send sends one request and checks its end.
func (r *runner) send(ctx context.Context, f flow) {
	q := r.plan.next(f.service)
	began := time.Now()
	answer, err := f.flow.Do(ctx, caller.Request{Body: q.body, Once: q.once, Class: q.told, Deadline: r.settings.Deadline})
	r.tally.add(q, answer, err, time.Since(began))
	r.done.Add(1)
}

// progress reports about once a second until the returned function is called.
func (r *runner) progress() func() {
	if r.settings.Progress == nil {
		return func() {}
	}
	ended := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.settings.Progress(int(r.done.Load()), r.settings.Requests)
			case <-ended:
				return
			}
		}
	}()
	return func() { close(ended) }
}

// newRandom returns a source of random choices for one purpose.
func newRandom(s Settings, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, purpose))
}
