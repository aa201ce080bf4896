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

// scriptedEngine sends each event but Tick to the test and returns the actions that
// script returns for it. A nil script returns no actions.
type scriptedEngine struct {
	settings    instance.Settings
	script      func(e instance.Event) []instance.Action
	events      chan instance.Event
	onFirstTick []instance.Action // returned for the first Tick
}

// Handle implements Engine.
func (s *scriptedEngine) Handle(_ clock.Millis, e instance.Event) []instance.Action {
	if _, tick := e.(instance.Tick); tick {
		actions := s.onFirstTick
		s.onFirstTick = nil
		return actions
	}
	_, isPacket := e.(instance.PacketReceived)
	if !isPacket || len(s.events) < cap(s.events)/2 { // packets fill only half of the channel, so that other events are kept
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

// stopWhenRequested is a script that stops the engine at StopRequested.
func stopWhenRequested(e instance.Event) []instance.Action {
	if _, stop := e.(instance.StopRequested); stop {
		return []instance.Action{instance.Stopped{}}
	}
	return nil
}

// testTimeout limits how long a test waits for an event. It is long, so that only a
// hang reaches it and not a slow machine.
const testTimeout = 20 * time.Second

// awaitEvent returns the next event of type E and skips others.
func awaitEvent[E instance.Event](t *testing.T, s *scriptedEngine) E {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case e := <-s.events:
			if event, ok := e.(E); ok {
				return event
			}
		case <-timeout:
			var missing E
			require.FailNow(t, "event did not arrive", "%T", missing)
		}
	}
}

// fakePlatform is an in-memory platform whose answers are set by the test.
type fakePlatform struct {
	platform.Platform // nil, so calls of methods not defined here panic

	mu           sync.Mutex
	lists        map[record.Kind]platform.Listing
	watchAnswers []watchAnswer // answers of Watch, in order; Watch blocks after the last
	watchedFrom  []uint64      // revisions passed to Watch
	instances    []record.Instance
	putFailures  int // number of next calls of Put that fail
	puts         []record.Object
	leases       []platform.Lease
	released     []string
	deleted      []string
}

type watchAnswer struct {
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
	p.watchedFrom = append(p.watchedFrom, since)
	if len(p.watchAnswers) > 0 {
		next := p.watchAnswers[0]
		p.watchAnswers = p.watchAnswers[1:]
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
	if p.putFailures > 0 {
		p.putFailures--
		return record.Object{}, platform.ErrUnavailable
	}
	if expect != platform.AnyRevision {
		return record.Object{}, platform.ErrConflict
	}
	p.puts = append(p.puts, o)
	return o, nil
}

// Get returns the object of that key that was put last.
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

// withLock runs f with the mutex held.
func (p *fakePlatform) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// newEmptyPlatform returns a platform with empty lists and no changes.
func newEmptyPlatform() *fakePlatform {
	p := &fakePlatform{lists: map[record.Kind]platform.Listing{}}
	for _, kind := range record.OperatorKinds {
		p.lists[kind] = platform.Listing{Revision: 1}
	}
	return p
}

// testDaemon is a daemon with a scripted engine. ended receives what Run returned.
type testDaemon struct {
	*Daemon
	engine *scriptedEngine
	ended  chan error
}

// openDaemon opens a daemon with a scripted engine, without running it.
func openDaemon(t *testing.T, name string, p platform.Platform, s *scriptedEngine) *testDaemon {
	t.Helper()
	settings, err := parseSettings("entry.yaml", []byte(minimalSettings))
	require.NoError(t, err)
	settings.Name = name
	keys, err := token.NewKeys(1, map[uint8][]byte{1: make([]byte, 16)})
	require.NoError(t, err)
	s.events = make(chan instance.Event, 4*datagramQueueSize*receiveBatchSize)
	d, err := Open(Options{
		Settings: settings, Keys: keys, Platform: p, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewEngine: func(settings instance.Settings, _ clock.Millis) Engine {
			s.settings = settings
			return s
		},
	})
	require.NoError(t, err)
	return &testDaemon{Daemon: d, engine: s, ended: make(chan error, 1)}
}

// startDaemon runs a daemon with a scripted engine until the test ends.
func startDaemon(t *testing.T, name string, p platform.Platform, s *scriptedEngine) *testDaemon {
	t.Helper()
	r := openDaemon(t, name, p, s)
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

// waitEnd waits until Run returns, and returns its error.
func (r *testDaemon) waitEnd(t *testing.T) error {
	t.Helper()
	select {
	case err := <-r.ended:
		return err
	case <-time.After(testTimeout):
		require.FailNow(t, "daemon did not end")
		return nil
	}
}
