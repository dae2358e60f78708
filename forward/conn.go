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

// Limits of connections to backend servers.
const (
	readBufferBytes = 4 << 10
	// maxUnmatchedResponses is the number of responses to other requests that are
	// discarded while a request waits for its own.
	maxUnmatchedResponses = 2
	// maxDiscardBytes limits how much of an unused response body is read to keep the
	// connection.
	maxDiscardBytes = 1 << 20
	// responseReadTimeout limits each read of a response, once data is available.
	responseReadTimeout = time.Second
)

// conn is a connection to a backend server.
type conn struct {
	*httpconn.Conn
	reused       bool // taken from the idle connections
	idleTimeout  time.Duration
	idleDeadline time.Duration
	readDeadline time.Time
}

func newConn(nc net.Conn) *conn {
	return &conn{Conn: httpconn.New(nc, readBufferBytes), idleTimeout: defaultIdleTimeout}
}

// Errors of responses after which a connection is closed.
var (
	errUnmatchedResponses = errors.New("backend server sent only responses to other requests")
	errEventTooLarge      = errors.New("event from the backend server exceeds 1 MiB")
)

func (c *conn) close() { _ = c.Conn.Close() }

// isReusable reports whether an idle connection is open and holds no unread bytes.
func (c *conn) isReusable() bool {
	c.setDeadline(time.Time{})
	return c.Alive()
}

// waitReadable waits until data can be read. It returns the read error if the
// connection fails or the deadline passes before.
func (c *conn) waitReadable(until time.Time) error {
	if c.Reader.Buffered() > 0 {
		return nil
	}
	c.setDeadline(until)
	_, err := c.Reader.Peek(1)
	return err
}

// setDeadline sets the read deadline if it differs from the current one.
func (c *conn) setDeadline(until time.Time) {
	if !until.Equal(c.readDeadline) {
		c.readDeadline = until
		_ = c.Conn.SetReadDeadline(until) // On a closed connection the next read fails.
	}
}

// readResponseHead reads and parses a response head.
func (c *conn) readResponseHead(r *http.Request) (*http.Response, error) {
	c.setDeadline(time.Now().Add(responseReadTimeout))
	return c.ReadResponse(r)
}

// setIdleTimeout sets the idle timeout from the Keep-Alive header of a response.
func (c *conn) setIdleTimeout(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil {
			c.idleTimeout = max(0, time.Duration(s*float64(time.Second))-idleTimeoutMargin)
		}
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
