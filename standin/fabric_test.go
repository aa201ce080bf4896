package standin

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
)

func startFabric(t *testing.T, s FabricSettings) *Fabric {
	t.Helper()
	s.Listen = "127.0.0.1:0"
	f, err := StartFabric(s)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// listenLoopback returns a UDP socket on loopback and its address.
func listenLoopback(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := listenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startEntry starts an entry instance and returns its address. It replies to each
// datagram with its name, the sender's address and the datagram.
func startEntry(t *testing.T, name string) netip.AddrPort {
	t.Helper()
	conn, address := listenLoopback(t)
	go func() {
		buffer := make([]byte, maxDatagramSize)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(fmt.Appendf(nil, "%s %s %s", name, from, buffer[:n]), from)
		}
	}()
	return address
}

// reply is the reply of an entry instance through a fabric.
type reply struct{ entry, caller, data string }

// testCaller sends datagrams to a fabric.
type testCaller struct {
	t      *testing.T
	conn   *net.UDPConn
	fabric netip.AddrPort
}

func newCaller(t *testing.T, f *Fabric) *testCaller {
	conn, _ := listenLoopback(t)
	return &testCaller{t, conn, netip.MustParseAddrPort(f.Address())}
}

func (c *testCaller) send(data string) {
	_, err := c.conn.WriteToUDPAddrPort([]byte(data), c.fabric)
	require.NoError(c.t, err)
}

func (c *testCaller) receive() reply {
	c.t.Helper()
	require.NoError(c.t, c.conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	buffer := make([]byte, maxDatagramSize)
	n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
	require.NoError(c.t, err)
	require.Equal(c.t, c.fabric, from, "replies come from the fabric's address")
	var r reply
	_, err = fmt.Sscan(string(buffer[:n]), &r.entry, &r.caller, &r.data)
	require.NoError(c.t, err)
	return r
}

func TestFabricDistributesDatagrams(t *testing.T) {
	entries := []string{startEntry(t, "e1").String(), startEntry(t, "e2").String(), startEntry(t, "e3").String()}
	f := startFabric(t, FabricSettings{Entries: entries, Seed: 1})
	a, b := newCaller(t, f), newCaller(t, f)
	perEntry := map[string]int{}
	sockets := map[string]bool{}
	for i := range 60 {
		data := fmt.Sprint(i)
		a.send(data)
		r := a.receive()
		require.Equal(t, data, r.data)
		perEntry[r.entry]++
		sockets[r.caller] = true
	}
	require.Len(t, perEntry, 3, "each entry instance gets datagrams")
	require.Len(t, sockets, 1, "a caller keeps its socket")
	b.send("x")
	require.NotContains(t, sockets, b.receive().caller, "each caller has its own socket")
	require.Equal(t, int64(61), f.Counts()["in"])
	require.Equal(t, int64(61), f.Counts()["out"])
}

func TestFabricSetEntries(t *testing.T) {
	first, second := startEntry(t, "e1"), startEntry(t, "e2")
	f := startFabric(t, FabricSettings{Entries: []string{first.String()}})
	c := newCaller(t, f)
	c.send("x")
	require.Equal(t, "e1", c.receive().entry)
	status, _ := callHandler(f.Control(), http.MethodPut, "/entries", fmt.Sprintf("[%q]", second))
	require.Equal(t, http.StatusOK, status)
	c.send("x")
	require.Equal(t, "e2", c.receive().entry)
	status, answer := callHandler(f.Control(), http.MethodPut, "/entries", `["nowhere"]`)
	require.Equal(t, http.StatusBadRequest, status, answer)
	f.SetEntries(nil)
	c.send("x")
	waitUntil(t, func() bool { return f.Counts()["undeliverable"] == 1 })
}

func TestFabricSkipsBlockedEntries(t *testing.T) {
	first, second := startEntry(t, "e1"), startEntry(t, "e2")
	f := startFabric(t, FabricSettings{Entries: []string{first.String(), second.String()}})
	require.NoError(t, f.SetFaults(FabricFaults{BlockedEntries: []netip.AddrPort{first}}))
	c := newCaller(t, f)
	for range 20 {
		c.send("x")
		require.Equal(t, "e2", c.receive().entry)
	}
}

func TestFabricFaults(t *testing.T) {
	f := startFabric(t, FabricSettings{Entries: []string{startEntry(t, "e1").String()}})
	c := newCaller(t, f)

	require.NoError(t, f.SetFaults(FabricFaults{Loss: 1}))
	c.send("lost")
	waitUntil(t, func() bool { return f.Counts()["lost"] == 1 })

	require.NoError(t, f.SetFaults(FabricFaults{Duplicate: 1}))
	c.send("twice")
	for range 4 { // duplicated in both directions
		require.Equal(t, "twice", c.receive().data)
	}

	require.NoError(t, f.SetFaults(FabricFaults{Delay: 10, Jitter: 5}))
	start := time.Now()
	c.send("late")
	require.Equal(t, "late", c.receive().data)
	require.GreaterOrEqual(t, time.Since(start), (20 * clock.Millisecond).Duration())

	require.NoError(t, f.SetFaults(FabricFaults{Reorder: 0.5}))
	delayed := f.Counts()["delayed"]
	missing := map[string]bool{}
	for i := range 20 {
		missing[fmt.Sprint(i)] = true
		c.send(fmt.Sprint(i))
	}
	for range 20 {
		delete(missing, c.receive().data)
	}
	require.Empty(t, missing)
	require.Greater(t, f.Counts()["delayed"], delayed)
}

func TestFabricCallerLimit(t *testing.T) {
	f := startFabric(t, FabricSettings{Entries: []string{startEntry(t, "e1").String()}, MaxCallers: 1})
	a, b := newCaller(t, f), newCaller(t, f)
	a.send("x")
	a.receive()
	b.send("x")
	waitUntil(t, func() bool { return f.Counts()["full"] == 1 })
	f.closeCallersIdleSince(clock.Now() + 1)
	b.send("x")
	require.Equal(t, "x", b.receive().data)
	a.send("x")
	waitUntil(t, func() bool { return f.Counts()["full"] == 2 })
}
