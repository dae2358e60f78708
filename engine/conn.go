package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// writerBytes is the size of the write buffer. It holds the header of a
	// request and most bodies.
	writerBytes = 2 << 10
	// requestHeaders is the number of header fields of a request.
	requestHeaders = 7
)

// dataConn is a connection to a group leader that only the goroutine of the current
// request uses. The transport of net/http has a reading and a writing goroutine per
// connection, and switching to them delayed the first token.
type dataConn struct {
	responseConn
	key    poolKey
	writer *bufio.Writer
}

func newDataConn(c net.Conn, key poolKey) *dataConn {
	return &dataConn{
		responseConn: newResponseConn(c, readerBytes), key: key, writer: bufio.NewWriterSize(c, writerBytes),
	}
}

// postRequest is passed to http.ReadResponse, which needs the method of the request.
var postRequest = &http.Request{Method: http.MethodPost}

// roundTrip sends a request and reads the header of its response.
func (c *dataConn) roundTrip(r *Request) (*http.Response, error) {
	if err := c.write(r); err != nil {
		return nil, err
	}
	resp, err := c.ReadResponse(postRequest)
	if err != nil {
		return nil, errors.Wrap(ErrConnectionFailed, err.Error())
	}
	return resp, nil
}

// write encodes and sends a request.
func (c *dataConn) write(r *Request) error {
	for _, v := range []string{r.Path, r.Target.Address, string(r.Target.Group), string(r.Attempt)} {
		if strings.ContainsFunc(v, func(x rune) bool { return x <= ' ' || x == 0x7f }) {
			return errors.Wrapf(ErrNotSent, "%q cannot be sent in a request header", v)
		}
	}
	h := make(http.Header, requestHeaders)
	h.Set("Content-Type", "application/json")
	h.Set("User-Agent", userAgent)
	h.Set(HeaderGroup, string(r.Target.Group))
	h.Set(HeaderEpoch, strconv.FormatUint(uint64(r.Target.Epoch), 10))
	h.Set(HeaderAttempt, string(r.Attempt))
	h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.ResumeOffset > 0 {
		h.Set(HeaderResumeOffset, strconv.Itoa(r.ResumeOffset))
	}
	req := http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: r.Path}, Host: r.Target.Address, Header: h,
		Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body)),
	}
	err := req.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return errors.Wrap(ErrConnectionFailed, err.Error())
	}
	return nil
}

// errStatusNotRead means that the connection of a status check cannot carry a request, because the
// rest of the status response is missing or the engine closes the connection after it.
var errStatusNotRead = errors.New("status response of the engine leaves no usable connection")

// dialChecked opens a connection and checks the engine's status on it before the
// first request.
func (d *Data) dialChecked(ctx context.Context, target Target, key poolKey) (*dataConn, error) {
	conn, err := d.dial(ctx, "tcp", target.Address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	c := newDataConn(conn, key)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = c.checkStatus(target)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return c, nil
}

// checkStatus returns an error if the engine has restarted since the target was
// confirmed, or is cold although the target was confirmed as warm.
func (c *dataConn) checkStatus(target Target) error {
	if err := c.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	request, err := statusRequest(target.Address)
	if err != nil {
		return err
	}
	if _, err := c.Write(request); err != nil {
		return err
	}
	resp, err := c.ReadResponse(nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(&s); err != nil {
		return err
	}
	switch {
	case s.Incarnation != target.Incarnation:
		return ErrIncarnationChanged
	case s.Cold && !target.Cold:
		return ErrEngineCold
	case !c.drain(resp):
		return errStatusNotRead
	}
	return c.SetDeadline(time.Time{})
}

// drain reads the rest of a response that is not needed and reports whether the connection can
// be used for another request.
func (c *dataConn) drain(resp *http.Response) bool { return !resp.Close && c.Drain() }
