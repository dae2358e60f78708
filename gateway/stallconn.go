package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Parameters of caller connections.
const (
	// parkAfter is how long a reader may take nothing before it is parked.
	parkAfter = 2 * time.Second
	// sendBufferBytes bounds what the kernel holds for one caller. The kernel
	// would otherwise grow the buffer to several megabytes before a stopped
	// reader is noticed.
	sendBufferBytes = 16 << 10
)

// stallConn is a caller's connection that notices a reader that has stopped.
// While an answer is streamed, a write that makes no progress for the park
// time keeps the unsent bytes and returns, so that the goroutine that writes
// can release everything else that it holds.
type stallConn struct {
	net.Conn
	parkAfter time.Duration

	mu      sync.Mutex
	parking bool
	pending []byte
}

// stallListener wraps accepted connections.
type stallListener struct {
	net.Listener
	parkAfter time.Duration
}

// Accept implements net.Listener.
func (l stallListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tc, ok := c.(*net.TCPConn); ok {
		// A failure leaves the kernel's default, which costs memory only.
		_ = tc.SetWriteBuffer(sendBufferBytes)
	}
	return &stallConn{Conn: c, parkAfter: l.parkAfter}, nil
}

type connKey struct{}

// connContext makes the connection of a request available to its handler.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	if sc, ok := c.(*stallConn); ok {
		return context.WithValue(ctx, connKey{}, sc)
	}
	return ctx
}

// setParking switches the notice of stopped readers on or off.
func (c *stallConn) setParking(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parking = on
}

// stalled reports whether unsent bytes are kept.
func (c *stallConn) stalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// Write implements net.Conn.
func (c *stallConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.pending) > 0 {
		// Only the rest of the frame that stalled arrives here: the writer
		// checks for a stall after each frame.
		c.pending = append(c.pending, b...)
		c.mu.Unlock()
		return len(b), nil
	}
	parking := c.parking
	c.mu.Unlock()
	if !parking {
		return c.Conn.Write(b)
	}
	return c.writeOrKeep(b)
}

func (c *stallConn) writeOrKeep(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.parkAfter)); err != nil {
			return sent, err
		}
		n, err := c.Conn.Write(b[sent:])
		sent += n
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return sent, err
		case n == 0:
			c.mu.Lock()
			c.pending = append([]byte(nil), b[sent:]...)
			c.mu.Unlock()
			return len(b), nil
		}
	}
	return sent, nil
}

// drain sends the kept bytes. It blocks until the reader has taken them or the
// limit has passed.
func (c *stallConn) drain(limit time.Duration) error {
	c.mu.Lock()
	b := c.pending
	c.mu.Unlock()
	if err := c.Conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := c.Conn.Write(b); err != nil {
		return err
	}
	c.mu.Lock()
	c.pending = nil
	c.mu.Unlock()
	return nil
}
