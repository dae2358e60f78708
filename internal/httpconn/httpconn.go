// Package httpconn holds the connection of an HTTP client that uses it from one
// goroutine at a time: responses have bounded headers, because the other end is
// not trusted, and an idle connection can be checked without a wait.
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

// ErrHeaderTooLarge ends a response whose header does not end.
var ErrHeaderTooLarge = errors.New("response header exceeds " + strconv.Itoa(MaxHeaderBytes) + " bytes")

// Conn is a connection on which one goroutine at a time writes requests and reads
// the responses.
type Conn struct {
	net.Conn
	// Reader buffers what is read.
	Reader *bufio.Reader
	// headerLeft bounds what is read of a header, or is negative in a body.
	headerLeft int
	// raw and probe look at the connection without a wait; open is the result.
	raw   syscall.RawConn
	probe func(fd uintptr) bool
	open  bool
}

// New returns a connection with a buffer of a size.
func New(c net.Conn, readerBytes int) *Conn {
	r := &Conn{Conn: c, headerLeft: -1}
	r.Reader = bufio.NewReaderSize(r, readerBytes)
	if s, ok := c.(syscall.Conn); ok {
		r.raw, _ = s.SyscallConn() // nil means that the connection is not reused
	}
	var b [1]byte
	r.probe = func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), b[:])
		r.open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	}
	return r
}

// Alive reports whether an idle connection is open and silent: a server that
// ended has closed it, and bytes that arrive without a request belong to none. A
// read deadline in the past makes it report false.
func (c *Conn) Alive() bool {
	return c.raw != nil && c.Reader.Buffered() == 0 && c.raw.Read(c.probe) == nil && c.open
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.headerLeft < 0 {
		return c.Conn.Read(b)
	}
	if c.headerLeft == 0 {
		return 0, ErrHeaderTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headerLeft)])
	c.headerLeft -= n
	return n, err
}

// ReadResponse reads the header of the response to a request; nil stands for a GET
// request. Informational responses are returned too.
func (c *Conn) ReadResponse(to *http.Request) (*http.Response, error) {
	c.headerLeft = MaxHeaderBytes
	defer func() { c.headerLeft = -1 }()
	return http.ReadResponse(c.Reader, to)
}
