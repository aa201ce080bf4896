package entry

import (
	"bytes"
	"net"
	"net/netip"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/ipv4"
)

// sendBatchSize is the maximum number of datagrams sent with one system call.
const sendBatchSize = 32

// sendBatch collects datagrams for one socket, so that one system call sends
// several. It is used by one goroutine, which calls flush before it blocks.
type sendBatch struct {
	conn     *ipv4.PacketConn // also sends to IPv6, since each message carries its address
	unsent   metrics.Counter
	messages []ipv4.Message // the first count of them are to be sent
	entries  [sendBatchSize]sendBatchEntry
	count    int
}

// sendBatchEntry holds one datagram and the counters to increment when it was
// sent.
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

// nextBuffer returns the empty buffer for the next datagram. The datagram is not
// part of the batch until add is called.
func (b *sendBatch) nextBuffer() *bytes.Buffer {
	if b.count == sendBatchSize {
		b.flush()
	}
	buffer := &b.entries[b.count].data
	buffer.Reset()
	return buffer
}

// add adds the datagram in the buffer that nextBuffer returned.
func (b *sendBatch) add(to netip.AddrPort, packets, bytes metrics.Counter) {
	e := &b.entries[b.count]
	e.packets, e.bytes = packets, bytes
	e.address.IP = append(e.address.IP[:0], to.Addr().AsSlice()...)
	e.address.Port, e.address.Zone = int(to.Port()), to.Addr().Zone()
	b.messages[b.count].Buffers[0] = e.data.Bytes()
	b.count++
}

// flush sends the batch. A datagram that the kernel rejects is counted as unsent
// and skipped.
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
