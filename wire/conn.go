package wire

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// conn is a connection that carries frames. Writes are serialised; only the goroutine
// of the read loop reads.
type conn struct {
	netConn net.Conn
	r       *bufio.Reader

	mu sync.Mutex
	w  *bufio.Writer

	closeOnce sync.Once
	closed    chan struct{}
}

func newConn(c net.Conn) *conn {
	return &conn{
		netConn: c,
		r:       bufio.NewReader(c),
		w:       bufio.NewWriter(c),
		closed:  make(chan struct{}),
	}
}

func (c *conn) write(f *frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.netConn.SetWriteDeadline(time.Now().Add(SilenceTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	return writeFrame(c.w, f)
}

// read returns the next frame. It fails if no frame arrives within SilenceTimeout,
// because the other end sends heartbeats.
func (c *conn) read() (*frame, error) {
	if err := c.netConn.SetReadDeadline(time.Now().Add(SilenceTimeout)); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	return readFrame(c.r, MaxFrameBytes)
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.netConn.Close()
	})
}

// sendHeartbeats sends pings until the connection is closed. It closes the connection
// when idle reports true.
func (c *conn) sendHeartbeats(idle func() bool) {
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-t.C:
			if idle() {
				c.close()
				return
			}
			if err := c.write(&frame{Type: framePing}); err != nil {
				c.close()
				return
			}
		}
	}
}
