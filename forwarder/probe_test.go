package forwarder

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
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

// listenWithFullQueue returns a listener whose queue of new connections is full, so that
// the kernel drops further opening packets.
func listenWithFullQueue(t *testing.T) (net.Listener, steering.AddrPort) {
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
	return l, to
}

func TestProbeSurvivesDroppedOpeningPacket(t *testing.T) {
	l, to := listenWithFullQueue(t)
	result := make(chan steering.ProbeResult, 1)
	go func() {
		r, _ := newProbingDaemon().probeAddress(to)
		result <- r
	}()
	time.Sleep(50 * time.Millisecond)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	require.Equal(t, steering.ProbeAnswered, <-result)
}

func TestProbeTimesOutWhenNothingAnswers(t *testing.T) {
	_, to := listenWithFullQueue(t)
	start := clock.Now()
	result, _ := newProbingDaemon().probeAddress(to)
	require.Equal(t, steering.ProbeTimedOut, result)
	require.GreaterOrEqual(t, clock.Now()-start, probeTimeout)
}

func TestProbeThatFailsLocallyIsInconclusive(t *testing.T) {
	result, _ := newProbingDaemon().probeAddress(steering.AddrPort{Address: 0xffffffff, Port: 80})
	require.Equal(t, steering.ProbeInconclusive, result)
}

func TestProbeShowsStallBeforeNextTick(t *testing.T) {
	_, to := listenWithFullQueue(t)
	delays := make(chan clock.Millis, 1)
	go func() {
		_, delay := newProbingDaemon().probeAddress(to)
		delays <- delay
	}()
	time.Sleep(20 * time.Millisecond)
	stall := fmt.Sprintf("kill -STOP %d; sleep 0.4; kill -CONT %d", os.Getpid(), os.Getpid())
	require.NoError(t, exec.Command("sh", "-c", stall).Run())
	require.GreaterOrEqual(t, <-delays, 60*clock.Millisecond)
}

func TestProbeWithoutControlThatTimesOutIsInconclusive(t *testing.T) {
	d := newProbingDaemon()
	log := &bytes.Buffer{}
	d.log = newEventLog(log)
	_, to := listenWithFullQueue(t)
	d.probe(steering.Probe{Endpoint: "i-1", Incarnation: 1, Address: to})
	d.log.flush()
	require.Contains(t, log.String(), `"end":"unclear"`)
}
