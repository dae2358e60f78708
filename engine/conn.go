package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// maxResponseHeader bounds the header of an engine's response.
const maxResponseHeader = 64 << 10

// errHeaderTooLarge ends a response whose header does not end.
var errHeaderTooLarge = errors.New("response header exceeds " + strconv.Itoa(maxResponseHeader) + " bytes")

// dataConn is a connection to a group leader. One goroutine at a time writes
// requests to it and reads the responses: net/http's transport has a reading and
// a writing goroutine per connection, and each hand-over to them delayed the
// first token.
type dataConn struct {
	net.Conn
	key    poolKey
	reader *bufio.Reader
	// headerLeft bounds what is read of a header, or is negative in a body.
	headerLeft int
	head       []byte
	idleSince  time.Time
	// raw and probe look at the connection without a wait; open is the result.
	raw   syscall.RawConn
	probe func(fd uintptr) bool
	open  bool
}

func newDataConn(c net.Conn, key poolKey) *dataConn {
	d := &dataConn{Conn: c, key: key, headerLeft: -1}
	d.reader = bufio.NewReaderSize(d, readerBytes)
	if s, ok := c.(syscall.Conn); ok {
		d.raw, _ = s.SyscallConn() // nil means that the connection is not reused
	}
	var b [1]byte
	d.probe = func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), b[:])
		d.open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	}
	return d
}

// Read implements net.Conn.
func (c *dataConn) Read(b []byte) (int, error) {
	if c.headerLeft < 0 {
		return c.Conn.Read(b)
	}
	if c.headerLeft == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headerLeft)])
	c.headerLeft -= n
	return n, err
}

// alive reports whether an idle connection is open and silent. A leader that
// ended has closed it.
func (c *dataConn) alive() bool {
	return c.raw != nil && c.reader.Buffered() == 0 && c.raw.Read(c.probe) == nil && c.open
}

// postRequest tells http.ReadResponse the method of the requests.
var postRequest = &http.Request{Method: http.MethodPost}

// roundTrip sends a request and reads the header of its response.
func (c *dataConn) roundTrip(r *Request) (*http.Response, error) {
	var err error
	if c.head, err = appendHead(c.head[:0], r); err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	parts := net.Buffers{c.head, r.Body}
	if _, err := parts.WriteTo(c.Conn); err != nil {
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	c.headerLeft = maxResponseHeader
	defer func() { c.headerLeft = -1 }()
	for {
		resp, err := http.ReadResponse(c.reader, postRequest)
		switch {
		case err != nil:
			return nil, errors.Wrap(ErrBroken, err.Error())
		case resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols:
			continue // informational
		}
		return resp, nil
	}
}

// appendHead encodes the request line and the header.
func appendHead(b []byte, r *Request) ([]byte, error) {
	for _, v := range []string{r.Path, r.Target.Address, string(r.Target.Group), string(r.Attempt)} {
		for i := range len(v) {
			if v[i] <= ' ' || v[i] == 0x7f {
				return b, errors.Errorf("%q cannot be sent in a request header", v)
			}
		}
	}
	b = append(append(b, "POST "...), r.Path...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), r.Target.Address...)
	b = append(b, "\r\nContent-Type: application/json"...)
	b = append(append(b, "\r\n"+HeaderGroup+": "...), r.Target.Group...)
	b = strconv.AppendUint(append(b, "\r\n"+HeaderEpoch+": "...), uint64(r.Target.Epoch), 10)
	b = append(append(b, "\r\n"+HeaderAttempt+": "...), r.Attempt...)
	b = strconv.AppendInt(append(b, "\r\n"+HeaderPriority+": "...), int64(r.Priority), 10)
	if r.ResumeOffset > 0 {
		b = strconv.AppendInt(append(b, "\r\n"+HeaderResumeOffset+": "...), int64(r.ResumeOffset), 10)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(r.Body)), 10)
	return append(b, "\r\n\r\n"...), nil
}

// dialChecked opens a connection and reads the engine's status on it before any
// request uses it.
func (d *Data) dialChecked(ctx context.Context, target Target) (net.Conn, error) {
	c, err := d.dial(ctx, "tcp", target.Address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = checkStatus(c, target)
	if !stop() && err == nil {
		err = errors.Wrap(ErrNotSent, ctx.Err().Error())
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// finish reads the rest of a response and reports whether the connection can
// carry another request.
func (c *dataConn) finish(resp *http.Response) bool {
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close && c.reader.Buffered() == 0
}
