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
	"github.com/bulrushfall/bulrushfall/internal/saturate"
)

// Limits of connections to backend servers.
const (
	readBufferBytes = 4 << 10
	// maxUnmatchedResponses is the number of responses to other requests that are
	// discarded while a request waits for its own.
	maxUnmatchedResponses = 2
	// maxDiscardBytes limits the body of a response to another request that is read before
	// the awaited response.
	maxDiscardBytes = 1 << 20
)

// conn is a connection to a backend server.
type conn struct {
	*httpconn.Conn
	reused       bool // taken from the idle connections
	idleTimeout  time.Duration
	idleDeadline time.Duration
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

// setIdleTimeout sets the idle timeout from the Keep-Alive header of a response.
func (c *conn) setIdleTimeout(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil {
			c.idleTimeout = max(0, saturate.Duration(s, time.Second)-idleTimeoutMargin)
		}
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
