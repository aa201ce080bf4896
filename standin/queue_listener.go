package standin

import (
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// fillTimeout is the time for a connection that fills a queue, in ms.
const fillTimeout = 50 * clock.Millisecond

// queueListener is a TCP listener whose queue of new connections can be filled.
type queueListener struct {
	*net.TCPListener

	acceptGate sync.Mutex // locked while the queue is full
	fillers    []net.Conn // connections that fill the queue; guarded by mu
	full       bool       // guarded by mu
	mu         sync.Mutex
}

func listenQueue(address string) (*queueListener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &queueListener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept waits for a connection and, while the queue is full, until that ends.
func (l *queueListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	l.acceptGate.Lock()
	defer l.acceptGate.Unlock()
	return c, err
}

// setFull fills the queue, or empties it.
func (l *queueListener) setFull(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on == l.full {
		return nil
	}
	l.full = on
	if !on {
		for _, c := range l.fillers {
			c.Close()
		}
		l.fillers = nil
		l.acceptGate.Unlock()
		return l.setQueueLength(syscall.SOMAXCONN)
	}
	l.acceptGate.Lock()
	if err := l.setQueueLength(0); err != nil {
		return err
	}
	for range 2 { // the pending Accept takes one; a queue of length 0 holds one
		c, err := net.DialTimeout("tcp4", l.Addr().String(), fillTimeout.Duration())
		if err != nil {
			return nil // other connections have filled the queue
		}
		l.fillers = append(l.fillers, c)
	}
	return nil
}

// setQueueLength changes the length of the queue of a listener that is already listening.
func (l *queueListener) setQueueLength(n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(listenErr)
}
