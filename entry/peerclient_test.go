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

func testWork(deadline clock.Millis) instance.Work {
	return instance.Work{
		Flow: 7, Request: 3, Service: "orders", Class: packet.ClassLong, Once: true, Nonce: 99,
		Deadline: clock.Now() + deadline, Body: []byte("a scan"),
	}
}

// answerWith returns a script that answers each hand-over with a result.
func answerWith(result instance.Result) func(e instance.Event) []instance.Action {
	return func(e instance.Event) []instance.Action {
		if received, ok := e.(instance.HandOverReceived); ok {
			return []instance.Action{instance.AnswerHandOver{CallID: received.CallID, Result: result}}
		}
		return stopWhenRequested(e)
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
			receiving := &scriptedEngine{script: answerWith(result)}
			second := startDaemon(t, "entry-2", newEmptyPlatform(), receiving)
			w := testWork(longDeadline)
			sending := &scriptedEngine{onFirstTick: []instance.Action{
				instance.HandOver{RunID: 5, Peer: "entry-2", ControlAddress: second.Self().ControlAddress, Work: w},
			}}
			first := startDaemon(t, "entry-1", newEmptyPlatform(), sending)

			received := awaitEvent[instance.HandOverReceived](t, receiving)
			require.Equal(t, "entry-1", received.Peer)
			require.GreaterOrEqual(t, received.Work.Deadline, w.Deadline, "the peer adds the remaining time to its own clock")
			require.Less(t, received.Work.Deadline, w.Deadline+longDeadline)
			received.Work.Deadline = w.Deadline
			require.Equal(t, w, received.Work)

			ended := awaitEvent[instance.HandOverEnded](t, sending)
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

// handOverTo hands over work to a control address and returns the result.
func handOverTo(ctx context.Context, address string, w instance.Work) instance.Result {
	return newPeerClient("entry-1", newDaemonMetrics()).handOver(ctx, instance.HandOver{Peer: "entry-2", ControlAddress: address, Work: w})
}

// Guards against losing an answer whose detail is not valid UTF-8, which protobuf
// refuses to encode.
func TestHandOverOfInvalidUTF8(t *testing.T) {
	s := &scriptedEngine{script: answerWith(instance.Result{Status: 200, Body: []byte("\xff"), Detail: "bad \xff byte"})}
	r := startDaemon(t, "entry-2", newEmptyPlatform(), s)
	got := handOverTo(context.Background(), r.Self().ControlAddress, testWork(longDeadline))
	require.Equal(t, instance.OutcomeAnswered, got.Outcome, got.Detail)
	require.Equal(t, "\xff", string(got.Body))
	require.Equal(t, "bad ? byte", got.Detail)
}

func TestHandOverOfLargeBody(t *testing.T) {
	s := &scriptedEngine{script: answerWith(instance.Result{Status: 200, Body: make([]byte, packet.MaxBody)})}
	r := startDaemon(t, "entry-2", newEmptyPlatform(), s)
	w := testWork(longDeadline)
	w.Body = make([]byte, packet.MaxBody)
	got := handOverTo(context.Background(), r.Self().ControlAddress, w)
	require.Equal(t, instance.OutcomeAnswered, got.Outcome, got.Detail)
	require.Len(t, got.Body, packet.MaxBody)
	require.Len(t, awaitEvent[instance.HandOverReceived](t, s).Work.Body, packet.MaxBody)
}

// Work that the peer rejects before it reaches its engine must be reported as not
// run, and not as an unknown outcome.
func TestHandOverOfInvalidWork(t *testing.T) {
	s := &scriptedEngine{}
	r := startDaemon(t, "entry-2", newEmptyPlatform(), s)
	w := testWork(longDeadline)
	w.Class = packet.ClassLong + 1
	got := handOverTo(context.Background(), r.Self().ControlAddress, w)
	require.Equal(t, instance.OutcomeNotRun, got.Outcome, got.Detail)
	require.Equal(t, packet.ReasonMalformed, got.Reason)
}

func TestHandOverConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	got := handOverTo(context.Background(), l.Addr().String(), testWork(longDeadline))
	require.Equal(t, instance.OutcomeNotRun, got.Outcome)
	require.False(t, got.Connected)
}

func TestHandOverCancelled(t *testing.T) {
	s := &scriptedEngine{}
	r := startDaemon(t, "entry-2", newEmptyPlatform(), s)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan instance.Result, 1)
	go func() { ended <- handOverTo(ctx, r.Self().ControlAddress, testWork(longDeadline)) }()
	received := awaitEvent[instance.HandOverReceived](t, s)
	cancel()
	require.Equal(t, received.CallID, awaitEvent[instance.HandOverCancelled](t, s).CallID)
	require.Equal(t, instance.OutcomeUnknown, (<-ended).Outcome)
}

// Work that is in the input queue of a peer when its engine stops must be reported
// as not run.
func TestHandOverToStoppingPeer(t *testing.T) {
	release := make(chan struct{})
	s := &scriptedEngine{script: func(e instance.Event) []instance.Action {
		if _, stop := e.(instance.StopRequested); stop {
			<-release
		}
		return stopWhenRequested(e)
	}}
	r := startDaemon(t, "entry-2", newEmptyPlatform(), s)
	r.Stop()
	awaitEvent[instance.StopRequested](t, s)
	ended := make(chan instance.Result, 1)
	go func() { ended <- handOverTo(context.Background(), r.Self().ControlAddress, testWork(longDeadline)) }()
	require.Eventually(t, func() bool { return r.lastCallID.Load() == 1 && len(r.inputs) > 0 }, testTimeout, time.Millisecond)
	close(release)
	got := <-ended
	require.Equal(t, instance.OutcomeNotRun, got.Outcome, got.Detail)
	require.Equal(t, packet.ReasonStopping, got.Reason)
	require.NoError(t, r.waitEnd(t))
}

// Another server may answer at the address of an instance that is gone, or the
// instance may fail within an answer. The outcome must be unknown, and the work must
// be sent once.
func TestHandOverToOtherServers(t *testing.T) {
	var cases struct {
		Cases []struct {
			Name, Outcome string
			Script        []string
			Silent        bool
			Deadline      clock.Millis
		}
	}
	readCases(t, "otherservers.yaml", &cases)
	for _, c := range cases.Cases {
		t.Run(c.Name, func(t *testing.T) {
			s := startScriptedServer(t, c.Script)
			deadline := longDeadline
			if c.Deadline != 0 {
				deadline = c.Deadline
			}
			got := handOverTo(context.Background(), s.address(), testWork(deadline))
			require.Equal(t, outcomes[c.Outcome], got.Outcome, got.Detail)
			require.Equal(t, c.Silent, got.Silent, got.Detail)
			require.LessOrEqual(t, s.reads.Load(), int64(1), "work must not be sent twice")
		})
	}
}

// The control server must reject a message that is too large and serve the next
// one.
func TestControlRejectsLargeMessage(t *testing.T) {
	s := &scriptedEngine{script: answerWith(instance.Result{Status: 200})}
	r := startDaemon(t, "entry-2", newEmptyPlatform(), s)
	body := strings.NewReader(strings.Repeat("x", maxRunMessageBytes+1))
	resp, err := http.Post("http://"+r.Self().ControlAddress+"/twirp/tanagerdock.control.Control/Run", "application/protobuf", body)
	if err == nil {
		require.NotEqual(t, http.StatusOK, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
	}
	got := handOverTo(context.Background(), r.Self().ControlAddress, testWork(longDeadline))
	require.Equal(t, instance.OutcomeAnswered, got.Outcome, got.Detail)
}

func TestFetchObjects(t *testing.T) {
	p := newEmptyPlatform()
	list := p.lists[record.KindService]
	list.Objects = []record.Object{{Kind: record.KindService, Name: "orders", Revision: 1, Schema: 2, Body: []byte(`{}`)}}
	p.lists[record.KindService] = list
	second := startDaemon(t, "entry-2", p, &scriptedEngine{})
	awaitEvent[instance.ObjectsReceived](t, second.engine)

	unavailable := &fakePlatform{}
	fetching := &scriptedEngine{onFirstTick: []instance.Action{
		instance.FetchObjects{Peer: "entry-2", ControlAddress: second.Self().ControlAddress},
	}}
	first := startDaemon(t, "entry-1", unavailable, fetching)
	got := awaitEvent[instance.ObjectsReceived](t, fetching)
	require.Equal(t, instance.ObjectsReceived{
		Objects: list.Objects, Revision: 1, FullList: true, Source: "entry-2",
	}, got)
	stored, revision := first.objects.list()
	require.Equal(t, list.Objects, stored, "records fetched from a peer must be available to other instances")
	require.EqualValues(t, 1, revision)
}

// Guards against an instance without a full list of records that answers with an
// empty list, from which a peer would conclude that all records were deleted.
func TestFetchObjectsFromStartingPeer(t *testing.T) {
	second := startDaemon(t, "entry-2", &fakePlatform{}, &scriptedEngine{})
	client := control.NewControlProtobufClient("http://"+second.Self().ControlAddress, http.DefaultClient)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	list, err := client.Objects(ctx, &control.ObjectsRequest{})
	require.NoError(t, err)
	require.Zero(t, list.Revision)
	require.Empty(t, list.Objects)

	fetching := &scriptedEngine{onFirstTick: []instance.Action{
		instance.FetchObjects{Peer: "entry-2", ControlAddress: second.Self().ControlAddress},
	}}
	first := startDaemon(t, "entry-1", &fakePlatform{}, fetching)
	first.awaitMetric(t, "control.objects.out", "1")
	second.awaitMetric(t, "control.objects.in", "2")
	require.Never(t, func() bool {
		stored, _ := first.objects.list()
		return stored != nil
	}, 20*time.Millisecond, time.Millisecond)
}
