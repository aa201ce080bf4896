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

func object(kind record.Kind, name string, revision uint64) record.Object {
	return record.Object{Kind: kind, Name: name, Revision: revision, Schema: record.Schema2, Body: []byte("{}")}
}

func TestRecordsAreListedAndWatched(t *testing.T) {
	service, backend := object(record.KindService, "orders", 3), object(record.KindBackend, "press", 5)
	rule, renewed := object(record.KindRule, "steer", 6), object(record.KindService, "orders", 8)
	p := &fakePlatform{
		lists: map[record.Kind]platform.Listing{
			record.KindService: {Revision: 4, Objects: []record.Object{service}},
			record.KindBackend: {Revision: 5, Objects: []record.Object{backend}},
			record.KindRule:    {Revision: 6, Objects: []record.Object{rule}},
		},
		watches: []watched{
			{listing: platform.Listing{Revision: 6, Objects: []record.Object{backend, rule}}},
			{err: platform.ErrUnavailable},
			{listing: platform.Listing{Revision: 8, Objects: []record.Object{renewed}}},
			{err: platform.ErrRevisionGone},
		},
	}
	s := &scriptedEngine{}
	start(t, "entry-1", p, s)
	whole := instance.ObjectsReceived{
		Objects: []record.Object{service, backend, rule}, Revision: 4, FullList: true, Source: instance.SourcePlatform,
	}
	require.Equal(t, whole, await[instance.ObjectsReceived](t, s))
	require.Equal(t, instance.ObjectsReceived{
		Objects: []record.Object{backend, rule}, Revision: 6, Source: instance.SourcePlatform,
	}, await[instance.ObjectsReceived](t, s))
	require.Equal(t, instance.ObjectsReceived{
		Objects: []record.Object{renewed}, Revision: 8, Source: instance.SourcePlatform,
	}, await[instance.ObjectsReceived](t, s))
	require.Equal(t, whole, await[instance.ObjectsReceived](t, s), "listed again after the history ended")
	require.Eventually(t, func() bool {
		var asked int
		p.look(func() { asked = len(p.since) })
		return asked == 5
	}, patience, time.Millisecond)
	p.look(func() { require.Equal(t, []uint64{4, 6, 6, 8, 4}, p.since) })
}

func TestPlatformOutageIsReported(t *testing.T) {
	s := &scriptedEngine{}
	p := &fakePlatform{}
	r := start(t, "entry-1", p, s)
	require.Eventually(t, func() bool { return !await[instance.PlatformCalled](t, s).Answered }, patience, time.Millisecond)
	p.look(func() { p.lists = quiet().lists })
	received := await[instance.ObjectsReceived](t, s)
	require.True(t, received.FullList)
	require.NotEqual(t, "0", r.metric(t, "platform.unanswered"))
}

func TestAnswered(t *testing.T) {
	for _, err := range []error{
		nil, platform.ErrNotFound, platform.ErrConflict, platform.ErrRevisionGone, errors.Wrap(platform.ErrRefused, "put"),
	} {
		require.True(t, answered(err), "%v", err)
	}
	for _, err := range []error{platform.ErrUnavailable, context.DeadlineExceeded} {
		require.False(t, answered(err), "%v", err)
	}
}

func TestInstancesAreListed(t *testing.T) {
	p := quiet()
	p.instances = []record.Instance{{Name: "entry-2"}}
	s := &scriptedEngine{}
	start(t, "entry-1", p, s)
	require.Equal(t, p.instances, await[instance.InstancesListed](t, s).Instances)
}

func TestListPeriod(t *testing.T) {
	r := open(t, "entry-1", quiet(), &scriptedEngine{})
	defer r.closeSockets()
	older := r.Self()
	older.Incarnation--
	require.Equal(t, joiningPeriod, r.listPeriod(nil))
	require.Equal(t, joiningPeriod, r.listPeriod([]record.Instance{older}), "an earlier process of that name")
	require.Equal(t, watcherPeriod, r.listPeriod([]record.Instance{older, r.Self()}))
	r.watching.Set(false)
	require.Equal(t, instancePeriod, r.listPeriod([]record.Instance{older, r.Self()}))
}

func TestStatusIsRepeatedUntilWritten(t *testing.T) {
	p := quiet()
	p.failures = 1
	s := &scriptedEngine{start: []instance.Action{
		instance.WriteStatus{Status: record.Status{Instance: "entry-1", Centre: "riga-1", Revision: 7}},
	}}
	start(t, "entry-1", p, s)
	require.Eventually(t, func() bool {
		var written int
		p.look(func() { written = len(p.puts) })
		return written == 1
	}, patience, time.Millisecond)
	p.look(func() {
		got, err := record.DecodeStatus(p.puts[0])
		require.NoError(t, err)
		require.EqualValues(t, 7, got.Revision)
	})
}

func TestMailboxWritesTheNewest(t *testing.T) {
	m := newMailbox[int]()
	first, rest := make(chan struct{}), make(chan struct{})
	var written []int
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.work(context.Background(), func(_ context.Context, v int) error {
			written = append(written, v)
			if v == 1 {
				close(first)
				<-rest
			}
			return nil
		})
	}()
	m.put(1)
	<-first
	m.put(2)
	m.put(3)
	m.put(4)
	close(rest)
	m.close()
	<-done
	require.Equal(t, []int{1, 4}, written)
}

func TestMailboxPrefersTheNewestAfterAFailure(t *testing.T) {
	m := newMailbox[int]()
	var written []int
	m.put(1)
	m.work(context.Background(), func(_ context.Context, v int) error {
		written = append(written, v)
		if v == 1 {
			m.put(2)
			return platform.ErrUnavailable
		}
		m.close()
		return platform.ErrUnavailable
	})
	require.Equal(t, []int{1, 2}, written, "a closed mailbox does not repeat")
}

func TestBackoffGrowsToItsLimit(t *testing.T) {
	b := newBackoff()
	limit := firstPause
	for range 20 {
		got := b.Next()
		require.GreaterOrEqual(t, got, limit/2)
		require.LessOrEqual(t, got, limit)
		limit = min(2*limit, lastPause)
	}
	b.Reset()
	require.LessOrEqual(t, b.Next(), firstPause)
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
			held, revision := s.list()
			require.Equal(t, c.Revision, revision)
			var got []string
			for _, o := range held {
				got = append(got, showObject(o))
			}
			require.Equal(t, c.Want, got)
		})
	}
}

func TestJitterStaysWithinHalf(t *testing.T) {
	for range 1000 {
		got := daemon.Jitter(10 * clock.Millisecond)
		require.GreaterOrEqual(t, got, 5*clock.Millisecond)
		require.LessOrEqual(t, got, 10*clock.Millisecond)
	}
}
