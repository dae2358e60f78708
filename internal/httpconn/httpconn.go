// Package httpconn implements a connection of an HTTP client that one goroutine at a
// time uses.
//
// Responses are decoded from the bytes that have arrived. A wait for more bytes that ends at
// its deadline loses nothing: the response can be read on later, wherever its bytes part.
// The size of response headers is bounded, because the other end is not trusted, and an idle
// connection can be checked without blocking.
package httpconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Limits of responses.
const (
	// MaxHeaderBytes bounds the header of a response together with those of the informational
	// responses before it, in bytes.
	MaxHeaderBytes = 64 << 10
	// DrainTimeout bounds the wait for the rest of a response that is not needed. A new
	// connection costs less than a longer wait.
	DrainTimeout = 50 * time.Millisecond
	// largeBufferBytes is the size of the read buffer while a large body arrives.
	largeBufferBytes = 32 << 10
	// maxDrainBytes limits the rest of a response that is read to keep the connection.
	maxDrainBytes = 1 << 20
)

// Errors of responses.
var (
	// ErrIncomplete means that more bytes have to arrive; see Await.
	ErrIncomplete = errors.New("response is not complete yet")
	// ErrHeaderTooLarge means that the header of a response exceeds MaxHeaderBytes.
	ErrHeaderTooLarge = errors.New("response header exceeds " + strconv.Itoa(MaxHeaderBytes) + " bytes")
	// ErrMalformed means that the bytes are no HTTP response.
	ErrMalformed = errors.New("malformed HTTP response")
)

// Conn is a connection on which one goroutine at a time reads responses. Another one may write
// the request meanwhile.
type Conn struct {
	net.Conn
	// buf[start:end] holds the bytes that are received and not decoded yet.
	buf        []byte
	start, end int
	bufferSize int
	// needsMore is true if the undecoded bytes cannot be decoded without further ones.
	needsMore bool
	// endErr is the error after the last received byte: io.EOF or a failure.
	endErr error
	writes writes
	head   headScanner
	body   bodyDecoder
	// rawConn and probe check the connection without blocking. idleAndOpen is the
	// result: the connection is open and has no unread bytes.
	rawConn     syscall.RawConn
	probe       func(fd uintptr) bool
	idleAndOpen bool
	// readErr is the error of the last read that did not wait.
	readErr error
}

// New returns a connection with a read buffer of the given size.
func New(c net.Conn, bufferSize int) *Conn {
	r := &Conn{Conn: c, bufferSize: bufferSize, buf: make([]byte, bufferSize)}
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
// request are no response to one. It ends the read deadline of Await.
func (c *Conn) Alive() bool {
	return c.Conn.SetReadDeadline(time.Time{}) == nil && c.rawConn != nil && c.Buffered() == 0 && c.endErr == nil && c.rawConn.Read(c.probe) == nil && c.idleAndOpen
}

// Buffered returns the number of bytes that are received and not decoded yet.
func (c *Conn) Buffered() int { return c.end - c.start }

// Await waits until bytes of a response can be decoded or the connection has ended, which the
// next ReadHead or ReadBody reports. It returns os.ErrDeadlineExceeded if neither happens
// before the deadline, and can be called again then. It replaces the read deadline of the
// connection; the zero time is none.
func (c *Conn) Await(until time.Time) error {
	if c.endErr != nil || (c.Buffered() > 0 && !c.needsMore) {
		return nil
	}
	if err := c.Conn.SetReadDeadline(until); err != nil {
		c.endErr = err
		return nil
	}
	return c.receive()
}

// receive reads once from the connection. It returns an error only at the read deadline.
func (c *Conn) receive() error {
	if c.endErr != nil {
		return nil
	}
	c.makeRoom()
	n, err := c.Conn.Read(c.buf[c.end:])
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readArrived(err)
	}
	c.end += n
	if n > 0 {
		c.needsMore = false
	}
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		if n == 0 {
			return err
		}
	default:
		c.endErr = err
	}
	return nil
}

// readArrived reads bytes that had arrived when the read deadline passed. A read that begins after its
// deadline, because the process was late, does not look for them. It returns the given error if there
// are none. The connection has no read deadline afterwards.
func (c *Conn) readArrived(timeout error) (n int, err error) {
	if c.rawConn == nil {
		return 0, timeout
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	err = c.rawConn.Read(func(fd uintptr) bool {
		n, c.readErr = syscall.Read(int(fd), c.buf[c.end:])
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case n > 0:
		return n, nil
	case n == 0:
		return 0, io.EOF
	case c.readErr == syscall.EAGAIN || c.readErr == syscall.EINTR:
		return 0, timeout
	default:
		return 0, c.readErr
	}
}

// makeRoom makes room for further bytes in the buffer. The buffer grows for a response header,
// which is decoded as a whole, and for a body whose bytes arrive faster than they are decoded.
func (c *Conn) makeRoom() {
	if c.start == c.end {
		if c.end == len(c.buf) && len(c.buf) < largeBufferBytes && !c.body.complete() {
			c.buf = make([]byte, largeBufferBytes)
		}
		c.start, c.end = 0, 0
	}
	if c.end < len(c.buf) {
		return
	}
	if c.start > 0 {
		c.end = copy(c.buf, c.buf[c.start:c.end])
		c.start = 0
		return
	}
	c.buf = append(make([]byte, 0, 2*len(c.buf)), c.buf...)
	c.buf = c.buf[:cap(c.buf)]
}

// ReadHead decodes the status line and header of the response to a request. A nil request
// stands for a GET request. It returns ErrIncomplete if more bytes have to arrive. Informational
// responses are skipped, and a malformed one stays buffered. Until the body has been read to its
// end, ReadHead must not be called again. The Body of the response reads it with waits that end at
// the connection's read deadline.
func (c *Conn) ReadHead(to *http.Request) (*http.Response, error) {
	for {
		n, err := c.head.scan(c.buf[c.start:c.end])
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return nil, c.incomplete()
		}
		resp, err := parseHead(c.buf[c.start:c.start+n], to)
		if err != nil {
			return nil, err
		}
		if isInformational(resp) {
			c.start += n
			c.head.skip()
			continue
		}
		if err := checkStatus(resp); err != nil {
			return nil, err
		}
		c.start += n
		c.head = headScanner{}
		c.body.begin(resp)
		resp.Body = bodyReader{c}
		return resp, nil
	}
}

// ReadBody decodes bytes of the response body from those that have arrived. It returns
// ErrIncomplete if more have to arrive, and io.EOF at the end of the body.
func (c *Conn) ReadBody(p []byte) (int, error) {
	n, used, err := c.body.decode(p, c.buf[c.start:c.end])
	c.start += used
	switch {
	case n > 0 || err != nil:
		return n, err
	case c.body.complete():
		c.releaseBuffer()
		return 0, io.EOF
	case len(p) == 0:
		return 0, nil
	case c.endErr == io.EOF && c.body.framing == untilEnd:
		if err := c.writes.failure(c.Conn); err != nil {
			c.endErr = err
			return 0, err
		}
		c.body.connEnded = true
		return 0, io.EOF
	}
	return 0, c.incomplete()
}

// releaseBuffer replaces the buffer of a large response, because a connection may be idle for long.
func (c *Conn) releaseBuffer() {
	if c.start == c.end && len(c.buf) > c.bufferSize {
		c.buf = make([]byte, c.bufferSize)
		c.start, c.end = 0, 0
	}
}

// incomplete returns ErrIncomplete, or the error at the end of the connection.
func (c *Conn) incomplete() error {
	switch c.endErr {
	case nil:
		c.needsMore = true
		return ErrIncomplete
	case io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return c.endErr
	}
}

// ReadResponse reads the head of a response and waits for it until the connection's read
// deadline, after which it can be called again.
func (c *Conn) ReadResponse(to *http.Request) (*http.Response, error) {
	for {
		resp, err := c.ReadHead(to)
		if !errors.Is(err, ErrIncomplete) {
			return resp, err
		}
		if err := c.receive(); err != nil {
			return nil, err
		}
	}
}

// BodyUntilEnd reports whether the body has neither a length nor chunks, so that it ends with
// the connection.
func (c *Conn) BodyUntilEnd() bool { return c.body.framing == untilEnd }

// Drain reads the rest of a response that is not needed, and reports whether the connection can
// carry another request. It waits for DrainTimeout at most.
func (c *Conn) Drain() bool {
	if c.body.framing == untilEnd {
		return false
	}
	var scratch [4 << 10]byte
	until := time.Now().Add(DrainTimeout)
	for left := maxDrainBytes; left > 0; {
		n, err := c.readUntil(scratch[:], until)
		left -= n
		if err != nil {
			return err == io.EOF && c.Buffered() == 0
		}
	}
	return false
}

// ReadPrefix returns the start of a response body, up to a number of bytes, as far as it
// arrives within DrainTimeout.
func (c *Conn) ReadPrefix(limit int) []byte {
	b := make([]byte, limit)
	n := 0
	for until := time.Now().Add(DrainTimeout); n < limit; {
		k, err := c.readUntil(b[n:], until)
		n += k
		if err != nil {
			break
		}
	}
	return b[:n]
}

// readUntil reads a part of a response body, for which it waits until a deadline.
func (c *Conn) readUntil(p []byte, until time.Time) (int, error) {
	for {
		n, err := c.ReadBody(p)
		if !errors.Is(err, ErrIncomplete) {
			return n, err
		}
		if err := c.Await(until); err != nil {
			return 0, err
		}
	}
}

// bodyReader is the body of a response.
type bodyReader struct{ conn *Conn }

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	for {
		n, err := b.conn.ReadBody(p)
		if !errors.Is(err, ErrIncomplete) {
			return n, err
		}
		if err := b.conn.receive(); err != nil {
			return 0, err
		}
	}
}

// Close implements io.Closer.
func (bodyReader) Close() error { return nil }

// headReaders holds *bufio.Reader for parseHead.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parseHead parses a whole response head.
func parseHead(b []byte, to *http.Request) (*http.Response, error) {
	r := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(r)
	r.Reset(bytes.NewReader(b))
	resp, err := http.ReadResponse(r, to)
	r.Reset(nil)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return resp, nil
}
