package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxConnections bounds the callers' connections of one process. A connection
// takes about 10 KiB in net/http, so that they stay below 160 MiB.
const maxConnections = 16384

// refusalHead ends the status line of the refusals that net/http writes by
// itself, for requests that reach no handler.
var refusalHead = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// limitListener bounds the number of connections.
type limitListener struct {
	net.Listener
	open  atomic.Int64
	limit int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		lc := &limitConn{Conn: c, open: &l.open}
		lc.startHeader()
		if l.open.Add(1) <= l.limit {
			return lc, nil
		}
		// The message fits into the empty send buffer, so that this does not block.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Write(rawProblem(&ProblemConnections))
		_ = lc.Close()
	}
}

// limitConn watches the request headers of a caller's connection.
type limitConn struct {
	net.Conn
	open  *atomic.Int64
	close sync.Once
	// conflict is set when the current request has both Content-Length and
	// Transfer-Encoding, of which net/http drops the first without a word.
	conflict atomic.Bool

	mu     sync.Mutex
	header headerScanner
}

// NetConn returns the wrapped connection.
func (c *limitConn) NetConn() net.Conn { return c.Conn }

// startHeader expects the header of the next request.
func (c *limitConn) startHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header = headerScanner{active: true}
	c.conflict.Store(false)
}

// Read implements net.Conn. A header that does not arrive in time gets an
// answer here, because net/http only closes the connection.
func (c *limitConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.header.active {
		return n, err
	}
	c.header.scan(b[:n])
	c.conflict.Store(c.header.length && c.header.encoding)
	if c.header.active && c.header.begun && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write(rawProblem(&ProblemSlowHeader))
	}
	return n, err
}

// Write implements net.Conn. It replaces the plain text refusals of net/http by
// problem details.
func (c *limitConn) Write(b []byte) (int, error) {
	line, detail, ok := bytes.Cut(b, refusalHead)
	if !ok || bytes.Contains(line, []byte("\r\n")) {
		return c.Conn.Write(b)
	}
	p := ProblemMalformed
	switch {
	case bytes.HasPrefix(line, []byte("HTTP/1.1 431")):
		p = ProblemHeaderTooLarge
	case bytes.HasPrefix(line, []byte("HTTP/1.1 5")):
		p = ProblemUnsupported
	}
	if _, err := c.Conn.Write(rawProblem(p.With("%s", detail))); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.close.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// rawProblem is a whole response for a request that reaches no handler.
func rawProblem(p *Problem) []byte {
	body, err := json.Marshal(p)
	if err != nil {
		body = nil
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		p.Status, http.StatusText(p.Status), len(body))
	return append([]byte(head), body...)
}

// headerScanner looks for two field names in a request header. It keeps at most
// the longer of the names of the current line.
type headerScanner struct {
	active           bool
	begun            bool // any byte was seen
	length, encoding bool
	name             [len("transfer-encoding")]byte
	n                int  // bytes of the name of the current line
	inValue          bool // past the colon or the longest name
	empty            bool // the current line is empty so far
}

func (s *headerScanner) scan(b []byte) {
	for _, c := range b {
		if !s.active {
			return
		}
		s.next(c)
	}
}

func (s *headerScanner) next(c byte) {
	first := !s.begun
	s.begun = true
	switch {
	case c == '\n':
		if s.empty {
			s.active = false
		}
		s.n, s.inValue, s.empty = 0, false, true
	case c == '\r':
	case s.inValue:
	case c == ':':
		s.inValue = true
		s.match()
	case s.n == len(s.name):
		s.inValue = true
	default:
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		s.name[s.n] = c
		s.n++
	}
	if first || c != '\n' && c != '\r' {
		s.empty = false
	}
}

func (s *headerScanner) match() {
	switch string(s.name[:s.n]) {
	case "content-length":
		s.length = true
	case "transfer-encoding":
		s.encoding = true
	}
}

type limitConnKey struct{}

// limitContext makes the connection of a request available to the limits. It
// runs before the connection is read.
func limitContext(ctx context.Context, c net.Conn) context.Context {
	lc, plain := c.(*limitConn)
	if t, ok := c.(interface{ NetConn() net.Conn }); ok && !plain {
		lc, _ = t.NetConn().(*limitConn)
	}
	if lc == nil {
		return connContext(ctx, c)
	}
	if !plain {
		// Under TLS the bytes that pass here are not a header.
		lc.mu.Lock()
		lc.header = headerScanner{}
		lc.mu.Unlock()
	}
	return context.WithValue(connContext(ctx, lc), limitConnKey{}, lc)
}

func limitConnOf(ctx context.Context) *limitConn {
	c, _ := ctx.Value(limitConnKey{}).(*limitConn)
	return c
}

// connState expects a new header on a connection that has become idle.
func connState(c net.Conn, s http.ConnState) {
	if lc, ok := c.(*limitConn); ok && s == http.StateIdle {
		lc.startHeader()
	}
}
