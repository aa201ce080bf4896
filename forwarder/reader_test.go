package forwarder

import (
	"bytes"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// openReader returns a reader of a new socket, and a connection to the socket. backlogs are
// those that have ended.
func openReader(t *testing.T) (r *packetReader, sender *net.UDPConn, backlogs *[]backlog) {
	at := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))
	socket, err := net.ListenUDP("udp4", at)
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	sender, err = net.DialUDP("udp4", nil, socket.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	t.Cleanup(func() { _ = sender.Close() })
	r, backlogs = &packetReader{}, &[]backlog{}
	require.NoError(t, r.open(socket, func(backlog) {}, func(b backlog) { *backlogs = append(*backlogs, b) }))
	return r, sender, backlogs
}

func send(t *testing.T, c *net.UDPConn, words ...string) {
	for _, w := range words {
		_, err := c.Write([]byte(w))
		require.NoError(t, err)
	}
}

func TestPacketsThatWaitedWhileTheReaderWasHeldUpAreLate(t *testing.T) {
	r, sender, backlogs := openReader(t)
	buffer := make([]byte, 10)
	send(t, sender, "one", "two", "three")
	for i, want := range []string{"one", "two", "three"} {
		n, waited, err := r.read(buffer)
		require.NoError(t, err)
		require.Equal(t, want, string(buffer[:n]))
		if i == 0 {
			require.Zero(t, waited)
			time.Sleep((2 * lateLimit).Duration())
			require.GreaterOrEqual(t, r.wait(clock.Now()), 2*lateLimit)
			continue
		}
		require.GreaterOrEqual(t, waited, 2*lateLimit)
	}
	time.AfterFunc((2 * lateLimit).Duration(), func() { _, _ = sender.Write([]byte("four")) })
	_, waited, err := r.read(buffer)
	require.NoError(t, err)
	require.Less(t, waited, lateLimit, "the socket was empty before the packet arrived")
	require.Len(t, *backlogs, 1)
	require.Equal(t, 3, (*backlogs)[0].packets)
	require.Equal(t, 2, (*backlogs)[0].late)
	require.GreaterOrEqual(t, r.recentWait(clock.Now()), 2*lateLimit)
	require.Less(t, r.wait(clock.Now()), lateLimit)
}

func TestReadEndsWhenTheSocketIsClosed(t *testing.T) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	var r packetReader
	require.NoError(t, r.open(socket, nil, nil))
	time.AfterFunc(20*time.Millisecond, func() { _ = socket.Close() })
	_, _, err = r.read(make([]byte, 10))
	require.ErrorIs(t, err, net.ErrClosed)
}

func TestRecentWaitsAreForgottenAfterTwoWindows(t *testing.T) {
	var r packetReader
	for _, c := range []struct{ at, add, want clock.Millis }{
		{at: 100_000, add: 300, want: 300},
		{at: 101_999, want: 300},
		{at: 102_000, add: 40, want: 300},
		{at: 104_000, want: 40},
		{at: 106_000, want: 0},
		{at: 106_500, add: 70, want: 70},
		{at: 200_000, want: 0},
	} {
		if c.add > 0 {
			r.recordWait(c.at, c.add)
		}
		assert.Equal(t, c.want, r.recentWait(c.at), "at %d", c.at)
	}
}

// The lines about backlogs and resets must show how long packets waited.
func TestWaitsAreLoggedAndCounted(t *testing.T) {
	var text bytes.Buffer
	d := &Daemon{log: newEventLog(&text), watchGate: daemon.NewGate(true), engine: steering.NewEngine(steering.Settings{})}
	d.fleet = fleet.NewEngine(fleet.Settings{RecordBound: 3 * clock.Second}, clock.Now())
	d.metrics = newDaemonMetrics(d)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	defer socket.Close()
	d.packetConn = socket
	d.settings.Store(&platform.Settings{PacketAddress: socket.LocalAddr().(*net.UDPAddr).AddrPort()})
	d.reader.recordWait(clock.Now(), 1234)
	for _, w := range []clock.Millis{0, 9, 10, 150} {
		d.metrics.countWait(w)
	}
	d.logBacklogStart(backlog{startedAt: 5000, length: 120, packets: 30})
	d.logBacklogEnd(backlog{startedAt: 5000, length: 340, packets: 90, late: 60})
	now := clock.Now()
	d.resetFlow(steering.ResetFlow{Endpoint: "i-1", Cause: "refused", FirstSeenAt: now - 700})
	d.log.decision(now, &steering.Packet{}, &steering.Decision{Verdict: steering.Reset, Reason: steering.ReasonEndpointGone}, 1234)
	d.log.flush()
	for _, want := range []string{
		`"msg":"backlog started","waited_ms":120,"packets":30,"started_at_ms":5000}`,
		`"msg":"backlog ended","waited_ms":340,"packets":90,"late":60,"started_at_ms":5000}`,
		`"request_age_ms":-1,"waited_ms":1234,`,
		`"waited_ms":1234}`,
	} {
		require.Contains(t, text.String(), want)
	}
	require.Regexp(t, `"why":"refused","flow_age_ms":7[0-9][0-9],`, text.String())
	var counters bytes.Buffer
	require.NoError(t, d.metrics.write(&counters))
	lines := strings.Split(counters.String(), "\n")
	for _, want := range []string{"packets.waited.10_ms=2", "packets.waited.100_ms=1", "packets.waited.200_ms=0", "packets.wait_ms=1234"} {
		require.Contains(t, lines, want)
	}
}
