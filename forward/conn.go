package forward

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushfall/bulrushfall/internal/httpconn"
)

// Sizes of connections to backend servers.
const (
	readBufferBytes  = 4 << 10
	maxStrayAnswers  = 2
	maxStrayBytes    = 1 << 20
	responseHeadTime = time.Second
)

// conn is a connection to a backend server.
type conn struct {
	*httpconn.Conn
	reused    bool
	idleFor   time.Duration
	idleUntil time.Duration
	deadline  time.Time
}

func newConn(nc net.Conn) *conn {
	return &conn{Conn: httpconn.New(nc, readBufferBytes), idleFor: defaultIdle}
}

// Errors of responses that end the use of a connection.
var (
	errStrayAnswers  = errors.New("backend server sends only answers to other requests")
	errEventTooLarge = errors.New("event of the backend server exceeds 1 MiB")
)

func (c *conn) close() { _ = c.Conn.Close() }

// quiet reports whether an idle connection is open and holds no unread bytes.
func (c *conn) quiet() bool {
	c.setDeadline(time.Time{})
	return c.Alive()
}

// wait returns nil when there is something to read, or the error of a read that
// ended at the deadline.
func (c *conn) wait(until time.Time) error {
	if c.Reader.Buffered() > 0 {
		return nil
	}
	c.setDeadline(until)
	_, err := c.Reader.Peek(1)
	return err
}

// setDeadline moves the read deadline.
func (c *conn) setDeadline(until time.Time) {
	if !until.Equal(c.deadline) {
		c.deadline = until
		_ = c.Conn.SetReadDeadline(until) // A closed connection shows at the read.
	}
}

// readHead parses a response head.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.setDeadline(time.Now().Add(responseHeadTime))
	return c.Response(r)
}

// noteIdle takes over how long the backend server keeps the connection.
func (c *conn) noteIdle(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil {
			c.idleFor = max(0, time.Duration(s*float64(time.Second))-idleMargin)
		}
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
