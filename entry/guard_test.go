package entry

import (
	"bytes"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// A datagram that makes its reader panic must be dropped and counted, and the reader must not
// use its buffer again.
func TestReaderSurvivesPanic(t *testing.T) {
	var log bytes.Buffer
	d := &Daemon{metrics: newDaemonMetrics(), logger: slog.New(slog.NewTextHandler(&log, nil))}
	panicking := func(netip.AddrPort, *buffer, int) bool { panic("odd datagram") }
	require.True(t, d.receiveGuarded(panicking, netip.MustParseAddrPort("127.0.0.1:1"), new(buffer), 1))
	require.EqualValues(t, 1, d.metrics.readPanics.Count())
	require.Contains(t, log.String(), "odd datagram")
	require.False(t, d.receiveGuarded(func(netip.AddrPort, *buffer, int) bool { return false }, netip.AddrPort{}, new(buffer), 1))
	require.EqualValues(t, 1, d.metrics.readPanics.Count())
}
