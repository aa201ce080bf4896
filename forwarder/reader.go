package forwarder

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Limits of waits of packets, in ms.
const (
	// Packets that waited this long are late, and a backlog with such packets is logged.
	lateLimit = 100 * clock.Millisecond
	// recentWait looks back between one and two of these.
	waitWindow = 2 * clock.Second
)

// packetReader reads packets and bounds how long they waited in the socket's buffer. The
// kernel's receive time stamps would give the wait itself, but not all platforms have them.
// Instead, a backlog starts with the first packet after a read that found the socket empty:
// later packets arrived after that read, so they waited no longer than the backlog lasts. The
// time until the process is woken for the first packet isn't included, but a tick that is due
// meanwhile is as late.
type packetReader struct {
	connection syscall.RawConn
	attempt    func(fd uintptr) bool // readOnce, allocated once
	onLate     func(b backlog)       // called for the first late packet of a backlog
	onEnd      func(b backlog)       // called at the end of a backlog with late packets

	buffer []byte // of the read under way, as the next two
	size   int
	err    error

	backlog   backlog
	startedAt atomic.Int64 // clock.Millis when the backlog started; 0 while the socket is empty

	mu       sync.Mutex
	longest  [2]clock.Millis // longest waits in the present waitWindow and in the one before
	windowAt clock.Millis    // start of the present window
}

// backlog is a time in which no read found the socket empty.
type backlog struct {
	startedAt clock.Millis
	length    clock.Millis // until the latest packet was read
	packets   int
	late      int // packets that waited at least lateLimit
}

// open prepares reading from a socket. Before it, there are no waits.
func (r *packetReader) open(c *net.UDPConn, onLate, onEnd func(b backlog)) (err error) {
	if r.connection, err = c.SyscallConn(); err != nil {
		return errors.Wrap(err, "access the packet socket")
	}
	r.attempt, r.onLate, r.onEnd = r.readOnce, onLate, onEnd
	return nil
}

// read reads a packet, and returns its size and how long it may have waited. Only one
// goroutine may call it.
func (r *packetReader) read(buffer []byte) (size int, waited clock.Millis, err error) {
	r.buffer = buffer
	if err := r.connection.Read(r.attempt); err != nil {
		return 0, 0, err
	}
	if r.err != nil {
		return 0, 0, errors.Wrap(r.err, "read")
	}
	return r.size, r.recordRead(clock.Now()), nil
}

// readOnce tries to read a packet, and reports whether the read is over. It isn't if the
// socket is empty.
func (r *packetReader) readOnce(fd uintptr) bool {
	for {
		r.size, r.err = unix.Read(int(fd), r.buffer)
		switch r.err {
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			r.endBacklog()
			return false
		}
		return true
	}
}

func (r *packetReader) recordRead(now clock.Millis) (waited clock.Millis) {
	b := &r.backlog
	if b.packets == 0 {
		b.startedAt = now
		r.startedAt.Store(int64(now))
	}
	b.packets++
	b.length = now - b.startedAt
	if b.length >= lateLimit {
		if b.late++; b.late == 1 {
			r.onLate(*b)
		}
	}
	return b.length
}

func (r *packetReader) endBacklog() {
	r.startedAt.Store(0)
	b := r.backlog
	r.backlog = backlog{}
	if b.length > 0 {
		r.recordWait(b.startedAt+b.length, b.length)
	}
	if b.late > 0 {
		r.onEnd(b)
	}
}

func (r *packetReader) recordWait(now, wait clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shift(now)
	r.longest[0] = max(r.longest[0], wait)
}

// shift starts a new window if the present one is over.
func (r *packetReader) shift(now clock.Millis) {
	switch age := now - r.windowAt; {
	case age >= 2*waitWindow:
		r.longest, r.windowAt = [2]clock.Millis{}, now
	case age >= waitWindow:
		r.longest, r.windowAt = [2]clock.Millis{0, r.longest[0]}, r.windowAt+waitWindow
	}
}

// wait returns how long a packet that is still unread may have waited.
func (r *packetReader) wait(now clock.Millis) clock.Millis {
	if at := clock.Millis(r.startedAt.Load()); at != 0 {
		return max(now-at, 0)
	}
	return 0
}

// recentWait returns the longest wait of the last seconds, including that of unread packets and
// the delays of ticks.
func (r *packetReader) recentWait(now clock.Millis) clock.Millis {
	wait := r.wait(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shift(now)
	return max(wait, r.longest[0], r.longest[1])
}
