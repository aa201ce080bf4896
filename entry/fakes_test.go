package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// scriptedEngine hands each event but Tick to the test and does what the test
// decides. A nil script decides nothing.
type scriptedEngine struct {
	settings instance.Settings
	script   func(e instance.Event) []instance.Action
	events   chan instance.Event
	start    []instance.Action // done at the first Tick
}

// Handle implements Engine.
func (s *scriptedEngine) Handle(_ clock.Millis, e instance.Event) []instance.Action {
	if _, tick := e.(instance.Tick); tick {
		actions := s.start
		s.start = nil
		return actions
	}
	_, packet := e.(instance.PacketReceived)
	if !packet || len(s.events) < cap(s.events)/2 { // a flood leaves room for others
		select {
		case s.events <- e:
		default:
		}
	}
	if s.script == nil {
		return nil
	}
	return s.script(e)
}

// stopAtOnce is a script that ends the daemon as soon as it is asked.
func stopAtOnce(e instance.Event) []instance.Action {
	if _, stop := e.(instance.StopRequested); stop {
		return []instance.Action{instance.Stopped{}}
	}
	return nil
}

// patience is how long a test waits for what must happen. It is no verdict on
// speed: only a hang reaches it.
const patience = 20 * time.Second

// await returns the next event of type E, passing over others.
func await[E instance.Event](t *testing.T, s *scriptedEngine) E {
	t.Helper()
	limit := time.After(patience)
	for {
		select {
		case e := <-s.events:
			if wanted, is := e.(E); is {
				return wanted
			}
		case <-limit:
			var missing E
			require.FailNow(t, "event did not come", "%T", missing)
		}
	}
}

// fakePlatform is an in-memory platform whose answers the test sets.
type fakePlatform struct {
	platform.Platform // what is not faked panics

	mu        sync.Mutex
	lists     map[record.Kind]platform.Listing
	watches   []watched // answers of Watch in order; it blocks after the last
	since     []uint64  // positions Watch was asked from
	instances []record.Instance
	failures  int // of the next calls to Put
	puts      []record.Object
	leases    []platform.Lease
	released  []string
	deleted   []string
}

type watched struct {
	listing platform.Listing
	err     error
}

func (p *fakePlatform) List(_ context.Context, kind record.Kind) (platform.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, found := p.lists[kind]
	if !found {
		return platform.Listing{}, platform.ErrUnavailable
	}
	return list, nil
}

func (p *fakePlatform) Watch(ctx context.Context, _ []record.Kind, since uint64, _ clock.Millis) (platform.Listing, error) {
	p.mu.Lock()
	p.since = append(p.since, since)
	if len(p.watches) > 0 {
		next := p.watches[0]
		p.watches = p.watches[1:]
		p.mu.Unlock()
		return next.listing, next.err
	}
	p.mu.Unlock()
	<-ctx.Done()
	return platform.Listing{}, platform.ErrUnavailable
}

func (p *fakePlatform) Instances(context.Context, string) ([]record.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances, nil
}

func (p *fakePlatform) Put(_ context.Context, o record.Object, expect int64) (record.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures > 0 {
		p.failures--
		return record.Object{}, platform.ErrUnavailable
	}
	if expect != platform.AnyRevision {
		return record.Object{}, platform.ErrConflict
	}
	p.puts = append(p.puts, o)
	return o, nil
}

// Get returns the newest object put.
func (p *fakePlatform) Get(_ context.Context, kind record.Kind, name string) (record.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range slices.Backward(p.puts) {
		if o.Kind == kind && o.Name == name {
			return o, nil
		}
	}
	return record.Object{}, platform.ErrNotFound
}

func (p *fakePlatform) Delete(_ context.Context, kind record.Kind, name string, expect int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deleted = append(p.deleted, fmt.Sprintf("%s/%s %d", kind, name, expect))
	return nil
}

func (p *fakePlatform) Renew(_ context.Context, l platform.Lease) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leases = append(p.leases, l)
	return nil
}

func (p *fakePlatform) Release(_ context.Context, name, holder string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = append(p.released, name+" "+holder)
	return nil
}

// look runs f while the platform holds still.
func (p *fakePlatform) look(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// quiet is a platform that lists nothing and has no news.
func quiet() *fakePlatform {
	p := &fakePlatform{lists: map[record.Kind]platform.Listing{}}
	for _, kind := range record.OperatorKinds {
		p.lists[kind] = platform.Listing{Revision: 1}
	}
	return p
}

// running is a daemon under test.
type running struct {
	*Daemon
	engine *scriptedEngine
	ended  chan error
}

// open opens a daemon with a scripted engine.
func open(t *testing.T, name string, p platform.Platform, s *scriptedEngine) *running {
	t.Helper()
	settings, err := parseSettings("entry.yaml", []byte(usable))
	require.NoError(t, err)
	settings.Name = name
	keys, err := token.NewKeys(1, map[uint8][]byte{1: make([]byte, 16)})
	require.NoError(t, err)
	s.events = make(chan instance.Event, 4*packetQueue*readBatch)
	d, err := Open(Options{
		Settings: settings, Keys: keys, Platform: p, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Engine: func(given instance.Settings, _ clock.Millis) Engine {
			s.settings = given
			return s
		},
	})
	require.NoError(t, err)
	return &running{Daemon: d, engine: s, ended: make(chan error, 1)}
}

// start runs a daemon with a scripted engine until the test ends.
func start(t *testing.T, name string, p platform.Platform, s *scriptedEngine) *running {
	t.Helper()
	r := open(t, name, p, s)
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() {
		r.ended <- r.Run(ctx)
		close(finished)
	}()
	t.Cleanup(func() {
		cancel()
		<-finished
	})
	return r
}

// end waits for the daemon's end.
func (r *running) end(t *testing.T) error {
	t.Helper()
	select {
	case err := <-r.ended:
		return err
	case <-time.After(patience):
		require.FailNow(t, "daemon did not end")
		return nil
	}
}
