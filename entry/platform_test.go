package entry

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

func testObject(kind record.Kind, name string, revision uint64) record.Object {
	return record.Object{Kind: kind, Name: name, Revision: revision, Schema: record.Schema2, Body: []byte("{}")}
}

func TestRecordsAreListedAndWatched(t *testing.T) {
	service, backend := testObject(record.KindService, "orders", 3), testObject(record.KindBackend, "press", 5)
	rule, updated := testObject(record.KindRule, "steer", 6), testObject(record.KindService, "orders", 8)
	p := &fakePlatform{
		lists: map[record.Kind]platform.Listing{
			record.KindService: {Revision: 4, Objects: []record.Object{service}},
			record.KindBackend: {Revision: 5, Objects: []record.Object{backend}},
			record.KindRule:    {Revision: 6, Objects: []record.Object{rule}},
		},
		watchAnswers: []watchAnswer{
			{listing: platform.Listing{Revision: 6, Objects: []record.Object{backend, rule}}},
			{err: platform.ErrUnavailable},
			{listing: platform.Listing{Revision: 8, Objects: []record.Object{updated}}},
			{err: platform.ErrRevisionGone},
		},
	}
	s := &scriptedEngine{}
	startDaemon(t, "entry-1", p, s)
	fullList := instance.ObjectsReceived{
		Objects: []record.Object{service, backend, rule}, Revision: 4, FullList: true, Source: instance.SourcePlatform,
	}
	require.Equal(t, fullList, awaitEvent[instance.ObjectsReceived](t, s))
	require.Equal(t, instance.ObjectsReceived{
		Objects: []record.Object{backend, rule}, Revision: 6, Source: instance.SourcePlatform,
	}, awaitEvent[instance.ObjectsReceived](t, s))
	require.Equal(t, instance.ObjectsReceived{
		Objects: []record.Object{updated}, Revision: 8, Source: instance.SourcePlatform,
	}, awaitEvent[instance.ObjectsReceived](t, s))
	require.Equal(t, fullList, awaitEvent[instance.ObjectsReceived](t, s), "listed again after ErrRevisionGone")
	require.Eventually(t, func() bool {
		var watches int
		p.withLock(func() { watches = len(p.watchedFrom) })
		return watches == 5
	}, testTimeout, time.Millisecond)
	p.withLock(func() { require.Equal(t, []uint64{4, 6, 6, 8, 4}, p.watchedFrom) })
}

func TestPlatformOutageIsReported(t *testing.T) {
	s := &scriptedEngine{}
	p := &fakePlatform{}
	r := startDaemon(t, "entry-1", p, s)
	require.Eventually(t, func() bool { return !awaitEvent[instance.PlatformCalled](t, s).Answered }, testTimeout, time.Millisecond)
	p.withLock(func() { p.lists = newEmptyPlatform().lists })
	received := awaitEvent[instance.ObjectsReceived](t, s)
	require.True(t, received.FullList)
	require.NotEqual(t, "0", r.metricValue(t, "platform.unanswered"))
}

func TestIsPlatformAnswer(t *testing.T) {
	for _, err := range []error{
		nil, platform.ErrNotFound, platform.ErrConflict, platform.ErrRevisionGone, errors.Wrap(platform.ErrRefused, "put"),
	} {
		require.True(t, isPlatformAnswer(err), "%v", err)
	}
	for _, err := range []error{platform.ErrUnavailable, context.DeadlineExceeded} {
		require.False(t, isPlatformAnswer(err), "%v", err)
	}
}

func TestInstancesAreListed(t *testing.T) {
	p := newEmptyPlatform()
	p.instances = []record.Instance{{Name: "entry-2"}}
	s := &scriptedEngine{}
	startDaemon(t, "entry-1", p, s)
	require.Equal(t, p.instances, awaitEvent[instance.InstancesListed](t, s).Instances)
}

func TestPollPeriod(t *testing.T) {
	r := openDaemon(t, "entry-1", newEmptyPlatform(), &scriptedEngine{})
	defer r.closeSockets()
	older := r.Self()
	older.Incarnation--
	require.Equal(t, joiningPollPeriod, r.pollPeriod(nil))
	require.Equal(t, joiningPollPeriod, r.pollPeriod([]record.Instance{older}), "an earlier process of that name")
	require.Equal(t, watcherPollPeriod, r.pollPeriod([]record.Instance{older, r.Self()}))
	r.watchGate.Set(false)
	require.Equal(t, instancePollPeriod, r.pollPeriod([]record.Instance{older, r.Self()}))
}

func TestStatusWriteIsRetried(t *testing.T) {
	p := newEmptyPlatform()
	p.putFailures = 1
	s := &scriptedEngine{onFirstTick: []instance.Action{
		instance.WriteStatus{Status: record.Status{Instance: "entry-1", Centre: "riga-1", Revision: 7}},
	}}
	startDaemon(t, "entry-1", p, s)
	require.Eventually(t, func() bool {
		var written int
		p.withLock(func() { written = len(p.puts) })
		return written == 1
	}, testTimeout, time.Millisecond)
	p.withLock(func() {
		got, err := record.DecodeStatus(p.puts[0])
		require.NoError(t, err)
		require.EqualValues(t, 7, got.Revision)
	})
}

func TestLatestValueWritesNewest(t *testing.T) {
	l := newLatestValue[int]()
	first, rest := make(chan struct{}), make(chan struct{})
	var written []int
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.writeLoop(context.Background(), func(_ context.Context, v int) error {
			written = append(written, v)
			if v == 1 {
				close(first)
				<-rest
			}
			return nil
		})
	}()
	l.put(1)
	<-first
	l.put(2)
	l.put(3)
	l.put(4)
	close(rest)
	l.close()
	<-done
	require.Equal(t, []int{1, 4}, written)
}

func TestLatestValueRetriesWithNewest(t *testing.T) {
	l := newLatestValue[int]()
	var written []int
	l.put(1)
	l.writeLoop(context.Background(), func(_ context.Context, v int) error {
		written = append(written, v)
		if v == 1 {
			l.put(2)
			return platform.ErrUnavailable
		}
		l.close()
		return platform.ErrUnavailable
	})
	require.Equal(t, []int{1, 2}, written, "no retry after close")
}

func TestBackoffBounds(t *testing.T) {
	b := newBackoff()
	limit := minBackoff
	for range 20 {
		got := b.Next()
		require.GreaterOrEqual(t, got, limit/2)
		require.LessOrEqual(t, got, limit)
		limit = min(2*limit, maxBackoff)
	}
	b.Reset()
	require.LessOrEqual(t, b.Next(), minBackoff)
}

func TestObjectStore(t *testing.T) {
	var cases struct {
		Cases []struct {
			Name  string
			Steps []struct {
				Revision uint64
				Whole    bool
				Objects  []string // name=revision, or name-revision when deleted
			}
			Want     []string
			Revision uint64
		}
	}
	readCases(t, "objects.yaml", &cases)
	for _, c := range cases.Cases {
		t.Run(c.Name, func(t *testing.T) {
			s := newObjectStore()
			for _, step := range c.Steps {
				e := instance.ObjectsReceived{Revision: step.Revision, FullList: step.Whole}
				for _, text := range step.Objects {
					e.Objects = append(e.Objects, parseObject(t, text))
				}
				s.apply(e)
			}
			listed, revision := s.list()
			require.Equal(t, c.Revision, revision)
			var got []string
			for _, o := range listed {
				got = append(got, formatObject(o))
			}
			require.Equal(t, c.Want, got)
		})
	}
}

func TestJitterBounds(t *testing.T) {
	for range 1000 {
		got := daemon.Jitter(10 * clock.Millisecond)
		require.GreaterOrEqual(t, got, 5*clock.Millisecond)
		require.LessOrEqual(t, got, 10*clock.Millisecond)
	}
}
