package httpconn

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// writes records the failures of writes to a connection that is read at the same time. The system
// reports the reset of a connection once: if a write receives it, a read only finds that the connection
// has ended, as if the other end had closed it in order.
type writes struct {
	// mu is locked during a write.
	mu sync.Mutex
	// err is the first error of a write that shows that the connection has failed.
	err error
}

// write writes to the connection.
func (w *writes) write(c net.Conn, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := c.Write(p)
	w.record(err)
	return n, err
}

// record records the error of a write. w.mu must be locked. EPIPE is no failure: a reset that follows
// the end of the other side's data is reported so, and those data are whole.
func (w *writes) record(err error) {
	if err != nil && w.err == nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
		w.err = err
	}
}

// failure returns the error that a write has received in place of the read that has found the end of
// the connection, or nil if the other end has closed the connection in order. It ends a write that is
// in progress: what is left of the request cannot change the response.
func (w *writes) failure(c net.Conn) error {
	if !w.mu.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(0, 1)) // Fails only if the connection is closed.
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	return errors.Wrap(w.err, "connection failed while the request was written")
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) { return c.writes.write(c.Conn, p) }

// WriteReady writes the bytes that the connection accepts without blocking, and returns their
// number. It writes none if the connection has no file descriptor.
func (c *Conn) WriteReady(p []byte) (n int, err error) {
	if c.rawConn == nil {
		return 0, nil
	}
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	rawErr := c.rawConn.Write(func(fd uintptr) bool {
		for n < len(p) {
			k, e := syscall.Write(int(fd), p[n:])
			switch {
			case e == syscall.EINTR:
			case e == syscall.EAGAIN || e == syscall.EWOULDBLOCK:
				return true
			case e != nil:
				err = e
				return true
			default:
				n += k
			}
		}
		return true
	})
	if err == nil {
		err = rawErr
	}
	c.writes.record(err)
	return n, err
}
