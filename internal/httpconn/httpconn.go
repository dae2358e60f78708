// Package httpconn implements a connection of an HTTP client that one goroutine at a
// time uses. The size of response headers is bounded, because the other end is not
// trusted, and an idle connection can be checked without blocking.
package httpconn

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
)

// MaxHeaderBytes bounds the header of a response, in bytes.
const MaxHeaderBytes = 64 << 10

// ErrHeaderTooLarge means that the header of a response exceeds MaxHeaderBytes.
var ErrHeaderTooLarge = errors.New("response header exceeds " + strconv.Itoa(MaxHeaderBytes) + " bytes")

// Conn is a connection on which one goroutine at a time writes requests and reads
// the responses.
type Conn struct {
	net.Conn
	// Reader is the buffered reader of the connection.
	Reader *bufio.Reader
	// headerBytesLeft is the number of bytes that may still be read of a header.
	// It is negative while a body is read.
	headerBytesLeft int
	// rawConn and probe check the connection without blocking. idleAndOpen is the
	// result: the connection is open and has no unread bytes.
	rawConn     syscall.RawConn
	probe       func(fd uintptr) bool
	idleAndOpen bool
}

// New returns a connection with a read buffer of the given size.
func New(c net.Conn, readerBytes int) *Conn {
	r := &Conn{Conn: c, headerBytesLeft: -1}
	r.Reader = bufio.NewReaderSize(r, readerBytes)
	if s, ok := c.(syscall.Conn); ok {
		r.rawConn, _ = s.SyscallConn() // with nil, Alive reports false
	}
	var b [1]byte
	r.probe = func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), b[:])
		r.idleAndOpen = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	}
	return r
}

// Alive reports whether an idle connection can be reused: it is open and has no
// unread bytes. A server that stopped has closed it, and bytes that arrive before a
// request are no response to one. If the read deadline has passed, Alive reports
// false.
func (c *Conn) Alive() bool {
	return c.rawConn != nil && c.Reader.Buffered() == 0 && c.rawConn.Read(c.probe) == nil && c.idleAndOpen
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.headerBytesLeft < 0 {
		return c.Conn.Read(b)
	}
	if c.headerBytesLeft == 0 {
		return 0, ErrHeaderTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headerBytesLeft)])
	c.headerBytesLeft -= n
	return n, err
}

// ReadResponse reads the header of the response to a request. A nil request stands for a
// GET request. Informational responses are returned too.
func (c *Conn) ReadResponse(to *http.Request) (*http.Response, error) {
	c.headerBytesLeft = MaxHeaderBytes
	defer func() { c.headerBytesLeft = -1 }()
	return http.ReadResponse(c.Reader, to)
}
