package entry

import (
	"bytes"
	"net"
	"net/netip"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/ipv4"
)

// sendBatch is the number of datagrams that one system call sends at most.
const sendBatchSize = 32

// batch collects datagrams that leave on one socket, so that one system call
// sends several. It is for one goroutine, which flushes it before it waits.
type sendBatch struct {
	conn     *ipv4.PacketConn // fit for IPv6 too: messages carry their addresses
	unsent   metrics.Counter
	messages []ipv4.Message // those below filled wait
	entries  [sendBatchSize]sendBatchEntry
	count    int
}

// batchEntry is the room of one datagram, and the counters that count it once it
// is sent.
type sendBatchEntry struct {
	data           bytes.Buffer
	address        net.UDPAddr
	packets, bytes metrics.Counter
}

func newSendBatch(c *net.UDPConn, unsent metrics.Counter) *sendBatch {
	b := &sendBatch{conn: ipv4.NewPacketConn(c), unsent: unsent, messages: make([]ipv4.Message, sendBatchSize)}
	for i := range b.messages {
		b.messages[i].Buffers = make([][]byte, 1)
		b.messages[i].Addr = &b.entries[i].address
	}
	return b
}

// next returns the room for the next datagram. It counts only when add is called.
func (b *sendBatch) nextBuffer() *bytes.Buffer {
	if b.count == sendBatchSize {
		b.flush()
	}
	buffer := &b.entries[b.count].data
	buffer.Reset()
	return buffer
}

// add sends what next's room holds with the batch.
func (b *sendBatch) add(to netip.AddrPort, packets, bytes metrics.Counter) {
	e := &b.entries[b.count]
	e.packets, e.bytes = packets, bytes
	e.address.IP = append(e.address.IP[:0], to.Addr().AsSlice()...)
	e.address.Port, e.address.Zone = int(to.Port()), to.Addr().Zone()
	b.messages[b.count].Buffers[0] = e.data.Bytes()
	b.count++
}

// flush sends what waits. A datagram that the kernel refuses is left out.
func (b *sendBatch) flush() {
	for sent := 0; sent < b.count; {
		n, err := b.conn.WriteBatch(b.messages[sent:b.count], 0)
		for _, e := range b.entries[sent : sent+max(0, n)] {
			e.packets.Inc(1)
			e.bytes.Inc(int64(e.data.Len()))
		}
		sent += max(0, n)
		if err != nil {
			b.unsent.Inc(1)
			sent++
		}
	}
	b.count = 0
}
