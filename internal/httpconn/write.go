package httpconn

import (
	"syscall"
)

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
