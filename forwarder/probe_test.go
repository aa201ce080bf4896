package forwarder

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/steering"
)

func newProbingDaemon() *Daemon {
	d := &Daemon{log: newEventLog(&bytes.Buffer{}), watchGate: daemon.NewGate(true)}
	d.engine = steering.NewEngine(steering.Settings{Centre: "here"})
	d.fleet = fleet.NewEngine(fleet.Settings{RecordBound: 3 * clock.Second}, clock.Now())
	d.metrics = newDaemonMetrics(d)
	return d
}

// dropPackets is a dial function whose opening packets get lost.
func dropPackets(ctx context.Context, _ steering.AddrPort) steering.ProbeResult {
	<-ctx.Done()
	return steering.ProbeTimedOut
}

func TestProbeSurvivesDroppedOpeningPacket(t *testing.T) {
	var dials atomic.Int32
	p := prober{timeout: 10 * clock.Second, interval: clock.Millisecond, attempts: 3, dial: func(ctx context.Context, to steering.AddrPort) steering.ProbeResult {
		if dials.Add(1) == 1 {
			return dropPackets(ctx, to)
		}
		return steering.ProbeAnswered
	}}
	result, _ := p.probe(steering.AddrPort{})
	require.Equal(t, steering.ProbeAnswered, result)
}

func TestProbeTimesOutWhenNothingAnswers(t *testing.T) {
	p := prober{timeout: 20 * clock.Millisecond, interval: 5 * clock.Millisecond, attempts: 3, dial: dropPackets}
	start := clock.Now()
	result, _ := p.probe(steering.AddrPort{})
	require.Equal(t, steering.ProbeTimedOut, result)
	require.GreaterOrEqual(t, clock.Now()-start, p.timeout)
}

func TestProbeThatFailsLocallyIsInconclusive(t *testing.T) {
	result, _ := newProbingDaemon().probeAddress(steering.AddrPort{Address: 0xffffffff, Port: 80})
	require.Equal(t, steering.ProbeInconclusive, result)
}

func TestProbeShowsStallBeforeNextTick(t *testing.T) {
	const stall = 100 * clock.Millisecond
	p := prober{timeout: 20 * clock.Millisecond, interval: 5 * clock.Millisecond, attempts: 3, dial: func(ctx context.Context, to steering.AddrPort) steering.ProbeResult {
		result := dropPackets(ctx, to)
		time.Sleep(stall.Duration())
		return result
	}}
	_, delay := p.probe(steering.AddrPort{})
	require.GreaterOrEqual(t, delay, stall-clock.Millisecond) // the clock counts whole milliseconds
}

func TestProbeWithoutControlThatTimesOutIsInconclusive(t *testing.T) {
	d := newProbingDaemon()
	log := &bytes.Buffer{}
	d.log = newEventLog(log)
	d.probe(steering.Probe{Endpoint: "i-1", Incarnation: 1, Address: addressWithFullQueue(t)})
	d.log.flush()
	require.Contains(t, log.String(), `"end":"unclear"`)
}

// addressWithFullQueue returns the address of a listener whose queue of new connections is
// full, so that the kernel drops further opening packets.
func addressWithFullQueue(t *testing.T) steering.AddrPort {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	t.Cleanup(func() { _ = l.Close() })
	for range 2 {
		c, err := net.DialTimeout("tcp4", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	to, _ := steering.AddrPortFromNetip(l.Addr().(*net.TCPAddr).AddrPort())
	return to
}
