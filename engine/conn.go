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
	// writerBytes holds the header of a request and most bodies.
	writerBytes = 2 << 10
	// requestHeaders is the number of header fields of a request.
	requestHeaders = 7
)

// dataConn is a connection to a group leader. The goroutine of a request uses it
// alone: net/http's transport has a reading and a writing goroutine per
// connection, and each hand-over to them delayed the first token.
type dataConn struct {
	responseConn
	key       poolKey
	writer    *bufio.Writer
	idleSince time.Time
}

func newDataConn(c net.Conn, key poolKey) *dataConn {
	return &dataConn{
		responseConn: newResponseConn(c, readerBytes), key: key, writer: bufio.NewWriterSize(c, writerBytes),
	}
}

// postRequest tells http.ReadResponse the method of the requests.
var postRequest = &http.Request{Method: http.MethodPost}

// roundTrip sends a request and reads the header of its response.
func (c *dataConn) roundTrip(r *Request) (*http.Response, error) {
	if err := c.write(r); err != nil {
		return nil, err
	}
	resp, err := c.response(postRequest)
	if err != nil {
		return nil, errors.Wrap(ErrConnectionFailed, err.Error())
	}
	return resp, nil
}

// write sends a request. net/http encodes it.
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

// dialChecked opens a connection and reads the engine's status on it before any
// request uses it.
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

// checkStatus fails unless the engine is the confirmed one in the confirmed
// state.
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
	resp, err := c.response(nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(&s); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	switch {
	case s.Incarnation != target.Incarnation:
		return ErrIncarnationChanged
	case s.Cold && !target.Cold:
		return ErrTurnedCold
	}
	return c.SetDeadline(time.Time{})
}

// finish reads the rest of a response and reports whether the connection can
// carry another request.
func (c *dataConn) finish(resp *http.Response) bool {
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close && c.Reader.Buffered() == 0
}
