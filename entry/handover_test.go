package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/control"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
)

func work(deadline clock.Millis) instance.Work {
	return instance.Work{
		Flow: 7, Request: 3, Service: "orders", Class: packet.ClassLong, Once: true, Nonce: 99,
		Deadline: clock.Now() + deadline, Body: []byte("a scan"),
	}
}

// answering is a script that ends handed-over work with a result.
func answering(result instance.Result) func(e instance.Event) []instance.Action {
	return func(e instance.Event) []instance.Action {
		if called, is := e.(instance.HandOverReceived); is {
			return []instance.Action{instance.AnswerHandOver{CallID: called.CallID, Result: result}}
		}
		return stopAtOnce(e)
	}
}

func TestHandOver(t *testing.T) {
	var cases struct {
		Cases []struct {
			Name, Outcome, Reason, Body, Detail string
			Status                              int
		}
	}
	readCases(t, "handover.yaml", &cases)
	for _, c := range cases.Cases {
		t.Run(c.Name, func(t *testing.T) {
			var reason packet.Reason
			for reason.String() != c.Reason {
				reason++
			}
			result := instance.Result{
				Outcome: outcomes[c.Outcome], Status: c.Status, Reason: reason, Body: []byte(c.Body), Detail: c.Detail,
			}
			taking := &scriptedEngine{script: answering(result)}
			second := start(t, "entry-2", quiet(), taking)
			w := work(longTime)
			giving := &scriptedEngine{start: []instance.Action{
				instance.HandOver{RunID: 5, Peer: "entry-2", ControlAddress: second.Self().ControlAddress, Work: w},
			}}
			first := start(t, "entry-1", quiet(), giving)

			called := await[instance.HandOverReceived](t, taking)
			require.Equal(t, "entry-1", called.Peer)
			require.GreaterOrEqual(t, called.Work.Deadline, w.Deadline, "time on the way is not known to the peer")
			require.Less(t, called.Work.Deadline, w.Deadline+longTime)
			called.Work.Deadline = w.Deadline
			require.Equal(t, w, called.Work)

			ended := await[instance.HandOverEnded](t, giving)
			require.EqualValues(t, 5, ended.RunID)
			require.Equal(t, result.Outcome, ended.Result.Outcome)
			require.Equal(t, result.Status, ended.Result.Status)
			require.Equal(t, result.Reason, ended.Result.Reason)
			require.Equal(t, c.Body, string(ended.Result.Body))
			require.Equal(t, c.Detail, ended.Result.Detail)
			require.True(t, ended.Result.Connected)
			first.awaitMetric(t, "control.run.out", "1")
			second.awaitMetric(t, "control.run.in", "1")
		})
	}
}

// handOverTo hands work to an address and returns its end.
func handOverTo(ctx context.Context, address string, w instance.Work) instance.Result {
	return newPeerCaller("entry-1", newCounts()).handOver(ctx, instance.HandOver{Peer: "entry-2", ControlAddress: address, Work: w})
}

// Text that is not UTF-8 must not cost the answer.
func TestHandOverOfStrangeText(t *testing.T) {
	s := &scriptedEngine{script: answering(instance.Result{Status: 200, Body: []byte("\xff"), Detail: "bad \xff byte"})}
	r := start(t, "entry-2", quiet(), s)
	got := handOverTo(context.Background(), r.Self().ControlAddress, work(longTime))
	require.Equal(t, instance.OutcomeAnswered, got.Outcome, got.Detail)
	require.Equal(t, "\xff", string(got.Body))
	require.Equal(t, "bad ? byte", got.Detail)
}

func TestHandOverOfALargeBody(t *testing.T) {
	s := &scriptedEngine{script: answering(instance.Result{Status: 200, Body: make([]byte, packet.MaxBody)})}
	r := start(t, "entry-2", quiet(), s)
	w := work(longTime)
	w.Body = make([]byte, packet.MaxBody)
	got := handOverTo(context.Background(), r.Self().ControlAddress, w)
	require.Equal(t, instance.OutcomeAnswered, got.Outcome, got.Detail)
	require.Len(t, got.Body, packet.MaxBody)
	require.Len(t, await[instance.HandOverReceived](t, s).Work.Body, packet.MaxBody)
}

// Work that a peer's engine never saw did not run.
func TestHandOverOfBadWork(t *testing.T) {
	s := &scriptedEngine{}
	r := start(t, "entry-2", quiet(), s)
	w := work(longTime)
	w.Class = packet.ClassLong + 1
	got := handOverTo(context.Background(), r.Self().ControlAddress, w)
	require.Equal(t, instance.OutcomeNotRun, got.Outcome, got.Detail)
	require.Equal(t, packet.ReasonMalformed, got.Reason)
}

func TestHandOverToNobody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	got := handOverTo(context.Background(), l.Addr().String(), work(longTime))
	require.Equal(t, instance.OutcomeNotRun, got.Outcome)
	require.False(t, got.Connected)
}

func TestHandOverCancelled(t *testing.T) {
	s := &scriptedEngine{}
	r := start(t, "entry-2", quiet(), s)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan instance.Result, 1)
	go func() { ended <- handOverTo(ctx, r.Self().ControlAddress, work(longTime)) }()
	called := await[instance.HandOverReceived](t, s)
	cancel()
	require.Equal(t, called.CallID, await[instance.HandOverCancelled](t, s).CallID)
	require.Equal(t, instance.OutcomeUnknown, (<-ended).Outcome)
}

// Work that waits for an engine that then ends did not run.
func TestHandOverToAStoppingPeer(t *testing.T) {
	release := make(chan struct{})
	s := &scriptedEngine{script: func(e instance.Event) []instance.Action {
		if _, stop := e.(instance.StopRequested); stop {
			<-release
		}
		return stopAtOnce(e)
	}}
	r := start(t, "entry-2", quiet(), s)
	r.Stop()
	await[instance.StopRequested](t, s)
	ended := make(chan instance.Result, 1)
	go func() { ended <- handOverTo(context.Background(), r.Self().ControlAddress, work(longTime)) }()
	require.Eventually(t, func() bool { return r.calls.Load() == 1 && len(r.inputs) > 0 }, patience, time.Millisecond)
	close(release)
	got := <-ended
	require.Equal(t, instance.OutcomeNotRun, got.Outcome, got.Detail)
	require.Equal(t, packet.ReasonStopping, got.Reason)
	require.NoError(t, r.end(t))
}

// What answers at a peer's address need not be an instance.
func TestHandOverToStrangers(t *testing.T) {
	var cases struct {
		Strangers []struct {
			Name, Outcome string
			Script        []string
			Silent        bool
			Deadline      clock.Millis
		}
	}
	readCases(t, "strangers.yaml", &cases)
	for _, c := range cases.Strangers {
		t.Run(c.Name, func(t *testing.T) {
			s := startScripted(t, c.Script)
			deadline := longTime
			if c.Deadline != 0 {
				deadline = c.Deadline
			}
			got := handOverTo(context.Background(), s.address(), work(deadline))
			require.Equal(t, outcomes[c.Outcome], got.Outcome, got.Detail)
			require.Equal(t, c.Silent, got.Silent, got.Detail)
			require.LessOrEqual(t, s.reads.Load(), int64(1), "work must not be sent twice")
		})
	}
}

// The control server drops a message that is too large and takes the next.
func TestControlBoundsMessages(t *testing.T) {
	s := &scriptedEngine{script: answering(instance.Result{Status: 200})}
	r := start(t, "entry-2", quiet(), s)
	body := strings.NewReader(strings.Repeat("x", maxRunMessage+1))
	resp, err := http.Post("http://"+r.Self().ControlAddress+"/twirp/tanagerdock.control.Control/Run", "application/protobuf", body)
	if err == nil {
		require.NotEqual(t, http.StatusOK, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
	}
	got := handOverTo(context.Background(), r.Self().ControlAddress, work(longTime))
	require.Equal(t, instance.OutcomeAnswered, got.Outcome, got.Detail)
}

func TestFetchObjects(t *testing.T) {
	p := quiet()
	list := p.lists[record.KindService]
	list.Objects = []record.Object{{Kind: record.KindService, Name: "orders", Revision: 1, Schema: 2, Body: []byte(`{}`)}}
	p.lists[record.KindService] = list
	second := start(t, "entry-2", p, &scriptedEngine{})
	await[instance.ObjectsReceived](t, second.engine)

	cutOff := &fakePlatform{}
	fetching := &scriptedEngine{start: []instance.Action{
		instance.FetchObjects{Peer: "entry-2", ControlAddress: second.Self().ControlAddress},
	}}
	first := start(t, "entry-1", cutOff, fetching)
	got := await[instance.ObjectsReceived](t, fetching)
	require.Equal(t, instance.ObjectsReceived{
		Objects: list.Objects, Revision: 1, FullList: true, Source: "entry-2",
	}, got)
	held, revision := first.objects.list()
	require.Equal(t, list.Objects, held, "records of a peer are handed on in turn")
	require.EqualValues(t, 1, revision)
}

// An instance that never knew the whole set must not pass an empty one off as
// that.
func TestFetchObjectsOfAStartingPeer(t *testing.T) {
	second := start(t, "entry-2", &fakePlatform{}, &scriptedEngine{})
	client := control.NewControlProtobufClient("http://"+second.Self().ControlAddress, http.DefaultClient)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	list, err := client.Objects(ctx, &control.ObjectsRequest{})
	require.NoError(t, err)
	require.Zero(t, list.Revision)
	require.Empty(t, list.Objects)

	fetching := &scriptedEngine{start: []instance.Action{
		instance.FetchObjects{Peer: "entry-2", ControlAddress: second.Self().ControlAddress},
	}}
	first := start(t, "entry-1", &fakePlatform{}, fetching)
	first.awaitMetric(t, "control.objects.out", "1")
	second.awaitMetric(t, "control.objects.in", "2")
	require.Never(t, func() bool {
		held, _ := first.objects.list()
		return held != nil
	}, 20*time.Millisecond, time.Millisecond)
}
