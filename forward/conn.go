package forward

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Sizes of connections to backend servers.
const (
	readBufferBytes  = 4 << 10
	maxResponseHead  = 64 << 10
	maxStrayAnswers  = 2
	maxStrayBytes    = 1 << 20
	responseHeadTime = time.Second
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	br        *bufio.Reader
	head      *limitReader
	reused    bool
	idleFor   time.Duration
	idleUntil time.Duration
	deadline  time.Time
}

// limitReader bounds what may be read while a response's head is parsed.
type limitReader struct {
	net.Conn
	left int
}

func (l *limitReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Conn.Read(b)
	l.left -= n
	return n, err
}

var errHeadTooLarge = errors.New("response header of the backend server exceeds 64 KiB")

const unlimited = 1 << 62

func newConn(nc net.Conn) *conn {
	head := &limitReader{Conn: nc, left: unlimited}
	return &conn{Conn: nc, head: head, br: bufio.NewReaderSize(head, readBufferBytes), idleFor: defaultIdle}
}

func (c *conn) close() { _ = c.Conn.Close() }

// quiet reports whether an idle connection is open and holds no unread bytes.
// Bytes that arrive without a request belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	// A deadline in the past would fail the read below before it is tried.
	c.setDeadline(time.Time{})
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

// wait returns nil when there is something to read, or the error of a read that
// ended at the deadline.
func (c *conn) wait(until time.Time) error {
	if c.br.Buffered() > 0 {
		return nil
	}
	c.setDeadline(until)
	_, err := c.br.Peek(1)
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
	c.head.left = maxResponseHead
	resp, err := http.ReadResponse(c.br, r)
	c.head.left = unlimited
	return resp, err
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
