package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Parameters of callers' connections.
const (
	// parkAfter is how long a caller may read nothing before its stream is parked.
	parkAfter = 2 * time.Second
	// sendBufferBytes limits the kernel's send buffer of a caller's connection.
	// Otherwise, the kernel would let it grow to several megabytes before a
	// stalled caller is detected.
	sendBufferBytes = 16 << 10
)

// stallConn is a caller's connection that detects when the caller stops reading.
// While stalls are detected, a write that makes no progress for parkAfter buffers
// the unsent bytes and returns, so that the writing goroutine can release its
// other resources.
type stallConn struct {
	net.Conn
	parkAfter time.Duration

	mu           sync.Mutex
	detectStalls bool
	unsent       []byte
}

// stallListener wraps accepted connections in a stallConn.
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
		// On failure, the kernel's default remains, which only costs memory.
		_ = tc.SetWriteBuffer(sendBufferBytes)
	}
	return &stallConn{Conn: c, parkAfter: l.parkAfter}, nil
}

// Unwrap implements callerconn.Unwrapper.
func (c *stallConn) Unwrap() net.Conn { return c.Conn }

type stallConnKey struct{}

// withStallConn adds the request's stallConn to the context.
func withStallConn(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	if sc, ok := c.(*stallConn); ok {
		return context.WithValue(ctx, stallConnKey{}, sc)
	}
	return ctx
}

// setDetectStalls switches the detection of stalls on or off.
func (c *stallConn) setDetectStalls(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectStalls = on
}

// stalled reports whether there are unsent bytes.
func (c *stallConn) stalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unsent) > 0
}

// Write implements net.Conn.
func (c *stallConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.unsent) > 0 {
		// These bytes belong to the frame that stalled, because the writer checks
		// for a stall after each frame.
		c.unsent = append(c.unsent, b...)
		c.mu.Unlock()
		return len(b), nil
	}
	parking := c.detectStalls
	c.mu.Unlock()
	if !parking {
		return c.Conn.Write(b)
	}
	return c.writeOrBuffer(b)
}

func (c *stallConn) writeOrBuffer(b []byte) (int, error) {
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
			c.unsent = append([]byte(nil), b[sent:]...)
			c.mu.Unlock()
			return len(b), nil
		}
	}
	return sent, nil
}

// sendUnsent sends the buffered bytes. It blocks until the kernel has accepted
// them or the limit has passed.
func (c *stallConn) sendUnsent(limit time.Duration) error {
	c.mu.Lock()
	b := c.unsent
	c.mu.Unlock()
	if err := c.Conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := c.Conn.Write(b); err != nil {
		return err
	}
	c.mu.Lock()
	c.unsent = nil
	c.mu.Unlock()
	return nil
}
