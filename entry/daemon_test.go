package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/internal/program"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

// dial returns a UDP socket connected to address. It is closed when the test ends.
func dial(t *testing.T, address string) *net.UDPConn {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", address)
	require.NoError(t, err)
	c, err := net.DialUDP("udp", nil, to)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func sendDatagram(t *testing.T, c *net.UDPConn, data []byte) {
	t.Helper()
	_, err := c.Write(data)
	require.NoError(t, err)
}

// metricValue returns the value of a metric in /metrics, or "" when it is missing.
func (r *testDaemon) metricValue(t *testing.T, name string) string {
	t.Helper()
	for _, line := range strings.Split(r.statusPage(t, "/metrics"), "\n") {
		if value, found := strings.CutPrefix(line, name+"="); found {
			return value
		}
	}
	return ""
}

func (r *testDaemon) statusPage(t *testing.T, path string) string {
	t.Helper()
	resp, err := http.Get("http://" + r.StatusAddress() + path)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

func (r *testDaemon) awaitMetric(t *testing.T, name, value string) {
	t.Helper()
	require.Eventually(t, func() bool { return r.metricValue(t, name) == value }, testTimeout, time.Millisecond, "%s=%s", name, value)
}

func TestPacketReachesEngineAndAnswerReachesCaller(t *testing.T) {
	s := &scriptedEngine{script: func(e instance.Event) []instance.Action {
		p, ok := e.(instance.PacketReceived)
		if !ok {
			return nil
		}
		echo := packet.Packet{Kind: packet.KindEcho, Token: p.Packet.Token, Nonce: p.Packet.Nonce}
		return []instance.Action{instance.SendPacket{To: p.From, Packet: echo}}
	}}
	r := startDaemon(t, "entry-1", newEmptyPlatform(), s)
	caller := dial(t, r.Self().PacketAddress)
	data, err := packet.Encode(packet.Packet{Kind: packet.KindProbe, Token: []byte("token"), Nonce: 9})
	require.NoError(t, err)
	sendDatagram(t, caller, data)

	received := awaitEvent[instance.PacketReceived](t, s)
	require.Equal(t, caller.LocalAddr().String(), received.From.String())
	require.EqualValues(t, 9, received.Packet.Nonce)

	answer := make([]byte, packet.MaxDatagram)
	n, err := caller.Read(answer)
	require.NoError(t, err)
	p, err := packet.Decode(answer[:n])
	require.NoError(t, err)
	require.Equal(t, packet.KindEcho, p.Kind)
	require.Equal(t, "token", string(p.Token))
	r.awaitMetric(t, "packets.in.probe", "1")
	r.awaitMetric(t, "packets.out.echo", "1")
}

// Guards against a decoded packet that refers to the receive buffer, which the next
// datagram overwrites.
func TestDecodedPacketDoesNotAliasBuffer(t *testing.T) {
	payload := bytes.Repeat([]byte("s"), packet.MaxPayload)
	data, err := packet.Encode(packet.Packet{Kind: packet.KindPart, Token: []byte("token"), Request: 1, Count: 1, Payload: payload})
	require.NoError(t, err)
	p, err := packet.Decode(data)
	require.NoError(t, err)
	clear(data)
	require.Equal(t, payload, p.Payload)
	require.Equal(t, "token", string(p.Token))
}

func TestInvalidDatagramsAreCountedAndDropped(t *testing.T) {
	s := &scriptedEngine{}
	r := startDaemon(t, "entry-1", newEmptyPlatform(), s)
	caller, peer := dial(t, r.Self().PacketAddress), dial(t, r.Self().PeerAddress)
	good, err := packet.Encode(packet.Packet{Kind: packet.KindProbe})
	require.NoError(t, err)
	old := bytes.Clone(good)
	old[bytes.IndexByte(old, packet.Version)+1] = packet.Version + 1
	sendDatagram(t, caller, []byte("no packet"))
	sendDatagram(t, caller, old)
	sendDatagram(t, caller, make([]byte, packet.MaxDatagram+1))
	sendDatagram(t, caller, nil)
	sendDatagram(t, peer, []byte("no envelope"))
	sendDatagram(t, peer, make([]byte, packet.MaxEnvelope+1))
	envelope, err := packet.EncodeEnvelope(packet.Envelope{
		Sender: 1, Caller: netip.MustParseAddrPort("127.0.0.1:1"), Data: []byte("no packet"),
	})
	require.NoError(t, err)
	sendDatagram(t, peer, envelope)
	sendDatagram(t, caller, good)

	awaitEvent[instance.PacketReceived](t, s)
	r.awaitMetric(t, "packets.bad.malformed", "2")
	r.awaitMetric(t, "packets.bad.version", "1")
	r.awaitMetric(t, "packets.bad.too_large", "1")
	r.awaitMetric(t, "peers.bad.malformed", "2")
	r.awaitMetric(t, "peers.bad.too_large", "1")
	for len(s.events) > 0 {
		_, isEnvelope := (<-s.events).(instance.EnvelopeReceived)
		require.False(t, isEnvelope)
	}
}

func TestEnvelopesBetweenInstances(t *testing.T) {
	caller := netip.MustParseAddrPort("127.0.0.1:9")
	data, err := packet.Encode(packet.Packet{Kind: packet.KindProbe, Nonce: 5})
	require.NoError(t, err)
	receiving := &scriptedEngine{}
	second := startDaemon(t, "entry-2", newEmptyPlatform(), receiving)
	to := netip.MustParseAddrPort(second.Self().PeerAddress)
	sending := &scriptedEngine{onFirstTick: []instance.Action{
		instance.SendEnvelope{To: to, Envelope: packet.Envelope{Sender: 1, Heartbeat: 3}},
		instance.SendEnvelope{To: to, Envelope: packet.Envelope{Sender: 1, Caller: caller, Data: data}},
	}}
	first := startDaemon(t, "entry-1", newEmptyPlatform(), sending)

	for range 2 {
		got := awaitEvent[instance.EnvelopeReceived](t, receiving)
		require.Equal(t, first.Self().PeerAddress, got.From.String())
		if got.Packet == nil {
			require.EqualValues(t, 3, got.Envelope.Heartbeat)
			continue
		}
		require.Equal(t, caller, got.Envelope.Caller)
		require.EqualValues(t, 5, got.Packet.Nonce)
	}
	first.awaitMetric(t, "peers.beat.out", "1")
	first.awaitMetric(t, "peers.passed.out", "1")
	second.awaitMetric(t, "peers.beat.in", "1")
	second.awaitMetric(t, "peers.passed.in", "1")
	second.awaitMetric(t, "peers.in.probe", "1")
}

// Guards against losing a RunEnded event when datagrams fill the engine's queue:
// the engine is blocked until packets are dropped, and RunEnded must still arrive.
func TestDatagramFloodKeepsRunEnded(t *testing.T) {
	backend := startScriptedServer(t, []string{"read", "write HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"})
	released := make(chan struct{})
	c := runCase{}
	s := &scriptedEngine{
		onFirstTick: []instance.Action{c.request(backend.address(), 1)},
		script: func(e instance.Event) []instance.Action {
			if _, ok := e.(instance.PacketReceived); ok {
				<-released
			}
			return nil
		},
	}
	r := startDaemon(t, "entry-1", newEmptyPlatform(), s)
	data, err := packet.Encode(packet.Packet{Kind: packet.KindProbe})
	require.NoError(t, err)
	caller := dial(t, r.Self().PacketAddress)
	require.Eventually(t, func() bool {
		for range 1000 {
			sendDatagram(t, caller, data)
		}
		return r.metricValue(t, "packets.dropped") != "0"
	}, testTimeout, time.Millisecond)
	close(released)
	ended := awaitEvent[instance.RunEnded](t, s)
	require.Equal(t, instance.OutcomeAnswered, ended.Result.Outcome)
}

func TestRunIsReportedAndCancelled(t *testing.T) {
	backend := startScriptedServer(t, []string{"read", "hang"})
	c := runCase{}
	s := &scriptedEngine{
		onFirstTick: []instance.Action{c.request(backend.address(), 4)},
		script: func(e instance.Event) []instance.Action {
			if _, ok := e.(instance.PacketReceived); ok {
				return []instance.Action{instance.CancelRun{RunID: 4}, instance.CancelRun{RunID: 5}}
			}
			return nil
		},
	}
	r := startDaemon(t, "entry-1", newEmptyPlatform(), s)
	require.Eventually(t, func() bool { return backend.reads.Load() == 1 }, testTimeout, time.Millisecond)
	data, err := packet.Encode(packet.Packet{Kind: packet.KindProbe})
	require.NoError(t, err)
	sendDatagram(t, dial(t, r.Self().PacketAddress), data)
	ended := awaitEvent[instance.RunEnded](t, s)
	require.EqualValues(t, 4, ended.RunID)
	require.Equal(t, instance.OutcomeUnknown, ended.Result.Outcome)
}

func TestProbeIsReported(t *testing.T) {
	backend := startScriptedServer(t, []string{"read", "write HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"healthy\":true}"})
	s := &scriptedEngine{onFirstTick: []instance.Action{instance.ProbeEndpoint{Endpoint: backend.address(), Host: "orders"}}}
	startDaemon(t, "entry-1", newEmptyPlatform(), s)
	ended := awaitEvent[instance.ProbeEnded](t, s)
	require.Equal(t, backend.address(), ended.Endpoint)
	require.True(t, ended.Healthy)
}

func TestGracefulShutdown(t *testing.T) {
	p := newEmptyPlatform()
	s := &scriptedEngine{script: func(e instance.Event) []instance.Action {
		if _, stop := e.(instance.StopRequested); !stop {
			return nil
		}
		return []instance.Action{
			instance.WriteStatus{Status: record.Status{Instance: "entry-1", Centre: "riga-1"}},
			instance.RenewLease{Instance: record.Instance{Name: "entry-1", State: record.StateLeaving}},
			instance.Stopped{},
		}
	}}
	r := startDaemon(t, "entry-1", p, s)
	require.Contains(t, r.statusPage(t, "/health"), `"healthy":true`)
	r.Stop()
	require.NoError(t, r.waitEnd(t))
	p.withLock(func() {
		require.Len(t, p.puts, 1, "the last status")
		require.Equal(t, record.KindStatus, p.puts[0].Kind)
		require.Len(t, p.leases, 1, "the last lease renewal")
		require.Equal(t, record.StateLeaving, p.leases[0].Instance.State)
		require.Equal(t, []string{"entry-1 " + r.leaseHolder()}, p.released)
		require.Equal(t, r.leaseHolder(), p.leases[0].Holder)
		require.Equal(t, []string{"status/entry-1 0"}, p.deleted, "the status must be deleted with the lease")
	})
	_, err := net.Dial("tcp", r.Self().ControlAddress)
	require.Error(t, err, "sockets must be closed")
}

func TestStatusOfGoneInstanceIsDeleted(t *testing.T) {
	p := newEmptyPlatform()
	for name, incarnation := range map[string]clock.Millis{"gone": 5, "restarted": 6} {
		o, err := record.EncodeStatus(record.Status{Instance: name, Centre: "riga-1", Incarnation: incarnation})
		require.NoError(t, err)
		p.puts = append(p.puts, o)
	}
	s := &scriptedEngine{script: stopWhenRequested, onFirstTick: []instance.Action{
		instance.DeleteStatus{Instance: "gone", Incarnation: 5},
		instance.DeleteStatus{Instance: "restarted", Incarnation: 5},
		instance.DeleteStatus{Instance: "absent", Incarnation: 5},
	}}
	r := startDaemon(t, "entry-1", p, s)
	require.Eventually(t, func() bool {
		var n int
		p.withLock(func() { n = len(p.deleted) })
		return n > 0
	}, testTimeout, time.Millisecond)
	r.Stop()
	require.NoError(t, r.waitEnd(t))
	p.withLock(func() { require.Equal(t, []string{"status/gone 0"}, p.deleted) })
}

func TestShutdownWaitsForEngine(t *testing.T) {
	s := &scriptedEngine{}
	r := startDaemon(t, "entry-1", newEmptyPlatform(), s)
	r.Stop()
	awaitEvent[instance.StopRequested](t, s)
	require.Contains(t, r.statusPage(t, "/health"), `"healthy":false,"draining":true`)
	require.Empty(t, r.ended)
}

func TestRunReturnsErrInterrupted(t *testing.T) {
	d := startDaemon(t, "entry-1", newEmptyPlatform(), &scriptedEngine{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	settings, err := parseSettings("entry.yaml", []byte(minimalSettings))
	require.NoError(t, err)
	second, err := Open(Options{Settings: settings, Platform: newEmptyPlatform(), Logger: d.logger})
	require.NoError(t, err)
	require.ErrorIs(t, second.Run(ctx), ErrInterrupted)
}

func TestOpenErrorNamesAddressInUse(t *testing.T) {
	r := startDaemon(t, "entry-1", newEmptyPlatform(), &scriptedEngine{})
	settings, err := parseSettings("entry.yaml", []byte(minimalSettings))
	require.NoError(t, err)
	settings.ControlAddress = r.Self().ControlAddress
	_, err = Open(Options{Settings: settings, Platform: newEmptyPlatform(), Logger: r.logger})
	require.ErrorContains(t, err, `open field "control": value "`+r.Self().ControlAddress+`"`)
}

func TestEngineSettings(t *testing.T) {
	s := &scriptedEngine{}
	r := startDaemon(t, "entry-1", newEmptyPlatform(), s)
	self := s.settings.Self
	require.NoError(t, self.Check())
	require.Equal(t, r.Self(), self)
	require.EqualValues(t, instance.DefaultMemoryLimit, s.settings.MemoryLimit)
	require.Equal(t, instance.DefaultMaxFlows, s.settings.MaxFlows)
	require.Equal(t, "ready packets="+self.PacketAddress+" peers="+self.PeerAddress+" control="+self.ControlAddress+" status="+r.StatusAddress(), r.ReadyLine())
}

// lineWriter sends each write to a channel.
type lineWriter chan string

func (w lineWriter) Write(data []byte) (int, error) {
	w <- string(data)
	return len(data), nil
}

func TestFirstSignalStartsGracefulShutdown(t *testing.T) {
	d := openDaemon(t, "entry-1", newEmptyPlatform(), &scriptedEngine{script: stopWhenRequested})
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	require.NoError(t, runUntilSignal(signals, d.Daemon))
}

func TestSecondSignalInterrupts(t *testing.T) {
	d := openDaemon(t, "entry-1", newEmptyPlatform(), &scriptedEngine{})
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGINT
	require.ErrorIs(t, runUntilSignal(signals, d.Daemon), ErrInterrupted)
}

// SIGTERM and SIGINT must be handled from the moment the ready line is printed. The
// first starts a graceful shutdown and the second interrupts it.
func TestMainHandlesSignals(t *testing.T) {
	for _, signals := range [][]syscall.Signal{{syscall.SIGTERM, syscall.SIGINT}, {syscall.SIGINT, syscall.SIGTERM}} {
		out := make(lineWriter, 10)
		code := make(chan int, 1)
		connect := func(string) platform.Platform { return newEmptyPlatform() }
		args := []string{"-settings", writeSettings(t, minimalSettings)}
		go func() { code <- Main(args, out, io.Discard, connect) }()
		require.Contains(t, <-out, "ready packets=127.0.0.1:")
		for _, s := range signals {
			require.NoError(t, syscall.Kill(syscall.Getpid(), s))
		}
		require.Equal(t, program.ExitFailure, <-code)
	}
}
