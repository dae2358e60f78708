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

// maxConnections limits the callers' connections of one process. A connection uses
// about 10 KiB of memory in net/http, so all connections together use at most
// about 160 MiB.
const maxConnections = 16384

// netHTTPErrorHeaders follows the status line in the error responses of net/http
// for requests that reach no handler.
var netHTTPErrorHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// limitListener limits the number of connections.
type limitListener struct {
	net.Listener
	openConns atomic.Int64
	limit     int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		lc := &limitConn{Conn: c, openConns: &l.openConns}
		lc.startHeader()
		if l.openConns.Add(1) <= l.limit {
			return lc, nil
		}
		// The message fits in the empty send buffer, so this does not block.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Write(problemResponse(&ProblemTooManyConnections))
		_ = lc.Close()
	}
}

// limitConn monitors the request headers on a caller's connection.
type limitConn struct {
	net.Conn
	openConns *atomic.Int64
	close     sync.Once
	// conflictingLength is set if the current request has both Content-Length and
	// Transfer-Encoding. net/http silently ignores the Content-Length of such a
	// request.
	conflictingLength atomic.Bool

	mu     sync.Mutex
	header headerScanner
}

// NetConn returns the wrapped connection.
func (c *limitConn) NetConn() net.Conn { return c.Conn }

// startHeader prepares for the header of the next request.
func (c *limitConn) startHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header = headerScanner{inHeader: true}
	c.conflictingLength.Store(false)
}

// Read implements net.Conn. If a header does not arrive in time, Read sends the
// error response, because net/http would only close the connection.
func (c *limitConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.header.inHeader {
		return n, err
	}
	c.header.scan(b[:n])
	c.conflictingLength.Store(c.header.hasContentLength && c.header.hasTransferEncoding)
	if c.header.inHeader && c.header.started && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write(problemResponse(&ProblemSlowHeader))
	}
	return n, err
}

// Write implements net.Conn. It replaces the plain text error responses of
// net/http by problem details.
func (c *limitConn) Write(b []byte) (int, error) {
	line, detail, ok := bytes.Cut(b, netHTTPErrorHeaders)
	if !ok || bytes.Contains(line, []byte("\r\n")) {
		return c.Conn.Write(b)
	}
	p := ProblemMalformedRequest
	switch {
	case bytes.HasPrefix(line, []byte("HTTP/1.1 431")):
		p = ProblemHeaderTooLarge
	case bytes.HasPrefix(line, []byte("HTTP/1.1 5")):
		p = ProblemUnsupportedRequest
	}
	if _, err := c.Conn.Write(problemResponse(p.WithDetail("%s", detail))); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.close.Do(func() { c.openConns.Add(-1) })
	return c.Conn.Close()
}

// problemResponse returns a complete HTTP response for a request that reaches no
// handler.
func problemResponse(p *Problem) []byte {
	body, err := json.Marshal(p)
	if err != nil {
		body = nil
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		p.Status, http.StatusText(p.Status), len(body))
	return append([]byte(head), body...)
}

// headerScanner detects two field names in a request header. It buffers only the
// start of the current line, up to the length of the longer name.
type headerScanner struct {
	inHeader                              bool // the header is not complete yet
	started                               bool // at least one byte was scanned
	hasContentLength, hasTransferEncoding bool
	name                                  [len("transfer-encoding")]byte
	nameLen                               int  // length of the current line's name so far
	inValue                               bool // past the colon or longer than both names
	lineEmpty                             bool // the current line is empty so far
}

func (s *headerScanner) scan(b []byte) {
	for _, c := range b {
		if !s.inHeader {
			return
		}
		s.next(c)
	}
}

func (s *headerScanner) next(c byte) {
	first := !s.started
	s.started = true
	switch {
	case c == '\n':
		if s.lineEmpty {
			s.inHeader = false
		}
		s.nameLen, s.inValue, s.lineEmpty = 0, false, true
	case c == '\r':
	case s.inValue:
	case c == ':':
		s.inValue = true
		s.matchName()
	case s.nameLen == len(s.name):
		s.inValue = true
	default:
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		s.name[s.nameLen] = c
		s.nameLen++
	}
	if first || c != '\n' && c != '\r' {
		s.lineEmpty = false
	}
}

func (s *headerScanner) matchName() {
	switch string(s.name[:s.nameLen]) {
	case "content-length":
		s.hasContentLength = true
	case "transfer-encoding":
		s.hasTransferEncoding = true
	}
}

type limitConnKey struct{}

// withLimitConn adds the connection's limitConn to its context. net/http calls it
// once for each new connection, before the first read.
func withLimitConn(ctx context.Context, c net.Conn) context.Context {
	lc, withoutTLS := c.(*limitConn)
	if t, ok := c.(interface{ NetConn() net.Conn }); ok && !withoutTLS {
		lc, _ = t.NetConn().(*limitConn)
	}
	if lc == nil {
		return withStallConn(ctx, c)
	}
	if !withoutTLS {
		// Under TLS, the bytes on this connection are encrypted.
		lc.mu.Lock()
		lc.header = headerScanner{}
		lc.mu.Unlock()
	}
	return context.WithValue(withStallConn(ctx, lc), limitConnKey{}, lc)
}

func limitConnFrom(ctx context.Context) *limitConn {
	c, _ := ctx.Value(limitConnKey{}).(*limitConn)
	return c
}

// connState prepares for a new header when a connection becomes idle.
func connState(c net.Conn, s http.ConnState) {
	if lc, ok := c.(*limitConn); ok && s == http.StateIdle {
		lc.startHeader()
	}
}
